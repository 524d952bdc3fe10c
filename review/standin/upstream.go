//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// upstream is a server of the deployment. It begins a request when its last byte has come, works on it and answers 200.
// It drops a repeat of a keyed request that it has seen in the last 6 s. A request whose path ends in "/lost" is run,
// and its answer is lost: the connection ends without one ("the connection breaks or ends after that: it may have
// run"). One answer of noLength has no length: it ends with its connection, which the server closes once it has
// written the whole answer.
type upstream struct {
	record   *record
	name     string
	work     time.Duration
	noLength int // 0: all answers have a length

	mu      sync.Mutex
	seen    map[string]time.Time // time of the latest run, by idempotency key of a keyed class
	answers int
}

func runUpstream(args []string) {
	flags := flag.NewFlagSet("upstream", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	name := flags.String("name", "", "name in discovery's list")
	file := flags.String("record", "", "file of the record")
	work := flags.Duration("work", 5*time.Millisecond, "time that a request takes")
	noLength := flags.Int("nolength", 0, "one of so many answers has no length; 0: none")
	_ = flags.Parse(args)
	u := &upstream{
		record: openRecord(*file, *name), name: *name, work: *work, noLength: *noLength, seen: map[string]time.Time{},
	}
	http.HandleFunc("/", u.serve)
	server := &http.Server{Addr: *listen, IdleTimeout: 15 * time.Second}
	fail(server.ListenAndServe().Error())
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	key := r.Header.Get("Idempotency-Key")
	if !u.isRepeat(class, key) {
		u.record.add("run class=%s id=%s key=%s", class, id, key)
		time.Sleep(u.work)
	}
	text := u.name + " has run " + id + "\n"
	switch {
	case strings.HasSuffix(r.URL.Path, "/lost"):
		u.record.add("the answer to id=%s is lost", id)
		panic(http.ErrAbortHandler) // the connection ends without an answer
	case u.hasNoLength():
		u.answerWithoutLength(w, id, text)
	default:
		fmt.Fprint(w, text)
	}
}

// isRepeat reports whether a keyed request was seen in the last 6 s.
func (u *upstream) isRepeat(class, key string) bool {
	if class != "payment-record" {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	last, ok := u.seen[key]
	if ok && time.Since(last) < 6*time.Second {
		return true
	}
	u.seen[key] = time.Now()
	return false
}

func (u *upstream) hasNoLength() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers++
	return u.noLength > 0 && u.answers%u.noLength == 0
}

// answerWithoutLength writes an answer whose end is the end of the connection, closes the sending half, and waits until
// the peer has closed, too: so the answer has come whole.
func (u *upstream) answerWithoutLength(w http.ResponseWriter, id, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	b := bufio.NewWriter(conn)
	fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", text)
	if b.Flush() != nil || conn.(*net.TCPConn).CloseWrite() != nil {
		return
	}
	u.record.add("the answer to id=%s has no length, and is written whole", id)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}
