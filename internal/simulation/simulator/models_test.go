package simulator

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
)

// noted takes nodes in turn, waits a second for each attempt, and notes what it is told.
type noted struct {
	inTurn
	log  *[]string
	seen func(now time.Duration, e balancer.Event)
}

func (p *noted) Handle(now time.Duration, e balancer.Event, acts []balancer.Action) []balancer.Action {
	if p.seen != nil {
		p.seen(now-past, e)
	}
	if o, ok := e.(balancer.Outcome); ok && p.log != nil {
		*p.log = append(*p.log, resultNames[o.Result])
	}
	acts = p.inTurn.Handle(now, e, acts)
	for i := range acts {
		acts[i].Timeout = time.Second
	}
	return acts
}

var resultNames = map[balancer.Result]string{balancer.OK: "OK", balancer.Timeout: "Timeout", balancer.ConnectFailed: "ConnectFailed", balancer.Reset: "Reset"}

func noting(nodes int, log *[]string, seen func(now time.Duration, e balancer.Event)) NewPolicy {
	return func(balancer.Settings, int, uint64) (Policy, error) {
		return &noted{inTurn{nodes: nodes}, log, seen}, nil
	}
}

// mean is that of the latencies whose quantiles a result has, in ms.
func mean(r *Result) (sum float64) {
	at := Quantiles()
	for i := 1; i < len(at); i++ {
		sum += (r.Quantiles[i-1] + r.Quantiles[i]) / 2 * (at[i] - at[i-1]) / 100
	}
	return sum
}

// A host's processor is a queue: M/D/1 on a share of a core. What waits in it is not in what the instance measures, and
// more than it can do leaves clients without an answer.
func TestHostAgainstClosedForm(t *testing.T) {
	const cost, cores, rho = 4 * ms, 0.5, 0.8
	cfg := plain(1, 1000, 0, rho*cores/cost.Seconds(), Work{"fixed", ms, 0}, 1000*time.Second)
	cfg.Host = Host{Cores: cores, Request: cost}
	service := cost.Seconds() / cores * 1000
	r, err := Run(cfg, noting(1, nil, nil), 1)
	want := service*(1+rho/(2*(1-rho))) + 1
	if err != nil || math.Abs(mean(r)-want) > 0.06*want || math.Abs(r.Host-rho) > 0.02 {
		t.Errorf("mean %.2f ms, want %.2f; it used %.3f of its processor, %v", mean(r), want, r.Host, err)
	}
	cfg.Clients.Rate *= 2
	cfg.Length, cfg.Classes[0].Deadline = 20*time.Second, time.Second
	slow := time.Duration(0)
	r, err = Run(cfg, noting(1, nil, func(_ time.Duration, e balancer.Event) {
		if o, ok := e.(balancer.Outcome); ok {
			slow = max(slow, o.Elapsed)
		}
	}), 1)
	if err != nil || r.Unanswered < r.Asked/4 || r.Breaks > 0 || slow > 10*ms {
		t.Errorf("%d of %d without an answer, %d breaks, an attempt took %v, %v", r.Unanswered, r.Asked, r.Breaks, slow, err)
	}
}

