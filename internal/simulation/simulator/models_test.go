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

// recorder picks nodes in turn with a timeout of one second per attempt. It records the results of attempts and passes
// all events to observe.
type recorder struct {
	roundRobin
	results *[]string
	observe func(now time.Duration, e balancer.Event)
}

func (p *recorder) Handle(now time.Duration, e balancer.Event, actions []balancer.Action) []balancer.Action {
	if p.observe != nil {
		p.observe(now-clockOffset, e)
	}
	if o, ok := e.(balancer.Outcome); ok && p.results != nil {
		*p.results = append(*p.results, resultNames[o.Result])
	}
	actions = p.roundRobin.Handle(now, e, actions)
	for i := range actions {
		actions[i].Timeout = time.Second
	}
	return actions
}

var resultNames = map[balancer.Result]string{
	balancer.OK:            "OK",
	balancer.Timeout:       "Timeout",
	balancer.ConnectFailed: "ConnectFailed",
	balancer.Reset:         "Reset",
}

// newRecorder returns the constructor of a recorder for one node.
func newRecorder(results *[]string, observe func(now time.Duration, e balancer.Event)) NewPolicy {
	return func(balancer.Settings, int, uint64) (Policy, error) {
		return &recorder{roundRobin{nodes: 1}, results, observe}, nil
	}
}

// mean returns the mean latency of a result in milliseconds, as computed from its quantiles.
func mean(r *Result) (sum float64) {
	at := Quantiles()
	for i := 1; i < len(at); i++ {
		sum += (r.Quantiles[i-1] + r.Quantiles[i]) / 2 * (at[i] - at[i-1]) / 100
	}
	return sum
}

// Requests must wait for the host's processor as in an M/D/1 queue whose server is the instance's share of a core. This
// wait must not be part of the latency that the balancer is told (Outcome.Elapsed). With 1.6 times the load that the
// processor can serve, at least a quarter of the requests must get no answer before their deadline.
func TestHostAgainstClosedForm(t *testing.T) {
	const cost, cores, rho = 4 * ms, 0.5, 0.8
	cfg := queueOnlyConfig(1, 1000, 0, rho*cores/cost.Seconds(), Work{"fixed", ms, 0}, 1000*time.Second)
	cfg.Host = Host{Cores: cores, RequestCost: cost}
	service := cost.Seconds() / cores * 1000
	r, err := Run(cfg, newRecorder(nil, nil), 1)
	want := service*(1+rho/(2*(1-rho))) + 1
	if err != nil || math.Abs(mean(r)-want) > 0.06*want || math.Abs(r.MaxProcessorUse-rho) > 0.02 {
		t.Errorf("mean latency %.2f ms, want %.2f; processor use %.3f, want %.3f; error %v, want none",
			mean(r), want, r.MaxProcessorUse, rho, err)
	}
	cfg.Clients.Rate *= 2
	cfg.Duration, cfg.Classes[0].Deadline = 20*time.Second, time.Second
	slowest := time.Duration(0)
	r, err = Run(cfg, newRecorder(nil, func(_ time.Duration, e balancer.Event) {
		if o, ok := e.(balancer.Outcome); ok {
			slowest = max(slowest, o.Elapsed)
		}
	}), 1)
	if err != nil || r.Unanswered < r.Requests/4 || r.ViolationCount > 0 || slowest > 10*ms {
		t.Errorf("%d of %d requests unanswered, want at least a quarter; %d violations, want 0; "+
			"the slowest attempt took %v, want at most 10ms; error %v, want none",
			r.Unanswered, r.Requests, r.ViolationCount, slowest, err)
	}
}

