package engine

import (
	"context"
	"log/slog"
	"time"

	"hazelwing/balancer"
)

// event is an event that Run's goroutine handles: callArrived, callDisconnected, streamStarted, attemptEnded,
// probeEnded, sourceChanged, relistDue or reconfigured. Updates of the endpoint list have a separate queue.
type event interface {
	handle(e *Engine)
}

// Run handles events until ctx ends. It then answers every call in flight and returns when every exchange has ended. A
// call is answered with Rejected if neither it nor an earlier call for the same effect started an attempt, and with
// Failed otherwise.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.closed)
	defer e.heartbeat.Stop()
	defer e.timer.Stop()
	e.publishCachedList()
	if e.listIsPushed {
		e.awaitFirstUpdate(ctx.Done())
	}
	for e.step(ctx.Done()) {
	}
	e.shutDown()
}

// step handles one event. It returns false if done is closed, but may handle queued events first.
//
// Guard: prevents two results for a call whose deadline, time-out and answer coincide: its front would answer twice, or
// an attempt would be sent for a call that already has its result. This holds because one goroutine handles all events
// in sequence, and each event sees the changes made by the events before it.
func (e *Engine) step(done <-chan struct{}) bool {
	if e.pendingBalancers.Load() > 0 {
		e.balancer.SetBalancers(int(e.pendingBalancers.Swap(0)))
	}
	// Updates of the endpoint list take precedence, so that they do not wait behind a burst of calls.
	if u, ok := e.takeDeferredUpdate(); ok {
		e.handleUpdate(u)
		return true
	}
	select {
	case u := <-e.updates:
		e.checkStall()
		e.handleUpdate(u)
		return true
	default:
	}
	select {
	case <-done:
		return false
	case u := <-e.updates:
		e.checkStall()
		e.handleUpdate(u)
	case <-e.heartbeat.C:
		e.checkStall()
	case <-e.timer.C:
		e.checkStall()
		e.handleTimer()
	case v := <-e.events:
		e.checkStall()
		v.handle(e)
	}
	return true
}

// checkStall detects and logs a stall of the process. step calls it before each event, because the stall may have
// caused the event.
func (e *Engine) checkStall() {
	if d := e.stalls.detect(time.Now(), len(e.calls) > 0); d > 0 {
		e.log.Warn("process was stalled", "duration", d.Round(time.Millisecond))
	}
}

// handleTimer passes the timer event to the Balancer. For postStallTimerDelay after a stall it delays the event, so
// that answers that arrived during the stall are handled first.
func (e *Engine) handleTimer() {
	e.timerAt = time.Time{}
	if until := e.stalls.timersDelayedUntil; time.Now().Before(until) {
		e.setTimer(until)
		return
	}
	e.decide(balancer.TimerFired{})
}

func (e *Engine) setTimer(at time.Time) {
	if e.timerAt.IsZero() || at.Before(e.timerAt) {
		e.timerAt = at
		e.timer.Reset(time.Until(at))
	}
}

// decide passes an event to the Balancer and performs the resulting actions in order.
func (e *Engine) decide(v balancer.Event) {
	if e.stopping {
		return
	}
	e.actions = e.balancer.Handle(e.clock.now(), v, e.actions[:0])
	for i := range e.actions {
		e.carryOut(&e.actions[i])
	}
}

// carryOut performs one action of the Balancer. It ignores a Subscribe action while a watch is open.
//
// Guard: prevents a Subscribe action after a backoff from replacing a watch that a change of the source has opened and
// that has not answered yet: drains would be learned later than necessary. This holds because e.watch is not nil while
// such a watch is open.
func (e *Engine) carryOut(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		e.send(a)
	case balancer.Cancel:
		e.cancelAttempt(a)
	case balancer.Reject:
		e.reject(a)
	case balancer.Fail:
		e.fail(a)
	case balancer.SetTimer:
		e.setTimer(e.clock.toTime(a.At))
	case balancer.Subscribe:
		if e.watch == nil {
			e.startWatch(0)
		}
	case balancer.CloseIdle:
		e.transport.CloseIdle(a.Endpoint)
	case balancer.Probe:
		e.probe(a.Endpoint)
	case balancer.Log:
		e.logAction(a)
	}
}

func (e *Engine) logAction(a *balancer.Action) {
	attributes := make([]any, 0, len(a.Attributes))
	for _, x := range a.Attributes {
		attributes = append(attributes, slog.Any(x.Key, x.Value))
	}
	e.log.Info(a.Text, attributes...)
}
