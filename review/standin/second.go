//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// secondUpstream is a server that works as upstream does, and whose answers are right and whole. From time to time, for
// a moment, it sends a second copy of its answers some milliseconds later, on a connection on which nothing else waits:
// only if no byte of a further request has arrived.
type secondUpstream struct {
	record *record
	name   string
	start  time.Time
	every  time.Duration // time from one such moment to the next; 0: none
	length time.Duration // length of such a moment
	after  time.Duration // time from an answer to its second copy
}

func runSecond(args []string) {
	flags := flag.NewFlagSet("second", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	name := flags.String("name", "", "name in discovery's list")
	file := flags.String("record", "", "file of the record")
	every := flags.Duration("every", 0, "time from one moment with second copies to the next; 0: none")
	length := flags.Duration("length", 300*time.Millisecond, "length of such a moment")
	after := flags.Duration("after", 5*time.Millisecond, "time from an answer to its second copy")
	_ = flags.Parse(args)
	u := &secondUpstream{
		record: openRecord(*file, *name), name: *name, start: time.Now(), every: *every, length: *length, after: *after,
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fail(err.Error())
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			fail(err.Error())
		}
		go u.serve(conn)
	}
}

func (u *secondUpstream) sendsSecond() bool {
	at := time.Since(u.start)
	return u.every > 0 && at > u.every && at%u.every < u.length
}

func (u *secondUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second)) // an idle connection is closed then
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		u.record.add("run class=%s id=%s key=%s", r.Header.Get("X-Class"), id, r.Header.Get("Idempotency-Key"))
		time.Sleep(5 * time.Millisecond)
		text := u.name + " has run " + id + "\n"
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if !u.sendsSecond() {
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(u.after))
		if _, err := reader.Peek(1); err == nil {
			continue // the next request has come: no second copy
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		u.record.add("a second copy of the answer to id=%s", id)
	}
}

// runProxy forwards connections to a server, each way with a delay, as a link between two zones has it.
func runProxy(args []string) {
	flags := flag.NewFlagSet("proxy", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	to := flags.String("to", "", "address of the server")
	delay := flags.Duration("delay", 2*time.Millisecond, "delay one way")
	_ = flags.Parse(args)
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fail(err.Error())
	}
	for {
		client, err := l.Accept()
		if err != nil {
			fail(err.Error())
		}
		go func() {
			server, err := net.Dial("tcp", *to)
			if err != nil {
				_ = client.Close()
				return
			}
			go forward(client, server, *delay)
			go forward(server, client, *delay)
		}()
	}
}

// forward copies what one side sends to the other, each piece after the delay, and then the end.
func forward(from, to net.Conn, delay time.Duration) {
	type piece struct {
		due  time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 64<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.Now().Add(delay), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		_, _ = to.Write(p.data)
	}
	time.Sleep(delay)
	_ = to.Close()
}
