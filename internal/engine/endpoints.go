package engine

import (
	"context"
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
)

// staleListPeriod is how long after a change of the source a list of a lower version than that of a drain is not
// believed about it. An update of discovery counts as known after this time at the latest: by then the new source has
// it.
const staleListPeriod = backoff.NotificationDeadline

// watch is one open call of a source's Watch.
type watch struct{ stop context.CancelFunc }

// close stops a watch. It may be nil.
func (w *watch) close() {
	if w != nil {
		w.stop()
	}
}

// watchUpdate is an update with the watch that brought it; nil for the cached list.
type watchUpdate struct {
	watch *watch
	EndpointUpdate
}

// drain is the update that an endpoint's process is draining or removed.
type drain struct {
	startedAtMS float64 // of the process
	version     int64   // of the list that said so
	notifiedAt  time.Time
}

// sourceChanged is the event of SetSource.
type sourceChanged struct{ source Source }

func (v sourceChanged) handle(e *Engine) { e.changeSource(v.source) }

// relistDue is the event that a source whose list was out of date when watch brought it has had time to catch up.
type relistDue struct{ watch *watch }

func (v relistDue) handle(e *Engine) {
	if v.watch == e.watch && !e.stopping {
		e.version = UnknownVersion
		e.startWatch(0)
	}
}

// startWatch replaces the open watch by a new one, which begins after delay.
func (e *Engine) startWatch(delay time.Duration) {
	e.watch.close()
	w := new(watch)
	e.watch = w
	w.stop = e.source.Watch(e.version, delay, func(u EndpointUpdate) {
		select {
		case e.updates <- watchUpdate{w, u}:
		case <-e.closed:
		}
	})
}

// changeSource opens a watch of another source at once: its versions may be others, and the Balancer's backoff after
// failures belongs to the old source. Calls go on by the known list, and the old watch stays open until the new one
// has answered. A new source may be unreachable, or reject many engines that all changed to it at once: until it
// answers, only the old one tells of drains. There are two watches at most.
func (e *Engine) changeSource(s Source) {
	if e.stopping {
		return
	}
	if e.previousWatch == nil {
		e.previousWatch = e.watch
		e.watch = nil
	}
	e.source = s
	e.sourceChangedAt = time.Now()
	e.listLost = false
	e.sourceReachable = false
	if e.version != NoVersion {
		e.version = UnknownVersion
	}
	e.startWatch(0)
}

// handleUpdate handles an update by the watch that brought it.
func (e *Engine) handleUpdate(u watchUpdate) {
	switch {
	case u.Kind == balancer.OutOfBand:
		// It did not come by the watch, and applies also while that has failed: its sender will not repeat it.
		e.applyUpdate(u.EndpointUpdate)
	case u.watch != nil && u.watch == e.previousWatch:
		e.applyFromPrevious(u.EndpointUpdate)
	case u.watch != e.watch:
		e.applyLate(u.EndpointUpdate)
	case u.Kind == balancer.WatchFailed:
		e.version = u.Version
		e.handleWatchFailed(u.EndpointUpdate)
	default:
		e.version = u.Version
		e.handleCurrentUpdate(u)
	}
}

// handleWatchFailed starts the next watch of a pushed list after a pause, or leaves that to the Balancer.
func (e *Engine) handleWatchFailed(u EndpointUpdate) {
	e.watch = nil
	newlyReached := u.Reachable && !e.sourceReachable
	e.sourceReachable = u.Reachable
	if !e.listLost {
		e.log.Warn("endpoint list watch failed", "error", u.Err)
	}
	if !e.listIsPushed {
		e.decide(balancer.EndpointUpdate{Kind: balancer.WatchFailed, NewlyReached: newlyReached})
		return
	}
	e.listLost = true
	e.startWatch(e.watchBackoff.CallFailed(e.clock.now(), newlyReached) - e.clock.now())
}

// handleCurrentUpdate applies an update of the open watch, or the cached list.
func (e *Engine) handleCurrentUpdate(u watchUpdate) {
	e.listLost = false
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

// applyFromPrevious takes from an update of the previous source only which endpoints drain or are removed. An
// endpoint that its complete list no longer has is removed.
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
		for id := range e.activeSince {
			if !listed[id] {
				drained = append(drained, Endpoint{ID: id, State: balancer.Removed})
			}
		}
	}
	e.applyDrains(u.Version, drained)
}

// applyLate takes from an update of a watch that has been replaced only the drains of processes that are still known.
func (e *Engine) applyLate(u EndpointUpdate) {
	drained := slices.DeleteFunc(slices.Clone(u.Endpoints), func(ep Endpoint) bool {
		startedAtMS, active := e.activeSince[ep.ID]
		return isActive(ep) || !active || startedAtMS != ep.StartedAtMS
	})
	e.applyDrains(u.Version, drained)
}

func (e *Engine) applyDrains(version int64, endpoints []Endpoint) {
	if len(endpoints) > 0 {
		e.applyUpdate(EndpointUpdate{Kind: balancer.OutOfBand, Version: version, Endpoints: endpoints})
	}
}

func isActive(ep Endpoint) bool { return ep.State == balancer.Active }

// keepDrains corrects an update that a new source made from an older list: an endpoint whose drain is known keeps
// draining, as the same process, until the source has had time to learn of it. It reports whether it found one; then
// the list is to be asked for again after that time.
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

// applyUpdate passes an update on to the transport and the Balancer.
func (e *Engine) applyUpdate(u EndpointUpdate) {
	complete := u.Kind == balancer.CompleteList || u.Kind == balancer.CachedList
	e.transport.Update(complete, u.Endpoints, time.Now())
	before := e.activeSince
	if complete {
		e.activeSince = make(map[string]float64, len(u.Endpoints))
	}
	endpoints := make([]balancer.Endpoint, len(u.Endpoints))
	for i, ep := range u.Endpoints {
		if isActive(ep) {
			e.activeSince[ep.ID] = ep.StartedAtMS
		} else if startedAtMS, active := before[ep.ID]; active {
			delete(e.activeSince, ep.ID)
			e.drains[ep.ID] = drain{startedAtMS, u.Version, time.Now()}
		}
		endpoints[i] = balancer.Endpoint{
			ID:        ep.ID,
			Zone:      ep.Zone,
			Kind:      ep.Kind,
			Cell:      ep.Cell,
			State:     ep.State,
			StartedAt: e.clock.fromUnixMS(ep.StartedAtMS),
		}
	}
	e.decide(balancer.EndpointUpdate{Kind: u.Kind, Endpoints: endpoints})
}
