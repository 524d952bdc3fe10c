package engine

import (
	"context"
	"log/slog"
	"time"

	"hazelwing/balancer"
)

// firstUpdateTimeout is how long calls wait for the first update of a pushed list. Its source is an agent on this
// machine that answers at once, and what it has counts as known from the start of this process on; where it is silent
// the cached list has to do.
const firstUpdateTimeout = 250 * time.Millisecond

// event is something that Run's goroutine handles: the types callArrived, callDisconnected, streamStarted,
// attemptEnded, probeEnded, sourceChanged, relistDue and reconfigured. Updates of the endpoint list have a queue of
// their own.
type event interface {
	handle(e *Engine)
}

// Run handles events until ctx ends. Then it gives every call in flight its result, Rejected if no attempt of it was
// started and Failed otherwise, and returns when every exchange has ended.
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

// publishCachedList applies the cached list before any watch is opened. Otherwise it would be lost: a watch goes on
// from its version and brings only what has changed since.
func (e *Engine) publishCachedList() {
	e.handleUpdate(watchUpdate{EndpointUpdate: e.cachedList})
	e.cachedList.Endpoints = nil
	if e.listIsPushed {
		e.startWatch(0)
	}
}

// awaitFirstUpdate waits for the first update of a pushed list before any call is handled, so that no call is sent by
// a list that was out of date when this process started.
func (e *Engine) awaitFirstUpdate(done <-chan struct{}) {
	timeout := time.NewTimer(firstUpdateTimeout)
	defer timeout.Stop()
	select {
	case u := <-e.updates:
		e.handleUpdate(u)
	case <-timeout.C:
	case <-done:
	}
}

// step handles one event and reports whether to go on; it does not once done is closed.
func (e *Engine) step(done <-chan struct{}) bool {
	if e.pendingBalancers.Load() > 0 {
		e.balancer.SetBalancers(int(e.pendingBalancers.Swap(0)))
	}
	// Updates of the endpoint list go first: they must not wait behind a burst of calls.
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

// checkStall notices that the process was stalled, before an event is handled that the stall may have caused.
func (e *Engine) checkStall() {
	if d := e.stalls.check(time.Now(), len(e.calls) > 0); d > 0 {
		e.log.Warn("process was stalled", "duration", d.Round(time.Millisecond))
	}
}

// handleTimer passes the timer on to the Balancer, later if the process was stalled a moment ago.
func (e *Engine) handleTimer() {
	e.timerAt = time.Time{}
	if until := e.stalls.settledAt; time.Now().Before(until) {
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

// decide passes an event to the Balancer and carries out its actions in order.
func (e *Engine) decide(v balancer.Event) {
	if e.stopping {
		return
	}
	e.actions = e.balancer.Handle(e.clock.now(), v, e.actions[:0])
	for i := range e.actions {
		e.carryOut(&e.actions[i])
	}
}

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
		e.setTimer(e.clock.timeAt(a.At))
	case balancer.Subscribe:
		if e.watch == nil { // otherwise the source was changed while the Balancer waited, and is being watched
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

// shutDown answers all calls in flight and waits for every exchange. The Balancer is no longer asked.
func (e *Engine) shutDown() {
	e.stopping = true
	e.watch.close()
	e.previousWatch.close()
	for _, c := range e.calls {
		if len(c.attempts) == 0 && len(c.PriorAttempts) == 0 {
			e.reply(c, Result{Kind: Rejected, Err: errClosed})
		}
		e.reply(c, Result{Kind: Failed, Answer: c.lastAnswer, Err: errClosed})
		c.cancelAttempts()
	}
	for e.exchanges > 0 {
		select {
		case <-e.updates:
		case v := <-e.events:
			v.handle(e)
		}
	}
}
