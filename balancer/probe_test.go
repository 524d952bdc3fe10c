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

// reportLoad reports a probe of the endpoint that took 1 ms and returned a number of requests in flight.
func (h *harness) reportLoad(endpoint string, inFlight float64) []Action {
	load := LoadReport{Reported: true, InFlight: inFlight}
	return h.handle(ProbeResult{Endpoint: endpoint, Elapsed: ms, Load: load})
}

// Where each of many sidecars sends an endpoint little, a sidecar's own outstanding attempts say nothing about its
// load: both endpoints of the pair are probed for theirs, and the request waits for the results.
func TestPairIsProbedForItsLoad(t *testing.T) {
	for i := range 20 {
		h := newHarness(t, probeSettings())
		h.addEndpoints(6)
		probes := actionsOfKind(h.request(fmt.Sprint("q", i), "c", time.Second), Probe)
		if len(probes) != 2 || probes[0].Endpoint == probes[1].Endpoint {
			t.Fatalf("want two endpoints probed, got %+v", probes)
		}
		h.now += ms
		h.wantNoAttemptOrAnswer(h.reportLoad(probes[0].Endpoint, 3))
		got := h.wantSend(h.reportLoad(probes[1].Endpoint, 2))
		if got != probes[1].Endpoint {
			t.Errorf("sent to %s, which has more in flight", got)
		}
	}
}

// An endpoint that is paused or gone does not answer a probe. The request would wait for it. After a short wait
// the endpoint that answered must get the request, and where neither does the request must be sent without load
// reports.
func TestUnansweredProbesDoNotDelayRequests(t *testing.T) {
	for _, answers := range []int{0, 1} {
		h := newHarness(t, probeSettings())
		h.addEndpoints(6)
		probes := actionsOfKind(h.request("q", "c", time.Second), Probe)
		for _, probe := range probes[:answers] {
			h.wantNoAttemptOrAnswer(h.reportLoad(probe.Endpoint, 9))
		}
		got := h.wantSend(h.advance(50 * ms))
		if answers == 1 && got != probes[0].Endpoint {
			t.Errorf("sent to %s, not to the one that answered", got)
		}
	}
}

// Probe results come that are invalid, failed or not asked for. Taken for a load they would draw all requests
// to an endpoint, or keep them away. They must be ignored, and the request must be sent without them.
func TestInvalidProbeResultsAreIgnored(t *testing.T) {
	for name, result := range map[string]ProbeResult{
		"not a number": {Load: LoadReport{Reported: true, InFlight: math.NaN()}},
		"negative":     {Load: LoadReport{Reported: true, InFlight: -1}},
		"infinite":     {Load: LoadReport{Reported: true, InFlight: math.Inf(1)}},
		"no report":    {},
		"failed":       {Result: ConnectFailed, Load: LoadReport{Reported: true}},
	} {
		h := newHarness(t, probeSettings())
		h.addEndpoints(2)
		h.handle(ProbeResult{Endpoint: "nobody"})
		h.handle(ProbeResult{Endpoint: "u0", Load: LoadReport{Reported: true, InFlight: 5}}) // never probed
		probes := actionsOfKind(h.request("q", "c", time.Second), Probe)
		var actions []Action
		for _, probe := range probes {
			result.Endpoint, result.Elapsed = probe.Endpoint, ms
			actions = append(actions, h.handle(result)...)
		}
		h.wantSend(actions)
		for _, ep := range h.b.endpoints {
			if ep.reportedAt != 0 {
				t.Errorf("%s: %s counts as reported", name, ep.id)
			}
		}
	}
}

