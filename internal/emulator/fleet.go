package emulator

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// FleetConfig describes a fleet.
type FleetConfig struct {
	Nodes   []NodeConfig
	Effects map[string]Effect // effects of the request classes, by name
	// NewServer returns the server of a node. If it is nil, NewHTTP is used.
	NewServer func(n *Node, effects map[string]Effect) Server
	// DrainSlack is added to the nodes' DrainGrace; 0: 50 ms. Tests whose result must not depend on the load of the
	// machine set a higher value.
	DrainSlack time.Duration
	// DiscoveryDelay is the time until discovery notices that a process died or started; 0: 1 s.
	DiscoveryDelay time.Duration
}

const (
	// defaultDiscoveryDelay is used if FleetConfig.DiscoveryDelay is 0.
	defaultDiscoveryDelay = time.Second
	// drainCheckInterval is how often a draining node is checked for jobs in flight.
	drainCheckInterval = 20 * time.Millisecond
)

// Fleet is a set of nodes and the discovery service that lists them. Its methods may be called from any goroutine.
type Fleet struct {
	config    FleetConfig
	Discovery *Discovery
	Rules     *RuleChecker

	nodeNames []string // names of the nodes, in the order of the configuration
	tasks     sync.WaitGroup
	closeOnce sync.Once
	closed    chan struct{}

	mu        sync.Mutex
	processes map[string]*process // latest process of each node, by the node's name
}

// process is a process of a node. Each restart creates a new one.
type process struct {
	*Node
	addr   string
	server Server
}

// machineKinds are the kinds and speeds of the machines on which the nodes of MixedNodes run.
var machineKinds = []struct {
	kind  string
	speed float64
}{
	{"new-fast", 1.6},
	{"old-slow", 0.6},
	{"new-fast", 1.45},
	{"standard", 1.0},
	{"old-slow", 0.55},
	{"new-fast", 1.7},
	{"old-slow", 0.65},
}

// MixedNodes returns count nodes, named n1, n2 and so on, in zones a to d. Their kinds and speeds are the entries of
// machineKinds in turn: a mix of old, standard and new machines.
func MixedNodes(count int) []NodeConfig {
	const zones = 4
	var nodes []NodeConfig
	for i := range count {
		machine := machineKinds[i%len(machineKinds)]
		nodes = append(nodes, NodeConfig{
			Name:             fmt.Sprintf("n%d", i+1),
			Zone:             string(rune('a' + i%zones)),
			Kind:             machine.kind,
			Speed:            machine.speed,
			Seed:             uint64(i + 1),
			InitialCapacity:  0.3,
			WarmUp:           4 * time.Second,
			OverloadMultiple: 3,
			OverloadWindow:   2 * time.Second,
			DrainGrace:       250 * time.Millisecond,
		})
	}
	return nodes
}

// NewFleet starts a fleet whose nodes are warm and listed by discovery.
func NewFleet(config FleetConfig) (*Fleet, error) {
	if config.NewServer == nil {
		config.NewServer = func(n *Node, effects map[string]Effect) Server { return NewHTTP(n, effects) }
	}
	if config.DiscoveryDelay == 0 {
		config.DiscoveryDelay = defaultDiscoveryDelay
	}
	discovery, err := NewDiscovery()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		config:    config,
		Discovery: discovery,
		Rules:     NewRuleChecker(),
		closed:    make(chan struct{}),
		processes: map[string]*process{},
	}
	if config.DrainSlack > 0 {
		f.Rules.DrainSlack = config.DrainSlack
	}
	for _, n := range config.Nodes {
		p, err := f.start(n, time.Time{})
		if err != nil {
			f.Close()
			return nil, err
		}
		f.nodeNames = append(f.nodeNames, n.Name)
		f.announce(p, healthServing)
	}
	return f, nil
}

// start starts a process of a node, which listens on a new port. startedAt is zero for a node that is warm.
func (f *Fleet) start(config NodeConfig, startedAt time.Time) (*process, error) {
	address := net.JoinHostPort(LoopbackHost(), "0")
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	n := NewNode(config, startedAt, f.Rules)
	p := &process{Node: n, addr: listener.Addr().String(), server: f.config.NewServer(n, f.config.Effects)}
	f.mu.Lock()
	f.processes[config.Name] = p
	f.mu.Unlock()
	f.tasks.Go(func() { _ = p.server.Serve(listener) }) // returns an error after Stop
	f.tasks.Go(func() { f.supervise(p) })
	return p, nil
}

