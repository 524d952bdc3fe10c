package balancer

// Ejection determines whether an endpoint is healthy enough to be picked, and for how long an unhealthy one
// is excluded.
//
// Inputs: the results of attempts and their elapsed times (durations), the connect timeout, the mean
// latency objective (s), the overdue latency (s, estimate.go), and the time of the endpoint's last answer.
//
// Why: a crashed endpoint refuses connections at once, and a failing one returns errors at once, so that
// both look fast and would attract all requests. A hung endpoint holds each request until its deadline.

import "time"

const (
	// minEjection is the duration of the first ejection. After an ejection, the endpoint gets single
	// attempts as trials (isHealthyFor). The duration doubles with each further ejection until a trial
	// succeeds, up to maxEjection. With higher values, fewer requests are lost to trials, but endpoints
	// that recover return later.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// maxEjectionDoublings limits the number of doublings, so that the duration cannot overflow before
	// maxEjection limits it.
	maxEjectionDoublings = 10
	// The duration of an ejection is multiplied by a random factor between minEjectionJitter and
	// minEjectionJitter + ejectionJitterSpan. With a wider range, the times at which sidecars return to an
	// endpoint are more spread out.
	minEjectionJitter  = 0.75
	ejectionJitterSpan = 0.5
	// ejectionThreshold is the number of consecutive error answers that causes an ejection, and the number
	// of consecutive failures from which a broken connection causes one. Two happen by chance, because
	// connections may break although the process is running. If several healthy endpoints were ejected
	// together, the others would get all of the load. With a higher value, fewer healthy endpoints are
	// ejected, but failing ones get more requests.
	ejectionThreshold = 3
	// minSilentFailures is the number of consecutive failures from which an endpoint that does not answer
	// may count as silent. One failure happens by chance. With a higher value, fewer slow endpoints are
	// ejected, but hung ones get more requests.
	minSilentFailures = 2
	// silenceObjectives is the time, in mean latency objectives, after which an endpoint that fails and
	// does not answer counts as silent. With a higher value, fewer slow endpoints are ejected, but hung
	// ones get more requests.
	silenceObjectives = 3.0
	// The connect timeout divided by refusalTimeDivisor is the time within which a connection is refused:
	// an attempt that takes longer to end with ConnectFailed was lost in the network. With a higher value,
	// fewer failed connections cause an ejection.
	refusalTimeDivisor = 2
)

// health is the health of an endpoint according to the results of attempts.
type health struct {
	answeredAt   time.Duration // when the endpoint last answered
	failures     int           // failed attempts since answeredAt
	silentSince  time.Duration // when the first of these failed attempts was sent
	errorAnswers int           // consecutive error answers
	ejections    int           // ejections since the last successful answer or rejection
	ejectedUntil time.Duration
	unreachable  bool // a failure without an answer, not only error answers, caused one of these ejections
}

// isEjected reports whether the endpoint is ejected at now.
func (h *health) isEjected(now time.Duration) bool { return now < h.ejectedUntil }

// isOnTrial reports whether the endpoint has been ejected and has not answered successfully or rejected an
// attempt since.
func (h *health) isOnTrial() bool { return h.ejections > 0 }

// recordAnswer resets the health after a successful answer or a rejection: both show that the endpoint
// works.
func (h *health) recordAnswer(now time.Duration) { *h = health{answeredAt: now} }

// recordFailure counts an attempt, sent at sentAt, that ended without an answer.
func (h *health) recordFailure(sentAt time.Duration) {
	h.failures++
	if h.failures == 1 {
		h.silentSince = sentAt
	}
}

// isHealthyFor reports whether ep is healthy enough to be sent r. After an ejection, an endpoint gets one
// trial at a time, and no NonIdempotent request, because a failed trial could not be retried. The trials
// end only with an attempt that is answered successfully or rejected (recordAnswer); an answered probe does
// not end them.
func (b *Balancer) isHealthyFor(ep *endpoint, r *request) bool {
	if ep.health.isEjected(b.now) {
		return false
	}
	return !ep.health.isOnTrial() || len(ep.outstanding) == 0 && r.class.Effect != NonIdempotent
}

