package balancer

// Ejection: whether an endpoint is healthy enough to be chosen, and for how long it is not.
//
// Inputs: the results of attempts and the time that they took (durations), the connect timeout, the mean
// latency objective (s), the overdue latency (s, estimate.go), and when the endpoint last answered.
//
// Why: crashed endpoints refuse at once and failing ones answer errors at once, so that they look fast and
// would draw all requests; hung ones keep each request to its deadline.

import "time"

const (
	// minEjection is the time of the first ejection; it doubles with each failed trial, up to maxEjection.
	// Higher: fewer requests are lost to trials, and endpoints that recover return later.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// maxEjectionDoublings bounds the doublings, before maxEjection does, so that the duration cannot overflow.
	maxEjectionDoublings = 10
	// minEjectionJitter and ejectionJitterSpan are the range of a random factor on the time of an ejection, from
	// minEjectionJitter to both together. A wider range: sidecars return to an endpoint at more different times.
	minEjectionJitter  = 0.75
	ejectionJitterSpan = 0.5
	// ejectionThreshold is the number of error answers or broken connections in a row that eject: two
	// happen by chance, because connections may break though the process lives, and healthy endpoints that
	// are ejected together leave all load to the others. Higher: fewer healthy endpoints are ejected, and
	// failing ones get more requests.
	ejectionThreshold = 3
	// minSilentFailures is the number of failures in a row from which an endpoint that does not answer may be
	// silent: one happens by chance. Higher: as for silenceObjectives.
	minSilentFailures = 2
	// silenceObjectives is the time, in mean latency objectives, after which an endpoint that fails and does not
	// answer is silent. Higher: fewer slow endpoints are ejected, and hung ones get more requests.
	silenceObjectives = 3.0
	// refusalTimeDivisor divides the connect timeout into the time within which a refusal comes: an
	// attempt that takes longer to fail with ConnectFailed was lost on the way. Higher: fewer failed connections
	// eject.
	refusalTimeDivisor = 2
)

// health is what the results of attempts say of an endpoint.
type health struct {
	answeredAt   time.Duration // when it last answered
	failures     int           // failed attempts since then
	silentSince  time.Duration // when the first of them was sent
	errorAnswers int           // in a row
	ejections    int           // in a row, without an answer between them
	ejectedUntil time.Duration
	unreachable  bool // ejected because it was silent, refused or broke connections, not for its error answers
}

// isEjected reports whether the endpoint gets nothing for now.
func (h *health) isEjected(now time.Duration) bool { return now < h.ejectedUntil }

// isOnTrial reports whether the endpoint has not answered since it was ejected.
func (h *health) isOnTrial() bool { return h.ejections > 0 }

// recordAnswer takes an answer that shows the endpoint healthy, or able to tell that it is not.
func (h *health) recordAnswer(now time.Duration) { *h = health{answeredAt: now} }

// recordFailure counts an attempt, sent at sentAt, that got no answer.
func (h *health) recordFailure(sentAt time.Duration) {
	h.failures++
	if h.failures == 1 {
		h.silentSince = sentAt
	}
}

// isHealthyFor reports whether ep is healthy enough to be sent r. After an ejection it gets one trial at a
// time, and none that is NonIdempotent: a failed trial could not be retried. Only an attempt that is answered
// without an error ends the trials (recordAnswer); an answered probe does not.
func (b *Balancer) isHealthyFor(ep *endpoint, r *request) bool {
	if ep.health.isEjected(b.now) {
		return false
	}
	return !ep.health.isOnTrial() || len(ep.outstanding) == 0 && r.class.Effect != NonIdempotent
}

// updateHealth ejects an endpoint that refuses connections, breaks several in a row, answers with errors only
// or is silent: crashed endpoints, whose immediate refusals look fast, hung ones, and failing ones. An error
// answer counts as a long latency (penaltyObjectives), but where all other endpoints have queues that take
// longer, the failing one still looks fast.
func (b *Balancer) updateHealth(a *attempt, result Result, elapsed time.Duration) {
	switch result {
	case OK, Overloaded:
		b.recordAnswer(a.endpoint)
	case ServerError:
		b.recordErrorAnswer(a.endpoint)
	case Timeout, ConnectFailed, Reset, Cancelled:
		b.recordFailure(a, result, elapsed)
	}
}