// A node vanishes without closing its connections, or its connections become half open, so that requests on them get no
// answer. Attempts on these connections must fail. Attempts on a new connection to a running node must not.
func TestUnresponsiveConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		// faults has the kinds of the faults, of which the first happens at 20 s. The second one happens at 40 s or,
		// with the suffix "-soon", immediately after the first. After "mux", attempts are multiplexed.
		faults string
		// want has the results of the attempts. A star after a result stands for several of them in a row.
		want string
	}{
		{"half open", "halfopen", "OK* Timeout OK*"},
		{"no fault", "", "OK*"},
		{"vanished and restarted", "vanish restart", "OK* Timeout ConnectFailed* OK*"},
		{"vanished and restarted before the next request", "vanish restart-soon", "OK* Reset OK*"},
		{"crashed and restarted", "crash restart", "OK* ConnectFailed* OK*"},
		{"half open, multiplexed", "mux halfopen", "OK* Timeout*"},
	} {
		cfg := queueOnlyConfig(1, 1, 10, 0.5, Work{"fixed", ms, 0}, 60*time.Second)
		cfg.Network.SameZoneLatency, cfg.Network.ConnectTimeout = ms, 100*ms
		faults, multiplexed := strings.CutPrefix(c.faults, "mux ")
		cfg.Network.Multiplexed = multiplexed
		for i, f := range strings.Fields(faults) {
			f, soon := strings.CutSuffix(f, "-soon")
			at := 20*time.Second + time.Duration(i)*20*time.Second
			if soon {
				at = 20*time.Second + 1
			}
			cfg.Faults = append(cfg.Faults, Fault{At: at, Kind: FaultKind(f), Node: "n0"})
		}
		var results []string
		if _, err := Run(cfg, newRecorder(&results, nil), 4); err != nil {
			t.Fatal(err)
		}
		var compressed []string
		for _, kind := range results {
			switch n := len(compressed) - 1; {
			case n < 0 || strings.TrimSuffix(compressed[n], "*") != kind:
				compressed = append(compressed, kind)
			case !strings.HasSuffix(compressed[n], "*"):
				compressed[n] += "*"
			}
		}
		if got := strings.Join(compressed, " "); got != c.want {
			t.Errorf("%s: results of the attempts %q, want %q", c.name, got, c.want)
		}
	}
}

// Endpoint updates must arrive in order unless Reorder is set, and the instances' clocks must differ from the nodes' by
// at most ClockSkew.
func TestEndpointUpdateOrderAndClockSkew(t *testing.T) {
	for _, reorder := range []bool{false, true} {
		cfg := queueOnlyConfig(2, 1, 10, 1, Work{"fixed", ms, 0}, 30*time.Second)
		cfg.EndpointUpdates = EndpointUpdates{MaxDelay: 2 * time.Second, Reorder: reorder}
		cfg.Clients.Instances, cfg.Clients.ClockSkew = 8, 2*time.Second
		cfg.Rules.WarmUp = time.Second
		cfg.Faults = []Fault{
			{At: time.Second, Kind: "flap", Node: "n1", Duration: 20 * time.Second, Interval: 300 * ms},
			{At: 25 * time.Second, Kind: "restart", Node: "n0"},
		}
		var startTimes []time.Duration
		repeats := 0
		_, err := Run(cfg, func(balancer.Settings, int, uint64) (Policy, error) {
			last := balancer.Active
			return &recorder{roundRobin{nodes: 2}, nil, func(_ time.Duration, e balancer.Event) {
				m, ok := e.(balancer.EndpointUpdate)
				if !ok || m.Kind != balancer.Delta {
					return
				}
				switch m.Endpoints[0].ID {
				case "n0":
					startTimes = append(startTimes, m.Endpoints[0].StartedAt-clockOffset-25*time.Second)
				case "n1":
					if m.Endpoints[0].State == last {
						repeats++
					}
					last = m.Endpoints[0].State
				}
			}}, nil
		}, 3)
		if err != nil || (repeats > 8) != reorder { // the last update may repeat the state, once at each instance
			t.Errorf("reorder %v: %d updates repeated the state, want more than 8 with reorder and at most 8 without; "+
				"error %v, want none", reorder, repeats, err)
		}
		slices.Sort(startTimes)
		if len(startTimes) != 8 || startTimes[0] < -2*time.Second || startTimes[7] > 2*time.Second ||
			startTimes[7]-startTimes[0] < time.Second {
			t.Errorf("reorder %v: start times differ from the node's clock by %v, want 8 values from -2s to 2s "+
				"that span at least 1s", reorder, startTimes)
		}
	}
}

