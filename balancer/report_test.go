package balancer

import (
	"fmt"
	"testing"
)

// A report that comes with an outcome tells what an upstream holds as a probe's does: the next request goes to the one
// that holds less, whatever else its answers say. One that cannot be true is not believed.
func TestReportWithAnOutcome(t *testing.T) {
	for _, c := range []struct {
		load LoadReport
		want float64
	}{{LoadReport{Reported: true, InFlight: 7}, 7}, {LoadReport{}, 0}, {LoadReport{Reported: true, InFlight: -1}, 0}, {LoadReport{InFlight: 7}, 0}} {
		r := newRig(t, testSettings())
		r.fleet(1)
		r.request("1", "c", 500*ms)
		r.now += 10 * ms
		r.do(Outcome{ID: "1", Result: OK, Elapsed: 10 * ms, Finished: true, Load: c.load})
		ep := r.b.endpointsByID["u0"]
		if told := ep.reportedAt > 0; told != (c.want > 0) || told && ep.inFlight != c.want {
			t.Errorf("%+v: holds %v, told %v", c.load, ep.inFlight, told)
		}
	}
}

// Streams that have begun are no sign of pressure, however long they last. Guards against refusing all else beside them.
func TestStreamsAreNoPressure(t *testing.T) {
	s := testSettings()
	s.Classes = append(s.Classes, Class{Name: "s", LatencyObjective: 200 * ms, Deadline: 1000 * ms, Weight: 1, Stream: true})
	r := newRig(t, s)
	r.fleet(4)
	for i := range 50 {
		id := fmt.Sprint("s", i)
		r.request(id, "s", 1000*ms)
		r.now += 5 * ms
		r.do(FirstByte{ID: id})
	}
	r.pass(60 * 1000 * ms)
	if r.b.inFlight != 0 || r.b.pressure() != 0 {
		t.Errorf("%d in hand, pressure %v", r.b.inFlight, r.b.pressure())
	}
	for i := range 50 {
		r.do(Outcome{ID: fmt.Sprint("s", i), Result: OK, Elapsed: 5 * ms, Finished: true})
	}
	if r.b.inFlight != 0 || len(r.b.requests) != 0 {
		t.Errorf("%d in hand, %d remembered", r.b.inFlight, len(r.b.requests))
	}
}

// Both of a pair are as fast; one has said with its last answer that it holds more.
func TestReportDecides(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	counts := map[string]int{}
	for i := range 200 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		for _, a := range kinds(r.request(id, "c", 500*ms), Send) {
			counts[a.Endpoint]++
			load := LoadReport{Reported: true}
			if a.Endpoint == "u0" {
				load.InFlight = 5
			}
			r.now += 10 * ms
			r.do(Outcome{ID: id, Result: OK, Elapsed: 10 * ms, Finished: true, Load: load})
		}
	}
	if counts["u0"]*2 > counts["u1"] {
		t.Errorf("%v: the one that holds five got as many", counts)
	}
}
