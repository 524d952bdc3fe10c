package balancer

import (
	"fmt"
	"testing"
	"time"
)

// The sums over requests in flight must stay exact over a long run.
func TestInFlightSumsDoNotDrift(t *testing.T) {
	h := newHarness(t, testSettings())
	h.now = 400 * 24 * time.Hour
	h.addEndpoints(4)
	h.request("unanswered", "c", time.Second)
	for i := range 20000 {
		id := fmt.Sprint(i)
		h.request(id, "c", time.Second)
		h.reportOutcome(id, 0, OK, ms)
	}
	f := h.b.admission.meter.inFlight
	if f.count != 1 || f.arrivalSum != h.now || f.inverseObjectives < 4.999 || f.inverseObjectives > 5.001 {
		t.Errorf("one request in flight: count %d, want 1; sum of arrival times %v, want %v; "+
			"sum of 1/objective %v, want 5 ± 0.001",
			f.count, f.arrivalSum, h.now, f.inverseObjectives)
	}
}

// Pressure rises gradually with the age of the requests in flight: a burst after an idle time is admitted, and a load
// beyond capacity is admitted only as long as its requests are new.
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
		for i := range c.answered { // the answers are spread over 2 s
			h.b.admission.meter.served.add(1, h.now+2*time.Second*time.Duration(i)/time.Duration(c.answered))
		}
		h.now += 2 * time.Second
		h.handle(TimerFired{})
		h.trackInFlight(c.inFlight)
		h.now += c.age
		h.handle(TimerFired{})
		if p := h.b.pressure(); p > 1 != c.wantOverload {
			t.Errorf("%d requests in flight for %v, %d answers in 2 s before: pressure %.2f; above 1: %v, want %v",
				c.inFlight, c.age, c.answered, p, p > 1, c.wantOverload)
		}
	}
}

// trackInFlight adds n requests to those in flight. They arrive now and have an objective of 200 ms.
func (h *harness) trackInFlight(n int) {
	for range n {
		h.b.admission.meter.inFlight.add(&request{arrivedAt: h.now, objectiveAt: h.now + 200*ms}, h.now)
	}
}

// A quiet sidecar happens to have two requests in flight that take long. If only these two were considered, it would
// shed the next requests although endpoints are idle. As long as the mean number in flight is low, they must not
// count as an overload; a queue must.
func TestFewRequestsInFlightAreNotAnOverload(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(2)
	for i := range 120 { // ten requests per second, one after the other
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
		t.Errorf("two requests in flight for half of their objective: pressure %.2f, want at most 1", p)
	}
	for i := range 12 { // these requests form a queue, which is an overload
		h.request(fmt.Sprint("q", i), "c", time.Second)
	}
	h.now += 100 * ms
	h.handle(TimerFired{})
	if p := h.b.pressure(); p <= 1 {
		t.Errorf("fourteen requests in flight: pressure %.2f, want above 1", p)
	}
}

// Pressure is the number of requests in flight divided by the number that can be served within the wait limit. With
// 100 answers per second and an objective of 200 ms, the latter is 100 × 0.2 × 0.65 = 13. There is no pressure with a
// single request, or with fewer requests than there are endpoints per sidecar.
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
		for i := range 6000 { // every 10 ms for a minute, the oldest request is answered and another one arrives
			now += 10 * ms
			oldest := i % c.inFlight
			m.recordAnswer(now)
			m.inFlight.remove(inFlight[oldest], now)
			inFlight[oldest] = newRequest()
			m.inFlight.add(inFlight[oldest], now)
		}
		if got := m.measure(now, maxWaitLimit, c.endpointsPerSidecar); got < 0.98*c.want || got > 1.02*c.want {
			t.Errorf("%+v: pressure %.3f, want %.3f ± 2%%", c, got, c.want)
		}
	}
}