// Open connections that break unseen cost the attempts that are written to them, and no others.
func TestConnectionsThatSayNothing(t *testing.T) {
	for _, c := range []struct{ name, faults, want string }{
		{"half open", "halfopen", "OK* Timeout OK*"},
		{"half open, none", "", "OK*"},
		{"vanished, and back", "vanish restart", "OK* Timeout ConnectFailed* OK*"},
		{"vanished, and back before anything was written", "vanish restart-soon", "OK* Reset OK*"},
		{"crashed, and back", "crash restart", "OK* ConnectFailed* OK*"},
		{"half open, one for all", "mux halfopen", "OK* Timeout*"},
	} {
		cfg := plain(1, 1, 10, 0.5, Work{"fixed", ms, 0}, 60*time.Second)
		cfg.Network.Same, cfg.Network.ConnectTimeout = ms, 100*ms
		faults, mux := strings.CutPrefix(c.faults, "mux ")
		cfg.Network.Multiplexed = mux
		for i, f := range strings.Fields(faults) {
			f, soon := strings.CutSuffix(f, "-soon")
			at := 20*time.Second + time.Duration(i)*20*time.Second
			if soon {
				at = 20*time.Second + 1
			}
			cfg.Faults = append(cfg.Faults, Fault{At: at, What: f, Node: "n0"})
		}
		var log []string
		if _, err := Run(cfg, noting(1, &log, nil), 4); err != nil {
			t.Fatal(err)
		}
		var short []string
		for _, kind := range log {
			switch n := len(short) - 1; {
			case n < 0 || strings.TrimSuffix(short[n], "*") != kind:
				short = append(short, kind)
			case !strings.HasSuffix(short[n], "*"):
				short[n] += "*"
			}
		}
		if got := strings.Join(short, " "); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// News comes in order unless it may overtake, and clocks differ by what they may.
func TestListsAndClocks(t *testing.T) {
	for _, reorder := range []bool{false, true} {
		cfg := plain(2, 1, 10, 1, Work{"fixed", ms, 0}, 30*time.Second)
		cfg.List = List{Most: 2 * time.Second, Reorder: reorder}
		cfg.Clients.Instances, cfg.Clients.Skew = 8, 2*time.Second
		cfg.Rules.WarmUp = time.Second
		cfg.Faults = []Fault{{At: time.Second, What: "flap", Node: "n1", For: 20 * time.Second, Every: 300 * ms}, {At: 25 * time.Second, What: "restart", Node: "n0"}}
		var came []time.Duration
		again := 0
		_, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) {
			last := balancer.Active
			return &noted{inTurn{nodes: 2}, nil, func(_ time.Duration, e balancer.Event) {
				m, ok := e.(balancer.EndpointUpdate)
				if !ok || m.Kind != balancer.Delta {
					return
				}
				switch m.Endpoints[0].ID {
				case "n0":
					came = append(came, m.Endpoints[0].StartedAt-past-25*time.Second)
				case "n1":
					if m.Endpoints[0].State == last {
						again++
					}
					last = m.Endpoints[0].State
				}
			}}, nil
		}, 3)
		if err != nil || (again > 8) != reorder { // the last of all may say the same again, once to each
			t.Errorf("reorder %v: the same state again %d times, %v", reorder, again, err)
		}
		if slices.Sort(came); len(came) != 8 || came[0] < -2*time.Second || came[7] > 2*time.Second || came[7]-came[0] < time.Second {
			t.Errorf("clocks differ by %v", came)
		}
	}
}

// The real module keeps its rules where clocks differ by two seconds and hosts stand still, and with half-open
// connections and little of a processor as well.
func TestRulesOfTheModule(t *testing.T) {
	for seed := range uint64(3) {
		c := Trouble(5, 200)
		c.Clients.Skew, c.Clients.Session, c.Clients.Think = 2*time.Second, 4, time.Second
		c.Faults = append(c.Faults, Fault{At: 3 * time.Second, What: "halfopen", Share: 0.5})
		c.Host = Host{Cores: 0.05, Request: 300 * time.Microsecond, Attempt: 300 * time.Microsecond, Connect: 200 * time.Microsecond}
		r, err := Run(c, hazelwing, seed)
		if err != nil || r.Breaks > 0 || r.Service < 0.4 {
			t.Errorf("seed %d: service %.3f, %q, %v", seed, r.Service, r.Broken, err)
		}
	}
}

// Sessions ask one thing after the other at the rate that is asked for, and recorded traffic comes when it did.
func TestSessionsAndRecordedTraffic(t *testing.T) {
	cfg := plain(1, 100, 0, 20, Work{"fixed", 100 * ms, 0}, 500*time.Second)
	cfg.Clients.Session, cfg.Clients.Think = 5, 200*ms
	open, most, came := 0, 0, 0
	r, err := Run(cfg, noting(1, nil, func(_ time.Duration, e balancer.Event) {
		switch e.(type) {
		case balancer.Request:
			came++
			open++
		case balancer.Outcome:
			open--
		}
		most = max(most, open)
	}), 2)
	if err != nil || math.Abs(float64(r.Asked)/10000-1) > 0.05 || came != r.Asked {
		t.Errorf("%d requests, want about 10000; %v", r.Asked, err)
	}
	cfg.Clients.Recorded = []Recorded{{At: ms, Class: "c", Work: 5 * ms}, {At: 30 * ms, Class: "c", Work: 50 * ms, Hint: ms, Key: 7}, {At: 30 * ms, Class: "c", Work: ms}}
	var log []string
	_, err = Run(cfg, noting(1, nil, func(now time.Duration, e balancer.Event) {
		switch e := e.(type) {
		case balancer.Request:
			log = append(log, fmt.Sprint(now, " ", e.AffinityKey, " ", e.ExpectedWork))
		case balancer.Outcome:
			log = append(log, fmt.Sprint(now, " done"))
		}
	}), 2)
	if got, want := strings.Join(log, ", "), "1ms  0s, 6ms done, 30ms 7 1ms, 30ms  0s, 31ms done, 80ms done"; err != nil || got != want {
		t.Errorf("%s, want %s; %v", got, want, err)
	}
	for _, bad := range [][]Recorded{{{Class: "none"}}, {{At: 2, Class: "c"}, {At: 1, Class: "c"}}, {{At: -1, Class: "c"}}} {
		cfg.Clients.Recorded = bad
		if cfg.Check() == nil {
			t.Errorf("taken: %v", bad)
		}
	}
}

