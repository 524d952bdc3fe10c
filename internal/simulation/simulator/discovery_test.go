package simulator

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"hazelwing/balancer"
)

// subscriber subscribes to the endpoint list at its start and after failures, and logs each update with its time, kind
// and number of endpoints.
type subscriber struct {
	roundRobin
	retryDelay  time.Duration // from a failure to the next call; 0 if there is no further call
	subscribeAt time.Duration // time of the next call; 0 if none is scheduled
	log         *[]string
}

func (p *subscriber) Handle(now time.Duration, e balancer.Event, actions []balancer.Action) []balancer.Action {
	switch v := e.(type) {
	case balancer.EndpointUpdate:
		names := map[balancer.UpdateKind]string{
			balancer.CompleteList: "complete",
			balancer.Delta:        "delta",
			balancer.CachedList:   "cached",
			balancer.WatchFailed:  "failed",
		}
		*p.log = append(*p.log, fmt.Sprintf("%v %s %d", (now-clockOffset).Round(ms), names[v.Kind], len(v.Endpoints)))
		switch {
		case v.Kind == balancer.CachedList:
			return append(actions, balancer.Action{Kind: balancer.Subscribe})
		case v.Kind == balancer.WatchFailed && p.retryDelay > 0:
			p.subscribeAt = now + p.retryDelay
			return append(actions, balancer.Action{Kind: balancer.SetTimer, At: p.subscribeAt})
		}
	case balancer.TimerFired:
		if p.subscribeAt > 0 && now >= p.subscribeAt {
			p.subscribeAt = 0
			return append(actions, balancer.Action{Kind: balancer.Subscribe})
		}
	}
	return p.roundRobin.Handle(now, e, actions)
}

// Instances call a discovery service of fixed capacity at the same time, and again after failures and an outage. If the
// simulated service accepted more calls than it can answer, or kept a watch open through an outage, instances would get
// lists that a real service would not send them. The service writes 100 entries per second. A call costs 10 entries, 4
// for the nodes and 6 for the call itself, and so takes 100 ms. The test compares the time and the result of each call.
func TestDiscoveryOfFixedCapacity(t *testing.T) {
	for _, c := range []struct {
		name       string
		instances  int
		maxBacklog float64
		retryDelay time.Duration
		faults     []Fault
		want       []string
	}{
		{
			name:       "calls are answered in order",
			instances:  3,
			maxBacklog: 1,
			want:       []string{"3 0s cached 4", "100ms complete 4", "200ms complete 4", "300ms complete 4"},
		},
		{
			name:       "a call that would wait too long is rejected, and its retry is accepted",
			instances:  4,
			maxBacklog: 1,
			retryDelay: 150 * ms,
			want: []string{
				"4 0s cached 4", "1ms failed 0", "100ms complete 4", "200ms complete 4", "300ms complete 4",
				"400ms complete 4",
			},
		},
		{
			name:       "with a longer backlog, the service also works on calls that time out",
			instances:  6,
			maxBacklog: 2,
			want: []string{
				"6 0s cached 4", "100ms complete 4", "200ms complete 4", "300ms complete 4", "3 300ms failed 0",
			},
		},
		{
			name:       "watches and calls fail during an outage, and calls succeed after it",
			instances:  1,
			maxBacklog: 1,
			retryDelay: 300 * ms,
			faults:     []Fault{{At: time.Second, Kind: FaultDiscoveryDown, Duration: 500 * ms}},
			want: []string{
				"0s cached 4", "100ms complete 4", "1.001s failed 0", "1.302s failed 0", "1.702s complete 4",
			},
		},
		{
			name:       "an instance that was killed starts with the cached list",
			instances:  1,
			maxBacklog: 1,
			faults: []Fault{
				{At: 500 * ms, Kind: FaultDrain, Node: "n1"},
				{At: time.Second, Kind: FaultKill, Share: 1, Duration: time.Second},
			},
			want: []string{
				"0s cached 4", "100ms complete 4", "501ms delta 1", "751ms delta 1", "2s cached 4", "2.1s complete 3",
			},
		},
	} {
		cfg := queueOnlyConfig(4, 1, 10, 1, Work{"fixed", ms, 0}, 3*time.Second)
		cfg.Network.SameZoneLatency = ms
		cfg.Clients.Instances = c.instances
		cfg.Rules.DrainGrace = 250 * ms
		cfg.Discovery = Discovery{Capacity: 100, CallCost: 6, Timeout: 300 * ms, MaxBacklog: c.maxBacklog}
		cfg.Faults = c.faults
		var log []string
		r, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) {
			return &subscriber{roundRobin: roundRobin{nodes: 4}, retryDelay: c.retryDelay, log: &log}, nil
		}, 3)
		if err != nil {
			t.Fatal(err)
		}
		if got := countRepeats(log); !slices.Equal(got, c.want) {
			t.Errorf("%s: updates are\n%q, want\n%q", c.name, got, c.want)
		}
		if c.maxBacklog == 1 && c.instances == 4 &&
			(r.RejectedDiscoveryCalls != 1 || r.MaxDiscoveryCallRate != 5 || r.DiscoveryCallsPerInstance != 1.25) {
			t.Errorf("%s: %d calls rejected, want 1; %d calls in one second, want 5; %v calls per instance, want 1.25",
				c.name, r.RejectedDiscoveryCalls, r.MaxDiscoveryCallRate, r.DiscoveryCallsPerInstance)
		}
	}
}

