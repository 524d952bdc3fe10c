package balancer

// This file implements the life of a request, from its arrival over its attempts to its one final answer.
// It decides when a request advances; the rules that it calls decide whether an attempt is made and where
// it is sent.
//
// Inputs: the events of the request and its attempts, its deadline and the usual latency (times of Handle's
// clock and durations), and the decisions of the rules.
//
// Why: each request gets exactly one final answer before its client stops waiting, either from an endpoint
// or from giveUp.
//
// A request is in one of these states. Each state ends with one of the named events:
//
//   - Probing: a pair was drawn for the next attempt (probe.go). A ProbeResult, or timerAdvance at the end
//     of the wait, calls advance.
//   - Waiting for an endpoint: no endpoint may be sent the next attempt, for example because all endpoints
//     are warming up. timerAdvance calls advance after eligiblePollTicks.
//   - Attempted: attempts are outstanding. The Outcome of the last one calls advance, unless it is the
//     final answer. If the retry budget is spent, the request is given up instead, except after
//     ConnectFailed. timerOverdue may send a hedge or cancel the attempt.
//   - Streaming: a FirstByte was received. No more attempts are made, and the deadline no longer applies.
//     The Outcome or ClientDisconnected ends the request.
//   - Done: the request has its final answer. It is kept until its outstanding attempts have had their
//     Outcomes.
//
// In each of the first three states, timerDeadline gives the request up, and ClientDisconnected ends it.

import (
	"slices"
	"time"
)

// eligiblePollTicks is the interval, in ticks, at which a request without an eligible endpoint looks for
// one again. A higher value means less work for waiting requests, but they are sent later.
const eligiblePollTicks = 2

// unreported is the value of attempt.reportedInFlight if no pair was drawn or there was no load report.
const unreported = -1

// noAttempt is a number that no attempt has.
const noAttempt = -1

// classState is a class of requests and its learned state.
type classState struct {
	Class
	meanSeconds      float64        // mean latency, in seconds
	timeLeft         usualTimeLeft  // usual time from arrival to the deadline
	unservedArrivals recentArrivals // arrival times of requests that no endpoint served
}

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	request          *request
	number           int
	endpoint         *endpoint
	location         Location // of the endpoint when the attempt was sent
	sentAt           time.Duration
	outstanding      bool
	reportedInFlight float64 // load that the endpoint reported since its pair was drawn, or unreported
	mayHaveRun       bool    // false only if it is certain that the request did not run
}

// answeredSince reports whether the attempt's endpoint has answered any attempt since this one was sent.
func (a *attempt) answeredSince() bool { return a.sentAt < a.endpoint.health.answeredAt }

// request is a request that has no final answer yet or has outstanding attempts.
type request struct {
	id              string
	class           *classState
	tenantIndex     int // -1 if the tenant is unknown
	arrivedAt       time.Duration
	expiresAt       time.Duration // when the client stops waiting (deadline.go)
	objectiveAt     time.Duration
	deadline        time.Duration // when the request is given up
	relativeWork    float64       // expected work, relative to the mean request
	priorAttempts   []PriorAttempt
	attempts        []*attempt
	outstanding     int
	lateClientRetry bool // a client retry that arrived after the objective of the first attempt
	done            bool
	streaming       bool          // a streamed answer has started
	overdueAt       time.Duration // when the latest attempt is overdue

	keyHash          uint64 // hash of the affinity key; 0 if there is none or KeyAffinity is off
	keyEndpointCount int    // number of endpoints that serve the key

	rank        float64 // rank of its weight among recent requests, 0 to 1
	admission   admissionVerdict
	pair        probedPair // pair probed for the next attempt
	pairsProbed int
}

func (r *request) lastAttempt() *attempt { return r.attempts[len(r.attempts)-1] }

func (r *request) hasTried(ep *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endpoint == ep })
}

// handleRequest admits a request and calls advance for its first attempt, or gives it up. It rejects a
// request of an unknown class, and ignores one whose ID is in use.
func (b *Balancer) handleRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	class := b.classes[e.Class]
	if class == nil { // safe, because this request has not run; PriorAttempts are not checked
		b.emit(Action{Kind: Reject, ID: e.ID, Reason: UnknownClass})
		return
	}
	r := b.newRequest(e, class)
	b.requests[r.id] = r
	b.admission.meter.inFlight.add(r, b.now)
	b.schedule(r.deadline, timerDeadline, r)
	if b.now >= r.deadline {
		b.giveUp(r, DeadlinePassed)
		return
	}
	if r.admission = b.admit(r); r.admission == shed {
		b.giveUp(r, LoadShed)
		return
	}
	b.refreshSubset()
	// Shed requests are not counted: a client that retries one would make the same work count twice.
	b.offeredRate.add(r.relativeWork, b.now)
	b.advance(r)
}

func (b *Balancer) newRequest(e Request, class *classState) *request {
	r := &request{
		id:            e.ID,
		class:         class,
		arrivedAt:     b.now,
		expiresAt:     e.ExpiresAt,
		priorAttempts: e.PriorAttempts,
		relativeWork:  b.latency.relativeWork(class, e.ExpectedWork),
	}
	r.tenantIndex = slices.IndexFunc(b.settings.Tenants, func(t Tenant) bool { return t.Name == e.Tenant })
	b.setDeadlines(r, e.ExpectedWork)
	b.setAffinity(r, e.AffinityKey)
	return r
}

