package balancer

import (
	"fmt"
	"testing"
	"time"
)

// All endpoints respond slower than the objective, as in an overload, and one endpoint is slower than the others. If
// all requests were admitted, all of them would end late. Most must be rejected early, and load shedding must stop
// after the overload.
func TestOverloadIsShedEarlyAndStops(t *testing.T) {
	latency := 20 * ms
	w := newWorkload(t, testSettings(), func(endpoint string) (Result, time.Duration) {
		if endpoint == "u0" {
			return OK, 2 * latency
		}
		return OK, latency
	})
	w.addEndpoints(4)
	w.run(5*time.Second, 200)
	if w.answers[Reject] > 10 {
		t.Errorf("%d requests rejected without overload, want at most 10", w.answers[Reject])
	}
	latency = 250 * ms
	w.run(2*time.Second, 200)
	attempts, requests := w.totalAttempts(), w.requests
	w.run(3*time.Second, 200)
	if got := w.totalAttempts() - attempts; got > (w.requests-requests)*3/10 {
		t.Errorf("%d attempts for %d requests during the overload, want at most 3 for 10 requests",
			got, w.requests-requests)
	}
	latency = 20 * ms
	w.run(3*time.Second, 200)
	succeeded, requests := w.succeeded, w.requests
	w.run(3*time.Second, 200)
	if got := w.succeeded - succeeded; float64(got) < 0.95*float64(w.requests-requests) {
		t.Errorf("%d of %d requests succeeded after the overload, want at least 95%%", got, w.requests-requests)
	}
	if !w.logged("load shedding started") || !w.logged("load shedding stopped") {
		t.Errorf("log lines %q, want the start and the end of load shedding", w.logLines)
	}
}

// Under pressure, requests of the lowest weight are rejected first.
func TestLowestWeightIsRejectedFirst(t *testing.T) {
	s := testSettings()
	s.Classes = []Class{
		{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1},
		{Name: "valuable", LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 9},
	}
	h := newHarness(t, s)
	h.addEndpoints(4)
	rejected := map[string]int{}
	// Requests are answered in order of arrival, each after 155 ms, slightly longer than the wait limit allows.
	var open []string
	for i := range 600 {
		id, class := fmt.Sprint(i), []string{"c", "valuable"}[i%2]
		if len(actionsOfKind(h.request(id, class, time.Second), Send)) == 0 {
			rejected[class]++
			id = ""
		}
		open = append(open, id)
		if len(open) > 31 {
			if open[0] != "" {
				h.reportOutcome(open[0], 0, OK, 155*ms)
			}
			open = open[1:]
		}
		h.now += 5 * ms
	}
	if rejected["c"] < 10 || rejected["valuable"] > rejected["c"]/2 {
		t.Errorf("rejected by class: %v; want at least 10 of c, and at most half as many of valuable", rejected)
	}
}

// Some of the requests that a tenant sends beyond its quota have a lower weight.
func TestRequestsBeyondTheQuotaHaveALowerWeight(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "big", Fraction: 0.5}, {Name: "small", Fraction: 0.5}}
	s.OverQuotaWeight = 0.1
	h := newHarness(t, s)
	lowered := map[int]int{} // number of requests of lower weight by tenant
	for i := range 1000 {
		h.b.now += ms
		tenant := min(i%10/9, 1) // nine of ten requests are from the first tenant
		q := &request{class: h.b.classes["c"], relativeWork: 1, tenantIndex: tenant}
		if h.b.weightOf(q) < 1 {
			lowered[tenant]++
		}
	}
	if lowered[1] != 0 || lowered[0] < 300 || lowered[0] > 500 { // 400 expected: (0.9-0.5)/0.9 of 900
		t.Errorf("requests of lower weight by tenant: %v; want 300 to 500 for tenant 0 and none for tenant 1", lowered)
	}
}

// The lowest rank is admitted up to a pressure of 1, the highest rank up to a pressure of 1.5. With an admitted share
// below 1, only the highest ranks are admitted.
func TestAdmissionByRank(t *testing.T) {
	for _, c := range []struct {
		rank, pressure, admittedShare float64
		want                          bool
	}{
		{rank: 0, pressure: 1, admittedShare: 1, want: true},
		{rank: 0, pressure: 1.01, admittedShare: 1},
		{rank: 0.5, pressure: 1.25, admittedShare: 1, want: true},
		{rank: 0.5, pressure: 1.26, admittedShare: 1},
		{rank: 1, pressure: 1.5, admittedShare: 1, want: true},
		{rank: 1, pressure: 1.51, admittedShare: 1},
		{rank: 0.74, pressure: 0, admittedShare: 0.25},
		{rank: 0.75, pressure: 0, admittedShare: 0.25, want: true},
		{rank: 0, pressure: 0, admittedShare: maxAdmittedShare, want: true},
	} {
		a := newAdmissionControl()
		a.limits.admittedShare = c.admittedShare
		if got := a.allows(c.rank, c.pressure); got != c.want {
			t.Errorf("%+v: admitted %v, want %v", c, got, c.want)
		}
	}
}
