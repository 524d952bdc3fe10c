package engine

import (
	"testing"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// A replaced watch still delivers a failure and a complete list. If they were handled, the failure would count as a
// failure of the new watch, and the list could be outdated. Both must be ignored.
func TestUpdatesOfReplacedWatchAreIgnored(t *testing.T) {
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 1)
	replaced := testutil.Receive(t, f.watches, "the first watch")
	if replaced.version != 7 {
		t.Errorf("the watch starts from version %d, want 7", replaced.version)
	}
	e.startWatch(0)
	testutil.Receive(t, f.watches, "the second watch")
	current := e.watch
	updateCount := f.updateCount
	replaced.notify(EndpointUpdate{Kind: balancer.WatchFailed})
	replaced.notify(EndpointUpdate{Kind: balancer.CompleteList, Version: 9})
	e.step(nil)
	e.step(nil)
	if e.watch != current {
		t.Error("a failure of the replaced watch ended the current watch")
	}
	if e.version == 9 || f.updateCount != updateCount {
		t.Errorf("after a list of the replaced watch: version %d and %d updates applied, want 7 and %d",
			e.version, f.updateCount, updateCount)
	}
	if replaced.contextErr() == nil {
		t.Error("the replaced watch is open, want it closed")
	}
}

// The cached list must be applied before the first watch, whether the list is pushed or watched after a Subscribe
// action. A watch delivers only later changes, and a sidecar without endpoints rejects every call.
func TestCachedListIsApplied(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		f := newFakeNetwork()
		settings := testSettings()
		settings.MustSubscribe = !pushed
		e := newSteppedEngine(t, f, settings, 2)
		w := testutil.Receive(t, f.watches, "the watch")
		w.notify(EndpointUpdate{Kind: balancer.Delta, Version: 7})
		e.step(nil)
		e.handleCall(newTestCall("1", "look"))
		if w.version != 7 || len(f.endpoints) != 2 || len(f.attempts) != 1 {
			t.Errorf("pushed %v: %d endpoints, %d attempts, watch from version %d; want 2, 1 and 7",
				pushed, len(f.endpoints), len(f.attempts), w.version)
		}
		e = newEngine(t, f, settings, 0)
		if e.cachedList.Version != NoVersion {
			t.Errorf("pushed %v: an empty cached list has version %d, want %d (NoVersion)",
				pushed, e.cachedList.Version, NoVersion)
		}
	}
}

// The source changes while the Balancer is in backoff after failures of the previous source. The backoff would delay
// the new source, which has not failed, and with it the delivery of drains. The new source must be watched at once.
func TestSourceChangeDuringBackoff(t *testing.T) {
	f := newFakeNetwork()
	next := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 1)
	for range 10 {
		e.handleUpdate(watchUpdate{e.watch, EndpointUpdate{Kind: balancer.WatchFailed}})
		e.startWatch(0)
	}
	sourceChanged{next}.handle(e)
	if w := testutil.Receive(t, next.watches, "the new watch"); w.version != UnknownVersion {
		t.Errorf("the watch starts from version %d, want %d (UnknownVersion)", w.version, UnknownVersion)
	}
}

