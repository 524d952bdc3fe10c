package engine

import "slices"

// handlePartial applies the entries of updates that have not arrived completely. Partial updates that are queued behind
// u are applied together with it, because each application takes time in proportion to the length of the list. The
// first other update behind them becomes e.deferredUpdate.
func (e *Engine) handlePartial(u watchUpdate) {
	entries := u.Endpoints
	for e.deferredUpdate == nil && len(e.updates) > 0 { // only this goroutine receives from updates
		queued := <-e.updates
		if queued.Partial && queued.watch == u.watch {
			entries = append(entries, queued.Endpoints...)
			e.updatesInFlight.Add(-1)
		} else {
			e.deferredUpdate = &queued
		}
	}
	u.Endpoints = slices.DeleteFunc(entries, func(ep Endpoint) bool { return !e.appliesEarly(u.watch, ep) })
	if len(u.Endpoints) > 0 {
		e.applyUpdate(u.EndpointUpdate)
	}
}

// takeDeferredUpdate returns the update that handlePartial has deferred, if there is one.
func (e *Engine) takeDeferredUpdate() (u watchUpdate, ok bool) {
	if e.deferredUpdate == nil {
		return watchUpdate{}, false
	}
	u, e.deferredUpdate = *e.deferredUpdate, nil
	return u, true
}

// appliesEarly decides whether an entry is applied before the rest of its update has arrived. It is applied if it shows
// that the process in use is draining or was replaced, whatever the rest of the update says: a process that drains or
// was replaced never becomes active again. A newer process is applied early only if the current watch reports it.
//
// Guard: prevents requests to draining endpoints while a large list is arriving, or after its connection was reset: the
// sidecar counts as notified of each entry that was written. This holds because entries are passed on as they arrive.
func (e *Engine) appliesEarly(w *watch, ep Endpoint) bool {
	startedAtMS, active := e.activeProcesses[ep.ID]
	switch {
	case !active:
		return false
	case isActive(ep):
		return w == e.watch && ep.StartedAtMS > startedAtMS
	}
	return ep.StartedAtMS >= startedAtMS
}
