package simulator

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"hazelwing/balancer"
)

// roundRobin sends each request to the next node in turn and never retries, as the closed forms assume.
type roundRobin struct {
	n, nodes int
}

func newRoundRobin(nodes int) NewPolicy {
	return func(balancer.Settings, int, uint64) (Policy, error) { return &roundRobin{nodes: nodes}, nil }
}

func (p *roundRobin) Handle(_ time.Duration, e balancer.Event, actions []balancer.Action) []balancer.Action {
	switch e := e.(type) {
	case balancer.Request:
		p.n++
		actions = append(actions, balancer.Action{
			Kind:     balancer.Send,
			ID:       e.ID,
			Endpoint: fmt.Sprint("n", p.n%p.nodes),
			Timeout:  time.Hour,
		})
	case balancer.Outcome:
		if e.Result != balancer.OK {
			actions = append(actions, balancer.Action{Kind: balancer.Reject, ID: e.ID})
		}
	}
	return actions
}

// queueOnlyConfig returns a cluster in which only the nodes' queues cause delays. It has one class and one instance.
func queueOnlyConfig(nodes, cores, queueLimit int, rate float64, work Work, length time.Duration) Config {
	c := Config{
		Duration: length,
		Classes: []Class{
			{Class: balancer.Class{Name: "c", LatencyObjective: time.Hour, Deadline: time.Hour}, Share: 1, Work: work},
		},
		Clients: Clients{Instances: 1, Rate: rate, MaxCalls: 1},
		Network: Network{IdleTimeout: time.Hour, ConnectTimeout: time.Second},
	}
	for i := range nodes {
		c.Nodes = append(c.Nodes, Node{Name: fmt.Sprint("n", i), Cores: cores, Speed: 1, QueueLimit: queueLimit})
	}
	return c
}

// erlangB returns the share of the arrivals that an M/M/c/c queue rejects, at the offered load a.
func erlangB(c int, a float64) float64 {
	b := 1.0
	for k := 1; k <= c; k++ {
		b = a * b / (float64(k) + a*b)
	}
	return b
}

// erlangC returns the share of the arrivals that wait in an M/M/c queue, at the offered load a.
func erlangC(c int, a float64) float64 {
	b := erlangB(c, a)
	rho := a / float64(c)
	return b / (1 - rho*(1-b))
}

// The mean waiting time in a node's queue must match the closed forms for M/M/1, M/M/c, M/D/1 and M/G/1
// (Pollaczek-Khinchine), and the share of rejected requests must match the Erlang B formula.
func TestQueuesAgainstClosedForms(t *testing.T) {
	const unlimited = 1 << 30
	mean := 10 * ms
	for _, c := range []struct {
		name  string
		cores int
		rho   float64
		work  Work
		wait  float64 // mean waiting time, in mean service times
	}{
		{"M/M/1 at 0.5", 1, 0.5, Work{"exp", mean, 0}, 1},
		{"M/M/1 at 0.8", 1, 0.8, Work{"exp", mean, 0}, 0.8 / 0.2},
		{"M/D/1 at 0.8", 1, 0.8, Work{"fixed", mean, 0}, 0.8 / 0.2 / 2},
		{"M/M/4 at 0.8", 4, 0.8, Work{"exp", mean, 0}, erlangC(4, 3.2) / (4 * (1 - 0.8))},
		{"M/G/1, lognormal, at 0.6", 1, 0.6, Work{"lognormal", mean, 1}, 0.6 / 0.4 * math.E / 2},
	} {
		cfg := queueOnlyConfig(1, c.cores, unlimited, c.rho*float64(c.cores)/mean.Seconds(), c.work, 2000*time.Second)
		sum := 0.0
		n := 0
		r, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) {
			add := func(d time.Duration) { sum += d.Seconds(); n++ }
			return &latencyRecorder{roundRobin{nodes: 1}, add}, nil
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		got := (sum/float64(n) - mean.Seconds()) / mean.Seconds()
		if n != r.Served || math.Abs(got-c.wait) > 0.06*c.wait {
			t.Errorf("%s: the mean wait is %.3f service times, want %.3f; recorded %d of %d served requests, want all",
				c.name, got, c.wait, n, r.Served)
		}
	}
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, 0.7}, {5, 4}, {10, 12}} {
		r, err := Run(queueOnlyConfig(1, c.cores, 0, c.load/mean.Seconds(), Work{"exp", mean, 0}, 1000*time.Second),
			newRoundRobin(1), 2)
		if err != nil {
			t.Fatal(err)
		}
		got, want := float64(r.Rejected)/float64(r.Requests), erlangB(c.cores, c.load)
		if math.Abs(got-want) > 0.01 {
			t.Errorf("M/M/%d/%d: the share of rejected requests is %.4f, want %.4f", c.cores, c.cores, got, want)
		}
	}
}