// Clocks differ by up to two seconds, instances stall and have a twentieth of a core, and connections become half open,
// so that start times are wrong and timers and outcomes late. The real balancer must still violate no rule.
func TestNoViolationsWithSkewAndDelays(t *testing.T) {
	for seed := range uint64(3) {
		c := EveryFaultConfig(5, 200)
		c.Clients.ClockSkew, c.Clients.SessionLength, c.Clients.ThinkTime = 2*time.Second, 4, time.Second
		c.Faults = append(c.Faults, Fault{At: 3 * time.Second, Kind: "halfopen", Share: 0.5})
		c.Host = Host{
			Cores:       0.05,
			RequestCost: 300 * time.Microsecond,
			AttemptCost: 300 * time.Microsecond,
			ConnectCost: 200 * time.Microsecond,
		}
		r, err := Run(c, newBalancer, seed)
		if err != nil || r.ViolationCount > 0 || r.Service < 0.4 {
			t.Errorf("seed %d: service %.3f, want at least 0.4; violations %q, want none; error %v, want none",
				seed, r.Service, r.Violations, err)
		}
	}
}

// The requests of all sessions must add up to the configured rate, and recorded requests must arrive at their recorded
// times.
func TestSessionsAndRecordedTraffic(t *testing.T) {
	cfg := queueOnlyConfig(1, 100, 0, 20, Work{"fixed", 100 * ms, 0}, 500*time.Second)
	cfg.Clients.SessionLength, cfg.Clients.ThinkTime = 5, 200*ms
	arrived := 0
	r, err := Run(cfg, newRecorder(nil, func(_ time.Duration, e balancer.Event) {
		if _, ok := e.(balancer.Request); ok {
			arrived++
		}
	}), 2)
	if err != nil || math.Abs(float64(r.Requests)/10000-1) > 0.05 || arrived != r.Requests {
		t.Errorf("%d requests, want about 10000; %d of them reached the policy, want all; error %v, want none",
			r.Requests, arrived, err)
	}
	cfg.Clients.Recorded = []RecordedRequest{
		{At: ms, Class: "c", Work: 5 * ms},
		{At: 30 * ms, Class: "c", Work: 50 * ms, ExpectedWork: ms, AffinityKey: 7},
		{At: 30 * ms, Class: "c", Work: ms},
	}
	var log []string
	_, err = Run(cfg, newRecorder(nil, func(now time.Duration, e balancer.Event) {
		switch e := e.(type) {
		case balancer.Request:
			log = append(log, fmt.Sprint(now, " ", e.AffinityKey, " ", e.ExpectedWork))
		case balancer.Outcome:
			log = append(log, fmt.Sprint(now, " done"))
		}
	}), 2)
	want := []string{"1ms  0s", "6ms done", "30ms 7 1ms", "30ms  0s", "31ms done", "80ms done"}
	if err != nil || !slices.Equal(log, want) {
		t.Errorf("events of the recorded requests are %q, want %q; error %v, want none", log, want, err)
	}
	for _, bad := range [][]RecordedRequest{
		{{Class: "none"}},
		{{At: 2, Class: "c"}, {At: 1, Class: "c"}},
		{{At: -1, Class: "c"}},
	} {
		cfg.Clients.Recorded = bad
		if cfg.Validate() == nil {
			t.Errorf("Validate accepted the recorded requests %v, want an error", bad)
		}
	}
}

