package balancer

import (
	"testing"
	"time"
)

// An endpoint fails each of its trials. A trial every second would lose a request each time, on every sidecar at once;
// ever longer pauses would keep it out long after it has recovered. Ejections double up to 8 s, each with its own
// jitter of a quarter either way, and begin anew after an answer.
func TestEjectionsDoubleUpToTheMaximum(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(1)
	ep := h.b.endpoints[0]
	h.b.now = h.now
	seen := map[time.Duration]bool{}
	for i, base := range []time.Duration{1, 2, 4, 8, 8, 8} {
		base *= time.Second
		h.b.eject(ep)
		d := ep.health.ejectedUntil - h.now
		if d < base*3/4 || d > base*5/4 {
			t.Errorf("ejection %d for %v, want about %v", i+1, d, base)
		}
		seen[d] = true
	}
	if len(seen) != 6 {
		t.Errorf("%d different times of 6: no jitter", len(seen))
	}
	ep.health.ejections = 1000 // the doubling must not overflow
	h.b.eject(ep)
	if d := ep.health.ejectedUntil - h.now; d < 6*time.Second || d > 10*time.Second {
		t.Errorf("the thousandth ejection for %v", d)
	}
	h.b.recordAnswer(ep)
	if ep.health.isEjected(h.now) || ep.health.isOnTrial() {
		t.Errorf("after an answer: %+v", ep.health)
	}
}

// A connection fails. A refusal that comes at once shows that no process listens; one that took most of the connect
// timeout was lost on the way, and ejection for it would take out endpoints that are well.
func TestOnlyFastRefusalsEject(t *testing.T) {
	for elapsed, want := range map[time.Duration]bool{0: true, 99 * ms: true, 100 * ms: false, 200 * ms: false} {
		h := newHarness(t, testSettings()) // connections have 200 ms
		h.addEndpoints(2)
		endpoint := h.wantSend(h.request("1", "c", time.Second))
		h.reportOutcome("1", 0, ConnectFailed, elapsed)
		if got := h.b.endpointsByID[endpoint].health.isEjected(h.now); got != want {
			t.Errorf("connection failed after %v: ejected %v", elapsed, got)
		}
	}
}

// An endpoint does not answer. A single attempt without an answer happens by chance; several over a short time may
// be a pause. It is silent, and ejected, with the second failure after three mean objectives without an answer.
func TestSilenceNeedsTwoFailuresAndThreeObjectives(t *testing.T) {
	for _, c := range []struct {
		failures  int
		silentFor time.Duration
		want      bool
	}{
		{1, time.Hour, false},
		{2, 600 * ms, false}, // the objective is 200 ms
		{2, 601 * ms, true},
		{20, 600 * ms, false},
	} {
		h := newHarness(t, testSettings())
		h.b.now = h.now
		health := health{failures: c.failures, silentSince: h.now - c.silentFor}
		if got := h.b.isUnreachable(&health, Timeout, time.Second); got != c.want {
			t.Errorf("%+v: unreachable %v", c, got)
		}
	}
}
