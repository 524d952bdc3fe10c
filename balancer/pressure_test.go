package balancer

import (
	"fmt"
	"testing"
	"time"
)

// The sums over requests in flight are exact, also after a long run.
func TestInFlightSumsDoNotDrift(t *testing.T) {
	h := newHarness(t, testSettings())
	h.now = 400 * 24 * time.Hour
	h.addEndpoints(4)
	h.request("stays", "c", time.Second)
	for i := range 20000 {
		id := fmt.Sprint(i)
		h.request(id, "c", time.Second)
		h.reportOutcome(id, 0, OK, ms)
	}
	f := h.b.admission.meter.inFlight
	if f.count != 1 || f.arrivalSum != h.now || f.inverseObjectives < 4.999 || f.inverseObjectives > 5.001 {
		t.Errorf("in flight %d, %v, %v", f.count, f.arrivalSum, f.inverseObjectives)
	}
}

// Pressure rises with the age of the requests in flight, without a step: a burst after an idle time is admitted, and a
// load beyond capacity is not admitted until its requests are old.
func TestPressureRisesWithAge(t *testing.T) {
	for _, c := range []struct {
		inFlight, answered int
		age                time.Duration
		wantOverload       bool
	}{
		{inFlight: 100, answered: 400, age: 10 * ms},
		{inFlight: 100, answered: 400, age: 35 * ms, wantOverload: true},
		{inFlight: 100, answered: 400, age: 100 * ms, wantOverload: true},
		{inFlight: 20, answered: 400, age: 35 * ms},
		{inFlight: 20, answered: 1, age: 15 * ms}, // after an idle time
		{inFlight: 20, answered: 0, age: 150 * ms, wantOverload: true},
	} {
		h := newHarness(t, testSettings())
		h.addEndpoints(4)
		for i := range c.answered { // over 2 s
			h.b.admission.meter.served.add(1, h.now+2*time.Second*time.Duration(i)/time.Duration(c.answered))
		}
		h.now += 2 * time.Second
		h.handle(TimerFired{})
		h.trackInFlight(c.inFlight)
		h.now += c.age
		h.handle(TimerFired{})
		if p := h.b.pressure(); p > 1 != c.wantOverload {
			t.Errorf("%d in flight for %v, %d answered: pressure %.2f", c.inFlight, c.age, c.answered, p)
		}
	}
}

// trackInFlight adds n requests that arrive now, with an objective of 200 ms.
func (h *harness) trackInFlight(n int) {
	for range n {
		h.b.admission.meter.inFlight.add(&request{arrivedAt: h.now, objectiveAt: h.now + 200*ms}, h.now)
	}
}

// A quiet sidecar has two requests in flight that take long, by chance. Measured by these two alone it would
// shed the next ones though endpoints are idle. While the mean in flight is low they must count as no overload;
// a queue still must.
func TestFewRequestsInFlightAreNotAnOverload(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(2)
	for i := range 120 { // ten a second, one after the other
		id := fmt.Sprint(i)
		h.request(id, "c", time.Second)
		h.now += 60 * ms
		h.reportOutcome(id, 0, OK, 60*ms)
		h.now += 40 * ms
	}
	for _, id := range []string{"x", "y"} {
		h.request(id, "c", time.Second)
	}
	h.now += 100 * ms
	h.handle(TimerFired{})
	if p := h.b.pressure(); p > 1 {
		t.Errorf("two in flight for half of their objective: pressure %.2f", p)
	}
	for i := range 12 { // a queue is an overload
		h.request(fmt.Sprint("q", i), "c", time.Second)
	}
	h.now += 100 * ms
	h.handle(TimerFired{})
	if p := h.b.pressure(); p <= 1 {
		t.Errorf("a queue: pressure %.2f", p)
	}
}

// Pressure is the requests in flight over those that can be served within the wait limit: with 100 answers a second and
// an objective of 200 ms that is 100 × 0.2 × 0.65 = 13 requests. There is none with a single request, and none with
// fewer than a sidecar's part of the endpoints.
func TestPressureFollowsLittlesLaw(t *testing.T) {
	for _, c := range []struct {
		inFlight            int
		endpointsPerSidecar float64
		want                float64
	}{
		{inFlight: 13, want: 1},
		{inFlight: 20, want: 20.0 / 13},
		{inFlight: 40, want: maxPressure},
		{inFlight: 1, want: 0},
		{inFlight: 13, endpointsPerSidecar: 14, want: 0},
	} {
		m, now := newPressureMeter(), time.Minute
		newRequest := func() *request { return &request{arrivedAt: now, objectiveAt: now + 200*ms} }
		var inFlight []*request
		for range c.inFlight {
			inFlight = append(inFlight, newRequest())
			m.inFlight.add(inFlight[len(inFlight)-1], now)
		}
		for i := range 6000 { // a minute, in which the oldest is answered and another one arrives every 10 ms
			now += 10 * ms
			oldest := i % c.inFlight
			m.recordAnswer(now)
			m.inFlight.remove(inFlight[oldest], now)
			inFlight[oldest] = newRequest()
			m.inFlight.add(inFlight[oldest], now)
		}
		if got := m.measure(now, maxWaitLimit, c.endpointsPerSidecar); got < 0.98*c.want || got > 1.02*c.want {
			t.Errorf("%+v: pressure %.3f", c, got)
		}
	}
}
