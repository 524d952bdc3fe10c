package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func probeSettings() Settings {
	s := testSettings()
	s.Probes, s.ProbesReportLoad, s.Hedging = true, true, false
	return s
}

// Own pending counts tell nothing where each of many sidecars sends an upstream little: the drawn pair is asked what
// it holds, and the request waits for that.
func TestPairIsAskedWhatItHolds(t *testing.T) {
	for i := range 20 {
		r := newRig(t, probeSettings())
		r.fleet(6)
		p := kinds(r.request(fmt.Sprint("q", i), "c", time.Second), Probe)
		if len(p) != 2 || p[0].Endpoint == p[1].Endpoint {
			t.Fatalf("want two upstreams asked, got %+v", p)
		}
		r.now += ms
		r.wantNothing(r.do(ProbeResult{Endpoint: p[0].Endpoint, Elapsed: ms, Load: LoadReport{Reported: true, InFlight: 3}}))
		got := r.wantSend(r.do(ProbeResult{Endpoint: p[1].Endpoint, Elapsed: ms, Load: LoadReport{Reported: true, InFlight: 2}}))
		if got != p[1].Endpoint {
			t.Errorf("sent to %s, which holds more", got)
		}
	}
}

// A paused or vanished upstream keeps silent: after a short wait the one that answered gets the request, and where
// both keep silent the plain design decides.
func TestSilentProbesHoldNothingUp(t *testing.T) {
	for _, answers := range []int{0, 1} {
		r := newRig(t, probeSettings())
		r.fleet(6)
		p := kinds(r.request("q", "c", time.Second), Probe)
		for _, x := range p[:answers] {
			r.wantNothing(r.do(ProbeResult{Endpoint: x.Endpoint, Elapsed: ms, Load: LoadReport{Reported: true, InFlight: 9}}))
		}
		got := r.wantSend(r.pass(50 * ms))
		if answers == 1 && got != p[0].Endpoint {
			t.Errorf("sent to %s, not to the one that answered", got)
		}
	}
}

// Nonsensical, failed and foreign probe results leave the plain design.
func TestProbeResultsThatTellNothing(t *testing.T) {
	for name, e := range map[string]ProbeResult{
		"not a number": {Load: LoadReport{Reported: true, InFlight: math.NaN()}},
		"negative":     {Load: LoadReport{Reported: true, InFlight: -1}},
		"infinite":     {Load: LoadReport{Reported: true, InFlight: math.Inf(1)}},
		"no report":    {},
		"failed":       {Result: ConnectFailed, Load: LoadReport{Reported: true}},
	} {
		r := newRig(t, probeSettings())
		r.fleet(2)
		r.do(ProbeResult{Endpoint: "nobody"})
		r.do(ProbeResult{Endpoint: "u0", Load: LoadReport{Reported: true, InFlight: 5}}) // never asked
		p := kinds(r.request("q", "c", time.Second), Probe)
		var acts []Action
		for _, x := range p {
			e.Endpoint, e.Elapsed = x.Endpoint, ms
			acts = append(acts, r.do(e)...)
		}
		r.wantSend(acts)
		for _, ep := range r.b.endpoints {
			if ep.reportedAt != 0 {
				t.Errorf("%s: %s counts as told", name, ep.id)
			}
		}
	}
}

// Probes are sent only where they are allowed, tell what is held, cost little and answer fast.
func TestWhenPairsAreNotAsked(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"not allowed": func(s *Settings) { s.Probes = false },
		"no report":   func(s *Settings) { s.ProbesReportLoad = false },
		"dear":        func(s *Settings) { s.PriceProbe = 0.01 },
	} {
		s := probeSettings()
		change(&s)
		r := newRig(t, s)
		r.fleet(6)
		if p := kinds(r.request("q", "c", time.Second), Probe); len(p) > 0 {
			t.Errorf("%s: asked %+v", name, p)
		}
	}
	s := probeSettings()
	s.PriceProbe, s.Balancers = 0.01, 1000 // a thousand sidecars see so little that it is worth it
	many := newRig(t, s)
	many.fleet(6)
	if p := kinds(many.request("q", "c", time.Second), Probe); len(p) != 2 {
		t.Errorf("among many sidecars: asked %+v", p)
	}
	r := newRig(t, probeSettings())
	r.fleet(6)
	asked := 0
	for i := range 200 { // probes that take as long as requests
		p := kinds(r.request(fmt.Sprint(i), "c", time.Second), Probe)
		asked += len(p)
		for _, x := range p {
			r.do(ProbeResult{Endpoint: x.Endpoint, Elapsed: 100 * ms, Load: LoadReport{Reported: true}})
		}
	}
	if asked > 100 {
		t.Errorf("%d probes for 200 requests although they are slow", asked)
	}
}

