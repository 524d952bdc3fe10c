package simulator

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"hazelwing/balancer"
)

// replaced is a fleet of four zones in which six in ten servers are replaced within four seconds, a tenth of the rest slow. Some
// instances have far more traffic than others, and those of zone a busy times that of the other zones.
func replaced(instances, nodes int, busy float64) Config {
	c := Trouble(instances, 18*float64(nodes))
	c.Length = 10 * time.Second
	c.Clients.Zones = []string{"a", "b", "c", "d"}
	for i := range instances {
		w := math.Pow(float64(i/4+1), -0.6)
		if i%4 == 0 {
			w *= busy
		}
		c.Clients.Weights = append(c.Clients.Weights, w)
	}
	c.Settings.Probes, c.Settings.ProbesReportLoad, c.Settings.PriceCrossZone = false, false, 0.12
	c.Discovery = Discovery{Capacity: 1200, Call: 60, Timeout: time.Second, Overbook: 1}
	c.List.Notice = time.Second
	c.Nodes = nil
	for i := range nodes {
		c.Nodes = append(c.Nodes, Node{Name: fmt.Sprint("n", i), Zone: string(rune('a' + i%4)), Kind: []string{"fast", "slow"}[i/4%2], Cores: 1,
			Speed: []float64{1.5, 0.7}[i/4%2], Queue: 32})
	}
	c.Faults = []Fault{{At: time.Second, What: "slow", Share: 0.1, Times: 5, For: 8 * time.Second},
		{At: 2 * time.Second, What: "replace", Share: 0.3}, {At: 5 * time.Second, What: "replace", Share: 0.3}}
	return c
}

// The settings may tell a number of sidecars that is ten times too large or too small, or none: no rule breaks for it, and
// little of the service is lost. docs/design/large-fleets.md has what it costs, printed with -v.
func TestWrongNumberOfSidecars(t *testing.T) {
	const instances, nodes, seeds = 80, 60, 3
	service := map[string]float64{}
	for _, c := range []struct {
		name  string
		wrong func(n int) int
	}{
		{"right", func(n int) int { return n }}, {"a tenth", func(n int) int { return n / 10 }},
		{"ten times", func(n int) int { return n * 10 }}, {"none", func(int) int { return 0 }},
	} {
		cold, crossed := 0.0, 0.0
		for seed := range uint64(seeds) {
			r, err := Run(replaced(instances, nodes, 1), func(s balancer.Settings, _ int, seed uint64) (Policy, error) {
				s.Balancers = c.wrong(s.Balancers)
				return balancer.New(s, seed)
			}, seed)
			if err != nil {
				t.Fatal(err)
			}
			if r.Breaks > 0 {
				t.Errorf("%s, seed %d: %q", c.name, seed, r.Broken)
			}
			service[c.name] += r.Service / seeds
			cold, crossed = max(cold, r.Cold), crossed+r.Crossing/seeds
		}
		t.Logf("%-10s service %.3f, cold %.2f, %.2f of the attempts cross", c.name, service[c.name], cold, crossed)
		if lost := service["right"] - service[c.name]; lost > 0.05 {
			t.Errorf("%s: %.3f of service, %.3f with the right number", c.name, service[c.name], service["right"])
		}
	}
}

var worth = flag.Bool("worth", false, "TestWorthOfTheNumber: measure what a wrong number of 300 sidecars costs, and the fleet's own view of it gives back (minutes)")

// viewed is the module with the number of sidecars that the fleet's view tells half a second after the start: the right one where
// the setting is lower, and in the length of a run still the setting where that is higher (fleet's counter falls by a half a minute).
type viewed struct {
	*balancer.Balancer
	n    int
	done bool
}

func (v *viewed) Handle(now time.Duration, e balancer.Event, acts []balancer.Action) []balancer.Action {
	if !v.done && now > past+500*time.Millisecond {
		v.done = true
		v.SetBalancers(v.n)
	}
	return v.Balancer.Handle(now, e, acts)
}

// What the number of sidecars is worth at 300 of them, told right, wrong, and wrong but mended by the view:
//
//	go test ./internal/simulation/simulator -run WorthOfTheNumber -worth -v
func TestWorthOfTheNumber(t *testing.T) {
	if !*worth {
		t.Skip("a measurement: -worth")
	}
	const instances, nodes, seeds = 300, 80, 5
	for _, c := range []struct {
		name  string
		told  int
		after int // by the view; 0: there is none
	}{{"right", instances, 0}, {"a tenth", instances / 10, 0}, {"ten times", instances * 10, 0}, {"a tenth, view", instances / 10, instances},
		{"ten times, view", instances * 10, instances * 10}, {"ten times, view of an hour", instances * 10, instances}, {"half, as a cut would tell", instances / 2, 0}} {
		var service, cold, conns float64
		for seed := range uint64(seeds) {
			r, err := Run(replaced(instances, nodes, 1), func(s balancer.Settings, _ int, seed uint64) (Policy, error) {
				s.Balancers = c.told
				b, err := balancer.New(s, seed)
				if err != nil || c.after == 0 {
					return b, err
				}
				return &viewed{Balancer: b, n: c.after}, nil
			}, seed)
			if err != nil {
				t.Fatal(err)
			}
			service += r.Service / seeds
			cold = max(cold, r.Cold)
			conns = max(conns, float64(r.Conns))
			if r.Breaks > 0 {
				t.Errorf("%s, seed %d: %q", c.name, seed, r.Broken)
			}
		}
		t.Logf("%-28s service %.3f, cold %.2f, connections a server %.0f", c.name, service, cold, conns)
	}
}

// A zone with half as much traffic again as the others sends its cold servers no more than they bear: most of a subset is from
// home, and nobody tells a sidecar how busy its zone is.
func TestColdServersOfABusyZone(t *testing.T) {
	worst := 0.0
	for seed := range uint64(4) {
		r, err := Run(replaced(300, 80, 1.5), hazelwing, seed)
		if err != nil {
			t.Fatal(err)
		}
		if r.Breaks > 0 || r.Cold > 1 {
			t.Errorf("seed %d: cold %.2f of what is borne, %q", seed, r.Cold, r.Broken)
		}
		worst = max(worst, r.Cold)
	}
	t.Logf("cold %.2f of what is borne at most", worst)
}
