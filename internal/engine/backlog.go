package engine

import "time"

const (
	// maxBacklogWait limits how long an attempt waits for updates of the endpoint list that have arrived. A higher
	// value delays requests more if updates arrive faster than they can be applied; a lower one lets an overloaded
	// process send requests to endpoints whose drains it has received.
	maxBacklogWait = 200 * time.Millisecond
	// backlogPollInterval is the interval at which a waiting attempt checks the backlog. A higher value delays requests
	// more; a lower one takes processor time from the application of the updates.
	backlogPollInterval = 5 * time.Millisecond
	// backlogPause is the time for which no attempt waits after one has waited in vain. A higher value lets more
	// attempts start despite a backlog; a lower one delays more requests if the backlog does not end.
	backlogPause = time.Second
)

// BacklogReporter is an optional interface of a Source.
type BacklogReporter interface {
	// HasBacklog reports whether data of the endpoint list has arrived that was not read yet. It is called from any
	// goroutine, before each attempt, and must not block.
	HasBacklog() bool
}

// setSource makes s the source. Attempts consider its backlog from now on.
func (e *Engine) setSource(s Source) {
	e.source = s
	hasBacklog := func() bool { return false }
	if reporter, ok := s.(BacklogReporter); ok {
		hasBacklog = reporter.HasBacklog
	}
	e.sourceHasBacklog.Store(&hasBacklog)
}

// awaitUpdates waits until all updates of the endpoint list that have arrived are applied, for at most maxBacklogWait,
// and returns how long it has waited. Attempts call it in their own goroutines, before they are written.
//
// Guard: prevents an overloaded process from sending requests to endpoints whose drains have arrived but wait for the
// processor behind these requests. This holds for backlogs that end within maxBacklogWait; the waiting attempts leave
// the processor to the updates.
func (e *Engine) awaitUpdates() time.Duration {
	start := time.Now()
	if start.UnixNano() < e.noWaitUntil.Load() {
		return 0
	}
	for e.hasBacklog() {
		if time.Since(start) >= maxBacklogWait {
			e.noWaitUntil.Store(time.Now().Add(backlogPause).UnixNano())
			break
		}
		time.Sleep(backlogPollInterval)
	}
	return time.Since(start)
}

// hasBacklog reports whether updates of the endpoint list have arrived that are not applied yet.
func (e *Engine) hasBacklog() bool {
	return e.updatesInFlight.Load() > 0 || (*e.sourceHasBacklog.Load())()
}