// Pairs are probed only where probes are allowed, report load, cost little and are answered fast.
func TestConditionsForProbingPairs(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"not allowed": func(s *Settings) { s.Probes = false },
		"no report":   func(s *Settings) { s.ProbesReportLoad = false },
		"expensive":   func(s *Settings) { s.PriceProbe = 0.01 },
	} {
		s := probeSettings()
		change(&s)
		h := newHarness(t, s)
		h.addEndpoints(6)
		if probes := actionsOfKind(h.request("q", "c", time.Second), Probe); len(probes) > 0 {
			t.Errorf("%s: probed %+v", name, probes)
		}
	}
	s := probeSettings()
	s.PriceProbe, s.Balancers = 0.01, 1000 // each of a thousand sidecars sees so little that probes pay off
	h := newHarness(t, s)
	h.addEndpoints(6)
	if probes := actionsOfKind(h.request("q", "c", time.Second), Probe); len(probes) != 2 {
		t.Errorf("among many sidecars: probed %+v", probes)
	}
	h = newHarness(t, probeSettings())
	h.addEndpoints(6)
	total := 0
	for i := range 200 { // probes that take as long as requests
		probes := actionsOfKind(h.request(fmt.Sprint(i), "c", time.Second), Probe)
		total += len(probes)
		for _, probe := range probes {
			load := LoadReport{Reported: true}
			h.handle(ProbeResult{Endpoint: probe.Endpoint, Elapsed: 100 * ms, Load: load})
		}
	}
	if total > 100 {
		t.Errorf("%d probes for 200 requests although they are slow", total)
	}
}

// A reported load counts what all sidecars sent, a sidecar's own count does not. Endpoints without a report are
// therefore taken to have the mean of those with one; otherwise any pair that was probed would lose to one of another
// zone that was not.
func TestEndpointsWithoutReportHaveTheMeanLoad(t *testing.T) {
	s := probeSettings()
	s.PriceCrossZone = 0.1
	h := newHarness(t, s)
	h.updateEndpoints(CompleteList,
		Endpoint{ID: "n1", Zone: "a"},
		Endpoint{ID: "n2", Zone: "a"},
		Endpoint{ID: "f1", Zone: "b"},
		Endpoint{ID: "f2", Zone: "b"},
	)
	for i := range 100 {
		var actions []Action
		for _, probe := range actionsOfKind(h.request(fmt.Sprint(i), "c", time.Second), Probe) {
			if probe.Endpoint[0] != 'n' {
				t.Fatal("probed across zones")
			}
			actions = append(actions, h.reportLoad(probe.Endpoint, 4)...)
		}
		if endpoint := h.wantSend(actions); i > 80 && endpoint[0] != 'n' {
			t.Fatalf("request %d was sent across zones to %s", i, endpoint)
		}
		h.now += 20 * ms
		h.reportOutcome(fmt.Sprint(i), 0, OK, 20*ms)
	}
}

// requestWithLoad sends a request and answers all its probes with the same number of requests in flight. It returns the
// number of probes and the actions after the last of them.
func (h *harness) requestWithLoad(id string, inFlight float64) (probes int, actions []Action) {
	actions = h.request(id, "c", time.Second)
	for {
		pair := actionsOfKind(actions, Probe)
		if len(pair) == 0 {
			return probes, actions
		}
		probes += len(pair)
		actions = nil
		for _, probe := range pair {
			actions = append(actions, h.reportLoad(probe.Endpoint, inFlight)...)
		}
	}
}

// Probes show that both endpoints of a pair have so much to do that an attempt would miss its objective, where
// a count of two requests in flight is chance. Work that ends late would crowd out work in time. Further pairs
// must be probed and then the request rejected unsent; a short queue must be used.
func TestOverloadedPairGetsNoRequest(t *testing.T) {
	h := newHarness(t, probeSettings())
	h.addEndpoints(8)
	for i := range 40 { // 20 ms for each request in flight
		id := fmt.Sprint("a", i)
		_, actions := h.requestWithLoad(id, 1)
		h.wantSend(actions)
		h.now += 40 * ms
		h.reportOutcome(id, 0, OK, 40*ms)
	}
	probes, actions := h.requestWithLoad("full", 30) // 600 ms, with an objective of 200 ms
	h.wantAnswer(actions, Reject)
	if probes != 2*maxProbedPairs {
		t.Errorf("%d probes before the rejection, want four pairs", probes)
	}
	_, actions = h.requestWithLoad("fits", 4)
	h.wantSend(actions)
}

