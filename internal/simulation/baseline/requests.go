package baseline

import (
	"math"
	"slices"
	"time"

	"hazelwing/balancer"
)

// The connection backoff of gRPC: the first wait is backoffBase, and each further one is backoffFactor times the
// previous one, up to maxBackoff. Each wait is multiplied by a random factor between minBackoffJitter and
// minBackoffJitter plus backoffJitterRange.
const (
	backoffBase        = time.Second
	backoffFactor      = 1.6
	maxBackoff         = 120 * time.Second
	minBackoffJitter   = 0.8
	backoffJitterRange = 0.4
)

// A retry budget, as Finagle's RetryBudget, allows retriesPerRequest retries for each request and in addition
// minRetriesPerSecond retries per second. Unused retries accumulate up to minRetriesPerSecond times the length of
// retryBudgetWindow. A policy whose name ends with retryBudgetSuffix has a retry budget.
const (
	retryBudgetSuffix   = "+budget"
	retriesPerRequest   = 0.2
	minRetriesPerSecond = 10.0
	retryBudgetWindow   = 10 * time.Second
)

// request is a request that has no final answer yet or has attempts in flight.
type request struct {
	id               string
	affinityKey      string
	class            balancer.Class
	arrivedAt        time.Duration
	expiresAt        time.Duration
	attempts         []*attempt
	attemptsInFlight int
	done             bool
}

// attempt is one attempt of a request.
type attempt struct {
	endpoint *endpoint
	sentAt   time.Duration
	inFlight bool
	// mayHaveRun is false if the attempt is known not to have been executed.
	mayHaveRun bool
}

// retryBudget is a token bucket that limits retries. Each retry takes a token, unless it follows a failure to connect.
type retryBudget struct {
	unlimited bool
	tokens    float64
	updatedAt time.Duration
}

// add adds the tokens for a request and for the time since the previous request.
func (b *retryBudget) add(now time.Duration) {
	b.tokens += retriesPerRequest + minRetriesPerSecond*(now-b.updatedAt).Seconds()
	b.updatedAt = now
	b.tokens = min(b.tokens, minRetriesPerSecond*retryBudgetWindow.Seconds())
}

