package balancer

import (
	"testing"
	"time"
)

// Endpoints slow down under overload but still answer. With an unchanged wait limit, half of all answers would be
// late. Late answers must lower the limit down to its minimum, and answers in time must raise it again. Endpoints
// that hang are not overloaded and must not lower it.
func TestWaitLimitIsLoweredWhereEndpointsAreOverloaded(t *testing.T) {
	n, overloaded := 0, true
	s := testSettings()
	s.Hedging = false
	w := newWorkload(t, s, func(string) (Result, time.Duration) {
		n++
		if overloaded && n%2 == 0 {
			return OK, 230 * ms
		}
		return OK, 90 * ms
	})
	w.addEndpoints(4)
	w.run(5*time.Second, 400)
	if w.b.admission.limits.wait > minWaitLimit*1.2 {
		t.Errorf("half of all answers late: wait limit %.2f, want at most %.2f",
			w.b.admission.limits.wait, minWaitLimit*1.2)
	}
	overloaded = false
	w.run(10*time.Second, 100)
	if w.b.admission.limits.wait < maxWaitLimit {
		t.Errorf("10 s after the overload: wait limit %.2f, want %.2f", w.b.admission.limits.wait, maxWaitLimit)
	}

	// Requests that wait for hung endpoints do not lower the limit.
	w = newWorkload(t, s, func(endpoint string) (Result, time.Duration) {
		if endpoint < "u2" {
			return OK, -1
		}
		return OK, 90 * ms
	})
	w.addEndpoints(4)
	w.run(2*time.Second, 400)
	if w.answers[Reject] == 0 || w.b.admission.limits.wait < maxWaitLimit*0.9 {
		t.Errorf("hung endpoints: %d requests rejected, want at least 1; wait limit %.2f, want at least %.2f",
			w.answers[Reject], w.b.admission.limits.wait, maxWaitLimit*0.9)
	}
}

// Endpoints are congested, and each of many sidecars always has one or two requests in flight, too few to cause
// pressure. Together the sidecars would sustain the congestion for ever. After consecutive missed objectives, a sidecar
// must admit a smaller share of requests. It must admit all requests again when they are served in time.
func TestMissedObjectivesLowerTheAdmittedShare(t *testing.T) {
	congested := true
	w := newWorkload(t, testSettings(), func(string) (Result, time.Duration) {
		if congested {
			return OK, -1
		}
		return OK, 20 * ms
	})
	w.addEndpoints(4)
	w.run(15*time.Second, 2)
	attempts := w.totalAttempts()
	w.run(20*time.Second, 2)
	if n := w.totalAttempts() - attempts; n > 25 {
		t.Errorf("%d attempts for 40 requests under congestion, want at most 25", n)
	}
	congested = false
	w.run(40*time.Second, 2)
	succeeded := w.succeeded
	w.run(10*time.Second, 2)
	if n := w.succeeded - succeeded; n < 19 {
		t.Errorf("%d of 20 requests succeeded after the congestion, want at least 19", n)
	}
}

// All requests are late, or all are in time, for a long time. Without bounds, the limits would then shed all requests,
// or would take very long to shed any again. The limits must stay within their bounds, and a late request whose
// endpoint is not overloaded must not lower the wait limit.
func TestLimitsStayInTheirBounds(t *testing.T) {
	l := newAdmissionLimits()
	for range 1000 {
		l.recordLate(false)
	}
	if l.admittedShare != minAdmittedShare || l.wait != maxWaitLimit {
		t.Errorf("1000 late requests, endpoint not overloaded: admitted share %v, want %v; wait limit %v, want %v",
			l.admittedShare, minAdmittedShare, l.wait, maxWaitLimit)
	}
	for range 1000 {
		l.recordLate(true)
	}
	if l.admittedShare != minAdmittedShare || l.wait != minWaitLimit {
		t.Errorf("1000 late requests, endpoint overloaded: admitted share %v, want %v; wait limit %v, want %v",
			l.admittedShare, minAdmittedShare, l.wait, minWaitLimit)
	}
	for range 1000 {
		l.recordInTime()
	}
	if l.admittedShare != maxAdmittedShare || l.wait != maxWaitLimit {
		t.Errorf("1000 requests in time: admitted share %v, want %v; wait limit %v, want %v",
			l.admittedShare, maxAdmittedShare, l.wait, maxWaitLimit)
	}
}
