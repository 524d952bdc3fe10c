//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases[10] = loneSidecar }

// loneSidecar: of two sidecars one is killed and stays down, and the other one is restarted as planned. It reaches all
// origins, and has to receive the changes that are pushed from then on.
func loneSidecar(r *run) error {
	servers := newServers(r, 6*time.Second, 20*time.Millisecond, func(h host) string { return h.Site })
	h, err := servers.start("s-1", "upper-hill", 1)
	if err != nil {
		return err
	}
	discoveryAddr, err := freeAddr()
	if err != nil {
		return err
	}
	d := newDiscovery(discoveryAddr)
	d.set(h)
	if err := d.up(); err != nil {
		return err
	}
	origins, err := r.startOrigins(3, directly)
	if err != nil {
		return err
	}
	members, err := r.newMembers(2, origins, d, settings(2, []string{"upper-hill"}, 0, bookingClasses))
	if err != nil {
		return err
	}
	for _, m := range members {
		if m.process, err = r.startSidecar(m.sidecar); err != nil {
			return err
		}
	}
	files := []string{filepath.Join(r.tmp, "first.toml"), filepath.Join(r.tmp, "second.toml")}
	for i, text := range []string{"[limits]\nmax_attempts = 5\n", "[limits]\nmax_attempts = 1\n"} {
		if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
			return err
		}
	}
	if !until(15*time.Second, func() bool { return origins[0].status().Report.Members == len(members) }) {
		return fmt.Errorf("the origins do not see all sidecars")
	}
	if p := origins[0].push(files[0], "change-1", "--after", "0"); p.status != 0 {
		return fmt.Errorf("the first push has the status %d: %s", p.status, p.stderr)
	}
	time.Sleep(time.Second)
	n1, n2 := members[0], members[1]
	if r.trouble {
		r.logf("n2 is killed, and stays down")
		n2.process.signal(syscall.SIGKILL)
		<-n2.process.exited
	}
	time.Sleep(time.Second)
	r.logf("n1 is told to end, and starts again")
	n1.process.signal(syscall.SIGTERM)
	n1.process.end(10 * time.Second)
	if n1.process, err = r.startSidecar(n1.sidecar); err != nil {
		return err
	}
	p := origins[0].push(files[1], "change-2", "--after", "1")
	if p.Outcome != "accepted" {
		return fmt.Errorf("the second push has the status %d: %s", p.status, p.stderr)
	}
	accepted := time.Now()
	const limit = 30 * time.Second
	inForce := until(limit, func() bool {
		state, ok := n1.config()
		return ok && state.Acts.Version == 2
	})
	state, _ := n1.config()
	r.logf("%.1f s after the push n1 acts on version %d, upstream %q", time.Since(accepted).Seconds(), state.Acts.Version,
		state.Upstream)
	for _, o := range origins {
		status := o.status()
		r.logf("origin %s: %s, version %d, %d sidecars", o.name, status.Part, status.Stamp.Version, status.Report.Members)
	}
	if !inForce {
		r.breakRule("%v after version 2 was accepted n1 acts on version %d, with all origins up", limit, state.Acts.Version)
	}
	return nil
}
