// Package testcluster starts many processes of the program on loopback, with a link of its own for each direction between each two,
// stand-in servers that count effects, and a client beside each. A script cuts, slows and heals links, and kills, freezes,
// starves and restarts processes; its steps wait for what the admin endpoints say. docs/operators/rig.md has the script's words.
//
// # Bounds
//
// A rig has 30 members at most, two sockets for each direction between two, and one client a member. It ends only processes
// that it has started.
package testcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/emulator"
)

// Most is how many members a rig may have.
const MaxMembers = 30

// Config is a rig's.
type Config struct {
	Members int
	Program []string // the command that runs the daemon
	Env     []string // beside the daemon's own variables
	Dir     string   // for files and logs; empty at first
	Seed    uint64
	Servers int // stand-in servers; 0: 4
	// Operator is added to each member's operator's file, below [fleet] and [admin]; DIR in it is the member's directory.
	OperatorOptions string
	// Fleet are more keys of [fleet].
	FleetOptions    string
	PlatformMembers int  // Balancers of the platform's file; 0: Members
	WithoutClients  bool // without clients
	// Origins are processes that hold the configuration; 0: none. The operator's files get [config] then, with more keys of it.
	Origins       int
	ConfigOptions string
}

// Rig is one that runs.
type Cluster struct {
	cfg      Config
	Servers  *emulator.Fleet
	Outcomes Outcomes
	members  []*process // from 1
	origins  []*process // from 1, where there are any
	links    map[[2]int]*link
	seeds    []string
	faults   faults
	begun    time.Time
	script   string
	stop     context.CancelFunc
	all      sync.WaitGroup
	once     sync.Once
	admin    *http.Client
	freezer  sync.WaitGroup
	notes    []note
	// Took is how long each wait of the script took, in its order.
	Waits []Wait
}

// Waited is one wait of a script.
type Wait struct {
	Step     string
	Duration time.Duration
}

type note struct {
	at   time.Time
	text string
}

// New makes a rig in which no member runs yet. Close it.
func New(c Config) (r *Cluster, err error) {
	if c.Members < 1 || c.Members > MaxMembers {
		return nil, fmt.Errorf("rig: %d members, 1 to %d can be", c.Members, MaxMembers)
	}
	if c.Servers == 0 {
		c.Servers = 4
	}
	if c.PlatformMembers == 0 {
		c.PlatformMembers = c.Members
	}
	r = &Cluster{cfg: c, begun: time.Now(), admin: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	defer func() {
		if err != nil {
			r.Close()
		}
	}()
	traffic := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: Classes}}
	var nodes []emulator.NodeConfig
	for i := range c.Servers {
		nodes = append(nodes, emulator.NodeConfig{Name: fmt.Sprint("n", i+1), Zone: string(rune('a' + i%2)), Kind: "m", Speed: 8, Seed: uint64(i + 1)})
	}
	if r.Servers, err = emulator.NewFleet(emulator.FleetConfig{Nodes: nodes, Effects: traffic.Effects(), DrainSlack: 2 * time.Second}); err != nil {
		return nil, err
	}
	r.members = []*process{nil}
	ports := []uint16{0}
	for n := 1; n <= c.Members; n++ {
		p := &process{n: n, name: fmt.Sprintf("m%02d", n), program: c.Program, dir: filepath.Join(c.Dir, fmt.Sprintf("m%02d", n))}
		if p.port, err = freePort(realAddr(n).String()); err != nil {
			return nil, err
		}
		r.members, ports = append(r.members, p), append(ports, p.port)
	}
	if r.links, err = newLinks(c.Members, ports, c.Seed); err != nil {
		return nil, err
	}
	for n := 1; n <= c.Members; n++ {
		r.seeds = append(r.seeds, r.fleetAddr(n))
	}
	if err = r.makeOrigins(); err != nil {
		return nil, err
	}
	for _, p := range r.members[1:] {
		if err = r.prepare(p, traffic); err != nil {
			return nil, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	for _, p := range r.members[1:] {
		if !c.WithoutClients {
			r.all.Go(func() { r.client(ctx, p) })
		}
	}
	return r, nil
}

func (r *Cluster) fleetAddr(n int) string {
	return fmt.Sprintf("%s:%d", realAddr(n), r.members[n].port)
}

// prepare writes a member's files.
func (r *Cluster) prepare(p *process, traffic *emulator.Traffic) error {
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	var err error
	if p.log, err = os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600); err != nil {
		return err
	}
	// Found free now, and taken at the start. Each is at an address of its own, where nothing else listens: at one address a port
	// that is free for one of them may be the one that was found for another.
	for n, at := range []*string{&p.listen, &p.admin} {
		l, err := net.Listen("tcp", netip.AddrFrom4([4]byte{127, byte(78 + n), 0, byte(p.n)}).String()+":0")
		if err != nil {
			return err
		}
		defer l.Close()
		*at = l.Addr().String()
	}
	at, err := r.toDiscovery(p)
	if err != nil {
		return err
	}
	text, err := emulator.PlatformConfig(traffic, p.listen, at, fmt.Sprintf("%016x", r.cfg.Seed*1000+uint64(p.n)))
	if err != nil {
		return err
	}
	var platform map[string]any
	if err := json.Unmarshal(text, &platform); err != nil {
		return err
	}
	platform["name"] = p.name
	platform["settings"].(map[string]any)["Balancers"] = r.cfg.PlatformMembers
	if text, err = json.Marshal(platform); err != nil {
		return err
	}
	path, err := p.write("platform.json", string(text))
	if err != nil {
		return err
	}
	p.env = append(append(os.Environ(), r.cfg.Env...), "RELAY_CONFIG="+path, "HAZELWING_OPERATOR="+filepath.Join(p.dir, "operator.toml"), "GOMAXPROCS=1")
	return r.configure(p)
}

