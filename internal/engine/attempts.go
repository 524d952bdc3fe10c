package engine

import (
	"time"

	"hazelwing/balancer"
)

// probeTimeout is the maximum duration of a probe. With a higher value, a hanging endpoint is detected later; with a
// lower value, an endpoint that is slow under load is treated as unresponsive.
const probeTimeout = 400 * time.Millisecond

// noAttempt is used in place of an attempt's number if there is no attempt.
const noAttempt = -1

// attempt is one attempt of a Call.
type attempt struct {
	exchange       Exchange
	sentAt         time.Time
	streamAccepted chan bool // receives whether the attempt's stream becomes the call's result; buffered
}

// streamStarted is the event that the stream of an attempt has started. The attempt's goroutine waits for
// streamAccepted.
type streamStarted struct {
	call    *Call
	attempt int
	answer  any
}

func (v streamStarted) handle(e *Engine) { e.handleStreamStart(v) }

// attemptEnded is the event that an attempt has ended, with its outcome.
type attemptEnded struct {
	call    *Call
	attempt int
	Outcome
}

func (v attemptEnded) handle(e *Engine) { e.handleAttemptEnd(v) }

// probeEnded is the event that a probe has ended, with its outcome.
type probeEnded struct {
	endpoint string
	sentAt   time.Time
	Outcome
}

func (v probeEnded) handle(e *Engine) { e.handleProbeEnd(v) }

// send performs a Send action. It starts the attempt in its own goroutine, which queues the event attemptEnded when the
// attempt ends. shutDown waits for this event.
func (e *Engine) send(a *balancer.Action) {
	c := e.calls[a.ID]
	if c == nil { // a bug: the Balancer sends attempts only for calls in flight
		e.log.Error("attempt not sent: no call with this ID is in flight", "request", a.ID, "endpoint", a.Endpoint)
		return
	}
	if a.NotAfter > 0 { // checked by MayStart
		c.notAfter = e.clock.toTime(a.NotAfter)
	}
	x := e.transport.Attempt(a.Endpoint, c, a.Timeout)
	if x == nil { // a bug: the transport and the Balancer have the same endpoint list
		e.log.Error("attempt not sent: the transport does not know the endpoint",
			"request", a.ID, "endpoint", a.Endpoint)
		return
	}
	e.traceAttempt(c, a)
	number := len(c.attempts)
	att := &attempt{exchange: x, sentAt: time.Now(), streamAccepted: make(chan bool, 1)}
	c.attempts = append(c.attempts, att)
	if e.remembers(c) {
		e.recent.begin(c, number, PriorAttempt{Location: e.locations[a.Endpoint], SentAt: att.sentAt})
	}
	c.outstanding++
	e.exchangesInFlight++
	begin := func(answer any) bool {
		e.events <- streamStarted{c, number, answer}
		return <-att.streamAccepted
	}
	go func() {
		waited := e.awaitUpdates()
		outcome := x.Run(begin)
		outcome.Elapsed = max(0, outcome.Elapsed-waited)
		e.events <- attemptEnded{c, number, outcome}
	}()
}

// cancelAttempt performs a Cancel action.
func (e *Engine) cancelAttempt(a *balancer.Action) {
	if c := e.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
		c.attempts[a.Attempt].exchange.Cancel()
	}
}

// handleStreamStart delivers an attempt's stream as the result of its call, unless the call already has a result.
func (e *Engine) handleStreamStart(v streamStarted) {
	c := v.call
	accepted := !c.answered
	if accepted {
		c.streamAttempt = v.attempt
		e.reply(c, Result{Kind: Streaming, Answer: v.answer}, balancer.NoReason)
		e.decide(balancer.FirstByte{ID: c.ID, Attempt: v.attempt})
	}
	c.attempts[v.attempt].streamAccepted <- accepted
}

// handleAttemptEnd decides how an attempt's outcome affects its call. A final answer becomes the result, even if the
// outcome counts as a failure of the endpoint. Any other answer is kept for the result in case the call fails, and the
// Balancer decides whether to retry. The client sees a time-out as a time-out even if a stall of this process caused
// it.
func (e *Engine) handleAttemptEnd(v attemptEnded) {
	c := v.call
	c.outstanding--
	e.exchangesInFlight--
	timedOut := v.Result == balancer.Timeout
	e.stalls.correctOutcome(&v.Outcome, c.attempts[v.attempt].sentAt, time.Now())
	e.traceOutcome(c, v.attempt, &v.Outcome)
	if !v.Result.MayHaveRun() && e.remembers(c) {
		e.recent.forget(c, v.attempt)
	}
	if v.Final {
		e.reply(c, Result{Kind: Served, Answer: v.Answer}, balancer.NoReason)
	} else {
		c.recordFailure(&v.Outcome, timedOut)
		e.endIfDisconnected(c)
	}
	e.decide(balancer.Outcome{
		ID:       c.ID,
		Attempt:  v.attempt,
		Result:   v.Result,
		Elapsed:  v.Elapsed,
		Finished: c.answered,
		Load:     v.Load,
		Refused:  v.Refused,
		Expired:  v.Expired,
	})
	e.release(c)
}

// endIfDisconnected ends a call whose client has disconnected, before the Balancer decides whether to retry it.
//
// Guard: prevents a retry for a client whose disconnect event is still queued: an attempt would start after the client
// has disconnected. This holds because handling the failure checks the client's connection directly.
func (e *Engine) endIfDisconnected(c *Call) {
	if !c.answered && c.hasDisconnected() {
		e.handleDisconnect(c)
	}
}

// recordFailure stores the error and answer of an attempt for the result of its call.
func (c *Call) recordFailure(o *Outcome, timedOut bool) {
	c.timedOut = c.timedOut || timedOut
	if o.Err != nil {
		c.lastErr = o.Err
	}
	if o.Answer != nil {
		c.lastAnswer = o.Answer
	}
}

// probe starts a probe in its own goroutine, which queues the event probeEnded when the probe ends. shutDown waits for
// this event.
func (e *Engine) probe(endpoint string) {
	x := e.transport.Probe(endpoint, probeTimeout)
	if x == nil {
		return
	}
	e.exchangesInFlight++
	sentAt := time.Now()
	refuseStream := func(any) bool { return false }
	go func() { e.events <- probeEnded{endpoint, sentAt, x.Run(refuseStream)} }()
}

// handleProbeEnd passes a probe's outcome to the Balancer.
func (e *Engine) handleProbeEnd(v probeEnded) {
	e.exchangesInFlight--
	e.stalls.correctOutcome(&v.Outcome, v.sentAt, time.Now())
	e.decide(balancer.ProbeResult{
		Endpoint: v.endpoint,
		Result:   v.Result,
		Elapsed:  v.Elapsed,
		Load:     v.Load,
	})
}
