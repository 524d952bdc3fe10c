package simulator

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
)

// listener asks for the list as its script says, and notes what it is told and when.
type listener struct {
	inTurn
	again time.Duration // after a failure it asks again once so much has passed; 0: never
	ask   time.Duration // when it asks next; 0: not
	log   *[]string
}

func (p *listener) Handle(now time.Duration, e balancer.Event, acts []balancer.Action) []balancer.Action {
	switch v := e.(type) {
	case balancer.EndpointUpdate:
		names := map[balancer.UpdateKind]string{balancer.CompleteList: "full", balancer.Delta: "change", balancer.CachedList: "saved", balancer.WatchFailed: "failed"}
		*p.log = append(*p.log, fmt.Sprintf("%v %s %d", (now-past).Round(ms), names[v.Kind], len(v.Endpoints)))
		switch {
		case v.Kind == balancer.CachedList:
			return append(acts, balancer.Action{Kind: balancer.Subscribe})
		case v.Kind == balancer.WatchFailed && p.again > 0:
			p.ask = now + p.again
			return append(acts, balancer.Action{Kind: balancer.SetTimer, At: p.ask})
		}
	case balancer.TimerFired:
		if p.ask > 0 && now >= p.ask {
			p.ask = 0
			return append(acts, balancer.Action{Kind: balancer.Subscribe})
		}
	}
	return p.inTurn.Handle(now, e, acts)
}

// Discovery of fixed capacity: exactly who is answered when, who is turned away, and what becomes of watches. Four
// servers and a call of 6 lines at 100 lines a second take 100 ms.
func TestDiscoveryOfFixedCapacity(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		overbook  float64
		again     time.Duration
		faults    []Fault
		want      string
	}{
		{"all are answered in turn", 3, 1, 0, nil,
			"0s saved 4, 0s saved 4, 0s saved 4, 100ms full 4, 200ms full 4, 300ms full 4"},
		{"what would wait too long is turned away, and the next call is taken", 4, 1, 150 * ms, nil,
			"0s saved 4, 0s saved 4, 0s saved 4, 0s saved 4, 1ms failed 0, 100ms full 4, 200ms full 4, 300ms full 4, 400ms full 4"},
		{"overbooked: what times out was worked for", 6, 2, 0, nil,
			"0s saved 4, 0s saved 4, 0s saved 4, 0s saved 4, 0s saved 4, 0s saved 4, 100ms full 4, 200ms full 4, 300ms full 4, 300ms failed 0, 300ms failed 0, 300ms failed 0"},
		{"down: watches end, calls fail, and it comes back", 1, 1, 300 * ms, []Fault{{At: time.Second, What: "down", For: 500 * ms}},
			"0s saved 4, 100ms full 4, 1.001s failed 0, 1.302s failed 0, 1.702s full 4"},
		{"a killed instance knows the list that it had last", 1, 1, 0, []Fault{{At: 500 * ms, What: "drain", Node: "n1"}, {At: time.Second, What: "kill", Share: 1, For: time.Second}},
			"0s saved 4, 100ms full 4, 501ms change 1, 751ms change 1, 2s saved 4, 2.1s full 3"},
	} {
		cfg := plain(4, 1, 10, 1, Work{"fixed", ms, 0}, 3*time.Second)
		cfg.Network.Same = ms
		cfg.Clients.Instances = c.instances
		cfg.Rules.DrainGrace = 250 * ms
		cfg.Discovery = Discovery{Capacity: 100, Call: 6, Timeout: 300 * ms, Overbook: c.overbook}
		cfg.Faults = c.faults
		var log []string
		r, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) {
			return &listener{inTurn: inTurn{nodes: 4}, again: c.again, log: &log}, nil
		}, 3)
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(log, ", "); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
		if c.overbook == 1 && c.instances == 4 && (r.TurnedAway != 1 || r.Calls != 5 || r.Asks != 1.25) {
			t.Errorf("%d turned away, %d calls in a second, %v an instance", r.TurnedAway, r.Calls, r.Asks)
		}
	}
}

var fleets = flag.Uint64("fleets", 100, "how many fleets TestLargeFleetsKeepTheirBounds plays")

// The three kinds of days of a large fleet at random, with the real module: no rule breaks, and no bound is passed.
func TestLargeFleetsKeepTheirBounds(t *testing.T) {
	for seed := range *fleets {
		cfg := Trouble(20, 400)
		cfg.Length = 8 * time.Second
		cfg.Discovery = Discovery{Capacity: 400, Call: 30, Timeout: time.Second, Overbook: 1}
		cfg.List.Notice = time.Second
		kinds := [][]Fault{
			{{At: 2 * time.Second, What: "down", For: 2 * time.Second}, {At: 2500 * ms, What: "kill", Share: 0.8, For: 500 * ms}, {At: 2600 * ms, What: "crash", Share: 0.2}},
			{{At: 2 * time.Second, What: "vanish", Zone: "a"}, {At: 4 * time.Second, What: "restart", Zone: "a"}, {At: 6 * time.Second, What: "vanish", Zone: "a"}},
			{{At: time.Second, What: "replace", Share: 0.3}, {At: 2 * time.Second, What: "replace", Share: 0.3}},
		}
		cfg.Faults = append(slices.Clone(kinds[seed%3]), Fault{At: time.Second, What: "slow", Share: 0.1, Times: 5, For: 5 * time.Second})
		if seed%2 == 0 {
			cfg.Faults = append(cfg.Faults, kinds[(seed/3+1)%3]...)
		}
		r, err := Run(cfg, hazelwing, seed)
		if err != nil {
			t.Fatal(err)
		}
		if r.Breaks > 0 {
			t.Errorf("seed %d: %q", seed, r.Broken)
		}
		// Waits of 0.25 s and more, then of 0.5 s: three calls in a second at most (docs/design/large-fleets.md).
		if r.Cold > 1 || r.Calls > 3*cfg.Clients.Instances || r.Attempts > r.Tries {
			t.Errorf("seed %d: cold %.2f, %d calls a second, %.2f attempts for %.2f tries", seed, r.Cold, r.Calls, r.Attempts, r.Tries)
		}
	}
}
