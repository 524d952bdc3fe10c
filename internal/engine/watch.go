package engine

// Which part of an update is applied depends on its kind and on the watch that delivered it (handleUpdate):
//
//	delivered by      list or delta                                  WatchFailed
//	---------------   --------------------------------------------   ------------------------------------
//	current watch     everything, except that drains retained by     the list is kept and watched again
//	                  keepDrains stay in effect                      (handleWatchFailed)
//	previous source   only endpoints that are draining, removed or   the list is kept; the watch is not
//	                  missing from its complete list                 reopened
//	replaced watch    only drains and removals of active processes   ignored
//	any watch         OutOfBand: everything                          -
//	any watch         partial: what appliesEarly selects             -
//
// The cached list is not delivered by a watch. It is handled like an update of the current watch, because no watch is
// open at that time.

import (
	"context"
	"time"

	"hazelwing/balancer"
)

// watch is an open watch, that is, a call of Source.Watch that has not been stopped.
type watch struct{ stop context.CancelFunc }

// close stops the watch. w may be nil.
func (w *watch) close() {
	if w != nil {
		w.stop()
	}
}

// watchUpdate is an update and the watch that delivered it; the watch is nil for the cached list.
type watchUpdate struct {
	watch *watch
	EndpointUpdate
}

// startWatch closes the current watch, if any, and opens a new one that begins after delay. The watch of the previous
// source stays open.
func (e *Engine) startWatch(delay time.Duration) {
	e.watch.close()
	w := new(watch)
	e.watch = w
	w.stop = e.source.Watch(e.version, delay, func(u EndpointUpdate) {
		e.updatesInFlight.Add(1)
		select {
		case e.updates <- watchUpdate{w, u}:
		case <-e.closed:
			e.updatesInFlight.Add(-1)
		}
	})
}

// handleUpdate handles an update depending on its kind and the watch that delivered it.
func (e *Engine) handleUpdate(u watchUpdate) {
	if u.watch != nil { // the cached list is not delivered by a watch
		defer e.updatesInFlight.Add(-1)
	}
	switch {
	case u.Partial:
		e.handlePartial(u)
	case u.Kind == balancer.OutOfBand:
		// The update did not result from the watch, so it applies even if the watch has failed. Its sender will not
		// repeat it.
		e.applyUpdate(u.EndpointUpdate)
	case u.watch != nil && u.watch == e.previousWatch:
		e.applyFromPrevious(u.EndpointUpdate)
	case u.watch != e.watch:
		e.applyFromReplaced(u.EndpointUpdate)
	case u.Kind == balancer.WatchFailed:
		e.version = u.Version
		e.handleWatchFailed(u.EndpointUpdate)
	default:
		e.version = u.Version
		e.handleCurrentUpdate(u)
	}
}

// handleWatchFailed decides when the list is watched again after a watch has failed. A pushed list is watched again
// after a delay from watchBackoff (backoff.AgentConfig); the backoff restarts when the source becomes reachable again.
// Any other list is watched again at the Balancer's next Subscribe action. Meanwhile, calls use the known list.
func (e *Engine) handleWatchFailed(u EndpointUpdate) {
	e.watch = nil
	newlyReached := u.Reachable && !e.sourceReachable
	e.sourceReachable = u.Reachable
	if !e.pushedWatchFailed {
		e.log.Warn("endpoint list watch failed", "error", u.Err)
	}
	if !e.listIsPushed {
		e.decide(balancer.EndpointUpdate{Kind: balancer.WatchFailed, NewlyReached: newlyReached})
		return
	}
	e.pushedWatchFailed = true
	e.startWatch(e.watchBackoff.CallFailed(e.clock.now(), newlyReached) - e.clock.now())
}

// handleCurrentUpdate applies the cached list or an update of the current watch.
func (e *Engine) handleCurrentUpdate(u watchUpdate) {
	e.pushedWatchFailed = false
	e.sourceReachable = true
	if u.watch != nil {
		e.previousWatch.close()
		e.previousWatch = nil
	}
	if e.keepDrains(u.EndpointUpdate) {
		w := e.watch
		time.AfterFunc(staleListPeriod-time.Since(e.sourceChangedAt), func() { e.post(relistDue{w}) })
	}
	e.applyUpdate(u.EndpointUpdate)
}
