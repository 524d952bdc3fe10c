package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/balancer"
)

// Config is a world.
type Config struct {
	Length  time.Duration // of the traffic; the run goes on until all of it has ended
	Classes []Class
	Nodes   []Node
	Network Network
	List    List
	Clients Clients
	// Discovery is where the list comes from, if it has to be asked for.
	Discovery Discovery
	Host      Host
	Rules     Rules
	Faults    []Fault

	// Settings are what each instance is told beyond the above: attempts, copies, probes, prices.
	Settings balancer.Settings
}

// Class is a class of requests.
type Class struct {
	balancer.Class
	Share    float64 // of the requests
	Work     Work
	HintSpan float64 // the hint is the work times a factor from 1/HintSpan to HintSpan; 0: no hint
}

// Work is a distribution of the time that a request takes at speed 1.
type Work struct {
	Kind   string // exp, fixed, lognormal, pareto
	Mean   time.Duration
	Spread float64 // lognormal: sigma; pareto: alpha, above 1
}

func (w Work) draw(rng *rand.Rand) time.Duration {
	x := 1.0
	switch w.Kind {
	case "exp":
		x = rng.ExpFloat64()
	case "lognormal":
		x = math.Exp(w.Spread*rng.NormFloat64() - w.Spread*w.Spread/2)
	case "pareto":
		x = (w.Spread - 1) / w.Spread * math.Pow(1-rng.Float64(), -1/w.Spread)
	}
	return time.Duration(x * float64(w.Mean))
}

// Node is a machine.
type Node struct {
	Name, Zone, Kind string
	Cell             int
	Cores            int
	Speed            float64
	Queue            int // requests that may wait
}

// Network is what messages go through.
type Network struct {
	Same, Cross    time.Duration // one way
	Jitter         time.Duration // mean of what comes on top
	Loss           float64       // share of the messages that are lost, and come RetransmitTime later
	RetransmitTime time.Duration
	ConnectTimeout time.Duration
	Idle           time.Duration // after which an idle connection is closed
	Multiplexed    bool          // an instance has one connection to a node, as with HTTP/2: what breaks it breaks all that is on it
}

// Host is the processor of each instance: what is to be handled waits in turn while it is busy, read or not. What a
// request waits before it is read is not seen by its instance, as on sockets.
type Host struct {
	Cores   float64       // that it has; 0: its time is not counted
	Period  time.Duration // above 0: it has a whole core until Cores of a period are used up, and none until the next; else a slower one
	Request time.Duration // a whole core's time to read a request and answer it
	Attempt time.Duration // to write an attempt and read its answer
	Connect time.Duration // to open a connection
}

// List is how instances learn of the nodes.
type List struct {
	Least, Most time.Duration // how late news is, at each instance by itself
	Notice      time.Duration // on top, until it is known that a process died or started; drains are told by the nodes
	Reorder     bool          // news may overtake each other
}

// Clients are those of all instances.
type Clients struct {
	Instances int
	Rate      float64   // requests a second, of all
	Weights   []float64 // of the instances in it; empty: alike
	Zones     []string  // the instances' zones, in turn
	Tries     int       // at most, the first included
	TryShare  float64   // of the class's deadline that a try is given; 0: all that is left
	Wait      time.Duration
	Keys      int     // requests are about so many things; 0: none
	Impatient float64 // share of the requests whose clients wait for Patience at most, half of it at least, and ask once
	Patience  time.Duration
	Curve     []Point       // the rate is multiplied by it, linearly between points
	Session   float64       // requests of a session on average, one after the other; up to 1: each is alone
	Think     time.Duration // between a session's requests, on average
	Skew      time.Duration // the instances' clocks differ from the nodes' by up to it
	Recorded  []Recorded    // played in place of Rate, Curve and the classes' shares, works and hints
}

// Point is one of a curve.
type Point struct {
	At    time.Duration
	Times float64
}

// Recorded is a request of recorded traffic.
type Recorded struct {
	At         time.Duration
	Class      string
	Work, Hint time.Duration
	Key        int
}

// Rules are the figures in the rules.
type Rules struct {
	ColdFrom     float64
	WarmUp       time.Duration
	FallMultiple float64
	FallTime     time.Duration
	DrainGrace   time.Duration
}

// Fault is something that happens.
type Fault struct {
	At    time.Duration
	What  string
	Node  string  // a name; empty: Share of the nodes, drawn
	Zone  string  // cut; of nodes: all of that zone's, or Share of them
	Share float64 // of nodes, answers or instances
	Times float64 // slow, spike, cost
	For   time.Duration
	Every time.Duration // pause, flap: again and again, within For
}

