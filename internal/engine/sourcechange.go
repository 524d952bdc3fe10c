package engine

import (
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
)

// staleListPeriod is how long after a change of the source an endpoint's drain overrides a list of a lower version.
// After this time, a change of the list is assumed to be known everywhere. With a higher value, a process that a source
// wrongly listed as draining stays unused for longer; with a lower value, a source with an outdated list may cause
// requests to be sent to a draining endpoint again.
const staleListPeriod = backoff.NotificationDeadline

// drain records that an update listed an active endpoint's process as draining or removed. Endpoints that are only
// missing from a complete list of the current watch have none.
type drain struct {
	startedAtMS float64 // start time of the process
	version     int64   // version of the list that contained the drain
	notifiedAt  time.Time
}

// sourceChanged is the event of SetSource.
type sourceChanged struct{ source Source }

func (v sourceChanged) handle(e *Engine) { e.changeSource(v.source) }

// relistDue is the event that the complete list must be requested again: the current source delivered an outdated list
// through watch, and has since had time to catch up.
type relistDue struct{ watch *watch }

func (v relistDue) handle(e *Engine) {
	if v.watch == e.watch && !e.stopping {
		e.version = UnknownVersion
		e.startWatch(0)
	}
}

// changeSource opens a watch of another source at once. The versions of the new source may be unrelated to the old
// source's versions, and the Balancer's backoff after failures applies only to the old source. Until the new source has
// answered, calls use the known list, and the old watch stays open, because only the old watch reports drains. At most
// two watches are open.
//
// Guard: prevents requests to draining endpoints while the new source is unreachable, or while it rejects engines that
// all switched to it at once. These requests would fail when the processes stop. This holds because drains are applied
// from both watches, and all other changes only from the new one.
func (e *Engine) changeSource(s Source) {
	if e.stopping {
		return
	}
	if e.previousWatch == nil {
		e.previousWatch = e.watch
		e.watch = nil
	}
	e.setSource(s)
	e.sourceChangedAt = time.Now()
	e.pushedWatchFailed = false
	e.sourceReachable = false
	if e.version != NoVersion {
		e.version = UnknownVersion
	}
	e.startWatch(0)
}

// applyFromPrevious decides which part of an update from the previous source is applied until the current source has
// answered: only endpoints that are draining or removed. An active endpoint that is missing from its complete list is
// treated as removed.
//
// Guard: prevents requests to an endpoint that the previous source no longer lists, while the current source is
// unreachable: the connections would be refused. This holds because endpoints missing from the previous source's list
// are removed, and none are added.
func (e *Engine) applyFromPrevious(u EndpointUpdate) {
	if u.Kind == balancer.WatchFailed {
		e.previousWatch = nil
		return
	}
	drained := slices.DeleteFunc(slices.Clone(u.Endpoints), isActive)
	if u.Kind == balancer.CompleteList {
		listed := map[string]bool{}
		for _, ep := range u.Endpoints {
			listed[ep.ID] = true
		}
		for id := range e.activeProcesses {
			if !listed[id] {
				drained = append(drained, Endpoint{ID: id, State: balancer.Removed})
			}
		}
	}
	e.applyDrains(u.Version, drained)
}

// applyFromReplaced decides which part of an update is applied if its watch was closed before the update was handled:
// only drains and removals of active processes.
//
// Guard: prevents the loss of a drain that was delivered while its watch was being closed. The next watch may not
// repeat the drain, and requests would continue to go to an endpoint that stops. Applying the drain is safe because a
// draining process never becomes active again.
func (e *Engine) applyFromReplaced(u EndpointUpdate) {
	drained := slices.DeleteFunc(slices.Clone(u.Endpoints), func(ep Endpoint) bool {
		startedAtMS, active := e.activeProcesses[ep.ID]
		return isActive(ep) || !active || startedAtMS != ep.StartedAtMS
	})
	e.applyDrains(u.Version, drained)
}

// applyDrains applies updates of endpoints that are draining or removed, whether or not their watch is still open.
func (e *Engine) applyDrains(version int64, endpoints []Endpoint) {
	if len(endpoints) > 0 {
		e.applyUpdate(EndpointUpdate{Kind: balancer.OutOfBand, Version: version, Endpoints: endpoints})
	}
}

// keepDrains decides which drains override an update of a new source. For staleListPeriod after a change of the source,
// an endpoint that is known to be draining keeps that state if the update lists the same process as active and has a
// lower version than the list that contained the drain. keepDrains modifies u accordingly and reports whether it found
// such an endpoint; the complete list must then be requested again at the end of staleListPeriod.
//
// Guard: prevents requests to a draining endpoint after a change to a source whose list is older: they would fail when
// the endpoint stops. This holds because the new source learns of the drain before the end of staleListPeriod.
func (e *Engine) keepDrains(u EndpointUpdate) (found bool) {
	now := time.Now()
	for id, d := range e.drains {
		if now.Sub(d.notifiedAt) > staleListPeriod {
			delete(e.drains, id)
		}
	}
	if e.sourceChangedAt.IsZero() || now.Sub(e.sourceChangedAt) >= staleListPeriod {
		return false
	}
	for i, ep := range u.Endpoints {
		d, ok := e.drains[ep.ID]
		if ok && isActive(ep) && ep.StartedAtMS == d.startedAtMS && u.Version < d.version {
			u.Endpoints[i].State = balancer.Draining
			found = true
		}
	}
	return found
}
