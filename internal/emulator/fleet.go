package emulator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// FleetConfig is what a fleet is made of.
type FleetConfig struct {
	Nodes   []NodeConfig
	Effects map[string]Effect
	// NewServer puts a node on sockets; nil: HTTP.
	NewServer func(n *Node, effects map[string]Effect) Server
	// DrainSlack is added to the nodes' DrainGrace; 0: 50 ms. Tests that have to give one verdict on a busy machine, too, take
	// more.
	DrainSlack time.Duration
	// DiscoveryDelay is how long discovery takes to learn that a process died or started; 0: 1 s.
	DiscoveryDelay time.Duration
}

// Fleet is nodes, and the discovery that lists them.
type Fleet struct {
	cfg       FleetConfig
	Discovery *Discovery
	Rules     *RuleChecker

	mu    sync.Mutex
	nodes map[string]*running
	order []string
	all   sync.WaitGroup
	once  sync.Once
	quit  chan struct{}
}

// running is a node's process.
type running struct {
	*Node
	addr   string
	server Server
}

// MixedNodes are n like those of a booking site halfway through replacing its systems, in zones a to d.
func MixedNodes(n int) []NodeConfig {
	kinds := []struct {
		kind  string
		speed float64
	}{{"new-fast", 1.6}, {"old-slow", 0.6}, {"new-fast", 1.45}, {"standard", 1.0}, {"old-slow", 0.55}, {"new-fast", 1.7}, {"old-slow", 0.65}}
	var list []NodeConfig
	for i := range n {
		k := kinds[i%len(kinds)]
		list = append(list, NodeConfig{Name: fmt.Sprintf("n%d", i+1), Zone: string(rune('a' + i%4)), Kind: k.kind, Speed: k.speed,
			Seed: uint64(i + 1), InitialCapacity: 0.3, WarmUp: 4 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second, DrainGrace: 250 * time.Millisecond})
	}
	return list
}

// Capacity is the work that nodes do in a second, in seconds at speed 1.
func Capacity(nodes []NodeConfig) (sum float64) {
	for _, n := range nodes {
		sum += n.Speed
	}
	return sum
}

// NewFleet starts a fleet whose nodes are warm and listed.
func NewFleet(c FleetConfig) (*Fleet, error) {
	if c.NewServer == nil {
		c.NewServer = func(n *Node, effects map[string]Effect) Server { return NewHTTP(n, effects) }
	}
	if c.DiscoveryDelay == 0 {
		c.DiscoveryDelay = time.Second
	}
	d, err := NewDiscovery()
	if err != nil {
		return nil, err
	}
	f := &Fleet{cfg: c, Discovery: d, Rules: NewRuleChecker(), nodes: map[string]*running{}, quit: make(chan struct{})}
	if c.DrainSlack > 0 {
		f.Rules.DrainSlack = c.DrainSlack
	}
	for _, n := range c.Nodes {
		r, err := f.start(n, time.Time{})
		if err != nil {
			f.Close()
			return nil, err
		}
		f.order = append(f.order, n.Name)
		f.tell(r, "SERVING")
	}
	return f, nil
}

// start starts a process on an address of its own.
func (f *Fleet) start(c NodeConfig, born time.Time) (*running, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(LoopbackHost(), "0"))
	if err != nil {
		return nil, err
	}
	n := NewNode(c, born, f.Rules)
	r := &running{Node: n, addr: l.Addr().String(), server: f.cfg.NewServer(n, f.cfg.Effects)}
	f.mu.Lock()
	f.nodes[c.Name] = r
	f.mu.Unlock()
	f.all.Go(func() { r.server.Serve(l) })
	f.all.Go(func() { // a process that dies resets its connections
		select {
		case <-n.Dead():
			r.server.Stop()
			f.after(f.cfg.DiscoveryDelay, func() {
				if f.find(c.Name) == r { // else another process has its name by now
					f.tell(r, "DELETED")
				}
			})
		case <-f.quit:
			r.server.Stop()
		}
		if n.Status().State == pushedOver {
			f.Rules.ReportViolation("%s was pushed over while cold", n.Name)
		}
	})
	return r, nil
}

func (f *Fleet) tell(r *running, health string) {
	h := Endpoint{Name: r.Name, Address: r.addr, Zone: r.Zone, Kind: r.Kind, Cell: r.Cell, Health: health}
	if !r.born.IsZero() {
		h.StartedAtMS = float64(r.born.UnixMilli())
	}
	f.Discovery.Set(h)
}

// after does something later, unless the fleet is closed by then.
func (f *Fleet) after(d time.Duration, do func()) {
	f.all.Go(func() {
		select {
		case <-time.After(d):
			do()
		case <-f.quit:
		}
	})
}

func (f *Fleet) find(name string) *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// Node returns the process that runs under a name; nil: none ever did.
func (f *Fleet) Node(name string) *Node {
	if r := f.find(name); r != nil {
		return r.Node
	}
	return nil
}

// Play plays a fault script, and returns when it is through or ctx ends.
func (f *Fleet) Play(ctx context.Context, script []Fault) error {
	for _, x := range script {
		if f.find(x.Node) == nil {
			return fmt.Errorf("fault script: no node %q", x.Node)
		}
	}
	begun := time.Now()
	for _, x := range script {
		select {
		case <-time.After(time.Until(begun.Add(x.At))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := f.Fault(x); err != nil {
			return err
		}
	}
	return nil
}

// Fault makes one happen now.
func (f *Fleet) Fault(x Fault) error {
	r := f.find(x.Node)
	switch x.Verb {
	case "slow":
		r.Slow(x.Factor)
		f.after(x.Duration, func() { r.Slow(1) })
	case "reset":
		r.BreakConnections(x.Factor)
		f.after(x.Duration, func() { r.BreakConnections(0) })
	case "pause":
		r.Pause(x.Duration)
	case "drain":
		// It is told, and the node knows when: what comes a grace later breaks a rule.
		f.tell(r, "DRAINING")
		r.Drain()
		f.all.Go(func() { f.leave(r) })
	case "crash":
		r.Die()
	case "restart":
		r.Die()
		n, err := f.start(r.NodeConfig, time.Now())
		if err != nil {
			return err
		}
		f.after(f.cfg.DiscoveryDelay, func() { f.tell(n, "SERVING") })
	}
	return nil
}

// leave ends a node that drains once it has nothing left to do, and discovery's news is old.
func (f *Fleet) leave(r *running) {
	for begun := time.Now(); time.Since(begun) < f.cfg.DiscoveryDelay || r.InFlight() > 0; {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-r.Dead():
			return
		case <-f.quit:
			return
		}
	}
	r.Die()
}

// Status is what all nodes are doing, in their order.
func (f *Fleet) Status() (list []Status) {
	for _, name := range f.order {
		list = append(list, f.Node(name).Status())
	}
	return list
}

// Close ends all processes and the discovery, and waits for them. It may be called again.
func (f *Fleet) Close() {
	f.once.Do(f.close)
}

func (f *Fleet) close() {
	close(f.quit)
	f.mu.Lock()
	for _, r := range f.nodes {
		r.Die()
	}
	f.mu.Unlock()
	f.all.Wait()
	f.Discovery.Close()
}
