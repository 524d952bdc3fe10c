//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases[7] = startWithoutSeed }

// startWithoutSeed: two of three sidecars, the seeds of the cluster, are killed at once, and a further sidecar is started.
// It reaches all origins, and has to act on their snapshot, which allows a single attempt.
func startWithoutSeed(r *run) error {
	// The servers fail all requests at once, and count the attempts.
	var mu sync.Mutex
	attempts := map[string]int{}
	handler := func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Request-Id")
		mu.Lock()
		attempts[id]++
		mu.Unlock()
		r.logf("server %s: attempt of %s, answered 500", q.Context().Value(http.LocalAddrContextKey), id)
		http.Error(w, "failed", http.StatusInternalServerError)
	}
	var hosts []host
	for i := range 6 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }()
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
	origins, err := r.startOrigins(3, directly)
	if err != nil {
		return err
	}
	members, err := r.newMembers(4, 2, origins, d, settings(4, []string{"upper-hill"}, 0, bookingClasses))
	if err != nil {
		return err
	}
	running, seeds, n3, n4 := members[:3], members[:2], members[2], members[3]
	for _, m := range running {
		if m.process, err = r.startSidecar(m.sidecar); err != nil {
			return err
		}
	}
	files := []string{filepath.Join(r.tmp, "first.toml"), filepath.Join(r.tmp, "second.toml")}
	for i, text := range []string{"[limits]\nmax_attempts = 1\n", "[limits]\nmax_attempts = 1\nsecond_copies = false\n"} {
		if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
			return err
		}
	}
	if !until(15*time.Second, func() bool { return origins[0].status().Report.Members == len(running) }) {
		return fmt.Errorf("the origins do not see all sidecars")
	}
	if p := origins[0].push(files[0], "change-1", "--after", "0"); p.status != 0 {
		return fmt.Errorf("the first push has the status %d: %s", p.status, p.stderr)
	}
	if r.trouble {
		r.logf("n1 and n2, the seeds, are killed and stay down")
		for _, m := range seeds {
			m.process.signal(syscall.SIGKILL)
		}
		for _, m := range seeds {
			<-m.process.exited
		}
	}
	time.Sleep(2 * time.Second)
	if n4.process, err = r.startSidecar(n4.sidecar); err != nil {
		return err
	}
	time.Sleep(20 * time.Second)
	p := origins[0].push(files[1], "change-2", "--after", "1")
	if p.Outcome != "accepted" {
		return fmt.Errorf("the second push has the status %d: %s", p.status, p.stderr)
	}
	time.Sleep(10 * time.Second)
	for _, o := range origins {
		status := o.status()
		r.logf("origin %s: %s, version %d, %d sidecars", o.name, status.Part, status.Stamp.Version, status.Report.Members)
	}
	for _, m := range []*member{n3, n4} {
		state, _ := m.config()
		r.logf("%s acts on version %d, upstream %q", m.name, state.Acts.Version, state.Upstream)
	}
	for _, line := range strings.Split(r.log(n4.name), "\n") {
		if strings.Contains(line, "finished waiting") {
			r.logf("log of n4: %s", line)
		}
	}
	for _, m := range []*member{n3, n4} {
		c := newClient(r, m.listen)
		for n := range 10 {
			id := fmt.Sprintf("%s-%012x", m.name, n)
			c.do(request{class: "seat-search", id: id, deadline: 870 * time.Millisecond})
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			count := attempts[id]
			mu.Unlock()
			if count > 1 {
				r.breakRule("%s sent %d attempts of %s, where the snapshot in force allows one", m.name, count, id)
			}
		}
	}
	return nil
}