func (b *Balancer) recordAnswer(ep *endpoint) {
	if ep.health.isOnTrial() {
		b.log("endpoint returned after ejection",
			Attribute{"endpoint", ep.id}, Attribute{"ejections", ep.health.ejections})
		if ep.health.unreachable && !ep.warmUp.active && b.settings.WarmUp > 0 {
			b.startWarmUp(ep, b.now) // perhaps a new process, which the list shows seconds later
		}
	}
	ep.health.recordAnswer(b.now)
}

func (b *Balancer) recordErrorAnswer(ep *endpoint) {
	ep.health.answeredAt = b.now
	ep.health.failures = 0
	ep.health.errorAnswers++
	if ep.health.errorAnswers >= ejectionThreshold && !ep.health.isEjected(b.now) {
		b.eject(ep)
	}
}

// recordFailure counts an attempt that got no answer.
func (b *Balancer) recordFailure(a *attempt, result Result, elapsed time.Duration) {
	if b.isInconclusive(a, result, elapsed) {
		return
	}
	h := &a.endpoint.health
	h.recordFailure(a.sentAt)
	if h.isEjected(b.now) {
		return
	}
	if h.isOnTrial() || b.isUnreachable(h, result, elapsed) {
		h.unreachable = true
		b.eject(a.endpoint)
	}
}

// isUnreachable reports whether an endpoint, whose latest attempt failed with result, breaks connections in a
// row, refuses them or is silent. An early ConnectFailed counts as a refusal; it may also be a connection
// that broke while the request was being written.
func (b *Balancer) isUnreachable(h *health, result Result, elapsed time.Duration) bool {
	switch {
	case result == Reset && h.failures >= ejectionThreshold:
		return true
	case result == ConnectFailed && elapsed < b.settings.ConnectTimeout/refusalTimeDivisor:
		return true
	}
	silentFor := (b.now - h.silentSince).Seconds()
	return h.failures >= minSilentFailures && silentFor > silenceObjectives*b.meanObjective
}

// isInconclusive reports whether an attempt that ended without an answer says nothing against its endpoint's
// health:
//
//   - The endpoint has answered another attempt since this one was sent: it is slow, not silent.
//   - It was cancelled before it was overdue: the client left, or another attempt was faster.
//   - It was cancelled where hedging is off, at any age: the request was given up, or is sent elsewhere
//     (handleOverdueAttempt). The endpoint may only have a long queue.
//
// Any other that timed out, or that was overdue when it was cancelled, is a failure.
func (b *Balancer) isInconclusive(a *attempt, result Result, elapsed time.Duration) bool {
	switch result {
	case Timeout:
		return a.answeredSince()
	case Cancelled:
		overdue := b.settings.Hedging && elapsed.Seconds() >= b.latency.overdue.value*a.request.relativeWork
		return a.answeredSince() || !overdue
	}
	return false
}

// eject keeps ep from being chosen for a while that doubles with each failed trial, with jitter so that
// sidecars do not return to it together. Only the first ejection of a series is logged: those for failed
// trials are not, until the endpoint has answered.
func (b *Balancer) eject(ep *endpoint) {
	h := &ep.health
	d := min(minEjection<<min(h.ejections, maxEjectionDoublings), maxEjection)
	d = time.Duration(float64(d) * (minEjectionJitter + ejectionJitterSpan*b.rng.Float64()))
	h.ejections++
	h.ejectedUntil = b.now + d
	if h.ejections == 1 {
		b.log("endpoint ejected", Attribute{"endpoint", ep.id},
			Attribute{"failures", h.failures}, Attribute{"error_answers", h.errorAnswers})
	}
}
