package balancer

import (
	"container/heap"
	"time"
)

// Handle takes the event e, which happened at now, and appends the actions that answer it to actions. A now
// before that of an earlier call counts as that one.
func (b *Balancer) Handle(now time.Duration, e Event, actions []Action) []Action {
	b.now = max(now, b.now)
	b.actions = actions
	switch e := e.(type) {
	case EndpointUpdate:
		b.handleEndpointUpdate(e)
	case Request:
		b.handleRequest(e)
	case FirstByte:
		b.handleFirstByte(e)
	case Outcome:
		b.handleOutcome(e)
	case ClientDisconnected:
		if r := b.requests[e.ID]; r != nil {
			b.finish(r, false)
		}
	case ProbeResult:
		b.handleProbeResult(e)
	case TimerFired:
		b.handleTimer()
	}
	b.armTimer()
	actions, b.actions = b.actions, nil
	return actions
}

// handleTimer runs the timers that are due.
func (b *Balancer) handleTimer() {
	if b.now >= b.timerAt {
		b.timerAt = 0
	}
	for b.timers.isDue(b.now) {
		switch t := heap.Pop(&b.timers).(timer); {
		case t.kind == timerSubscribe:
			if !b.subscribing && !b.subscribed {
				b.subscribe()
			}
		case t.request.done || t.request.streaming:
		case t.kind == timerDeadline:
			b.giveUp(t.request)
		case t.kind == timerLate:
			b.handleLateAttempt(t.request)
		case t.request.outstanding == 0:
			b.advance(t.request)
		}
	}
}