// Requests arrive at three times the nodes' capacity. If retries or timers accumulated, memory would grow with the
// length of the overload. The number of scheduled events must not depend on that length.
func TestScheduledEventsBoundedInOverload(t *testing.T) {
	maxQueuedEvents := func(length time.Duration) int {
		c := EveryFaultConfig(5, 1)
		c.Faults, c.Duration = nil, length
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
		r, err := Run(c, newBalancer, 1)
		if err != nil || r.ViolationCount > 0 {
			t.Fatalf("Run: error %v, want none; violations %q, want none", err, r.Violations)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		t.Logf("%v at three times the capacity: %d requests, %.2f calls each, at most %d events scheduled, "+
			"heap %.1f to %.1f MB", length, r.Requests, r.CallsPerRequest, r.MaxQueuedEvents,
			float64(before.HeapAlloc)/1e6, float64(after.HeapAlloc)/1e6)
		return r.MaxQueuedEvents
	}
	short, long := maxQueuedEvents(15*time.Second), maxQueuedEvents(time.Minute)
	if float64(long) > 1.3*float64(short) {
		t.Errorf("at most %d events scheduled at the same time in 1m of overload, want at most 1.3 times the %d in 15s",
			long, short)
	}
}

// A connection is reset in place of an answer. If attempts are multiplexed, all attempts of the instance on that
// connection must end with a reset.
func TestResetOfMultiplexedConnection(t *testing.T) {
	for _, c := range []struct {
		multiplexed bool
		resets      int
	}{{false, 1}, {true, 3}} {
		cfg := queueOnlyConfig(1, 1, 10, 1, Work{"fixed", 10 * ms, 0}, 20*time.Second)
		cfg.Network.SameZoneLatency, cfg.Network.Multiplexed = ms, c.multiplexed
		for _, at := range []time.Duration{0, 1000, 1000, 1000} {
			cfg.Clients.Recorded = append(cfg.Clients.Recorded, RecordedRequest{At: at * ms, Class: "c", Work: 10 * ms})
		}
		cfg.Faults = []Fault{{At: 500 * ms, Kind: "reset", Node: "n0", Factor: 1, Duration: 513 * ms}}
		var log []string
		r, err := Run(cfg, newRecorder(&log, nil), 1)
		if got := strings.Count(strings.Join(log, " "), "Reset"); err != nil || got != c.resets || len(log) != 4 ||
			r.MaxConnections > 4 {
			t.Errorf("multiplexed %v: results %v, want 4 with %d resets; %d connections, want at most 4; "+
				"error %v, want none", c.multiplexed, log, c.resets, r.MaxConnections, err)
		}
	}
}

// With a processor quota, an instance must run on a whole core until the quota of a period is used up, and must then
// wait for the next period.
func TestHostWithQuota(t *testing.T) {
	cfg := queueOnlyConfig(1, 1000, 0, 1, Work{"fixed", ms, 0}, time.Second)
	cfg.Host = Host{Cores: 0.28, QuotaPeriod: 100 * ms, RequestCost: 10 * ms}
	for _, at := range []time.Duration{10, 10, 10, 10, 250} {
		cfg.Clients.Recorded = append(cfg.Clients.Recorded, RecordedRequest{At: at * ms, Class: "c", Work: ms})
	}
	var read []time.Duration
	r, err := Run(cfg, newRecorder(nil, func(now time.Duration, e balancer.Event) {
		if _, ok := e.(balancer.Request); ok {
			read = append(read, now)
		}
	}), 1)
	want := []time.Duration{20 * ms, 30 * ms, 102 * ms, 112 * ms, 260 * ms}
	if err != nil || !slices.Equal(read, want) || r.MaxProcessorUse <= 0 {
		t.Errorf("requests read at %v, want %v; processor use %v, want more than 0; error %v, want none",
			read, want, r.MaxProcessorUse, err)
	}
}
