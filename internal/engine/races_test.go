package engine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// These tests cover races between two events of the engine; docs/design/crossings.md lists them.

// An attempt fails after its client has disconnected, but before Do's context has ended. A retry would do useless work.
// The engine must check the client's connection before the Balancer decides, and must not retry.
func TestNoRetryAfterClientDisconnected(t *testing.T) {
	f := newFakeNetwork()
	e := newEngine(t, f, testSettings(), 3)
	runEngine(t, e)
	var disconnected atomic.Bool
	c := newTestCall("1", "look")
	c.Disconnected = disconnected.Load
	results := startCall(t.Context(), e, c)
	attempt := testutil.Receive(t, f.attempts, "the attempt")
	mayStart := attempt.call.MayStart()
	if !mayStart() {
		t.Error("connected client: MayStart's function returned false, want true")
	}
	disconnected.Store(true)
	if mayStart() {
		t.Error("disconnected client: MayStart's function returned true, want false")
	}
	attempt.outcome <- Outcome{Result: balancer.Overloaded}
	if r := testutil.Receive(t, results, "the result"); r.Kind != Disconnected || len(f.attempts) > 0 {
		t.Errorf("result %+v and %d more attempts, want Disconnected and 0", r, len(f.attempts))
	}
}

// Do's context has ended, but the event for it is queued behind others. Handling those first would send an attempt for
// a client that has disconnected. Neither a new call nor a retry may be sent.
func TestDisconnectQueuedBehindOtherEvents(t *testing.T) {
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 3)
	ctx, disconnect := context.WithCancel(t.Context())
	first := newTestCall("1", "look")
	second := newTestCall("2", "look")
	first.ctx = ctx
	second.ctx = ctx
	e.handleCall(first)
	attempt := testutil.Receive(t, f.attempts, "the attempt")
	disconnect()
	attemptEnded{first, 0, Outcome{Result: balancer.Overloaded}}.handle(e) // before callDisconnected{first}
	e.handleCall(second)
	if len(f.attempts) > 0 {
		t.Errorf("%d attempts were sent after the client disconnected, want none", len(f.attempts))
	}
	for _, c := range []*Call{first, second} {
		if r := testutil.Receive(t, c.result, "the result"); r.Kind != Disconnected {
			t.Errorf("call %s: result %+v, want Disconnected", c.ID, r)
		}
		callDisconnected{c}.handle(e) // arrives later and has no effect
	}
	if len(e.calls) > 0 || len(first.result)+len(second.result) > 0 {
		t.Errorf("%d calls in flight and %d further results, want none",
			len(e.calls), len(first.result)+len(second.result))
	}
	attempt.outcome <- Outcome{}
}

// The Balancer retries a call with an idempotency key within the idempotency window, but the retry waits for a dial or
// a connection until the window has passed. The endpoints that received the first attempt would no longer recognize the
// repeat, and the effect would be applied twice. The window applies up to the first byte, so the retry must not be
// written.
func TestRetryNotStartedAfterIdempotencyWindow(t *testing.T) {
	const window = 200 * time.Millisecond
	settings := testSettings()
	settings.Classes = append(settings.Classes, balancer.Class{
		Name:              "pay",
		LatencyObjective:  testutil.WaitTimeout,
		Deadline:          testutil.WaitTimeout,
		Effect:            balancer.Keyed,
		IdempotencyScope:  balancer.ScopeAll,
		IdempotencyWindow: window,
	})
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, settings, 3)
	c := newTestCall("1", "pay")
	startedAt := time.Now()
	e.handleCall(c)
	firstMayStart := testutil.Receive(t, f.attempts, "the attempt").call.MayStart()
	attemptEnded{c, 0, Outcome{Result: balancer.Reset}}.handle(e) // the first attempt may have run
	retryMayStart := testutil.Receive(t, f.attempts, "the retry").call.MayStart()
	allowed := retryMayStart()
	askedAfter := time.Since(startedAt)
	if !allowed && askedAfter < window/2 {
		t.Errorf("retry, %v into the window of %v: MayStart's function returned false, want true", askedAfter, window)
	}
	time.Sleep(time.Until(startedAt.Add(window)))
	if retryMayStart() {
		t.Error("retry after the window: MayStart's function returned true, want false")
	}
	if !firstMayStart() {
		t.Error("first attempt after the window: MayStart's function returned false, want true; no attempt preceded it")
	}
}

// A call arrives before the first update of a pushed list. If it were sent according to the cached list, it could go to
// an endpoint that has started draining since. The sidecar counts as notified of such a drain from its start on, so the
// call must wait for the first update.
func TestFirstUpdateOfPushedListPrecedesCalls(t *testing.T) {
	f := newFakeNetwork()
	settings := testSettings()
	settings.MustSubscribe = false
	e := newEngine(t, f, settings, 2)
	const calls = 12
	for i := range calls { // queued before anything else happens
		e.events <- callArrived{newTestCall(fmt.Sprint(i), "look")}
	}
	runEngine(t, e)
	w := testutil.Receive(t, f.watches, "the watch")
	w.notify(EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: drainingEndpoint()})
	for range calls {
		attempt := testutil.Receive(t, f.attempts, "the attempt")
		if attempt.endpoint != "m1" {
			t.Errorf("attempt sent to %s, want m1; m0 is draining", attempt.endpoint)
		}
		attempt.outcome <- Outcome{Result: balancer.OK, Final: true}
	}
}