// Three times what the nodes can do: what waits to happen does not grow with the time that it lasts.
func TestOverloadStaysBounded(t *testing.T) {
	waiting := func(length time.Duration) int {
		c := Trouble(5, 1)
		c.Faults, c.Length = nil, length
		capacity, work := 0.0, 0.0
		for _, n := range c.Nodes {
			capacity += n.Speed
		}
		for _, k := range c.Classes {
			work += k.Share * k.Work.Mean.Seconds()
		}
		c.Clients.Rate = 3 * capacity / work
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, err := Run(c, hazelwing, 1)
		if err != nil || r.Breaks > 0 {
			t.Fatal(err, r.Broken)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		t.Logf("%v at three times what can be done: %d requests, %.2f tries each, at most %d events to come, heap %.1f to %.1f MB", length, r.Asked, r.Tries, r.Waiting,
			float64(before.HeapAlloc)/1e6, float64(after.HeapAlloc)/1e6)
		return r.Waiting
	}
	if short, long := waiting(15*time.Second), waiting(time.Minute); float64(long) > 1.3*float64(short) {
		t.Errorf("at most %d events to come in a minute, %d in a quarter of it", long, short)
	}
}

// Where all share a connection, one answer that breaks it breaks what else is on it, of that instance alone.
func TestOneConnectionForAll(t *testing.T) {
	for _, c := range []struct {
		mux    bool
		resets int
	}{{false, 1}, {true, 3}} {
		cfg := plain(1, 1, 10, 1, Work{"fixed", 10 * ms, 0}, 20*time.Second)
		cfg.Network.Same, cfg.Network.Multiplexed = ms, c.mux
		for _, at := range []time.Duration{0, 1000, 1000, 1000} {
			cfg.Clients.Recorded = append(cfg.Clients.Recorded, Recorded{At: at * ms, Class: "c", Work: 10 * ms})
		}
		cfg.Faults = []Fault{{At: 500 * ms, What: "reset", Node: "n0", Times: 1, For: 513 * ms}}
		var log []string
		r, err := Run(cfg, noting(1, &log, nil), 1)
		if got := strings.Count(strings.Join(log, " "), "Reset"); err != nil || got != c.resets || len(log) != 4 || r.Conns > 4 {
			t.Errorf("multiplexed %v: %v, %d connections, %v", c.mux, log, r.Conns, err)
		}
	}
}

// A quota by periods is a whole core until it is used up, and none until the next period begins.
func TestHostWithQuota(t *testing.T) {
	cfg := plain(1, 1000, 0, 1, Work{"fixed", ms, 0}, time.Second)
	cfg.Host = Host{Cores: 0.28, Period: 100 * ms, Request: 10 * ms}
	for _, at := range []time.Duration{10, 10, 10, 10, 250} {
		cfg.Clients.Recorded = append(cfg.Clients.Recorded, Recorded{At: at * ms, Class: "c", Work: ms})
	}
	var read []time.Duration
	r, err := Run(cfg, noting(1, nil, func(now time.Duration, e balancer.Event) {
		if _, ok := e.(balancer.Request); ok {
			read = append(read, now)
		}
	}), 1)
	if want := []time.Duration{20 * ms, 30 * ms, 102 * ms, 112 * ms, 260 * ms}; err != nil || !slices.Equal(read, want) || r.Host <= 0 {
		t.Errorf("read at %v, want %v; %v", read, want, err)
	}
}
