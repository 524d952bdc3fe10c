package balancer

import (
	"testing"
	"time"

	"hazelwing/internal/backoff"
)

// One endpoint drains and another one is removed. Requests sent to them would be lost when the processes end. All
// requests must go to the remaining endpoint, and must wait if there is none.
func TestDrainingAndRemovedEndpointsGetNoRequests(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(3)
	h.updateEndpoints(Delta, Endpoint{ID: "u0", State: Draining}, Endpoint{ID: "u1", State: Removed})
	for i := range 30 {
		id := string(rune('A' + i))
		if endpoint := h.wantSend(h.request(id, "c", time.Second)); endpoint != "u2" {
			t.Fatalf("sent to %s, want u2, the only active endpoint", endpoint)
		}
		h.reportOutcome(id, 0, OK, 10*ms)
		h.now += 10 * ms
	}
	h.updateEndpoints(CompleteList) // removes all endpoints
	h.wantNoAttemptOrAnswer(h.request("z", "c", time.Second))
}

// interval is a range of times between the starts of two consecutive subscribe calls.
type interval struct{ min, max time.Duration }

// The endpoint watch fails, and so do the calls to subscribe again. If all sidecars called again at once, they would
// keep the service down; if they did not retry, their lists would stay outdated. Calls that fail at once must start
// about 0.6 s apart until the watch has failed for backoff.NotificationDeadline. After that, they must be as rare as
// the limit on the fleet's total call rate requires, but not more frequent than before. After a call that takes a while
// to fail, the pause must be shorter.
func TestSubscribesAgainWithBackoff(t *testing.T) {
	for _, c := range []struct {
		sidecars     int
		failsAfter   time.Duration // how long a call takes to fail
		first, later interval
	}{
		{300, 0, interval{450 * ms, 755 * ms}, interval{1500 * ms, 2505 * ms}},
		{3, 0, interval{450 * ms, 755 * ms}, interval{450 * ms, 755 * ms}},
		{300, time.Second, interval{1060 * ms, 1255 * ms}, interval{1500 * ms, 2505 * ms}},
	} {
		s := testSettings()
		s.MustSubscribe, s.Balancers = true, c.sidecars
		h := newHarness(t, s)
		if n := len(actionsOfKind(h.updateEndpoints(CachedList, Endpoint{ID: "u0"}), Subscribe)); n != 1 {
			t.Fatalf("%d subscribe calls at the start, want 1", n)
		}
		var firstFailure time.Duration
		for calledAt := h.now; h.now < firstFailure+20*time.Second; {
			h.advance(c.failsAfter)
			if firstFailure == 0 {
				firstFailure = h.now
			}
			h.handle(EndpointUpdate{Kind: WatchFailed})
			failedFor := h.now - firstFailure
			for len(actionsOfKind(h.advance(5*ms), Subscribe)) == 0 {
				if h.now-calledAt > 20*time.Second {
					t.Fatal("no subscribe call within 20 s of the previous one")
				}
			}
			want := c.first
			if failedFor >= backoff.NotificationDeadline {
				want = c.later
			}
			if got := h.now - calledAt; got < want.min || got > want.max {
				t.Errorf("%d sidecars, calls fail after %v, watch failed for %v: %v between two calls, want %v to %v",
					c.sidecars, c.failsAfter, failedFor, got, want.min, want.max)
			}
			calledAt = h.now
		}
		h.updateEndpoints(Delta)
		if n := len(actionsOfKind(h.advance(20*time.Second), Subscribe)); n != 0 {
			t.Errorf("%d subscribe calls while subscribed, want none", n)
		}
		h.handle(EndpointUpdate{Kind: WatchFailed}) // the subscription breaks
		if n := len(actionsOfKind(h.advance(2*time.Second), Subscribe)); n != 1 {
			t.Errorf("%d subscribe calls in the 2 s after the subscription broke, want 1", n)
		}
	}
}

// An endpoint restarts. The latency and ejection of the former process must not be applied to the new one, which must
// warm up.
func TestRestartResetsEndpointState(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(2)
	h.b.endpointsByID["u0"].latency = peakEWMA{5, h.now}
	h.b.endpointsByID["u0"].health.ejectedUntil = h.now + time.Hour
	h.updateEndpoints(Delta, Endpoint{ID: "u0", Zone: "a", StartedAt: h.now - time.Second})
	ep := h.b.endpointsByID["u0"]
	if ep.latency.value > 1 || ep.health.ejectedUntil != 0 || !ep.warmUp.active || len(h.b.endpoints) != 2 {
		t.Errorf("restarted endpoint: latency %v, want at most 1; ejected until %v, want 0s; "+
			"warming up %v, want true; %d endpoints, want 2",
			ep.latency.value, ep.health.ejectedUntil, ep.warmUp.active, len(h.b.endpoints))
	}
}
