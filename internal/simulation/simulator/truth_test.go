package simulator

import (
	"testing"
	"time"

	"hazelwing/balancer"
)

// prophet takes nodes in turn, asks the truth how long each request will take, and compares.
type prophet struct {
	inTurn
	truth Truth
	said  map[string]time.Duration
	wrong int
	right int
}

func (p *prophet) Tell(t Truth) { p.truth = t }

func (p *prophet) Handle(now time.Duration, e balancer.Event, acts []balancer.Action) []balancer.Action {
	switch e := e.(type) {
	case balancer.Request:
		acts = p.inTurn.Handle(now, e, acts)
		for _, a := range acts {
			if a.Kind == balancer.Send {
				p.said[a.ID], _ = p.truth.Ends(a.Endpoint, p.truth.Work(e.ID))
			}
		}
		return acts
	case balancer.Outcome:
		if d := e.Elapsed - p.said[e.ID]; e.Result == balancer.OK && d.Abs() > time.Microsecond {
			p.wrong++
		} else if e.Result == balancer.OK {
			p.right++
		}
	}
	return p.inTurn.Handle(now, e, acts)
}

// With one core a node, no way between and nothing that changes, what the truth says of a request's end comes true.
func TestTruthComesTrue(t *testing.T) {
	p := &prophet{said: map[string]time.Duration{}}
	cfg := plain(2, 1, 1000, 60, Work{"exp", 10 * ms, 0}, 20*time.Second)
	cfg.Nodes[1].Speed = 0.5
	p.nodes = len(cfg.Nodes)
	if _, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) { return p, nil }, 1); err != nil {
		t.Fatal(err)
	}
	if p.wrong > 0 || p.right < 1000 {
		t.Errorf("%d predictions came true, %d did not", p.right, p.wrong)
	}
}

// Each line breaks one thing at the first node at 1 s: nothing sent there then would be answered, or only the slower.
func TestTruthKnowsTroubles(t *testing.T) {
	for what, want := range map[string]struct {
		ok    bool
		times float64
	}{"crash": {}, "vanish": {}, "drain": {}, "cut": {}, "restart": {}, "slow": {true, 4}, "nothing": {true, 1}} {
		cfg := plain(2, 1, 0, 10, Work{"fixed", ms, 0}, 3*time.Second)
		cfg.Nodes[0].Zone, cfg.Nodes[1].Zone, cfg.Clients.Zones = "y", "x", []string{"x"}
		cfg.List = List{Least: time.Hour, Most: time.Hour}                                        // it says nothing of what happens
		cfg.Rules = Rules{ColdFrom: 0.2, WarmUp: time.Minute, FallMultiple: 1, FallTime: 10 * ms} // restart: it bears 2 ms of work
		if what != "nothing" {
			f := Fault{At: time.Second, What: what, For: time.Minute, Times: 4}
			if what == "cut" {
				f.Zone = "y"
			} else {
				f.Node = "n0"
			}
			cfg.Faults = []Fault{f}
		}
		asked := 0
		a := &asker{ask: func(now time.Duration, truth Truth) {
			if now < past+1500*ms {
				return
			}
			asked++
			d, ok := truth.Ends("n0", 10*ms)
			if ok != want.ok || ok && d != time.Duration(want.times*float64(10*ms)) {
				t.Errorf("%s: %v, %v", what, d, ok)
			}
			if _, ok := truth.Ends("n1", 10*ms); !ok {
				t.Errorf("%s: the other node would not answer", what)
			}
		}}
		if _, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) { return a, nil }, 3); err != nil {
			t.Fatal(err)
		}
		if asked == 0 {
			t.Errorf("%s: nothing was asked", what)
		}
	}
}

// What a node has in its queue counts, but for attempts that were given up.
func TestTruthCountsTheQueue(t *testing.T) {
	w := &World{cfg: plain(1, 1, 10, 1, Work{"fixed", ms, 0}, time.Second), byName: map[string]*node{}, zones: map[string]int{}}
	n := &node{Node: w.cfg.Nodes[0], w: w, queued: 1, running: []*job{{left: 0.01, state: runs}},
		waiting: []*job{{left: 5, state: over}, {left: 0.02, state: queued}}}
	w.byName[n.Name] = n
	n.running[0].n = n
	if d, ok := (truth{&instance{w: w}}).Ends(n.Name, 3*ms); !ok || d != 33*ms {
		t.Errorf("%v, %v, want 33ms", d, ok)
	}
	if n.Queue = 1; func() bool { _, ok := (truth{&instance{w: w}}).Ends(n.Name, 3*ms); return ok }() {
		t.Error("a full queue takes more")
	}
}

// asker refuses everything, and asks for the truth each time.
type asker struct {
	truth Truth
	ask   func(time.Duration, Truth)
}

func (a *asker) Tell(t Truth) { a.truth = t }

func (a *asker) Handle(now time.Duration, e balancer.Event, acts []balancer.Action) []balancer.Action {
	if r, ok := e.(balancer.Request); ok {
		a.ask(now, a.truth)
		acts = append(acts, balancer.Action{Kind: balancer.Reject, ID: r.ID})
	}
	return acts
}
