package middleware

import (
	"context"
	"fmt"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/idempotency"
)

// Doer executes calls. The engine implements it.
type Doer interface {
	Do(ctx context.Context, c *engine.Call) engine.Result
}

// Doer returns a Doer that checks calls before it passes them to next.
func (d *Deduplicator) Doer(next Doer) Doer { return doer{deduplicator: d, next: next} }

type doer struct {
	deduplicator *Deduplicator
	next         Doer
}

// Do fails a call whose operation may already have run, rejects a call whose intent could not be made durable, and
// passes any other call to the next Doer. If the next Doer rejects the call although an attempt with its fingerprint
// may have run, Do returns a failure instead, because a rejection would say that the operation has not run. If the
// idempotency scope is all endpoints, Do returns the rejection, since any endpoint recognizes a retry as a duplicate.
func (r doer) Do(ctx context.Context, c *engine.Call) engine.Result {
	d := r.deduplicator
	if d.effects[c.Class] == balancer.Idempotent {
		return r.next.Do(ctx, c)
	}
	fp := fingerprint(c)
	if result, ok := d.admit(fp, c); !ok {
		return result
	}
	result := r.next.Do(ctx, c)
	d.mu.Lock()
	mayHaveRun := d.tracker.EndRequest(fp)
	d.mu.Unlock()
	if result.Kind == engine.Rejected && mayHaveRun && d.scopes[c.Class] != balancer.ScopeAll {
		return engine.Result{Kind: engine.Failed, Attempts: result.Attempts, Err: ErrMayHaveRun}
	}
	return result
}

// MayReject implements engine.RejectionChecker.
func (r doer) MayReject(c *engine.Call) bool {
	d := r.deduplicator
	if d.effects[c.Class] == balancer.Idempotent || d.isRepeatHarmless(c.Class) {
		return true
	}
	if !engine.MayReject(r.next, c) {
		return false
	}
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.tracker.MayHaveRun(now, fingerprint(c))
}

// isRepeatHarmless reports whether any endpoint recognizes a repeat of a request of the class.
func (d *Deduplicator) isRepeatHarmless(class string) bool {
	return d.effects[class] == balancer.Keyed && d.scopes[class] == balancer.ScopeAll
}

// admit decides whether a call is passed on. If so, it adds the earlier attempts with the same fingerprint to
// c.PriorAttempts and returns true; otherwise it returns the call's result and false.
func (d *Deduplicator) admit(fp idempotency.Fingerprint, c *engine.Call) (engine.Result, bool) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	decision, locations := d.tracker.AdmitRequest(now, fp, c.Class)
	if decision == idempotency.FailRequest {
		d.counters.failed++
		return engine.Result{Kind: engine.Failed, Err: ErrMayHaveRun}, false
	}
	// Rejecting a call that needs a new record prevents it from waiting for a disk that is known to fail.
	if len(locations) == 0 && d.rejectsWrites() {
		d.tracker.EndRequest(fp)
		d.counters.rejected++
		return engine.Result{
			Kind:       engine.Rejected,
			RetryAfter: d.config.RetryAfter,
			Err:        fmt.Errorf("%w: %w", errNotDurable, d.failure.err),
		}, false
	}
	for _, l := range locations {
		c.PriorAttempts = append(c.PriorAttempts, engine.PriorAttempt{
			Location: l.Location,
			SentAt:   time.Now().Add(-now.MaxElapsedSince(l.SentAt, l.BootNumber)),
		})
	}
	return engine.Result{}, true
}

// fingerprint returns the fingerprint of a call by its idempotency key, or by its ID if it has none.
func fingerprint(c *engine.Call) idempotency.Fingerprint {
	identity := c.IdempotencyKey
	if identity == "" {
		identity = c.ID
	}
	return idempotency.NewFingerprint(c.Class, c.Tenant, identity)
}
