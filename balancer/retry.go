package balancer

import (
	"slices"
	"time"
)

// mayAttempt is the gate that every attempt passes.
func (b *Balancer) mayAttempt(r *request, ep *endpoint) bool {
	if r.done || r.streaming || b.now >= r.expiresAt || !ep.listed {
		return false
	}
	if len(r.attempts) >= b.settings.MaxAttempts {
		return false
	}
	if r.outstanding > 0 && (!b.settings.Hedging || r.class.Effect == NonIdempotent) {
		return false
	}
	if b.retryForbidden(r) || r.leavesScope(ep) {
		return false
	}
	return b.warmUpAllows(ep)
}

// leavesScope reports whether an attempt may have run where ep does not share the memory of repeats.
func (r *request) leavesScope(ep *endpoint) bool {
	for _, a := range r.attempts {
		if a.mayHaveRun && r.class.outsideScope(a.zone, a.cell, ep) {
			return true
		}
	}
	for _, a := range r.priorAttempts {
		if r.class.outsideScope(a.Zone, a.Cell, ep) {
			return true
		}
	}
	return false
}

// outsideScope reports whether ep is outside the idempotency scope of an attempt that went to zone and cell.
func (c *classState) outsideScope(zone string, cell int, ep *endpoint) bool {
	if c.Effect != Keyed {
		return false
	}
	outsideZone := c.IdempotencyScope == ScopeZone && zone != ep.zone
	outsideCell := c.IdempotencyScope == ScopeCell && cell != ep.cell
	return outsideZone || outsideCell
}

// retryForbidden reports whether an attempt may have run after which no other may follow any more.
func (b *Balancer) retryForbidden(r *request) bool {
	first, ok := r.firstPossibleRun()
	if !ok {
		return false
	}
	return r.class.Effect == NonIdempotent || r.class.Effect == Keyed && b.now > b.idempotencyExpiry(r, first)
}

// firstPossibleRun is when the first attempt was sent that may have run; ok is false if there is none.
func (r *request) firstPossibleRun() (at time.Duration, ok bool) {
	for _, a := range r.attempts {
		if a.mayHaveRun && (!ok || a.sentAt < at) {
			at, ok = a.sentAt, true
		}
	}
	for _, a := range r.priorAttempts {
		if !ok || a.SentAt < at {
			at, ok = a.SentAt, true
		}
	}
	return at, ok
}

// idempotencyExpiry is when the endpoints that saw a keyed request first no longer drop its repeats, less
// the time that a repeat takes to reach them.
func (b *Balancer) idempotencyExpiry(r *request, first time.Duration) time.Duration {
	return first + r.class.IdempotencyWindow - 2*b.settings.Tick
}

// mayReject reports whether r may be rejected: a rejection tells the client that repeating is harmless.
func mayReject(r *request) bool {
	if r.class.Effect == Idempotent || r.class.Effect == Keyed && r.class.IdempotencyScope == ScopeAll {
		return true
	}
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
	return len(r.priorAttempts) == 0 && !mayHaveRun
}

// updateRetryBudget earns retry tokens for a first attempt, and spends one for any other. Retries of refused
// connections cost nothing and are not held to the budget, which therefore does not go below 0.
func (b *Balancer) updateRetryBudget(a *attempt) {
	if a.number > 0 {
		b.retryTokens = max(b.retryTokens-1, 0)
		return
	}
	burst := max(retryBurst, retryRatio*b.offeredRate.perSecond(b.now))
	b.retryTokens = min(b.retryTokens+retryRatio, burst)
}
