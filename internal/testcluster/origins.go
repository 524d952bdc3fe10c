package testcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"hazelwing/internal/cluster/gossip"
)

// Origins are processes like the members, each at an address of its own and behind links of its own, so that a script cuts, kills and
// freezes them by the same words.
const (
	originBase  = 100 // origin 1 is number 101
	mostOrigins = 7
)

// process is a member, or an origin, by its number.
func (r *Cluster) process(n int) *process {
	if n > originBase {
		return r.origins[n-originBase]
	}
	return r.members[n]
}

// processes are all there are.
func (r *Cluster) processes() (list []*process) {
	for _, p := range append(r.members[:len(r.members):len(r.members)], r.origins...) {
		if p != nil {
			list = append(list, p)
		}
	}
	return list
}

// makeOrigins founds the origins, and makes the links to them.
func (r *Cluster) makeOrigins() (err error) {
	if r.cfg.Origins == 0 {
		return nil
	}
	if r.cfg.Origins > mostOrigins {
		return fmt.Errorf("rig: %d origins, at most %d can be", r.cfg.Origins, mostOrigins)
	}
	r.origins = []*process{nil}
	for k := 1; k <= r.cfg.Origins; k++ {
		p := &process{n: originBase + k, name: fmt.Sprint("o", k), dir: filepath.Join(r.cfg.Dir, fmt.Sprint("o", k)),
			env: append(append(os.Environ(), r.cfg.Env...), "GOMAXPROCS=1")}
		p.program, p.arguments = r.cfg.Program, []string{"origin", "run", "--file", filepath.Join(p.dir, "origin.toml")}
		if p.port, err = freePort(realAddr(p.n).String()); err != nil {
			return err
		}
		if err = os.MkdirAll(p.dir, 0o755); err != nil {
			return err
		}
		if p.log, err = os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600); err != nil {
			return err
		}
		p.listen = netip.AddrPortFrom(realAddr(p.n), p.port).String()
		r.origins = append(r.origins, p)
	}
	for _, from := range r.processes() {
		for _, to := range r.origins[1:] {
			if from == to {
				continue
			}
			l, err := newLink(from.n, to.n, to.port, netip.AddrPortFrom(realAddr(to.n), to.port), r.cfg.Seed)
			if err != nil {
				return err
			}
			r.links[[2]int{from.n, to.n}] = l
		}
	}
	return r.BootstrapOrigins(1, "origins")
}

// Found founds origins of a group in an epoch.
func (r *Cluster) BootstrapOrigins(epoch int, group string) error {
	list, err := r.group(group)
	if err != nil {
		return err
	}
	for _, n := range list {
		p := r.process(n)
		var peers []string
		for _, to := range r.origins[1:] {
			addr := to.listen
			if to != p {
				addr = r.seenOrigin(p, to)
			}
			peers = append(peers, fmt.Sprintf("{name = %q, addr = %q}", to.name, addr))
		}
		text := fmt.Sprintf("name = %q\nlisten = %q\ndir = %q\nfleet = \"rig\"\nepoch = %d\npeers = [%s]\nnetworks = [\"127.0.0.0/8\"]\n",
			p.name, p.listen, filepath.Join(p.dir, "store"), epoch, strings.Join(peers, ", "))
		path, err := p.write("origin.toml", text)
		if err != nil {
			return err
		}
		if out, err := p.command("origin", "found", "--file", path).CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w: %s", p.name, err, out)
		}
	}
	return nil
}

// seenOrigin is where a process reaches an origin: by a link of its own.
func (r *Cluster) seenOrigin(p, to *process) string {
	return netip.AddrPortFrom(seenAddr(p.n, to.n), to.port).String()
}

// Origin is the address of an origin, past all links.
func (r *Cluster) OriginAddr(k int) string { return r.origins[k].listen }

// OriginDir is the directory of an origin's store.
func (r *Cluster) OriginDir(k int) string { return filepath.Join(r.origins[k].dir, "store") }

// ConfigDir is the directory of a member's last known configuration.
func (r *Cluster) ConfigDir(n int) string { return filepath.Join(r.members[n].dir, "config") }

// distribution is [config] of a member's operator's file.
func (r *Cluster) distribution(p *process) string {
	if r.cfg.Origins == 0 {
		return ""
	}
	var addrs []string
	for _, to := range r.origins[1:] {
		addrs = append(addrs, r.seenOrigin(p, to))
	}
	list, _ := json.Marshal(addrs)
	return fmt.Sprintf("[config]\norigins = %s\ndir = %q\n%s\n", list, r.ConfigDir(p.n), r.cfg.ConfigOptions)
}

// answers says whether a process has come up: a member once it takes requests, too.
func (r *Cluster) answers(n int) bool {
	if n > originBase {
		q, _ := http.NewRequest(http.MethodGet, "http://"+r.process(n).listen+"/config/alive", nil)
		q.Header.Set("X-Config-Fleet", "rig")
		resp, err := r.admin.Do(q)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusResetContent
	}
	if r.ReadAdmin(n, "fleet", new(gossip.Status)) != nil {
		return false
	}
	if r.cfg.Origins == 0 {
		return true
	}
	resp, err := r.admin.Get("http://" + r.process(n).listen + "/")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}

// Bytes are what crossed links, by what it was for.
type Bytes struct{ Membership, EndpointList, Config int64 }

// Bytes are what a member has sent and received so far, over all links.
func (r *Cluster) Bytes(n int) (sent, received Bytes) {
	add := func(b *Bytes, l *link, back bool) {
		from := &l.sent
		if back {
			from = &l.back
		}
		b.Membership += from[viewBytes].read().Bytes
		b.EndpointList += from[listBytes].read().Bytes
		b.Config += from[configBytes].read().Bytes
	}
	for at, l := range r.links {
		switch n {
		case at[0]:
			add(&sent, l, false)
			add(&received, l, true)
		case at[1]:
			add(&received, l, false)
			add(&sent, l, true)
		}
	}
	return sent, received
}