// advance decides about the next attempt of a request that has none outstanding: the request waits for
// probes, is given up, is sent, or waits for an endpoint that is allowed to serve it. Each wait ends with
// another call, from handleProbeResult or for timerAdvance. handleRequest makes the first call, and
// handleOutcome calls advance after an attempt has ended.
func (b *Balancer) advance(r *request) {
	if len(r.attempts) > 0 && b.now+b.usualLatency(r) > r.deadline {
		b.giveUp(r, NoTimeForRetry)
		return
	}
	if !r.pair.isDrawn() && b.startProbes(r) || b.awaitsProbes(r) {
		return
	}
	switch b.admitToPair(r) {
	case pairRejects:
		b.giveUp(r, PairOverloaded)
		return
	case pairReplaced:
		return
	}
	if ep := b.pick(r); ep != nil {
		b.send(r, ep)
		return
	}
	if len(r.attempts) >= b.settings.MaxAttempts || b.retryForbidden(r) {
		b.giveUp(r, NoFurtherAttempt)
		return
	}
	b.logWarmUpDelay()
	b.schedule(b.now+eligiblePollTicks*b.settings.Tick, timerAdvance, r)
}

// send starts the next attempt. The caller must have checked mayAttempt, as pick does.
func (b *Balancer) send(r *request, ep *endpoint) {
	var notAfter time.Duration
	if first, ok := r.firstPossibleRun(); ok && r.class.Effect == Keyed {
		notAfter = b.idempotencyExpiry(r, first)
	}
	a := &attempt{
		request:          r,
		number:           len(r.attempts),
		endpoint:         ep,
		location:         ep.currentLocation(),
		sentAt:           b.now,
		outstanding:      true,
		mayHaveRun:       true,
		reportedInFlight: unreported,
	}
	if r.pair.isDrawn() && r.pair.hasReport(ep) {
		a.reportedInFlight = ep.inFlight
	}
	b.updateRetryBudget(a)
	r.attempts = append(r.attempts, a)
	r.outstanding++
	r.pair = probedPair{}
	ep.outstanding = append(ep.outstanding, a)
	ep.warmUp.spend(r.relativeWork)
	ep.inFlight++
	timeout := max(r.deadline-b.now, b.settings.Tick)
	b.emit(Action{Kind: Send, ID: r.id, Endpoint: ep.id, Timeout: timeout, NotAfter: notAfter})
	if r.class.Effect != NonIdempotent {
		r.overdueAt = b.now + b.overdueAfter(r)
		b.schedule(r.overdueAt, timerOverdue, r)
	}
}

// handleFirstByte treats the start of a streamed answer as the final answer.
func (b *Balancer) handleFirstByte(e FirstByte) {
	r := b.requests[e.ID]
	if r == nil || r.streaming {
		return
	}
	b.admission.meter.inFlight.remove(r, b.now)
	r.streaming = true
	b.cancelOthers(r, e.Attempt)
}

// handleOutcome records an attempt's outcome, and ends the request or advances it.
func (b *Balancer) handleOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].outstanding {
		return
	}
	b.recordOutcome(r.attempts[e.Attempt], e)
	if e.Finished && !r.done {
		b.cancelOthers(r, e.Attempt)
		b.adaptLimits(r)
		b.finish(r, e.Result == OK)
	}
	switch {
	case r.done:
		b.release(r)
	case r.outstanding > 0 || r.streaming: // another attempt is outstanding, or an answer is being streamed
	case e.Result != ConnectFailed && b.retries.isSpent():
		b.giveUp(r, RetryBudgetSpent)
	default:
		b.advance(r)
	}
}

func (b *Balancer) recordOutcome(a *attempt, e Outcome) {
	ep := a.endpoint
	a.outstanding = false
	a.mayHaveRun = e.Result.MayHaveRun()
	ep.processEnded = ep.processEnded || e.Result == ConnectFailed && e.Refused
	a.request.outstanding--
	ep.outstanding = slices.DeleteFunc(ep.outstanding, func(x *attempt) bool { return x == a })
	b.closeIdle(ep)
	if e.Load.isUsable() {
		b.recordLoad(ep, e.Load.InFlight)
	}
	b.observeOutcome(a, e.Result, e.Elapsed)
	b.updateHealth(a, e)
}

// giveUp ends a request with a final answer that comes from the sidecar, not from an endpoint.
func (b *Balancer) giveUp(r *request, reason Reason) {
	if r.done {
		return
	}
	b.cancelOthers(r, noAttempt)
	b.adaptLimits(r)
	action := Action{Kind: Fail, ID: r.id, Reason: reason}
	if r.mayReject() {
		action.Kind = Reject
		if b.settings.RetryAfter {
			action.RetryAfter = b.settings.MaxRetryAfter
		}
	}
	b.emit(action)
	b.finish(r, false)
}

// cancelOthers cancels all outstanding attempts except the one with number except. It does nothing if
// Cancellation is off.
func (b *Balancer) cancelOthers(r *request, except int) {
	for _, a := range r.attempts {
		if a.outstanding && a.number != except && b.settings.Cancellation {
			b.emit(Action{Kind: Cancel, ID: r.id, Attempt: a.number})
		}
	}
}

// finish marks a request as done; served reports whether an endpoint served it.
func (b *Balancer) finish(r *request, served bool) {
	if r.done {
		return
	}
	r.done = true
	if !served && !r.streaming {
		r.class.unservedArrivals.add(r.arrivedAt)
	}
	if !r.streaming {
		b.admission.meter.inFlight.remove(r, b.now)
	}
	b.release(r)
}

// release deletes a request that is done and expects no further outcomes.
func (b *Balancer) release(r *request) {
	if r.done && r.outstanding == 0 {
		delete(b.requests, r.id)
	}
}
