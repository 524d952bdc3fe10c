package baseline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/simulation/simulator"
)

// runEveryFault simulates a policy with faults of nearly every kind. If canOverload is false, nodes that warm up cannot
// be overloaded.
func runEveryFault(t *testing.T, name string, seed uint64, canOverload bool) *simulator.Result {
	t.Helper()
	p, err := New(name)
	if err != nil || Source(name) == "" {
		t.Fatalf("policy %s: error %v, want none; source %q, want a text", name, err, Source(name))
	}
	cfg := simulator.EveryFaultConfig(5, 100)
	if !canOverload {
		cfg.Rules.OverloadMultiple = 0
	}
	r, err := simulator.Run(cfg, p, seed)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A baseline that violates rules would not be a fair comparison. With faults of nearly every kind, each policy must
// keep the rules and serve most requests. Baselines are exempt from the limit on the load of nodes that warm up,
// because they do not know it.
func TestPoliciesViolateNoRule(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			r := runEveryFault(t, name, 1, name == Hazelwing)
			if r.ViolationCount > 0 || r.Service < 0.4 || r.Unanswered > r.Requests/100 {
				t.Errorf("service %.3f, want at least 0.4; "+
					"%d of %d requests unanswered, want at most 1%%; violations %q, want none",
					r.Service, r.Unanswered, r.Requests, r.Violations)
			}
		})
	}
	if _, err := New("p3c"); err == nil {
		t.Error("New returned no error for the unknown name p3c, want one")
	}
}

// The policy that consults the oracle must serve at least as much as every other policy, if the cluster has enough
// capacity.
func TestOraclePolicyServesMost(t *testing.T) {
	top := runEveryFault(t, Oracle, 2, false).Service
	for _, name := range Names() {
		if strings.HasPrefix(name, Oracle) {
			continue
		}
		if got := runEveryFault(t, name, 2, false).Service; got > top {
			t.Errorf("%s: service %.3f, want at most the %.3f of the policy %s", name, got, top, Oracle)
		}
	}
}

// As many requests as there are endpoints are sent, and none of them ends. With two random choices, the endpoint with
// the most requests must have about log log n / log 2 of them plus a small constant (Mitzenmacher 2001), and far more
// with one choice. Least requests, round robin and the bounded ring have limits of their own.
func TestMaximumLoad(t *testing.T) {
	const n = 2000
	for name, limits := range map[string][2]int{
		"random":       {5, 9},
		"p2c":          {3, 4},
		"least":        {1, 1},
		"round_robin":  {1, 1},
		"ring_bounded": {2, 2},
	} {
		p := newWithEndpoints(t, name, 0, 1, n)
		load := map[string]int{}
		highest := 0
		for i := range n {
			r := balancer.Request{ID: fmt.Sprint(i), Class: "c", ExpiresAt: time.Hour}
			for _, a := range p.Handle(time.Duration(i), r, nil) {
				if a.Kind == balancer.Send {
					load[a.Endpoint]++
					highest = max(highest, load[a.Endpoint])
				}
			}
		}
		if highest < limits[0] || highest > limits[1] {
			t.Errorf("%s: the maximum load is %d requests, want %d to %d", name, highest, limits[0], limits[1])
		}
	}
}

// newWithEndpoints returns a policy that has received a list of n endpoints.
func newWithEndpoints(t *testing.T, name string, instance int, seed uint64, n int) simulator.Policy {
	t.Helper()
	newPolicy, err := New(name)
	if err != nil {
		t.Fatal(err)
	}
	p, err := newPolicy(balancer.Settings{Classes: []balancer.Class{{Name: "c"}}}, instance, seed)
	if err != nil {
		t.Fatal(err)
	}
	var list []balancer.Endpoint
	for i := range n {
		list = append(list, balancer.Endpoint{ID: fmt.Sprint("u", i)})
	}
	p.Handle(0, balancer.EndpointUpdate{Endpoints: list}, nil)
	return p
}

// Deterministic subsets must give each endpoint the same number of instances, and random subsets must not, as a table
// in Site Reliability Engineering, chapter 20, shows.
func TestSubsetsSpreadConnections(t *testing.T) {
	const endpoints, instances = 100, 100
	spread := func(name string) (lowest, highest int) {
		count := map[string]int{}
		for i := range instances {
			made := newWithEndpoints(t, name, i, uint64(i), endpoints)
			p, ok := made.(*policy)
			if !ok {
				t.Fatalf("%s: the policy has type %T, want *policy", name, made)
			}
			s, ok := p.picker.(*subset)
			if !ok {
				t.Fatalf("%s: the picker has type %T, want *subset", name, p.picker)
			}
			for _, e := range s.members {
				count[e.id]++
			}
		}
		lowest = instances
		for i := range endpoints {
			n := count[fmt.Sprint("u", i)]
			lowest, highest = min(lowest, n), max(highest, n)
		}
		return lowest, highest
	}
	if lowest, highest := spread("subset_deterministic"); lowest != 10 || highest != 10 {
		t.Errorf("deterministic subsets: %d to %d instances per endpoint, want 10", lowest, highest)
	}
	if lowest, highest := spread("subset_random"); highest < 15 || lowest > 6 {
		t.Errorf("random subsets: %d to %d instances per endpoint, "+
			"want a minimum of at most 6 and a maximum of at least 15", lowest, highest)
	}
}
