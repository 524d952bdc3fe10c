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

// reportLoad reports a probe result of the endpoint after 1 ms, with a number of requests in flight.
func (h *harness) reportLoad(endpoint string, inFlight float64) []Action {
	load := LoadReport{Reported: true, InFlight: inFlight}
	return h.handle(ProbeResult{Endpoint: endpoint, Elapsed: ms, Load: load})
}

// If each of many sidecars sends an endpoint few requests, a sidecar's own outstanding attempts do not show its load.
// Both endpoints of the pair must be probed for their load, and the request must wait for the results.
func TestPairIsProbedForItsLoad(t *testing.T) {
	for i := range 20 {
		h := newHarness(t, probeSettings())
		h.addEndpoints(6)
		probes := actionsOfKind(h.request(fmt.Sprint("q", i), "c", time.Second), Probe)
		if len(probes) != 2 || probes[0].Endpoint == probes[1].Endpoint {
			t.Fatalf("want probes of two different endpoints, got %+v", probes)
		}
		h.now += ms
		h.wantNoAttemptOrAnswer(h.reportLoad(probes[0].Endpoint, 3))
		got := h.wantSend(h.reportLoad(probes[1].Endpoint, 2))
		if got != probes[1].Endpoint {
			t.Errorf("sent to %s, want %s, which reported fewer requests in flight", got, probes[1].Endpoint)
		}
	}
}

// An endpoint that is paused or has crashed does not answer a probe. The request must not wait long for it: after a
// short wait, it must be sent to the endpoint that answered or, if neither did, be sent without load reports.
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
			t.Errorf("sent to %s, want %s, which answered its probe", got, probes[0].Endpoint)
		}
	}
}

// Some probe results are invalid, failed or unsolicited. If such results counted as loads, they would draw all requests
// to an endpoint or keep all requests away from it. They must be ignored, and the request must be sent without them.
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
				t.Errorf("%s: probe result of %s was recorded as a load report, want it ignored", name, ep.id)
			}
		}
	}
}

// Pairs are probed only if probes are allowed, report the load, are cheap enough and are fast.
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
			t.Errorf("%s: want no probes, got %+v", name, probes)
		}
	}
	s := probeSettings()
	s.PriceProbe, s.Balancers = 0.01, 1000 // with 1000 sidecars, probes are worth this price
	h := newHarness(t, s)
	h.addEndpoints(6)
	if probes := actionsOfKind(h.request("q", "c", time.Second), Probe); len(probes) != 2 {
		t.Errorf("expensive probes, 1000 sidecars: want two probes, got %+v", probes)
	}
	h = newHarness(t, probeSettings())
	h.addEndpoints(6)
	total := 0
	for i := range 200 { // probes take as long as requests
		probes := actionsOfKind(h.request(fmt.Sprint(i), "c", time.Second), Probe)
		total += len(probes)
		for _, probe := range probes {
			load := LoadReport{Reported: true}
			h.handle(ProbeResult{Endpoint: probe.Endpoint, Elapsed: 100 * ms, Load: load})
		}
	}
	if total > 100 {
		t.Errorf("%d slow probes for 200 requests, want at most 100", total)
	}
}

// A reported load includes the requests of all sidecars; a sidecar's own outstanding attempts do not. Endpoints
// without a report are therefore assumed to have the mean of the reported loads. Otherwise any probed pair would seem
// more loaded than endpoints of another zone that were not probed.
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
				t.Fatalf("probed %s, want n1 or n2, the endpoints of the home zone", probe.Endpoint)
			}
			actions = append(actions, h.reportLoad(probe.Endpoint, 4)...)
		}
		if endpoint := h.wantSend(actions); i > 80 && endpoint[0] != 'n' {
			t.Fatalf("request %d was sent to %s, want n1 or n2, the endpoints of the home zone", i, endpoint)
		}
		h.now += 20 * ms
		h.reportOutcome(fmt.Sprint(i), 0, OK, 20*ms)
	}
}

// requestWithLoad sends a request and answers all of its probes with the same number of requests in flight. It
// returns the number of probes and the actions after the last one.
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