// take takes a token for a retry. It returns false if there is none.
func (b *retryBudget) take() bool {
	if b.unlimited {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (p *policy) beginRequest(e balancer.Request) {
	r := &request{
		id:          e.ID,
		affinityKey: e.AffinityKey,
		class:       p.classes[e.Class],
		arrivedAt:   p.now,
		expiresAt:   e.ExpiresAt - expiryMarginTicks*p.settings.Tick,
	}
	p.requests[r.id] = r
	p.setTimer(timer{r.expiresAt, r})
	p.budget.add(p.now)
	p.sendNext(r)
}

// sendNext sends the next attempt of a request. If no attempt is allowed or no endpoint is picked, it gives up the
// request.
func (p *policy) sendNext(r *request) {
	if p.now >= r.expiresAt || len(r.attempts) >= max(p.settings.MaxAttempts, 1) {
		p.giveUp(r)
		return
	}
	p.collectCandidates(r, false)
	if len(p.candidates) == 0 {
		// If any endpoint is allowed, it is in connection backoff. A gRPC channel would wait until the backoff of one
		// of them ends.
		p.collectCandidates(r, true)
	}
	if len(p.candidates) == 0 {
		p.giveUp(r)
		return
	}
	picked := p.picker.pick(r, p.candidates)
	if picked == nil {
		p.giveUp(r)
		return
	}
	r.attempts = append(r.attempts, &attempt{endpoint: picked, sentAt: p.now, inFlight: true, mayHaveRun: true})
	r.attemptsInFlight++
	picked.inFlight++
	p.add(balancer.Action{
		Kind:     balancer.Send,
		ID:       r.id,
		Endpoint: picked.id,
		Timeout:  max(r.expiresAt-p.now, p.settings.Tick),
	})
}

// collectCandidates sets candidates to the endpoints that a request may be sent to. Endpoints in connection backoff are
// included only if withBackoff is set.
func (p *policy) collectCandidates(r *request, withBackoff bool) {
	p.candidates = p.candidates[:0]
	for _, e := range p.endpoints {
		if e.active && (withBackoff || p.now >= e.backoffUntil) && p.mayRetryAt(r, e) {
			p.candidates = append(p.candidates, e)
		}
	}
}

// mayRetryAt reports whether the rules on retries allow an attempt of a request at an endpoint: after an attempt that
// may have been executed, a non-idempotent request must not be sent again, and a keyed request only within its
// idempotency scope and window.
func (p *policy) mayRetryAt(r *request, e *endpoint) bool {
	for _, a := range r.attempts {
		if !a.mayHaveRun {
			continue
		}
		switch r.class.Effect {
		case balancer.NonIdempotent:
			return false
		case balancer.Keyed:
			isTooLate := p.now-a.sentAt > r.class.IdempotencyWindow-expiryMarginTicks*p.settings.Tick
			if isTooLate || !inScope(r.class.IdempotencyScope, a.endpoint, e) {
				return false
			}
		}
	}
	return true
}

// inScope reports whether two endpoints share their idempotency records.
func inScope(scope balancer.IdempotencyScope, a, b *endpoint) bool {
	switch scope {
	case balancer.ScopeZone:
		return a.zone == b.zone
	case balancer.ScopeCell:
		return a.cell == b.cell
	default:
		return true
	}
}

func (p *policy) handleOutcome(e balancer.Outcome) {
	r := p.requests[e.ID]
	if r == nil || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].inFlight {
		return
	}
	a := r.attempts[e.Attempt]
	a.inFlight, a.mayHaveRun = false, e.Result.MayHaveRun()
	r.attemptsInFlight--
	a.endpoint.inFlight--
	p.updateBackoff(a.endpoint, e.Result)
	p.picker.attemptEnded(a.endpoint, e.Result, e.Elapsed, e.Load)
	switch {
	case e.Finished:
		p.finish(r)
	case r.done:
		p.releaseIfDone(r)
	case e.Result != balancer.ConnectFailed && !p.budget.take():
		p.giveUp(r)
	default:
		p.sendNext(r)
	}
}

// updateBackoff starts, extends or ends an endpoint's connection backoff according to the result of an attempt.
func (p *policy) updateBackoff(e *endpoint, result balancer.Result) {
	switch result {
	case balancer.OK, balancer.Overloaded:
		e.connectFailures, e.backoffUntil = 0, 0
	case balancer.ConnectFailed:
		factor := math.Pow(backoffFactor, float64(e.connectFailures))
		wait := min(maxBackoff, time.Duration(float64(backoffBase)*factor))
		e.connectFailures++
		jitter := minBackoffJitter + backoffJitterRange*p.rng.Float64()
		e.backoffUntil = p.now + time.Duration(float64(wait)*jitter)
	}
}

// giveUp ends a request without an answer from an endpoint. The request fails if it is not idempotent and one of its
// attempts may have been executed. Otherwise it is rejected.
func (p *policy) giveUp(r *request) {
	if r.done {
		return
	}
	for n, a := range r.attempts {
		if a.inFlight && p.settings.Cancellation {
			p.add(balancer.Action{Kind: balancer.Cancel, ID: r.id, Attempt: n})
		}
	}
	kind := balancer.Reject
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
	if r.class.Effect != balancer.Idempotent && mayHaveRun {
		kind = balancer.Fail
	}
	p.add(balancer.Action{Kind: kind, ID: r.id})
	p.finish(r)
}

func (p *policy) finish(r *request) {
	r.done = true
	p.releaseIfDone(r)
}

// releaseIfDone deletes a request that has its final answer and no attempt in flight.
func (p *policy) releaseIfDone(r *request) {
	if r.done && r.attemptsInFlight == 0 {
		delete(p.requests, r.id)
	}
}