// countRepeats replaces consecutive equal lines by one line with their number in front.
func countRepeats(lines []string) (out []string) {
	for from := 0; from < len(lines); {
		to := from + 1
		for to < len(lines) && lines[to] == lines[from] {
			to++
		}
		if count := to - from; count > 1 {
			out = append(out, fmt.Sprint(count, " ", lines[from]))
		} else {
			out = append(out, lines[from])
		}
		from = to
	}
	return out
}

var clusterCount = flag.Uint64("fleets", 100, "number of clusters that TestLargeFleetsStayWithinLimits simulates")

// A cluster in which some nodes are slow goes through one or two of three severe incidents: the discovery service fails
// while most instances restart and some nodes crash; a zone vanishes, comes back and vanishes again; thirty per cent of
// the nodes are replaced, and a second later another thirty per cent. Instances that all called the discovery service
// or new nodes at once would overload them. No rule may be violated, and calls, attempts and load must stay within
// limits.
func TestLargeFleetsStayWithinLimits(t *testing.T) {
	for seed := range *clusterCount {
		cfg := EveryFaultConfig(20, 400)
		cfg.Duration = 8 * time.Second
		cfg.Discovery = Discovery{Capacity: 400, CallCost: 30, Timeout: time.Second, MaxBacklog: 1}
		cfg.EndpointUpdates.DetectionDelay = time.Second
		kinds := [][]Fault{
			{
				{At: 2 * time.Second, Kind: "down", Duration: 2 * time.Second},
				{At: 2500 * ms, Kind: "kill", Share: 0.8, Duration: 500 * ms},
				{At: 2600 * ms, Kind: "crash", Share: 0.2},
			},
			{
				{At: 2 * time.Second, Kind: "vanish", Zone: "a"},
				{At: 4 * time.Second, Kind: "restart", Zone: "a"},
				{At: 6 * time.Second, Kind: "vanish", Zone: "a"},
			},
			{{At: time.Second, Kind: "replace", Share: 0.3}, {At: 2 * time.Second, Kind: "replace", Share: 0.3}},
		}
		slow := Fault{At: time.Second, Kind: FaultSlow, Share: 0.1, Factor: 5, Duration: 5 * time.Second}
		cfg.Faults = append(slices.Clone(kinds[seed%3]), slow)
		if seed%2 == 0 {
			cfg.Faults = append(cfg.Faults, kinds[(seed/3+1)%3]...)
		}
		r, err := Run(cfg, newBalancer, seed)
		if err != nil {
			t.Fatal(err)
		}
		if r.ViolationCount > 0 {
			t.Errorf("seed %d: violations %q, want none", seed, r.Violations)
		}
		// An instance waits at least 0.25 s before its second call and 0.5 s before its third one. Therefore it makes
		// at most three calls within a second (docs/design/large-fleets.md).
		if r.MaxColdLoad > 1 || r.MaxDiscoveryCallRate > 3*cfg.Clients.Instances ||
			r.AttemptsPerRequest > r.CallsPerRequest {
			t.Errorf("seed %d: cold load is %.2f, want at most 1; %d discovery calls in one second, want at most %d; "+
				"%.2f attempts per request, want at most %.2f, the number of calls per request",
				seed, r.MaxColdLoad, r.MaxDiscoveryCallRate, 3*cfg.Clients.Instances,
				r.AttemptsPerRequest, r.CallsPerRequest)
		}
	}
}
