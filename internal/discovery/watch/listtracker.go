package watch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
	"hazelwing/internal/engine"
)

// maxPendingChanges is the maximum number of pending changes with which a watch continues after a request for the
// complete list has failed. With more changes, the watch ends, and the next watch starts from the complete list. A
// higher value continues the watch despite more changes, but uses more memory.
const maxPendingChanges = 100_000

// listTracker decides which updates of a watch to deliver, and when to request the complete list. It performs no I/O;
// the scripts under testdata test it. Only the goroutine of one watch uses it.
type listTracker struct {
	hasList bool // the engine has a list, possibly from another discovery service
	// canDelay allows a delay of the request for the complete list. It is set if the engine has a list and all sidecars
	// share the discovery service.
	canDelay bool
	requests backoff.Scheduler // schedules the requests for the complete list

	version        int64                    // version of the latest event
	established    bool                     // the first event or empty line has arrived
	listMissing    bool                     // the complete list has not arrived, and is needed
	listInFlight   bool                     // a request for the complete list is in flight
	nextRequest    time.Duration            // time of the next request; valid if listMissing and not listInFlight
	pendingChanges map[string]pendingChange // changes that arrived while the list was missing, by endpoint ID
}

// pendingChange is an endpoint in an event, with the version of the event.
type pendingChange struct {
	version  int64
	endpoint engine.Endpoint
}

// newListTracker returns the tracker of a watch that starts from version. shared reports whether all sidecars share the
// discovery service; if not, it is an agent on this machine or another sidecar. Times are durations since an origin
// that the caller chooses.
func newListTracker(version int64, shared bool, rng *rand.Rand) *listTracker {
	hasList := version != engine.NoVersion
	return &listTracker{
		hasList:        hasList,
		canDelay:       hasList && shared,
		requests:       backoff.NewScheduler(backoff.ListConfig(), rng),
		version:        version,
		listMissing:    version < 0,
		pendingChanges: map[string]pendingChange{},
	}
}

// applyEvent processes an event of the watch, or an empty line if update is nil. It returns the updates to deliver.
//
// Events are delivered at once even while the complete list is missing, because they may report draining endpoints.
// There are two exceptions: a delta after the first event whose version is not higher than the version of the latest
// event, and any delta before the engine has a list.
func (t *listTracker) applyEvent(now time.Duration, update *engine.EndpointUpdate) []engine.EndpointUpdate {
	first := !t.established
	switch {
	case update == nil && !first: // the list has not changed
		return nil
	case update == nil: // the list has not changed; an update without endpoints tells the engine of the response
		update = &engine.EndpointUpdate{Kind: balancer.Delta, Version: t.version}
	case !first && update.Kind == balancer.Delta && update.Version <= t.version:
		return nil // the list includes this delta already; an old delta could restore endpoints that were removed
	}
	t.established = true
	if update.Kind == balancer.CompleteList {
		t.listMissing = false
		clear(t.pendingChanges)
	}
	if t.listMissing {
		if first {
			t.scheduleListRequest(now)
		}
		for _, endpoint := range update.Endpoints {
			t.pendingChanges[endpoint.ID] = pendingChange{update.Version, endpoint}
		}
	}
	t.version = update.Version
	if t.listMissing && !t.hasList { // without a list, all requests would go to the endpoints of this delta
		return nil
	}
	return []engine.EndpointUpdate{*update}
}

// scheduleListRequest schedules the request for the complete list when the first event arrives. The request is
// necessary for a discovery service that treats version 0 as an ordinary version: its first event contains only the
// changes since that version, which are of little use without the list.
func (t *listTracker) scheduleListRequest(now time.Duration) {
	t.nextRequest = now
	if t.canDelay {
		t.nextRequest = t.requests.DelayFirstCall(now)
	}
}

// nextListRequest returns when to request the complete list. It returns false if no request is necessary.
func (t *listTracker) nextListRequest() (time.Duration, bool) {
	return t.nextRequest, t.established && t.listMissing && !t.listInFlight
}

// listRequested records that the complete list is being requested.
func (t *listTracker) listRequested(now time.Duration) {
	t.listInFlight = true
	t.requests.CallStarted(now)
}

// listRequestFailed records that the request for the complete list has failed, and reports whether the watch continues.
// If it continues, the request is repeated as backoff.ListConfig specifies. The watch ends if the request cannot be
// delayed, for example because the engine has no list. The balancer then decides when to watch again, because it knows
// how long the engine has had no list. The watch also ends if there are more than maxPendingChanges pending changes.
func (t *listTracker) listRequestFailed(now time.Duration) bool {
	t.listInFlight = false
	t.nextRequest = t.requests.CallFailed(now, false)
	return t.canDelay && len(t.pendingChanges) <= maxPendingChanges
}

// applyList processes the complete list, and returns the updates to deliver. Changes of the watch with a version
// above the version of the list take precedence: the list may be older than the changes, and could restore endpoints
// that were removed.
func (t *listTracker) applyList(list engine.EndpointUpdate) []engine.EndpointUpdate {
	t.listInFlight = false
	if !t.listMissing { // the watch has delivered a complete list in the meantime
		return nil
	}
	t.listMissing = false
	newer := map[string]engine.Endpoint{}
	for id, change := range t.pendingChanges {
		if change.version > list.Version {
			newer[id] = change.endpoint
		}
	}
	clear(t.pendingChanges)
	list.Endpoints = slices.DeleteFunc(list.Endpoints, func(endpoint engine.Endpoint) bool {
		_, ok := newer[endpoint.ID]
		return ok
	})
	for _, id := range slices.Sorted(maps.Keys(newer)) {
		list.Endpoints = append(list.Endpoints, newer[id])
	}
	list.Version = max(t.version, list.Version)
	t.version = list.Version
	return []engine.EndpointUpdate{list}
}

// resumeVersion returns the version from which the next watch starts. eventsLost reports whether this watch has
// delivered data that could not be read. In this case, or if the complete list is still missing, the next watch starts
// from the complete list, and the engine keeps its present list, if any, until then. This prevents an event that could
// not be read, or was incomplete, from being skipped: the service counts the event as delivered, and a draining
// endpoint in the event would be used until its next change.
func (t *listTracker) resumeVersion(eventsLost bool) int64 {
	switch {
	case t.listMissing && !t.hasList:
		return engine.NoVersion
	case eventsLost || t.listMissing:
		return engine.UnknownVersion
	}
	return t.version
}