// supervise waits until a process dies or the fleet is closed, and then stops the server, which resets its connections.
// If the process died, discovery removes it after DiscoveryDelay.
func (f *Fleet) supervise(p *process) {
	select {
	case <-p.Dead():
		p.server.Stop()
		f.after(f.config.DiscoveryDelay, func() {
			if f.find(p.Name) == p { // otherwise the node was restarted in the meantime
				f.announce(p, healthDeleted)
			}
		})
	case <-f.closed:
		p.server.Stop()
	}
	if p.Status().State == stateOverloaded {
		f.Rules.ReportViolation("node %s was overloaded while it was warming up", p.Name)
	}
}

// announce updates the entry of a process in discovery.
func (f *Fleet) announce(p *process, health string) {
	endpoint := Endpoint{
		Name:    p.Name,
		Address: p.addr,
		Zone:    p.Zone,
		Kind:    p.Kind,
		Cell:    p.Cell,
		Health:  health,
	}
	if !p.startedAt.IsZero() {
		endpoint.StartedAtMS = float64(p.startedAt.UnixMilli())
	}
	f.Discovery.Set(endpoint)
}

// after calls do after a delay, unless the fleet is closed before.
func (f *Fleet) after(delay time.Duration, do func()) {
	f.tasks.Go(func() {
		select {
		case <-time.After(delay):
			do()
		case <-f.closed:
		}
	})
}

// find returns the latest process of the node with the given name, or nil if the fleet has no such node.
func (f *Fleet) find(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// Node returns the Node of the latest process of the node with the given name, or nil if the fleet has no such node.
func (f *Fleet) Node(name string) *Node {
	if p := f.find(name); p != nil {
		return p.Node
	}
	return nil
}

// RunScript injects the faults of a script at their times. It returns after the last fault, or when ctx ends. If a node
// of the script does not exist, it returns an error before the first fault.
func (f *Fleet) RunScript(ctx context.Context, script []Fault) error {
	for _, fault := range script {
		if f.find(fault.Node) == nil {
			return fmt.Errorf("fault script: node %q does not exist; want one of %s",
				fault.Node, strings.Join(f.nodeNames, ", "))
		}
	}
	start := time.Now()
	for _, fault := range script {
		select {
		case <-time.After(time.Until(start.Add(fault.At))):
		case <-ctx.Done():
			return ctx.Err()
		}
		//nolint:contextcheck // listening on loopback does not block, and a restarted process outlives the script
		if err := f.InjectFault(fault); err != nil {
			return err
		}
	}
	return nil
}

// InjectFault injects a fault immediately; the field At is ignored. The node must exist.
func (f *Fleet) InjectFault(fault Fault) error {
	p := f.find(fault.Node)
	switch fault.Verb {
	case "slow":
		p.Slow(fault.Factor)
		f.after(fault.Duration, func() { p.Slow(1) })
	case "reset":
		p.BreakConnections(fault.Factor)
		f.after(fault.Duration, func() { p.BreakConnections(0) })
	case "pause":
		p.Pause(fault.Duration)
	case "drain":
		// The node's DrainGrace begins when discovery lists the node as draining.
		f.announce(p, healthDraining)
		p.Drain()
		f.tasks.Go(func() { f.stopWhenDrained(p) })
	case "crash":
		p.Die()
	case "restart":
		p.Die()
		restarted, err := f.start(p.NodeConfig, time.Now())
		if err != nil {
			return err
		}
		f.after(f.config.DiscoveryDelay, func() { f.announce(restarted, healthServing) })
	}
	return nil
}

// stopWhenDrained ends a draining process once it has no job in flight and discovery has listed it as draining for
// DiscoveryDelay.
func (f *Fleet) stopWhenDrained(p *process) {
	for start := time.Now(); time.Since(start) < f.config.DiscoveryDelay || p.InFlight() > 0; {
		select {
		case <-time.After(drainCheckInterval):
		case <-p.Dead():
			return
		case <-f.closed:
			return
		}
	}
	p.Die()
}

// Status returns the state of all nodes, in the order of the configuration.
func (f *Fleet) Status() (list []Status) {
	for _, name := range f.nodeNames {
		list = append(list, f.Node(name).Status())
	}
	return list
}

// Close ends all processes and discovery, and waits for them. It may be called more than once.
func (f *Fleet) Close() {
	f.closeOnce.Do(f.close)
}

func (f *Fleet) close() {
	close(f.closed)
	f.mu.Lock()
	for _, p := range f.processes {
		p.Die()
	}
	f.mu.Unlock()
	f.tasks.Wait()
	f.Discovery.Close()
}
