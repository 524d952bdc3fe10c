package engine

import (
	"testing"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// partialUpdate returns a partial update with one entry.
func partialUpdate(ep Endpoint) EndpointUpdate {
	return EndpointUpdate{Kind: balancer.OutOfBand, Partial: true, Endpoints: []Endpoint{ep}}
}

// A drain took effect only when its update was complete. An entry must take effect as soon as it has arrived if it
// shows that the process in use drains or was replaced, and otherwise not before its update is complete.
func TestPartialUpdates(t *testing.T) {
	running := testEndpoints(2)[0]
	running.StartedAtMS = 1000
	with := func(state balancer.EndpointState, startedAtMS float64) Endpoint {
		ep := running
		ep.State, ep.StartedAtMS = state, startedAtMS
		return ep
	}
	unknown := Endpoint{ID: "unknown", Zone: "a"}
	for name, c := range map[string]struct {
		entry      Endpoint
		fromFormer bool // the previous source delivers the entry
		want       bool // the entry is applied
	}{
		"drains":                          {entry: with(balancer.Draining, 1000), want: true},
		"removed":                         {entry: with(balancer.Removed, 1000), want: true},
		"drains, from the former source":  {entry: with(balancer.Draining, 1000), fromFormer: true, want: true},
		"a newer process drains":          {entry: with(balancer.Draining, 2000), want: true},
		"a former process drained":        {entry: with(balancer.Draining, 500)},
		"restarted":                       {entry: with(balancer.Active, 2000), want: true},
		"restarted, by the former source": {entry: with(balancer.Active, 2000), fromFormer: true},
		"unchanged":                       {entry: with(balancer.Active, 1000)},
		"a former process":                {entry: with(balancer.Active, 500)},
		"new":                             {entry: unknown},
	} {
		f := newFakeNetwork()
		e := newSteppedEngine(t, f, testSettings(), 2)
		w := testutil.Receive(t, f.watches, "the watch")
		w.notify(EndpointUpdate{Kind: balancer.Delta, Version: 8, Endpoints: []Endpoint{running}})
		e.step(nil)
		if c.fromFormer {
			sourceChanged{newFakeNetwork()}.handle(e)
		}
		before := f.updateCount
		w.notify(partialUpdate(c.entry))
		e.step(nil)
		if applied := f.updateCount > before; applied != c.want {
			t.Errorf("%s: applied %v, want %v", name, applied, c.want)
		}
		if f.updateCount > before && f.endpoints[c.entry.ID].State != c.entry.State {
			t.Errorf("%s: the transport has %+v, want %+v", name, f.endpoints[c.entry.ID], c.entry)
		}
	}
}

// Partial updates that wait together must be applied at once, and the complete update after them in its turn.
func TestQueuedPartialUpdatesAreAppliedTogether(t *testing.T) {
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 3)
	w := testutil.Receive(t, f.watches, "the watch")
	endpoints := testEndpoints(3)
	before := f.updateCount
	for _, ep := range endpoints[:2] {
		ep.State = balancer.Draining
		w.notify(partialUpdate(ep))
	}
	w.notify(EndpointUpdate{Kind: balancer.Delta, Version: 9})
	w.notify(partialUpdate(Endpoint{ID: endpoints[2].ID, State: balancer.Removed}))
	e.step(nil)
	if f.updateCount != before+1 || f.endpoints["m1"].State == balancer.Active || e.version == 9 {
		t.Errorf("%d updates applied, m1 %+v, version %d; want 1, draining and not 9",
			f.updateCount-before, f.endpoints["m1"], e.version)
	}
	e.step(nil)
	if e.version != 9 {
		t.Errorf("version %d, want 9", e.version)
	}
	e.step(nil)
	if f.endpoints["m2"].State == balancer.Active {
		t.Error("m2 is active, want it removed by the last partial update")
	}
}

// The first calls of a sidecar with a pushed list must wait for the first complete update, not only for part of it.
func TestFirstCallsWaitForTheCompleteUpdate(t *testing.T) {
	f := newFakeNetwork()
	e := newEngine(t, f, testSettings(), 2)
	e.publishCachedList()
	w := testutil.Receive(t, f.watches, "the watch")
	ep := testEndpoints(2)[0]
	ep.State = balancer.Draining
	w.notify(partialUpdate(ep))
	w.notify(EndpointUpdate{Kind: balancer.CompleteList, Version: 9, Endpoints: testEndpoints(2)[1:]})
	e.awaitFirstUpdate(nil)
	if e.version != 9 {
		t.Errorf("version %d after the wait, want 9", e.version)
	}
}
