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

// An endpoint that is paused or gone does not answer a probe: after a short wait the one that answered gets the
// request, and where neither does the request is sent without load reports.
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

// Probe results that are invalid, failed or not asked for are ignored, and the request is sent without them.
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
func TestPairsAreNotAlwaysProbed(t *testing.T) {
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

// Overload as probes show it: the pair's load says that an attempt would miss its objective, where a count of two
// requests in flight is chance. Further pairs are probed, then the request is rejected unsent; a short queue is used.
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

// A pair that was probed before one of its endpoints restarted and drained must not bring that endpoint back: what was
// learned under the former start time is void, also for requests that wait for the other endpoint's probe.
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
