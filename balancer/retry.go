package balancer

// This rule determines whether a request may be sent to an endpoint at all, and how many attempts beyond
// the first ones the sidecar makes.
//
// Inputs: the request's state and its attempts (number, outstanding or not), whether the endpoint is
// listed, the idempotency rules (idempotency.go), the budget of slow start (slowstart.go), the settings
// MaxAttempts and Hedging, and the rate of offered work (mean requests per second).
//
// Why: mayAttempt enforces the guarantees that an attempt could break (no second effect, no new attempts on
// draining endpoints, no overload of cold endpoints). The retry budget prevents retries from multiplying
// the load of endpoints that already fail.

const (
	// retryRatio is the number of retries and hedges per first attempt, averaged over time. With a higher
	// value, more requests survive failures, but failing endpoints get more load.
	retryRatio = 0.25
	// retryBurst is the minimum capacity of the retry budget, in retries and hedges. It allows a quiet
	// sidecar to retry at all. With a higher value, more requests survive failures, but failing endpoints
	// get more load.
	retryBurst = 10.0
)

// mayAttempt reports whether an attempt of r may be sent to ep. Every attempt has to pass this check.
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

// retryBudget is a token bucket: first attempts earn tokens, and every other attempt costs one.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: retryBurst} }

// isSpent reports whether no token is left for another attempt.
func (t *retryBudget) isSpent() bool { return t.tokens < 1 }

// earn adds the tokens that a first attempt earns. offered is the rate of offered work in mean requests per
// second.
func (t *retryBudget) earn(offered float64) {
	burst := max(retryBurst, retryRatio*offered)
	t.tokens = min(t.tokens+retryRatio, burst)
}

// spend removes the token for one attempt. Retries after ConnectFailed are not limited by the budget, so
// the number of tokens is kept from falling below 0.
func (t *retryBudget) spend() { t.tokens = max(t.tokens-1, 0) }

// updateRetryBudget adds tokens for a first attempt, and spends one for any other attempt.
func (b *Balancer) updateRetryBudget(a *attempt) {
	if a.number > 0 {
		b.retries.spend()
		return
	}
	b.retries.earn(b.offeredRate.perSecond(b.now))
}
