package simulator

import (
	"testing"
	"time"

	"hazelwing/balancer"
)

// predictor picks nodes in turn, and compares the oracle's prediction of each response time with the actual one.
type predictor struct {
	roundRobin
	oracle    Oracle
	predicted map[string]time.Duration
	wrong     int
	right     int
}

func (p *predictor) SetOracle(o Oracle) { p.oracle = o }

func (p *predictor) Handle(now time.Duration, e balancer.Event, actions []balancer.Action) []balancer.Action {
	switch e := e.(type) {
	case balancer.Request:
		actions = p.roundRobin.Handle(now, e, actions)
		for _, a := range actions {
			if a.Kind == balancer.Send {
				p.predicted[a.ID], _ = p.oracle.ResponseTime(a.Endpoint, p.oracle.Work(e.ID))
			}
		}
		return actions
	case balancer.Outcome:
		if d := e.Elapsed - p.predicted[e.ID]; e.Result == balancer.OK && d.Abs() > time.Microsecond {
			p.wrong++
		} else if e.Result == balancer.OK {
			p.right++
		}
	}
	return p.roundRobin.Handle(now, e, actions)
}

// With one core per node, no latency and no faults, each request must take as long as the oracle predicts.
func TestOraclePredictsResponseTime(t *testing.T) {
	p := &predictor{predicted: map[string]time.Duration{}}
	cfg := queueOnlyConfig(2, 1, 1000, 60, Work{"exp", 10 * ms, 0}, 20*time.Second)
	cfg.Nodes[1].Speed = 0.5
	p.nodes = len(cfg.Nodes)
	if _, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) { return p, nil }, 1); err != nil {
		t.Fatal(err)
	}
	if p.wrong > 0 || p.right < 1000 {
		t.Errorf("%d right predictions, want at least 1000; %d wrong predictions, want 0", p.right, p.wrong)
	}
}

// A fault affects the first node at 1 s, and no endpoint update reports it. The oracle must know that the node would
// not answer, or by how much its answer would be slower.
func TestOracleKnowsFaults(t *testing.T) {
	for kind, want := range map[string]struct {
		ok     bool
		factor float64
	}{"crash": {}, "vanish": {}, "drain": {}, "cut": {}, "restart": {}, "slow": {true, 4}, "no fault": {true, 1}} {
		cfg := queueOnlyConfig(2, 1, 0, 10, Work{"fixed", ms, 0}, 3*time.Second)
		cfg.Nodes[0].Zone, cfg.Nodes[1].Zone, cfg.Clients.Zones = "y", "x", []string{"x"}
		// No update arrives during the run.
		cfg.EndpointUpdates = EndpointUpdates{MinDelay: time.Hour, MaxDelay: time.Hour}
		// A process that has just restarted can take 2 ms of work, which is less than the 10 ms that the test asks the
		// oracle about.
		cfg.Rules = Rules{InitialCapacity: 0.2, WarmUp: time.Minute, OverloadMultiple: 1, OverloadDuration: 10 * ms}
		if kind != "no fault" {
			f := Fault{At: time.Second, Kind: FaultKind(kind), Duration: time.Minute, Factor: 4}
			if kind == "cut" {
				f.Zone = "y"
			} else {
				f.Node = "n0"
			}
			cfg.Faults = []Fault{f}
		}
		requests := 0
		a := &oracleUser{consult: func(now time.Duration, oracle Oracle) {
			if now < clockOffset+1500*ms {
				return
			}
			requests++
			d, ok := oracle.ResponseTime("n0", 10*ms)
			if ok != want.ok || ok && d != time.Duration(want.factor*float64(10*ms)) {
				t.Errorf("%s: the oracle predicts the response time %v for n0 (answer: %v), want %v (answer: %v)",
					kind, d, ok, time.Duration(want.factor*float64(10*ms)), want.ok)
			}
			if _, ok := oracle.ResponseTime("n1", 10*ms); !ok {
				t.Errorf("%s: the oracle predicts no answer of n1, want one since n1 has no fault", kind)
			}
		}}
		if _, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) { return a, nil }, 3); err != nil {
			t.Fatal(err)
		}
		if requests == 0 {
			t.Errorf("%s: no request arrived after 1.5s, want at least one", kind)
		}
	}
}

// The oracle must count the requests that wait at a node, except the cancelled ones.
func TestOracleCountsTheQueue(t *testing.T) {
	sim := &simulation{
		config:      queueOnlyConfig(1, 1, 10, 1, Work{"fixed", ms, 0}, time.Second),
		nodesByName: map[string]*node{},
		zones:       map[string]int{},
	}
	n := &node{
		Node:    sim.config.Nodes[0],
		sim:     sim,
		queued:  1,
		running: []*job{{remainingWork: 0.01, state: jobRunning}},
		waiting: []*job{{remainingWork: 5, state: jobDone}, {remainingWork: 0.02, state: jobQueued}},
	}
	sim.nodesByName[n.Name] = n
	n.running[0].node = n
	if d, ok := (oracle{&instance{sim: sim}}).ResponseTime(n.Name, 3*ms); !ok || d != 33*ms {
		t.Errorf("the oracle predicts the response time %v (answer: %v), want 33ms (answer: true)", d, ok)
	}
	n.QueueLimit = 1
	if _, ok := (oracle{&instance{sim: sim}}).ResponseTime(n.Name, 3*ms); ok {
		t.Error("the oracle predicts an answer of a node whose queue is full, want none")
	}
}

// oracleUser rejects all requests, and calls consult with the oracle for each of them.
type oracleUser struct {
	oracle  Oracle
	consult func(time.Duration, Oracle)
}

func (a *oracleUser) SetOracle(o Oracle) { a.oracle = o }

func (a *oracleUser) Handle(now time.Duration, e balancer.Event, actions []balancer.Action) []balancer.Action {
	if r, ok := e.(balancer.Request); ok {
		a.consult(now, a.oracle)
		actions = append(actions, balancer.Action{Kind: balancer.Reject, ID: r.ID})
	}
	return actions
}