// Probes show that both endpoints of a pair have so many requests in flight that an attempt would miss its objective.
// The sidecar's own count of two requests in flight depends on chance. Work that ends late would displace work that
// could be in time. Further pairs must be probed, and then the request must be rejected without an attempt. A pair with
// a short queue must be used.
func TestOverloadedPairGetsNoRequest(t *testing.T) {
	h := newHarness(t, probeSettings())
	h.addEndpoints(8)
	for i := range 40 { // results in an estimate of 20 ms per request in flight
		id := fmt.Sprint("a", i)
		_, actions := h.requestWithLoad(id, 1)
		h.wantSend(actions)
		h.now += 40 * ms
		h.reportOutcome(id, 0, OK, 40*ms)
	}
	probes, actions := h.requestWithLoad("full", 30) // takes about 600 ms, with an objective of 200 ms
	h.wantAnswer(actions, Reject)
	if probes != 2*maxProbedPairs {
		t.Errorf("%d probes before the rejection, want %d for %d pairs", probes, 2*maxProbedPairs, maxProbedPairs)
	}
	_, actions = h.requestWithLoad("fits", 4)
	h.wantSend(actions)
}

// One endpoint of a probed pair restarts and drains while the request waits for the probe of the other one. Through
// the pair, the draining endpoint could be picked again. The state learned under the former start time must be
// dropped, and the request must go to the other endpoint.
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
				t.Fatalf("sent to %s, which is draining, want u1", a.Endpoint)
			}
		}
		h.reportOutcome(id, 0, OK, 20*ms)
		h.updateEndpoints(Delta, Endpoint{ID: "u0", Zone: "a"})
	}
}

// Only reports since a pair was drawn count, and an endpoint that failed to report is not waited for.
func TestProbedPairCountsReportsSinceItWasDrawn(t *testing.T) {
	const drawnAt = time.Minute
	one := &endpoint{reportedAt: drawnAt - ms, inFlight: 1}
	two := &endpoint{}
	p := probedPair{endpoints: [2]*endpoint{one, two}, drawnAt: drawnAt}
	if !p.awaitsReport() || !math.IsInf(p.minInFlight(), 1) {
		t.Errorf("report from before the draw: awaits a report %v, want true; lowest requests in flight %v, want +Inf",
			p.awaitsReport(), p.minInFlight())
	}
	two.reportedAt, two.inFlight = drawnAt, 7
	if !p.awaitsReport() || p.minInFlight() != 7 {
		t.Errorf("one report: awaits a report %v, want true; lowest requests in flight %v, want 7",
			p.awaitsReport(), p.minInFlight())
	}
	one.reportFailedAt = drawnAt + ms
	if p.awaitsReport() || p.minInFlight() != 7 {
		t.Errorf("one report and one failure: awaits a report %v, want false; lowest requests in flight %v, want 7",
			p.awaitsReport(), p.minInFlight())
	}
	one.reportedAt, one.inFlight = drawnAt+2*ms, 3
	if p.awaitsReport() || p.minInFlight() != 3 {
		t.Errorf("two reports: awaits a report %v, want false; lowest requests in flight %v, want 3",
			p.awaitsReport(), p.minInFlight())
	}
	none := probedPair{}
	if none.isDrawn() || none.awaitsReport() || !math.IsInf(none.minInFlight(), 1) {
		t.Errorf("empty pair: drawn %v, want false; awaits a report %v, want false; "+
			"lowest requests in flight %v, want +Inf",
			none.isDrawn(), none.awaitsReport(), none.minInFlight())
	}
}

// Two probes may cost 2 % of service. Up to half of that price they are cheap and used by any sidecar; above it, they
// are used only if there are many sidecars.
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
			t.Errorf("%+v: probes are cheap: %v, want %v; probes are used: %v, want %v",
				c, cheap, c.wantCheap, used, c.wantUsed)
		}
	}
}

// A lost probe delays its request by four times the usual latency of probes plus two ticks. Probes are slow if they
// take more than a quarter of a request's latency.
func TestProbeWait(t *testing.T) {
	p := newProbing(5 * ms)
	p.latency.value = 0.003
	if got := p.wait(5 * ms); got != 22*ms {
		t.Errorf("wait for probes %v, want 22 ms", got)
	}
	if p.isSlow(0.0121) || !p.isSlow(0.0119) {
		t.Errorf("probes of 3 ms count as slow at a request latency of 12.1 ms: %v, want false; "+
			"at a request latency of 11.9 ms: %v, want true",
			p.isSlow(0.0121), p.isSlow(0.0119))
	}
}