// One endpoint of a probed pair restarts and drains while the request waits for the other one's probe. The pair
// would bring the draining endpoint back. What was learned under the former start time must be void, and the
// request must go to the other one.
func TestProbedPairFollowsTheEndpointList(t *testing.T) {
	h := newHarness(t, probeSettings())
	h.updateEndpoints(CompleteList, Endpoint{ID: "u0", Zone: "a"}, Endpoint{ID: "u1", Zone: "a"})
	for i := range 10 {
		id := fmt.Sprint(i)
		h.request(id, "c", time.Second)
		h.reportLoad("u0", 0)
		h.updateEndpoints(Delta, Endpoint{ID: "u0", Zone: "a", StartedAt: h.now + time.Duration(i)})
		h.updateEndpoints(Delta, Endpoint{ID: "u0", State: Draining})
		for _, a := range actionsOfKind(h.advance(100*ms), Send) {
			if a.Endpoint != "u1" {
				t.Fatalf("sent to %s, which is draining", a.Endpoint)
			}
		}
		h.reportOutcome(id, 0, OK, 20*ms)
		h.updateEndpoints(Delta, Endpoint{ID: "u0", Zone: "a"})
	}
}

// A pair has reported with what its endpoints reported since it was drawn. An older report does not count, and an
// endpoint that failed to report is no longer waited for.
func TestProbedPairCountsReportsSinceItWasDrawn(t *testing.T) {
	const drawnAt = time.Minute
	one := &endpoint{reportedAt: drawnAt - ms, inFlight: 1}
	two := &endpoint{}
	p := probedPair{endpoints: [2]*endpoint{one, two}, drawnAt: drawnAt}
	if !p.awaitsReport() || !math.IsInf(p.minInFlight(), 1) {
		t.Errorf("an old report counts: waits %v, in flight %v", p.awaitsReport(), p.minInFlight())
	}
	two.reportedAt, two.inFlight = drawnAt, 7
	if !p.awaitsReport() || p.minInFlight() != 7 {
		t.Errorf("one report: waits %v, in flight %v", p.awaitsReport(), p.minInFlight())
	}
	one.reportFailedAt = drawnAt + ms
	if p.awaitsReport() || p.minInFlight() != 7 {
		t.Errorf("one report and one failure: waits %v, in flight %v", p.awaitsReport(), p.minInFlight())
	}
	one.reportedAt, one.inFlight = drawnAt+2*ms, 3
	if p.awaitsReport() || p.minInFlight() != 3 {
		t.Errorf("two reports: waits %v, in flight %v", p.awaitsReport(), p.minInFlight())
	}
	none := probedPair{}
	if none.isDrawn() || none.awaitsReport() || !math.IsInf(none.minInFlight(), 1) {
		t.Error("a pair that was not drawn counts as one")
	}
}

// Two probes may cost 2 % of service. Up to half of that they are cheap, and used by any sidecar; above, only where
// sidecars are many.
func TestProbeUseDependsOnPrice(t *testing.T) {
	for _, c := range []struct {
		price     float64
		balancers int
		wantCheap bool
		wantUsed  bool
	}{
		{price: 0, balancers: 1, wantCheap: true, wantUsed: true},
		{price: 0.005, balancers: 1, wantCheap: true, wantUsed: true},
		{price: 0.0051, balancers: smallFleet - 1},
		{price: 0.0051, balancers: smallFleet, wantUsed: true},
		{price: 0.01, balancers: smallFleet, wantUsed: true},
		{price: 0.0101, balancers: 1000},
	} {
		s := probeSettings()
		s.PriceProbe, s.Balancers = c.price, c.balancers
		b := newHarness(t, s).b
		if cheap, used := b.probesAreCheap(), b.probesBeforePick(); cheap != c.wantCheap || used != c.wantUsed {
			t.Errorf("%+v: cheap %v, used %v", c, cheap, used)
		}
	}
}

// A probe that is lost delays its request by four times the usual latency of probes and two ticks, and probes are slow
// when they take a quarter of a request's latency.
func TestProbeWait(t *testing.T) {
	p := newProbing(5 * ms)
	p.latency.value = 0.003
	if got := p.wait(5 * ms); got != 22*ms {
		t.Errorf("waits %v", got)
	}
	if p.isSlow(0.0121) || !p.isSlow(0.0119) {
		t.Errorf("slow beside 12.1 ms %v, beside 11.9 ms %v", p.isSlow(0.0121), p.isSlow(0.0119))
	}
}