// latencyRecorder records the latency of each successful attempt.
type latencyRecorder struct {
	roundRobin
	record func(time.Duration)
}

func (p *latencyRecorder) Handle(now time.Duration, e balancer.Event, actions []balancer.Action) []balancer.Action {
	if o, ok := e.(balancer.Outcome); ok && o.Result == balancer.OK {
		p.record(o.Elapsed)
	}
	return p.roundRobin.Handle(now, e, actions)
}

// newBalancer returns the real balancer.
func newBalancer(s balancer.Settings, _ int, seed uint64) (Policy, error) {
	return balancer.New(s, seed)
}

// The same seed must give the same result, byte for byte, and another seed a different one. The real balancer must
// violate no rule while faults of nearly every kind happen.
func TestSameSeedSameBytes(t *testing.T) {
	for _, instances := range []int{1, 5, 60, 5000} {
		run := func(seed uint64) string {
			r, err := Run(EveryFaultConfig(instances, 150), newBalancer, seed)
			if err != nil {
				t.Fatal(err)
			}
			if r.ViolationCount > 0 {
				t.Errorf("%d instances, seed %d: %d violations, want 0: %q",
					instances, seed, r.ViolationCount, r.Violations)
			}
			if r.Requests != r.Served+r.Rejected+r.Failed+r.Unanswered {
				t.Errorf("%d instances, seed %d: %d requests, want the sum of %d served, %d rejected, %d failed "+
					"and %d unanswered", instances, seed, r.Requests, r.Served, r.Rejected, r.Failed, r.Unanswered)
			}
			if r.Service < 0.5 {
				t.Errorf("%d instances, seed %d: service %.3f, want at least 0.5", instances, seed, r.Service)
			}
			b, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			return string(b)
		}
		one := run(1)
		if run(1) != one {
			t.Errorf("%d instances: two runs with seed 1 have different results, want the same", instances)
		}
		if run(2) == one {
			t.Errorf("%d instances: runs with the seeds 1 and 2 have the same result, want different ones", instances)
		}
	}
}

// Instances stall while a node crashes and another one drains. Requests and endpoint updates arrive during the stall
// and wait for its end. If an instance handled the requests first, it would send them to nodes that were removed long
// before. It must handle the updates first, so that no rule is violated.
func TestStalledInstanceHandlesUpdatesFirst(t *testing.T) {
	c := EveryFaultConfig(3, 200)
	c.Faults = nil
	for i := range 4 {
		at := time.Duration(2+4*i) * time.Second
		c.Faults = append(c.Faults,
			Fault{At: at, Kind: FaultStall, Share: 1, Duration: 3 * time.Second},
			Fault{At: at + 100*ms, Kind: FaultCrash, Node: fmt.Sprint("n", i)},
			Fault{At: at + 100*ms, Kind: FaultDrain, Node: fmt.Sprint("n", i+4)})
	}
	r, err := Run(c, newBalancer, 1)
	if err != nil || r.ViolationCount > 0 {
		t.Errorf("Run: error %v, want none; violations %q, want none", err, r.Violations)
	}
}

// An impatient client must call once and wait only for its patience, whatever the class allows. Other clients must call
// again.
func TestImpatientClients(t *testing.T) {
	for _, c := range []struct {
		impatient float64
		patience  time.Duration
		calls     float64 // calls per request
	}{{0, 0, 3}, {1, 20 * ms, 1}} {
		cfg := queueOnlyConfig(1, 1, 1000, 1, Work{"fixed", time.Minute, 0}, 20*time.Second)
		cfg.Classes[0].Deadline = time.Second
		cfg.Clients.MaxCalls, cfg.Clients.CallDeadlineShare = 3, 0.3
		cfg.Clients.ImpatientShare, cfg.Clients.Patience = c.impatient, c.patience
		r, err := Run(cfg, newBalancer, 1)
		if err != nil || r.Requests == 0 || r.CallsPerRequest != c.calls || r.Service > 0 {
			t.Errorf("impatient %v, patience %v: %v calls per request, want %v; %d requests, want at least 1; "+
				"service %v, want 0; error %v, want none",
				c.impatient, c.patience, r.CallsPerRequest, c.calls, r.Requests, r.Service, err)
		}
		for _, bad := range []Clients{
			{ImpatientShare: 2, Patience: ms},
			{ImpatientShare: 0.5},
			{ImpatientShare: -1, Patience: ms},
		} {
			cfg.Clients.ImpatientShare, cfg.Clients.Patience = bad.ImpatientShare, bad.Patience
			if cfg.Validate() == nil {
				t.Errorf("Validate accepted impatient %v with patience %v, want an error",
					bad.ImpatientShare, bad.Patience)
			}
		}
	}
}