// What is told counts what all sidecars sent, an own count does not: upstreams that did not tell are taken to hold the
// mean of those that did, or any pair that told would lose to one across the zones that was not asked.
func TestUntoldUpstreamsHoldTheMean(t *testing.T) {
	s := probeSettings()
	s.PriceCrossZone = 0.1
	r := newRig(t, s)
	r.list(CompleteList, Endpoint{ID: "n1", Zone: "a"}, Endpoint{ID: "n2", Zone: "a"},
		Endpoint{ID: "f1", Zone: "b"}, Endpoint{ID: "f2", Zone: "b"})
	for i := range 100 {
		var acts []Action
		for _, x := range kinds(r.request(fmt.Sprint(i), "c", time.Second), Probe) {
			if x.Endpoint[0] != 'n' {
				t.Fatal("asked across zones")
			}
			acts = append(acts, r.do(ProbeResult{Endpoint: x.Endpoint, Elapsed: ms, Load: LoadReport{Reported: true, InFlight: 4}})...)
		}
		if u := r.wantSend(acts); i > 80 && u[0] != 'n' {
			t.Fatalf("request %d crossed to %s", i, u)
		}
		r.now += 20 * ms
		r.result(fmt.Sprint(i), 0, OK, 20*ms)
	}
}

// Overload seen through probes: what the pair holds tells that an attempt would end late, where a count of two
// requests in hand is chance. Further pairs are asked, then the request is refused unsent; a short queue is used.
func TestCrowdedPairIsNotSentTo(t *testing.T) {
	r := newRig(t, probeSettings())
	r.fleet(8)
	told := func(id string, held float64) (probes int, acts []Action) {
		next := r.request(id, "c", time.Second)
		for {
			p := kinds(next, Probe)
			if len(p) == 0 {
				return probes, next
			}
			probes, next = probes+len(p), nil
			for _, x := range p {
				next = append(next, r.do(ProbeResult{Endpoint: x.Endpoint, Elapsed: ms,
					Load: LoadReport{Reported: true, InFlight: held}})...)
			}
		}
	}
	for i := range 40 { // 20 ms for each one held
		id := fmt.Sprint("a", i)
		_, acts := told(id, 1)
		r.wantSend(acts)
		r.now += 40 * ms
		r.result(id, 0, OK, 40*ms)
	}
	probes, acts := told("full", 30) // 600 ms, wanted within 200 ms
	r.wantFinal(acts, Reject)
	if probes != 2*maxProbedPairs {
		t.Errorf("%d probes before the refusal, want four pairs", probes)
	}
	_, acts = told("fits", 4)
	r.wantSend(acts)
}

// A pair that was asked before an upstream of it restarted and drained must not bring it back: what is known under the
// old start is void, also to requests that wait for the other one's answer. (Found by the property test.)
func TestAskedPairFollowsTheList(t *testing.T) {
	r := newRig(t, probeSettings())
	r.list(CompleteList, Endpoint{ID: "u0", Zone: "a"}, Endpoint{ID: "u1", Zone: "a"})
	for i := range 10 {
		id := fmt.Sprint(i)
		r.request(id, "c", time.Second)
		r.do(ProbeResult{Endpoint: "u0", Elapsed: ms, Load: LoadReport{Reported: true}})
		r.list(Delta, Endpoint{ID: "u0", Zone: "a", StartedAt: r.now + time.Duration(i)})
		r.list(Delta, Endpoint{ID: "u0", State: Draining})
		for _, a := range kinds(r.pass(100*ms), Send) {
			if a.Endpoint != "u1" {
				t.Fatalf("sent to %s, which drains", a.Endpoint)
			}
		}
		r.result(id, 0, OK, 20*ms)
		r.list(Delta, Endpoint{ID: "u0", Zone: "a"})
	}
}