// The source changes, and the new source rejects all watches for a while. Drains that only the previous source reports
// would be missed, and requests would go to endpoints that stop. Until the new source has answered, updates of the
// previous source must still be applied, but only for endpoints that are draining or removed.
func TestPreviousSourceUsedUntilNewOneAnswers(t *testing.T) {
	f := newFakeNetwork()
	next := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 3)
	previous := testutil.Receive(t, f.watches, "the first watch")
	sourceChanged{next}.handle(e)
	sourceChanged{next}.handle(e) // a second change before the new source has answered
	testutil.Receive(t, next.watches, "the new watch")
	w := testutil.Receive(t, next.watches, "the newer watch")

	// m0 is draining, m1 stays active, and m2 is missing from the complete list.
	draining := drainingEndpoint()
	previous.notify(EndpointUpdate{
		Kind:      balancer.CompleteList,
		Version:   8,
		Endpoints: append(draining, testEndpoints(2)[1], Endpoint{ID: "new", Zone: "a"}),
	})
	e.step(nil)
	e.handleCall(newTestCall("1", "look"))
	if err := previous.contextErr(); err != nil {
		t.Errorf("before the new source's answer: the previous watch is closed (%v), want it open", err)
	}
	if f.endpoints["m0"].State == balancer.Active ||
		f.endpoints["m2"].State == balancer.Active ||
		f.endpoints["new"].ID != "" {
		t.Errorf("endpoints %v, want m0 and m2 not active, and none with the ID new", f.endpoints)
	}
	if e.version != UnknownVersion {
		t.Errorf("before the new source's answer: version %d, want %d (UnknownVersion)", e.version, UnknownVersion)
	}
	attempt := testutil.Receive(t, f.attempts, "the attempt")
	if attempt.endpoint != "m1" {
		t.Errorf("attempt sent to %s, want m1", attempt.endpoint)
	}
	attempt.outcome <- Outcome{Result: balancer.OK, Final: true}

	// Updates of the previous source do not end the Balancer's attempts to subscribe.
	w.notify(EndpointUpdate{Kind: balancer.WatchFailed, Version: UnknownVersion})
	e.step(nil)
	previous.notify(EndpointUpdate{Kind: balancer.Delta, Version: 9, Endpoints: draining})
	e.step(nil)
	for len(next.watches) == 0 {
		e.step(nil)
	}
	w = testutil.Receive(t, next.watches, "the next watch")
	w.notify(EndpointUpdate{Kind: balancer.Delta, Version: 3})
	e.step(nil)
	if previous.contextErr() == nil {
		t.Error("after the new source's answer: the previous watch is open, want it closed")
	}
	if e.version != 3 {
		t.Errorf("after the new source's answer: version %d, want 3", e.version)
	}
	updateCount := f.updateCount
	previous.notify(EndpointUpdate{Kind: balancer.Delta, Version: 9, Endpoints: testEndpoints(1)})
	e.step(nil)
	if f.updateCount != updateCount {
		t.Errorf("an update of the previous source after the new one's answer: %d list updates applied, want %d",
			f.updateCount, updateCount)
	}
}

// After a watch has failed, its source delivers an update that it received in another way. The sender will not repeat
// the update, so it must be applied. It must not count as an answer of the source, or the Balancer would stop trying to
// subscribe.
func TestOutOfBandUpdateAfterWatchFailed(t *testing.T) {
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 1)
	w := testutil.Receive(t, f.watches, "the watch")
	w.notify(EndpointUpdate{Kind: balancer.WatchFailed, Version: 7})
	e.step(nil)
	w.notify(EndpointUpdate{Kind: balancer.OutOfBand, Endpoints: []Endpoint{{ID: "out-of-band", Zone: "a"}}})
	e.step(nil)
	if f.endpoints["out-of-band"].ID == "" || e.version != 7 {
		t.Errorf("endpoints %v, version %d, want an endpoint with the ID out-of-band, and version 7",
			f.endpoints, e.version)
	}
	for len(f.watches) == 0 { // the Balancer still subscribes again
		e.step(nil)
	}
}

// A drain is queued behind a burst of calls. If the events were handled in order, calls would be sent to the draining
// endpoint before the drain is applied, possibly after the end of its grace period. The drain must be handled first.
func TestEndpointUpdatesPrecedeCalls(t *testing.T) {
	for range 10 { // without the precedence, each iteration still passes with probability 1/2
		f := newFakeNetwork()
		e := newSteppedEngine(t, f, testSettings(), 1)
		e.events <- callArrived{newTestCall("1", "look")}
		update := EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: drainingEndpoint()}
		e.updates <- watchUpdate{e.watch, update}
		e.step(nil)
		e.step(nil)
		if len(f.attempts) > 0 {
			t.Fatal("a call was sent to the draining endpoint")
		}
	}
}
