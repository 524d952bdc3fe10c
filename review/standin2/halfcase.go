//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases[8] = refusedRepeat }

// refusedRepeat: bookings run, and their answers are lost. Each is repeated with its key; the client closes its sending
// half behind the repeat. A repeat must not be refused, since its effect may have happened.
func refusedRepeat(r *run) error {
	servers := newServers(r, 6*time.Second, 20*time.Millisecond, func(h host) string { return h.Site })
	booked := map[string]bool{} // IDs of the bookings
	var mu sync.Mutex
	servers.lose = func(id, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		return booked[id]
	}
	var hosts []host
	for i := range 4 {
		h, err := servers.start(fmt.Sprintf("s-%d", i+1), "upper-hill", 1)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
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
		name: "n1", listen: listen, discovery: d.addr, settings: settings(1, []string{"upper-hill"}, 0, bookingClasses),
		operator: fmt.Sprintf("[ledger]\ndir = %q\ndurable = \"always\"\n", filepath.Join(r.tmp, "ledger")),
		known:    list{Seq: d.seq, Whole: true, Hosts: hosts},
	})
	if err != nil {
		return err
	}
	c := newClient(r, listen)
	for n := range 20 {
		for k := range 10 { // so that fewer than one answer in ten are lost
			id := fmt.Sprintf("%016x", 0x9000000+10*n+k)
			if a := c.do(request{class: "seat-search", id: id, deadline: 870 * time.Millisecond}); a.status != http.StatusOK {
				return fmt.Errorf("the search %s was answered with %d", id, a.status)
			}
		}
		key := fmt.Sprintf("booking%09d", n)
		q := request{
			class: "confirm-booking", id: fmt.Sprintf("%016x", 0x8000000+2*n), key: key, post: true,
			deadline: 2900 * time.Millisecond,
		}
		mu.Lock()
		booked[q.id] = true
		mu.Unlock()
		if a := c.do(q); a.status != http.StatusBadGateway {
			return fmt.Errorf("the first request with key %s was answered with %d", key, a.status)
		}
		time.Sleep(200 * time.Millisecond)
		q.id = fmt.Sprintf("%016x", 0x8000001+2*n)
		var status int
		if r.trouble {
			if status, err = c.doAndCloseSending(q); err != nil {
				return err
			}
		} else {
			status = c.do(q).status
		}
		runs := len(servers.runs(key))
		if runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			r.breakRule("the repeat with key %s was refused (%d), and the booking has run", key, status)
		}
	}
	return nil
}

// doAndCloseSending sends a request on a connection of its own, closes the sending half, and returns the status of the
// answer.
func (c *client) doAndCloseSending(q request) (status int, err error) {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	body := "body of " + q.id
	text := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\n"+
		"X-Deadline-Ms: %d\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		q.class, q.id, q.class, q.deadline.Milliseconds(), q.key, len(body), body)
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	c.run.logf("client: %s %s key %q, sending half closed: %d %s", q.class, q.id, q.key, response.StatusCode,
		strings.TrimSpace(string(answer)))
	return response.StatusCode, err
}
