package engine

import "time"

// firstUpdateTimeout limits how long calls wait for the first update of a pushed list. The source of a pushed list is
// an agent on this machine, which normally answers at once. With a higher value, the first calls after a start wait
// longer if the agent does not answer; with a lower value, more of them may be sent according to the cached list before
// a slow agent's first update arrives.
const firstUpdateTimeout = 250 * time.Millisecond

// publishCachedList applies the cached list before any watch is opened, and then opens the watch of a pushed list. A
// watch continues from the version of the cached list and delivers only later changes, so the endpoints of the cached
// list would otherwise never be applied.
func (e *Engine) publishCachedList() {
	e.handleUpdate(watchUpdate{EndpointUpdate: e.cachedList})
	e.cachedList.Endpoints = nil
	if e.listIsPushed {
		e.startWatch(0)
	}
}

// awaitFirstUpdate waits for the first complete update of a pushed list and handles it and the partial updates before
// it. If none arrives within firstUpdateTimeout, or if done is closed first, it returns without one. Calls then use the
// cached list, and also if the first update is of kind WatchFailed.
//
// Guard: prevents the first calls from going to endpoints that started draining after the cached list was saved: these
// calls would fail when the endpoints stop. If the update arrives in time, this holds because no call is handled before
// awaitFirstUpdate returns.
func (e *Engine) awaitFirstUpdate(done <-chan struct{}) {
	timeout := time.NewTimer(firstUpdateTimeout)
	defer timeout.Stop()
	for {
		u, ok := e.takeDeferredUpdate()
		if !ok {
			select {
			case u = <-e.updates:
			case <-timeout.C:
				return
			case <-done:
				return
			}
		}
		e.handleUpdate(u)
		if !u.Partial {
			return
		}
	}
}
