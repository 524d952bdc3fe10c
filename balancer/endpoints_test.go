package balancer

import (
	"testing"
	"time"

	"hazelwing/internal/backoff"
)

// One endpoint drains and another one is removed. Requests that are sent there would be lost when the processes
// end. All must go to the one that is left, and wait where none is.
func TestDrainingAndRemovedEndpointsGetNoRequests(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(3)
	h.updateEndpoints(Delta, Endpoint{ID: "u0", State: Draining}, Endpoint{ID: "u1", State: Removed})
	for i := range 30 {
		id := string(rune('A' + i))
		if endpoint := h.wantSend(h.request(id, "c", time.Second)); endpoint != "u2" {
			t.Fatalf("sent to %s", endpoint)
		}
		h.reportOutcome(id, 0, OK, 10*ms)
		h.now += 10 * ms
	}
	h.updateEndpoints(CompleteList) // removes all
	h.wantNoAttemptOrAnswer(h.request("z", "c", time.Second))
}

// interval is a range of times between the starts of two subscribe calls.
type interval struct{ min, max time.Duration }

// The endpoint watch fails, and calls to subscribe again fail, too. Sidecars that call at once and together
// would keep the service down; a single call could leave the list old for ever. Calls that fail at once must
// start about 0.6 s after one another while the list that they return can arrive within the notification
// deadline; later as rarely as all sidecars together may call, or as often as before where those are few. A
// call that fails after a while must be followed sooner.
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
			t.Fatalf("%d calls at the start", n)
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
					t.Fatal("never subscribed again")
				}
			}
			want := c.first
			if failedFor >= backoff.NotificationDeadline {
				want = c.later
			}
			if got := h.now - calledAt; got < want.min || got > want.max {
				t.Errorf("%d sidecars, calls fail after %v, watch failed for %v: %v between two calls",
					c.sidecars, c.failsAfter, failedFor, got)
			}
			calledAt = h.now
		}
		h.updateEndpoints(Delta)
		if n := len(actionsOfKind(h.advance(20*time.Second), Subscribe)); n != 0 {
			t.Errorf("%d calls while subscribed", n)
		}
		h.handle(EndpointUpdate{Kind: WatchFailed}) // the subscription broke
		if n := len(actionsOfKind(h.advance(2*time.Second), Subscribe)); n != 1 {
			t.Errorf("%d calls after the subscription broke", n)
		}
	}
}

// An endpoint restarts. What was learned of the former process, its latency and its ejection, would be held
// against the new one, or hide that it is cold. All of it must be void, and the new process must warm up.
func TestRestartResetsEndpointState(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(2)
	h.b.endpointsByID["u0"].latency = peakEWMA{5, h.now}
	h.b.endpointsByID["u0"].health.ejectedUntil = h.now + time.Hour
	h.updateEndpoints(Delta, Endpoint{ID: "u0", Zone: "a", StartedAt: h.now - time.Second})
	ep := h.b.endpointsByID["u0"]
	if ep.latency.value > 1 || ep.health.ejectedUntil != 0 || !ep.warmUp.active || len(h.b.endpoints) != 2 {
		t.Errorf("state of the former process remains: %+v", ep)
	}
}