// updateHealth ejects an endpoint that refuses a connection, breaks a connection after other consecutive
// failures, answers only with errors, is silent, or does not answer a trial. Such an endpoint has crashed,
// fails or hangs. An error answer already counts as a long latency (penaltyObjectives), but if requests
// wait longer than that in the queues of all other endpoints, the failing endpoint still looks fast.
func (b *Balancer) updateHealth(a *attempt, e Outcome) {
	switch e.Result {
	case OK, Overloaded:
		b.recordAnswer(a.endpoint)
	case ServerError:
		b.recordErrorAnswer(a.endpoint)
	case Timeout, ConnectFailed, Reset, Cancelled:
		b.recordFailure(a, e)
	}
}

func (b *Balancer) recordAnswer(ep *endpoint) {
	if ep.health.isOnTrial() {
		b.log("endpoint returned after ejection",
			Attribute{"endpoint", ep.id}, Attribute{"ejections", ep.health.ejections})
		if ep.health.unreachable && !ep.warmUp.active && b.settings.WarmUp > 0 {
			b.startWarmUp(ep, b.now) // ep may be a new process that the list shows only seconds later
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

// recordFailure counts an attempt that ended without an answer, and ejects the endpoint if needed.
func (b *Balancer) recordFailure(a *attempt, e Outcome) {
	if b.isInconclusive(a, e) {
		return
	}
	h := &a.endpoint.health
	h.recordFailure(a.sentAt)
	if h.isEjected(b.now) {
		return
	}
	if h.isOnTrial() || b.isUnreachable(h, e) {
		h.unreachable = true
		b.eject(a.endpoint)
	}
}

// isUnreachable reports whether an endpoint, whose latest attempt ended with e, breaks a connection after
// other consecutive failures, refuses connections or is silent. A ConnectFailed that comes early counts as a
// refusal, although it may also be a connection that broke while the request was being written, unless the
// attempt's own timeout was as short as that.
func (b *Balancer) isUnreachable(h *health, e Outcome) bool {
	switch {
	case e.Result == Reset && h.failures >= ejectionThreshold:
		return true
	case e.Result == ConnectFailed && !e.Expired && e.Elapsed < b.settings.ConnectTimeout/refusalTimeDivisor:
		return true
	}
	silentFor := (b.now - h.silentSince).Seconds()
	return h.failures >= minSilentFailures && silentFor > silenceObjectives*b.meanObjective
}

// isInconclusive reports whether an attempt that ended without an answer says nothing about its endpoint's
// health:
//
//   - The attempt timed out, with or without a connection, or was cancelled, but the endpoint has answered
//     another attempt since this one was sent: it is slow, not silent.
//   - The attempt was cancelled before it was overdue: the client disconnected, or another attempt was
//     faster.
//   - The attempt was cancelled, at any age, while hedging is off: the request was given up or is sent
//     elsewhere (handleOverdueAttempt). The endpoint may only have a long queue.
//
// Any other attempt without an answer is a failure, for example one that was overdue when it was cancelled.
func (b *Balancer) isInconclusive(a *attempt, e Outcome) bool {
	switch e.Result {
	case Timeout:
		return a.answeredSince()
	case ConnectFailed:
		return e.Expired && a.answeredSince()
	case Cancelled:
		overdue := b.settings.Hedging && e.Elapsed.Seconds() >= b.latency.overdue.value*a.request.relativeWork
		return a.answeredSince() || !overdue
	}
	return false
}

// eject excludes ep from being picked. The duration doubles with each ejection since the last successful
// answer or rejection, and has jitter, so that sidecars do not return to the endpoint at the same time.
// Only the first of these ejections is logged.
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
