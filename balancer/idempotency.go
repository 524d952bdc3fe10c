package balancer

// Idempotency determines whether another attempt could have a request's effect a second time, and whether a
// rejection may tell the client that a retry is harmless.
//
// Inputs: the class's effect, idempotency scope and window (duration); for each attempt, including attempts
// of earlier requests with the same effect, whether it may have run, where (zone, cell, or that neither is
// known) and when it was sent; the tick.
//
// Why: no effect may happen twice. Endpoints deduplicate a keyed request only within its scope and window,
// and nothing deduplicates a request that is not idempotent. An endpoint whose zone and cell are unknown is
// not known to share any scope but that of all endpoints.

import (
	"slices"
	"time"
)

// leavesScope reports whether sending r to ep would leave the idempotency scope of an attempt that may have
// run.
func (r *request) leavesScope(ep *endpoint) bool {
	for _, a := range r.attempts {
		if a.mayHaveRun && r.class.outsideScope(a.location, ep.currentLocation()) {
			return true
		}
	}
	for _, a := range r.priorAttempts {
		if r.class.outsideScope(a.Location, ep.currentLocation()) {
			return true
		}
	}
	return false
}

// outsideScope reports whether an endpoint at the location to may be outside the idempotency scope of an
// attempt that was sent to the location from. It returns false for classes that are not keyed.
func (c *classState) outsideScope(from, to Location) bool {
	return c.Effect == Keyed && !c.IdempotencyScope.Covers(from, to)
}

// Covers reports whether endpoints at the two locations are known to deduplicate keyed requests together.
//
// Guard: prevents a second effect if a name service lists endpoints before their zones and cells are known.
// Such endpoints may be in different cells, and no cell knows the keys of another. This holds because an
// unknown location shares only the scope of all endpoints.
func (s IdempotencyScope) Covers(a, b Location) bool {
	switch s {
	case ScopeZone:
		return !a.Unknown && !b.Unknown && a.Zone == b.Zone
	case ScopeCell:
		return !a.Unknown && !b.Unknown && a.Cell == b.Cell
	}
	return true
}

// retryForbidden reports whether no further attempt may follow, because an attempt may have run and the
// request is not idempotent, or it is keyed and its idempotency window is over or no endpoint is known to be
// in its idempotency scope.
//
// Guard: prevents a second effect if a connection breaks after the request was written. The result of such
// an attempt is Reset, which does not prove that the request did not run. mayAttempt calls retryForbidden
// before each attempt.
func (b *Balancer) retryForbidden(r *request) bool {
	first, ok := r.firstPossibleRun()
	if !ok {
		return false
	}
	switch r.class.Effect {
	case NonIdempotent:
		return true
	case Keyed:
		return b.now > b.idempotencyExpiry(r, first) || r.hasUnknownScope()
	}
	return false
}

// hasUnknownScope reports whether no endpoint is known to be in the idempotency scope of an attempt that may
// have run, because the location of its endpoint was unknown.
func (r *request) hasUnknownScope() bool {
	for _, a := range r.attempts {
		if a.mayHaveRun && r.class.outsideScope(a.location, a.location) {
			return true
		}
	}
	return slices.ContainsFunc(r.priorAttempts, func(a PriorAttempt) bool {
		return r.class.outsideScope(a.Location, a.Location)
	})
}

// firstPossibleRun returns when the first attempt that may have run was sent; ok is false if there is none.
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

// idempotencyExpiry returns the time from which r must not be sent again: the end of the idempotency window
// that began at first, less the time that another attempt takes to reach an endpoint.
func (b *Balancer) idempotencyExpiry(r *request, first time.Duration) time.Duration {
	return first + r.class.IdempotencyWindow - b.settings.deadlineMargin()
}

// mayReject reports whether r may be rejected. A rejection tells the client that a retry is harmless.
func (r *request) mayReject() bool {
	if r.class.Effect == Idempotent || r.class.Effect == Keyed && r.class.IdempotencyScope == ScopeAll {
		return true
	}
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun })
	return len(r.priorAttempts) == 0 && !mayHaveRun
}