// faults are the kinds, and what each needs.
var faults = map[string]struct{ nodes, length, times bool }{
	"slow":     {nodes: true, length: true, times: true}, // Times slower
	"pause":    {nodes: true, length: true},              // stands still; with Every again and again for half of it
	"crash":    {nodes: true},                            // resets its connections
	"vanish":   {nodes: true},                            // says nothing any more
	"restart":  {nodes: true},                            // a new process, cold
	"drain":    {nodes: true},                            // tells, and leaves when it has nothing left
	"replace":  {nodes: true},                            // drains, and a cold successor comes
	"reset":    {nodes: true, length: true},              // Times: share of the answers whose connection breaks
	"flap":     {nodes: true, length: true},              // the list says gone and there again, in turns
	"cut":      {length: true},                           // Zone's from all others
	"oneway":   {length: true},                           // nothing that leaves Zone arrives elsewhere
	"silent":   {length: true},                           // no news of the list
	"empty":    {length: true},                           // the list is empty
	"halfopen": {nodes: true},                            // connections that are open say nothing any more; new ones do
	"stall":    {length: true},                           // Share of the instances stand still
	"kill":     {length: true},                           // Share of the instances end, with their clients, and start again after it
	"down":     {length: true},                           // discovery is down; watches and calls end
	"cost":     {length: true, times: true},              // Share of the requests costs Times as much
}

func (c *Config) class(name string) *Class {
	for i := range c.Classes {
		if c.Classes[i].Name == name {
			return &c.Classes[i]
		}
	}
	return nil
}

// Check says what cannot be used.
func (c *Config) Check() error {
	names := map[string]bool{}
	for _, n := range c.Nodes {
		if n.Name == "" || names[n.Name] || n.Cores < 1 || !(n.Speed > 0) || n.Queue < 0 {
			return fmt.Errorf("node %q: its name is taken or empty, or its cores, speed or queue cannot be", n.Name)
		}
		names[n.Name] = true
	}
	switch {
	case len(c.Nodes) == 0:
		return fmt.Errorf("no nodes")
	case c.Length <= 0 || c.Length > 24*time.Hour:
		return fmt.Errorf("length %v is not above 0 and up to a day", c.Length)
	case c.Clients.Instances < 1 || !(c.Clients.Rate > 0) && len(c.Clients.Recorded) == 0:
		return fmt.Errorf("clients: no instances, or no rate")
	case !(c.Clients.Impatient >= 0 && c.Clients.Impatient <= 1) || c.Clients.Impatient > 0 && c.Clients.Patience <= 0:
		return fmt.Errorf("clients: impatient %v is not from 0 to 1, or there is no patience", c.Clients.Impatient)
	case len(c.Clients.Weights) > 0 && len(c.Clients.Weights) != c.Clients.Instances:
		return fmt.Errorf("clients: %d weights for %d instances", len(c.Clients.Weights), c.Clients.Instances)
	}
	if d := c.Discovery; !(d.Capacity >= 0) || !(d.Call >= 0) || !(d.Overbook >= 0) || d.Timeout < 0 || d.Capacity > 0 && d.Timeout == 0 {
		return fmt.Errorf("discovery: its capacity, call, overbook or timeout is below 0, or there is no timeout")
	}
	if h := c.Host; !(h.Cores >= 0) || h.Period < 0 || h.Request < 0 || h.Attempt < 0 || h.Connect < 0 {
		return fmt.Errorf("host: its cores or costs are below 0")
	}
	if k := c.Clients; !(k.Session >= 0 && k.Session <= 1000) || k.Think < 0 || k.Skew < 0 || k.Skew >= past {
		return fmt.Errorf("clients: session %v is not from 0 to 1000, think is below 0, or skew is not from 0 to %v", k.Session, past)
	}
	for i, q := range c.Clients.Recorded {
		if c.class(q.Class) == nil || q.At < 0 || q.Work < 0 || i > 0 && q.At < c.Clients.Recorded[i-1].At {
			return fmt.Errorf("recorded request %d: its class %q is none, or its time or work cannot be", i+1, q.Class)
		}
	}
	share := 0.0
	for _, k := range c.Classes {
		share += k.Share
		if !(k.Share >= 0) || k.Work.Mean <= 0 || k.Deadline <= 0 || k.Work.Kind == "pareto" && !(k.Work.Spread > 1) {
			return fmt.Errorf("class %q: its share, work or deadline cannot be", k.Name)
		}
	}
	if !(share > 0) {
		return fmt.Errorf("no class has a share")
	}
	for i, f := range c.Faults {
		need, ok := faults[f.What]
		switch {
		case !ok:
			return fmt.Errorf("fault %d: %q is none", i+1, f.What)
		case need.nodes && f.Node == "" && f.Zone == "" && !(f.Share > 0), f.Node != "" && !names[f.Node]:
			return fmt.Errorf("fault %d: %s needs a node that there is, or a share", i+1, f.What)
		case need.nodes && f.Zone != "" && !slices.ContainsFunc(c.Nodes, func(n Node) bool { return n.Zone == f.Zone }):
			return fmt.Errorf("fault %d: %s: no node is in zone %q", i+1, f.What, f.Zone)
		case f.What == "down" && c.Discovery.Capacity == 0:
			return fmt.Errorf("fault %d: down needs a discovery, and lists come unasked", i+1)
		case need.length && f.For <= 0, need.times && !(f.Times > 0):
			return fmt.Errorf("fault %d: %s needs how long, or how much", i+1, f.What)
		}
	}
	return nil
}
