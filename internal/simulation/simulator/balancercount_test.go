package simulator

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"hazelwing/balancer"
)

// rollingReplacementConfig returns the configuration of a cluster of four zones. At 2 s and again at 5 s, thirty per
// cent of the nodes, drawn at random, begin to be replaced. Ten per cent of the nodes are slow from 1 s to 9 s. Some
// instances have far more traffic than others, and the instances of zone a have zoneFactor times the traffic of the
// instances of the other zones.
func rollingReplacementConfig(instances, nodes int, zoneFactor float64) Config {
	c := EveryFaultConfig(instances, 18*float64(nodes))
	c.Duration = 10 * time.Second
	c.Clients.Zones = []string{"a", "b", "c", "d"}
	for i := range instances {
		w := math.Pow(float64(i/4+1), -0.6)
		if i%4 == 0 {
			w *= zoneFactor
		}
		c.Clients.Weights = append(c.Clients.Weights, w)
	}
	c.Settings.Probes, c.Settings.ProbesReportLoad, c.Settings.PriceCrossZone = false, false, 0.12
	c.Discovery = Discovery{Capacity: 1200, CallCost: 60, Timeout: time.Second, MaxBacklog: 1}
	c.EndpointUpdates.DetectionDelay = time.Second
	c.Nodes = nil
	for i := range nodes {
		c.Nodes = append(c.Nodes, Node{
			Name:       fmt.Sprint("n", i),
			Zone:       string(rune('a' + i%4)),
			Kind:       []string{"fast", "slow"}[i/4%2],
			Cores:      1,
			Speed:      []float64{1.5, 0.7}[i/4%2],
			QueueLimit: 32,
		})
	}
	c.Faults = []Fault{
		{At: time.Second, Kind: "slow", Share: 0.1, Factor: 5, Duration: 8 * time.Second},
		{At: 2 * time.Second, Kind: "replace", Share: 0.3},
		{At: 5 * time.Second, Kind: "replace", Share: 0.3},
	}
	return c
}

// The configured number of balancers is ten times too large or too small, or 0, while nodes are replaced. Balancers use
// the number to divide the capacity of warming nodes among themselves, so that a wrong number could overload these
// nodes or leave them unused. No rule may be violated, and service may fall by at most 0.05. The test prints the costs
// with -v; docs/design/large-fleets.md states them.
func TestWrongNumberOfSidecars(t *testing.T) {
	const instances, nodes, seeds = 80, 60, 3
	service := map[string]float64{}
	for _, c := range []struct {
		name  string
		wrong func(n int) int
	}{
		{"right", func(n int) int { return n }},
		{"a tenth of the right one", func(n int) int { return n / 10 }},
		{"ten times the right one", func(n int) int { return n * 10 }},
		{"0", func(int) int { return 0 }},
	} {
		coldLoad, crossZone := 0.0, 0.0
		for seed := range uint64(seeds) {
			newPolicy := func(s balancer.Settings, _ int, seed uint64) (Policy, error) {
				s.Balancers = c.wrong(s.Balancers)
				return balancer.New(s, seed)
			}
			r, err := Run(rollingReplacementConfig(instances, nodes, 1), newPolicy, seed)
			if err != nil {
				t.Fatal(err)
			}
			if r.ViolationCount > 0 {
				t.Errorf("number of balancers %s, seed %d: violations %q, want none", c.name, seed, r.Violations)
			}
			service[c.name] += r.Service / seeds
			coldLoad, crossZone = max(coldLoad, r.MaxColdLoad), crossZone+r.CrossZoneShare/seeds
		}
		t.Logf("number of balancers %s: service %.3f, highest cold load %.2f of the capacity, "+
			"share of the attempts across zones %.2f",
			c.name, service[c.name], coldLoad, crossZone)
		if lost := service["right"] - service[c.name]; lost > 0.05 {
			t.Errorf("number of balancers %s: service %.3f, want at most 0.05 below the %.3f with the right number",
				c.name, service[c.name], service["right"])
		}
	}
}

var measureBalancerCount = flag.Bool("measure", false,
	"run TestCostOfWrongBalancerCount, which measures how much service a wrong number of balancers costs, and how "+
		"much of it the number counted by the cluster regains")

// correctedBalancer is a balancer that receives the number of balancers as counted by the cluster half a second after
// the start.
type correctedBalancer struct {
	*balancer.Balancer
	balancers int
	corrected bool
}

func (v *correctedBalancer) Handle(now time.Duration, e balancer.Event, actions []balancer.Action) []balancer.Action {
	if !v.corrected && now > clockOffset+500*time.Millisecond {
		v.corrected = true
		v.SetBalancers(v.balancers)
	}
	return v.Balancer.Handle(now, e, actions)
}

// The test measures the service of 300 balancers with a right and a wrong setting of their number, and with a wrong
// setting that the cluster's count replaces:
//
//	go test ./internal/simulation/simulator -run CostOfWrongBalancerCount -measure -v
func TestCostOfWrongBalancerCount(t *testing.T) {
	if !*measureBalancerCount {
		t.Skip("skipping a measurement: run it with -measure")
	}
	const instances, nodes, seeds = 300, 80, 5
	for _, c := range []struct {
		name    string
		set     int
		counted int // the number that the cluster counts; 0 if it does not count
	}{
		{"right", instances, 0},
		{"a tenth", instances / 10, 0},
		{"ten times", instances * 10, 0},
		{"a tenth, counted right", instances / 10, instances},
		{"ten times, counted ten times", instances * 10, instances * 10},
		{"ten times, counted right", instances * 10, instances},
		{"half, as after a partition", instances / 2, 0},
	} {
		var service, coldLoad, connections float64
		for seed := range uint64(seeds) {
			newPolicy := func(s balancer.Settings, _ int, seed uint64) (Policy, error) {
				s.Balancers = c.set
				b, err := balancer.New(s, seed)
				if err != nil || c.counted == 0 {
					return b, err
				}
				return &correctedBalancer{Balancer: b, balancers: c.counted}, nil
			}
			r, err := Run(rollingReplacementConfig(instances, nodes, 1), newPolicy, seed)
			if err != nil {
				t.Fatal(err)
			}
			service += r.Service / seeds
			coldLoad = max(coldLoad, r.MaxColdLoad)
			connections = max(connections, float64(r.MaxConnections))
			if r.ViolationCount > 0 {
				t.Errorf("number of balancers %s (set %d, counted %d), seed %d: violations %q, want none",
					c.name, c.set, c.counted, seed, r.Violations)
			}
		}
		t.Logf("number of balancers %s (set %d, counted %d): service %.3f, highest cold load %.2f of the capacity, "+
			"at most %.0f connections to one node", c.name, c.set, c.counted, service, coldLoad, connections)
	}
}

// One zone has 1.5 times the traffic of each other zone while nodes are replaced. Its balancers prefer nodes of their
// own zone and do not know the zone's share of the traffic, so that together they could overload a node that warms up.
// No node may be overloaded.
func TestColdServersOfABusyZone(t *testing.T) {
	worst := 0.0
	for seed := range uint64(4) {
		r, err := Run(rollingReplacementConfig(300, 80, 1.5), newBalancer, seed)
		if err != nil {
			t.Fatal(err)
		}
		if r.ViolationCount > 0 || r.MaxColdLoad > 1 {
			t.Errorf("seed %d: cold load is %.2f of the capacity, want at most 1; violations %q, want none",
				seed, r.MaxColdLoad, r.Violations)
		}
		worst = max(worst, r.MaxColdLoad)
	}
	t.Logf("the highest cold load is %.2f of the capacity", worst)
}
