//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases[10] = answersWithNoLength }

// answersWithNoLength: one answer in ten has no length, as HTTP/1.1 allows: it comes whole, and the server then closes
// the connection (no reset). Half at least of these answers to bookings must be forwarded.
func answersWithNoLength(r *run) error {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(8, 8))
	serial := 0
	unsized := map[string]string{} // request ID by answer, of bookings: they have one attempt, no hedge
	ran := map[string]int{}
	handler := func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Request-Id")
		if id == "" {
			http.NotFound(w, q)
			return
		}
		_, _ = io.ReadAll(q.Body)
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		serial++
		ran[id]++
		body := fmt.Sprintf("answer %d to %s", serial, id)
		hasLength := !r.trouble || rng.Float64() >= 0.1
		if !hasLength && q.Method == http.MethodPost {
			unsized[body] = id
		}
		mu.Unlock()
		r.logf("server %s: %s runs, length told: %v", q.Context().Value(http.LocalAddrContextKey), id, hasLength)
		if hasLength {
			fmt.Fprint(w, body)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", body)
		_ = conn.Close() // the request was read whole: a FIN follows the answer
	}
	var hosts []host
	for i := range 6 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &http.Server{Handler: http.HandlerFunc(handler), IdleTimeout: 15 * time.Second}
		go func() { _ = server.Serve(listener) }()
		hosts = append(hosts, host{
			Host: fmt.Sprintf("s-%d", i+1), Dial: listener.Addr().String(), Site: "upper-hill", Class: "standard", Block: 1,
			Health: "SERVING", Share: 1,
		})
	}
	discoveryAddr, err := freeAddr()
	if err != nil {
		return err
	}
	d := newDiscovery(discoveryAddr)
	d.set(hosts...)
	if err := d.up(); err != nil {
		return err
	}
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	_, err = r.startSidecar(sidecar{
		name: "n1", listen: listen, discovery: d.addr, settings: settings(3, []string{"upper-hill"}, 0.12, bookingClasses),
		known: list{Seq: d.seq, Whole: true, Hosts: hosts},
	})
	if err != nil {
		return err
	}
	c := newClient(r, listen)
	answers := map[string]answer{} // by request ID
	var clients sync.WaitGroup
	for n := range 400 {
		time.Sleep(25 * time.Millisecond)
		q := request{
			class: "confirm-booking", id: fmt.Sprintf("%016x", 0x8000000+n), post: true, deadline: 2900 * time.Millisecond,
		}
		if n%2 == 1 {
			q.class, q.post, q.deadline = "seat-search", false, 870*time.Millisecond
		}
		clients.Go(func() {
			a := c.do(q)
			mu.Lock()
			answers[q.id] = a
			mu.Unlock()
		})
	}
	clients.Wait()
	forwarded, dropped := 0, 0
	for body, id := range unsized {
		if a := answers[id]; a.status == http.StatusOK && a.body == body {
			forwarded++
			continue
		}
		dropped++
		r.logf("not forwarded: %q; the client got %d, the request ran %d times", body, answers[id].status, ran[id])
	}
	r.logf("%d answers to bookings with no length came whole, %d were forwarded", len(unsized), forwarded)
	if 2*forwarded < len(unsized) {
		r.breakRule("of %d answers with no length that came whole, %d were forwarded, want half at least",
			len(unsized), forwarded)
	}
	for id, a := range answers {
		if !r.trouble && a.status != http.StatusOK {
			return fmt.Errorf("request %s was answered with %d", id, a.status)
		}
	}
	return nil
}