// The agent that pushes the list sends no update. Calls that kept waiting for it would all fail, although the cached
// list may be correct. Calls may be delayed by firstUpdateTimeout only.
func TestCallsProceedWithoutFirstUpdate(t *testing.T) {
	f := newFakeNetwork()
	settings := testSettings()
	settings.MustSubscribe = false
	e := newEngine(t, f, settings, 2)
	runEngine(t, e)
	results := startCall(t.Context(), e, newTestCall("1", "look"))
	testutil.Receive(t, f.attempts, "the attempt").outcome <- Outcome{Result: balancer.OK, Final: true}
	if r := testutil.Receive(t, results, "the result"); r.Kind != Served {
		t.Errorf("result %+v, want Served", r)
	}
}

// A watch delivers a drain just before another watch replaces it. If the drain were dropped, it might not be delivered
// again, and requests would continue to go to an endpoint that stops. The drain must be applied, but only to the
// process that it refers to.
func TestDrainFromReplacedWatch(t *testing.T) {
	for name, c := range map[string]struct {
		startedAtMS  float64
		wantDraining bool
	}{
		"the same process":   {0, true},
		"an earlier process": {-1, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeNetwork()
			next := newFakeNetwork()
			e := newSteppedEngine(t, f, testSettings(), 2)
			replaced := testutil.Receive(t, f.watches, "the first watch")
			draining := drainingEndpoint()
			draining[0].StartedAtMS = c.startedAtMS
			// This update is still queued when the source changes.
			replaced.notify(EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: draining})
			sourceChanged{next}.handle(e)
			update := EndpointUpdate{Kind: balancer.Delta, Version: 3}
			testutil.Receive(t, next.watches, "the new watch").notify(update)
			e.handleUpdate(watchUpdate{watch: e.watch, EndpointUpdate: update}) // the new source has answered
			for len(e.updates) > 0 {
				e.step(nil)
			}
			if got := f.endpoints["m0"].State != balancer.Active; got != c.wantDraining {
				t.Errorf("m0 is draining: %v, want %v", got, c.wantDraining)
			}
		})
	}
}

// The engine stops while a call is in flight whose effect may have been attempted before a restart. If the call were
// rejected, its client would consider a retry safe, and the effect could be applied twice. The call must fail.
func TestShutdownFailsCallWithPriorAttempts(t *testing.T) {
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 0) // without endpoints the call waits
	c := newTestCall("1", "look")
	c.PriorAttempts = []PriorAttempt{{Location: balancer.Location{Zone: "a"}, SentAt: time.Now()}}
	e.handleCall(c)
	e.shutDown()
	if r := testutil.Receive(t, c.result, "the result"); r.Kind != Failed {
		t.Errorf("result %+v, want Failed", r)
	}
}

// The source changes, and the new source's list has a lower version and shows a draining process as active. If that
// list were accepted, requests would be sent to a process that stops. That process must stay draining, but a different
// process of the endpoint must be used. The complete list must be requested again once the new source has had time to
// learn of the drain.
func TestStaleListAfterSourceChange(t *testing.T) {
	for name, c := range map[string]struct {
		version      int64 // version of the new source's list
		startedAtMS  float64
		wantDraining bool
	}{
		"older list":      {5, 0, true},
		"newer list":      {9, 0, false},
		"another process": {5, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeNetwork()
			next := newFakeNetwork()
			e := newSteppedEngine(t, f, testSettings(), 2)
			first := testutil.Receive(t, f.watches, "the first watch")
			first.notify(EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: drainingEndpoint()})
			e.step(nil)
			sourceChanged{next}.handle(e)
			list := testEndpoints(2)
			list[0].StartedAtMS = c.startedAtMS
			second := testutil.Receive(t, next.watches, "the new watch")
			second.notify(EndpointUpdate{Kind: balancer.CompleteList, Version: c.version, Endpoints: list})
			e.step(nil)
			if got := f.endpoints["m0"].State != balancer.Active; got != c.wantDraining {
				t.Fatalf("m0 is draining: %v, want %v", got, c.wantDraining)
			}
			if !c.wantDraining {
				return
			}
			relistDue{e.watch}.handle(e)
			e.sourceChangedAt = e.sourceChangedAt.Add(-staleListPeriod)
			w := testutil.Receive(t, next.watches, "the watch for the complete list")
			if w.version != UnknownVersion {
				t.Errorf("the watch starts from version %d, want %d (UnknownVersion)", w.version, UnknownVersion)
			}
			w.notify(EndpointUpdate{Kind: balancer.CompleteList, Version: 6, Endpoints: testEndpoints(2)})
			e.step(nil)
			if state := f.endpoints["m0"].State; state != balancer.Active {
				t.Errorf("after staleListPeriod and a list that shows m0 as active: state %v, want %v (Active)",
					state, balancer.Active)
			}
		})
	}
}
