package balancer

import (
	"slices"
	"time"
)

// handleRequest admits a request and starts its first attempt, or rejects it.
func (b *Balancer) handleRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	class := b.classes[e.Class]
	if class == nil { // nothing has run and nothing is known of the request
		b.emit(Action{Kind: Reject, ID: e.ID})
		return
	}
	r := b.newRequest(e, class)
	b.requests[r.id] = r
	b.trackInFlight(r, 1)
	b.schedule(r.deadline, timerDeadline, r)
	if b.now >= r.deadline || !b.admit(r) {
		b.giveUp(r)
		return
	}
	if b.now-b.subsetChosenAt > subsetPeriod/4 {
		b.chooseSubset()
	}
	b.offeredRate.add(r.cost, b.now) // without rejected requests, whose repeats would count again
	b.advance(r)
}

func (b *Balancer) newRequest(e Request, class *classState) *request {
	r := &request{
		id:            e.ID,
		class:         class,
		arrivedAt:     b.now,
		expiresAt:     e.ExpiresAt,
		priorAttempts: e.PriorAttempts,
		cost:          b.relativeCost(class, e.ExpectedWork),
	}
	r.tenantIndex = slices.IndexFunc(b.settings.Tenants, func(t Tenant) bool { return t.Name == e.Tenant })
	objective := class.LatencyObjective + time.Duration(class.ObjectiveStretch*float64(e.ExpectedWork))
	r.objectiveAt = b.now + min(objective, class.Deadline)
	fullWeightUntil := r.objectiveAt + class.firstAttemptAt(b.now, e.ExpiresAt, b.settings.Tick) - b.now
	r.stale = fullWeightUntil <= b.now
	// The last answer must arrive before the client's deadline, also when the next batch comes a tick late.
	// Past its objective a request without late weight costs work and earns nothing.
	r.deadline = r.expiresAt - 2*b.settings.Tick
	if class.LateWeight == 0 {
		r.deadline = min(r.deadline, fullWeightUntil-b.settings.Tick)
	}
	if b.settings.KeyAffinity && e.AffinityKey != "" {
		r.keyHash = hash(e.AffinityKey)
		share := keySpread * b.keyFrequencies.add(e.AffinityKey, keyFrequencyMemory)
		r.keyEndpoints = 2 + int(share*float64(len(b.endpoints)))
	}
	return r
}

// firstAttemptAt is when the client's own first attempt at this request arrived, as far as its deadline
// shows. It prevents work for a client's repeats whose objective has passed. First attempts of a class have
// the same time left, and so have most requests; any other time left may have been cut short by the deadline
// of all of the client's attempts, one Deadline after the first. It counts as such only if a request arrived
// then that nobody served: clients that wait for less than usual look the same, and must not be rejected for
// it.
func (c *classState) firstAttemptAt(now, expiresAt, tick time.Duration) time.Duration {
	timeLeft := expiresAt - now
	if (timeLeft - c.usualTimeLeft).Abs() <= 2*tick {
		c.timeLeftVotes = min(c.timeLeftVotes+1, maxTimeLeftVotes)
		return now
	}
	if c.timeLeftVotes--; c.timeLeftVotes < 0 {
		c.usualTimeLeft, c.timeLeftVotes = timeLeft, 0
	}
	first := expiresAt - c.Deadline
	known := c.timeLeftVotes > maxTimeLeftVotes/2 && first < now
	if known && c.unservedArrivals.near(first, max(2*tick, arrivalTolerance)) {
		return first
	}
	return now
}

// advance sends the next attempt of a request that has none outstanding, or ends the request, or leaves it
// waiting until an endpoint is ready.
func (b *Balancer) advance(r *request) {
	if len(r.attempts) > 0 && b.now+b.usualLatency(r) > r.deadline {
		b.giveUp(r)
		return
	}
	if b.awaitProbes(r) {
		return
	}
	reported, overloaded := b.pairLoad(r)
	if overloaded || !reported && r.provisionallyShed && len(r.attempts) == 0 {
		r.probedPair = [2]*endpoint{}
		if !reported || r.pairsProbed >= maxProbedPairs || !b.awaitProbes(r) {
			b.giveUp(r)
		}
		return
	}
	if ep := b.pick(r); ep != nil {
		b.send(r, ep)
		return
	}
	if len(r.attempts) >= b.settings.MaxAttempts || b.retryForbidden(r) {
		b.giveUp(r)
		return
	}
	b.logWarmUpLimiting()
	b.schedule(b.now+2*b.settings.Tick, timerAdvance, r)
}

