package engine

import (
	"time"

	"hazelwing/balancer"
)

// callArrived is the event that Do has accepted a call.
type callArrived struct{ call *Call }

func (v callArrived) handle(e *Engine) { e.handleCall(v.call) }

// callDisconnected is the event that a call's context has ended.
type callDisconnected struct{ call *Call }

func (v callDisconnected) handle(e *Engine) { e.handleDisconnect(v.call) }

// handleCall passes a new call to the Balancer, unless immediateResult determines its result.
func (e *Engine) handleCall(c *Call) {
	e.addPriorAttempts(c)
	if r, ok := e.immediateResult(c); ok {
		e.traceResult(c, &r, balancer.NoReason)
		c.answered = true // prevents a second result after the client's disconnect
		c.result <- r
		return
	}
	if len(e.calls) == 0 {
		e.stalls.start(time.Now())
		e.heartbeat.Reset(heartbeatInterval)
	}
	e.calls[c.ID] = c
	e.decide(e.balancerRequest(c))
}

// balancerRequest converts a call to a balancer.Request, with times on the Balancer's clock.
func (e *Engine) balancerRequest(c *Call) balancer.Request {
	r := balancer.Request{
		ID:           c.ID,
		Class:        c.Class,
		Tenant:       c.Tenant,
		AffinityKey:  c.AffinityKey,
		ExpiresAt:    e.clock.fromTime(c.ExpiresAt),
		ExpectedWork: c.ExpectedWork,
	}
	for _, p := range c.PriorAttempts {
		prior := balancer.PriorAttempt{Location: p.Location, SentAt: e.clock.fromTime(p.SentAt)}
		r.PriorAttempts = append(r.PriorAttempts, prior)
	}
	return r
}

// handleDisconnect ends a call whose client has disconnected. Attempts that have not been written are cancelled.
// Written attempts are cancelled only if Config.CancelOnDisconnect is set, because their outcomes still provide
// information about their endpoints.
func (e *Engine) handleDisconnect(c *Call) {
	if c.answered {
		if c.streamAttempt != noAttempt { // the client disconnected while its stream was starting
			c.attempts[c.streamAttempt].exchange.Cancel()
		}
		return
	}
	e.closeCall(c)
	r := c.disconnectedResult()
	e.traceResult(c, &r, balancer.NoReason)
	c.result <- r
	e.decide(balancer.ClientDisconnected{ID: c.ID})
	if e.cancelOnDisconnect {
		c.cancelAttempts()
	}
	e.release(c)
}

// reject performs a Reject action: it answers the call with the result Rejected.
func (e *Engine) reject(a *balancer.Action) {
	c := e.calls[a.ID]
	if c == nil {
		return
	}
	e.reply(c, Result{Kind: Rejected, RetryAfter: a.RetryAfter, Err: c.lastErr}, a.Reason)
	e.release(c)
}

// fail performs a Fail action: it answers the call with the result Failed, which is marked as timed out if an attempt
// timed out or is still outstanding.
func (e *Engine) fail(a *balancer.Action) {
	c := e.calls[a.ID]
	if c == nil {
		return
	}
	e.reply(c, Result{
		Kind:     Failed,
		TimedOut: c.timedOut || c.outstanding > 0,
		Answer:   c.lastAnswer,
		Err:      c.lastErr,
	}, a.Reason)
	e.release(c)
}

// reply delivers a call's result, unless the call has one already or its client has disconnected. Every result of a
// call that the Balancer has seen is delivered here, except Disconnected. reason is the Balancer's, if it decided the
// result.
//
// Guard: prevents two results for one call whose answer, deadline and client disconnect coincide. The front would
// answer twice, or this goroutine would block. This holds because only this goroutine reads and sets answered.
func (e *Engine) reply(c *Call, r Result, reason balancer.Reason) {
	if c.answered {
		return
	}
	e.closeCall(c)
	r.Attempts = len(c.attempts)
	e.traceResult(c, &r, reason)
	c.result <- r
}

// closeCall marks a call as answered and cancels its attempts that have not been written yet.
func (e *Engine) closeCall(c *Call) {
	c.answered = true
	for _, a := range c.attempts {
		a.exchange.CancelUnsent()
	}
}

// release removes a call from the calls in flight if it has been answered and has no outstanding attempts.
func (e *Engine) release(c *Call) {
	if !c.answered || c.outstanding > 0 || e.calls[c.ID] != c {
		return
	}
	delete(e.calls, c.ID)
	if len(c.attempts) > 0 && e.remembers(c) {
		e.recent.end(c, time.Now())
	}
	if len(e.calls) == 0 {
		e.heartbeat.Stop()
	}
}