// toDiscovery is a link of the member's own to discovery.
func (r *Cluster) toDiscovery(p *process) (string, error) {
	to, err := netip.ParseAddrPort(r.Servers.Discovery.Addr())
	if err != nil {
		return "", err
	}
	port, err := freePort(seenAddr(p.n, discovery).String())
	if err != nil {
		return "", err
	}
	l, err := newLink(p.n, discovery, port, to, r.cfg.Seed)
	if err != nil {
		return "", err
	}
	r.links[[2]int{p.n, discovery}] = l
	return netip.AddrPortFrom(seenAddr(p.n, discovery), port).String(), nil
}

// configure writes a member's operator's file, with the seeds of now.
func (r *Cluster) configure(p *process) error {
	if p.n > originBase {
		return nil
	}
	seeds, _ := json.Marshal(r.seeds)
	text := fmt.Sprintf("[admin]\nlisten = %q\n[fleet]\nname = %q\nlisten = %q\nseeds = %s\nnetworks = [\"127.0.0.0/8\"]\ntranslate = [{from = %q, to = %q}]\n%s\n%s\n",
		p.admin, "rig", r.fleetAddr(p.n), seeds, realPrefix(), seenPrefix(p.n), r.cfg.FleetOptions, strings.ReplaceAll(r.cfg.OperatorOptions, "DIR", p.dir)) + r.distribution(p)
	_, err := p.write("operator.toml", text)
	return err
}

// Close ends all processes and waits for all that the rig started. It may be called again.
func (r *Cluster) Close() { r.once.Do(r.close) }

func (r *Cluster) close() {
	if r.stop != nil {
		r.stop()
	}
	for _, p := range r.processes() {
		p.kill()
	}
	r.freezer.Wait()
	r.all.Wait()
	for _, l := range r.links {
		l.close()
	}
	for _, p := range r.processes() {
		if p.log != nil {
			p.log.Close()
		}
	}
	if r.Servers != nil {
		r.Servers.Close()
	}
}

// Faults are the rules that were broken and what else was seen wrong, up to now.
func (r *Cluster) Violations() (list []string) {
	r.faults.mu.Lock()
	list = slices.Clone(r.faults.list)
	r.faults.mu.Unlock()
	for _, p := range r.processes() {
		if err := p.crashed(); err != nil {
			list = append(list, err.Error())
		}
	}
	return append(list, r.Servers.Rules.Violations()...)
}

// SetProgram sets the command that runs the members or origins of a group from their next start on, and that founds these
// origins. It lets processes of several versions of the program share one fleet.
func (r *Cluster) SetProgram(group string, program ...string) error {
	list, err := r.group(group)
	if err != nil {
		return err
	}
	for _, n := range list {
		r.process(n).program = program
	}
	return nil
}

// Ask reads a part of a member's admin endpoint.
func (r *Cluster) ReadAdmin(n int, part string, v any) error {
	resp, err := r.admin.Get("http://" + r.members[n].admin + "/" + part)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, 16<<20)).Decode(v)
}

// PID is the process of a member; 0: it does not run.
func (r *Cluster) PID(n int) int {
	if p := r.members[n]; p.running() {
		return p.cmd.Process.Pid
	}
	return 0
}

// Admin is the address of a member's admin endpoint.
func (r *Cluster) AdminAddr(n int) string { return r.members[n].admin }

// views asks all members of a group that run and are not frozen, side by side.
func (r *Cluster) views(group []int) map[int]gossip.Status {
	out := map[int]gossip.Status{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, n := range group {
		if p := r.members[n]; p.running() && !p.frozen {
			all.Go(func() {
				var s gossip.Status
				if r.ReadAdmin(n, "fleet", &s) != nil {
					s = gossip.Status{}
				}
				mu.Lock()
				defer mu.Unlock()
				out[n] = s
			})
		}
	}
	all.Wait()
	return out
}

// Story is what a failing run shows: script, seed, and all logs as one, by time.
func (r *Cluster) Timeline() string {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for _, n := range r.notes {
		lines = append(lines, line{n.at, "---- " + n.text})
	}
	for _, p := range r.processes() {
		text, _ := os.ReadFile(filepath.Join(p.dir, "log"))
		last := r.begun
		for l := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(l, "time="); ok {
				word, _, _ := strings.Cut(rest, " ")
				if at, err := time.Parse(time.RFC3339, word); err == nil {
					last = at
				}
			}
			lines = append(lines, line{last, p.name + " " + strings.TrimSpace(l)})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, script:\n%s\ntime line:\n", r.cfg.Seed, r.script)
	for _, l := range lines {
		fmt.Fprintf(&b, "%8.3f %s\n", l.at.Sub(r.begun).Seconds(), l.text)
	}
	return b.String()
}

// Log is what a member or an origin has written so far.
func (r *Cluster) Log(n int) string {
	text, _ := os.ReadFile(filepath.Join(r.process(n).dir, "log"))
	return string(text)
}

// FleetAddr is the address of a member's fleet, past all links.
func (r *Cluster) FleetAddr(n int) string { return r.fleetAddr(n) }
