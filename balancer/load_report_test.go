package balancer

import (
	"fmt"
	"testing"
)

// A load report in an outcome sets an endpoint's requests in flight, like one in a probe result. Implausible reports
// are ignored.
func TestLoadReportOfOutcome(t *testing.T) {
	for _, c := range []struct {
		load LoadReport
		want float64
	}{
		{load: LoadReport{Reported: true, InFlight: 7}, want: 7},
		{load: LoadReport{}, want: 0},
		{load: LoadReport{Reported: true, InFlight: -1}, want: 0},
		{load: LoadReport{InFlight: 7}, want: 0},
	} {
		h := newHarness(t, testSettings())
		h.addEndpoints(1)
		h.request("1", "c", 500*ms)
		h.now += 10 * ms
		h.handle(Outcome{ID: "1", Result: OK, Elapsed: 10 * ms, Finished: true, Load: c.load})
		ep := h.b.endpointsByID["u0"]
		reported := ep.reportedAt > 0
		if reported != (c.want > 0) || reported && ep.inFlight != c.want {
			t.Errorf("load report %+v: used %v, want %v; requests in flight %v, want %v if used",
				c.load, reported, c.want > 0, ep.inFlight, c.want)
		}
	}
}

// Streams are open for a minute and longer. If they counted as requests in flight, they would seem to be an overload,
// and all other requests would be rejected. Streams that have started must not contribute to pressure, however long
// they last.
func TestStreamsDoNotCountAsPressure(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, Class{
		Name:             "s",
		LatencyObjective: 200 * ms,
		Deadline:         1000 * ms,
		Weight:           1,
		Stream:           true,
	})
	h := newHarness(t, s)
	h.addEndpoints(4)
	for i := range 50 {
		id := fmt.Sprint("s", i)
		h.request(id, "s", 1000*ms)
		h.now += 5 * ms
		h.handle(FirstByte{ID: id})
	}
	h.advance(60 * 1000 * ms)
	if h.b.admission.meter.inFlight.count != 0 || h.b.pressure() != 0 {
		t.Errorf("open streams: %d requests in flight, pressure %v; want 0 for both",
			h.b.admission.meter.inFlight.count, h.b.pressure())
	}
	for i := range 50 {
		h.handle(Outcome{ID: fmt.Sprint("s", i), Result: OK, Elapsed: 5 * ms, Finished: true})
	}
	if h.b.admission.meter.inFlight.count != 0 || len(h.b.requests) != 0 {
		t.Errorf("after all streams have ended: %d requests in flight, %d requests retained; want 0 for both",
			h.b.admission.meter.inFlight.count, len(h.b.requests))
	}
}

// Of two endpoints with the same latency, the one that reported the lower load with its last answer is picked.
func TestLoadReportDecidesThePick(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(2)
	attempts := map[string]int{}
	for i := range 200 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		for _, a := range actionsOfKind(h.request(id, "c", 500*ms), Send) {
			attempts[a.Endpoint]++
			load := LoadReport{Reported: true}
			if a.Endpoint == "u0" {
				load.InFlight = 5
			}
			h.now += 10 * ms
			h.handle(Outcome{ID: id, Result: OK, Elapsed: 10 * ms, Finished: true, Load: load})
		}
	}
	if attempts["u0"]*2 > attempts["u1"] {
		t.Errorf("attempts by endpoint: %v; want at most half as many on u0, which reported five in flight, as on u1",
			attempts)
	}
}