// send starts the next attempt. mayAttempt has allowed it, through pick.
func (b *Balancer) send(r *request, ep *endpoint) {
	var notAfter time.Duration
	if first, ok := r.firstPossibleRun(); ok && r.class.Effect == Keyed {
		notAfter = b.idempotencyExpiry(r, first)
	}
	a := &attempt{
		request:          r,
		number:           len(r.attempts),
		endpoint:         ep,
		zone:             ep.zone,
		cell:             ep.cell,
		sentAt:           b.now,
		outstanding:      true,
		mayHaveRun:       true,
		reportedInFlight: unreported,
	}
	if ep.reportedAt >= r.pairProbedAt && r.probedPair[0] != nil {
		a.reportedInFlight = ep.inFlight
	}
	b.updateRetryBudget(a)
	r.attempts = append(r.attempts, a)
	r.outstanding++
	r.probedPair = [2]*endpoint{}
	ep.outstanding = append(ep.outstanding, a)
	ep.warmUpTokens -= r.cost
	ep.inFlight++
	timeout := max(r.deadline-b.now, b.settings.Tick)
	b.emit(Action{Kind: Send, ID: r.id, Endpoint: ep.id, Timeout: timeout, NotAfter: notAfter})
	if r.class.Effect != NonIdempotent {
		r.lateAt = b.now + b.lateAfter(r)
		b.schedule(r.lateAt, timerLate, r)
	}
}

// handleFirstByte takes a streamed answer for the final one.
func (b *Balancer) handleFirstByte(e FirstByte) {
	r := b.requests[e.ID]
	if r == nil || r.streaming {
		return
	}
	b.trackInFlight(r, -1) // how long the stream lasts is no sign of pressure
	r.streaming = true
	b.cancelOthers(r, e.Attempt)
}

// handleOutcome learns from an attempt's outcome, and ends the request or moves it on.
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
	case r.outstanding > 0 || r.streaming: // a hedge is outstanding, or the client ends the stream
	case e.Result != ConnectFailed && b.retryTokens < 1:
		b.giveUp(r)
	default:
		b.advance(r)
	}
}

func (b *Balancer) recordOutcome(a *attempt, e Outcome) {
	ep := a.endpoint
	a.outstanding = false
	a.mayHaveRun = e.Result.MayHaveRun()
	a.request.outstanding--
	ep.outstanding = slices.DeleteFunc(ep.outstanding, func(x *attempt) bool { return x == a })
	b.closeIdle(ep)
	if e.Load.isUsable() {
		b.recordLoad(ep, e.Load.InFlight)
	}
	b.observeOutcome(a, e.Result, e.Elapsed)
	b.updateHealth(a, e.Result, e.Elapsed)
}

// closeIdle closes the idle connections to ep where open connections are dear. It prevents tables full of
// idle connections: where 100 handshakes a sidecar are cheaper, one idle connection of each sidecar costs
// more than a new one in each round of the list.
func (b *Balancer) closeIdle(ep *endpoint) {
	openPrice := b.settings.PriceOpenConnection * float64(b.settings.Balancers)
	if len(ep.outstanding) == 0 && openPrice > 100*b.settings.PriceHandshake {
		b.emit(Action{Kind: CloseIdle, Endpoint: ep.id})
	}
}

// giveUp ends a request without an answer from an endpoint.
func (b *Balancer) giveUp(r *request) {
	if r.done {
		return
	}
	b.cancelOthers(r, noAttempt)
	b.adaptLimits(r)
	action := Action{Kind: Fail, ID: r.id}
	if mayReject(r) {
		action.Kind = Reject
		if b.settings.RetryAfter {
			action.RetryAfter = b.settings.MaxRetryAfter
		}
	}
	b.emit(action)
	b.finish(r, false)
}

// cancelOthers cancels the outstanding attempts but for the one with number except.
func (b *Balancer) cancelOthers(r *request, except int) {
	for _, a := range r.attempts {
		if a.outstanding && a.number != except && b.settings.Cancellation {
			b.emit(Action{Kind: Cancel, ID: r.id, Attempt: a.number})
		}
	}
}

// finish ends a request, served by an endpoint or not.
func (b *Balancer) finish(r *request, served bool) {
	if r.done {
		return
	}
	r.done = true
	if !served && !r.streaming {
		r.class.unservedArrivals.add(r.arrivedAt)
	}
	if !r.streaming {
		b.trackInFlight(r, -1)
	}
	b.release(r)
}

// release drops a request that is done and has no outcome to come.
func (b *Balancer) release(r *request) {
	if r.done && r.outstanding == 0 {
		delete(b.requests, r.id)
	}
}
