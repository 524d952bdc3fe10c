package balancer

import "time"

// isReady reports whether ep is healthy enough to be sent r. After an ejection it gets one trial at a time,
// and no request that cannot be retried.
func (b *Balancer) isReady(ep *endpoint, r *request) bool {
	if b.now < ep.ejectedUntil {
		return false
	}
	return ep.ejections == 0 || len(ep.outstanding) == 0 && r.class.Effect != NonIdempotent
}

// updateHealth ejects an endpoint that refuses connections, breaks several in a row, answers with errors
// only or is silent: crashed endpoints, whose immediate refusals look fast, hung ones, and failing ones,
// whose errors look fast too beside queues longer than the penalty.
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
	ep.answeredAt = b.now
	if ep.ejections > 0 {
		b.log("endpoint returned after ejection",
			Attribute{"endpoint", ep.id}, Attribute{"ejections", ep.ejections})
		if ep.unreachable && !ep.warmingUp && b.settings.WarmUp > 0 {
			b.startWarmUp(ep, b.now) // perhaps a new process, which the list shows seconds later
		}
	}
	ep.failures, ep.errorAnswers = 0, 0
	ep.ejections, ep.ejectedUntil = 0, 0
	ep.unreachable = false
}

func (b *Balancer) recordErrorAnswer(ep *endpoint) {
	ep.answeredAt = b.now
	ep.failures = 0
	ep.errorAnswers++
	if ep.errorAnswers >= ejectionThreshold && b.now >= ep.ejectedUntil {
		b.eject(ep)
	}
}

// recordFailure counts an attempt that got no answer. Connections may break though the process lives: where
// one answer in ten was lost, ejection after two breaks in a row took most of a healthy fleet out at once.
func (b *Balancer) recordFailure(a *attempt, result Result, elapsed time.Duration) {
	ep := a.endpoint
	if b.isSlow(a, result, elapsed) {
		return
	}
	ep.failures++
	if ep.failures == 1 {
		ep.silentSince = a.sentAt
	}
	broken := result == Reset && ep.failures >= ejectionThreshold
	refused := result == ConnectFailed && elapsed < b.settings.ConnectTimeout/2
	silent := ep.failures > 1 && (b.now-ep.silentSince).Seconds() > silenceObjectives*b.meanObjective
	if (broken || refused || silent || ep.ejections > 0) && b.now >= ep.ejectedUntil {
		ep.unreachable = true
		b.eject(ep)
	}
}

// isSlow reports whether an attempt without an answer shows an endpoint that is slow rather than silent. The
// winner of hedged attempts cuts the others short: late ones among them are failures. Without hedging an
// attempt that was cut short was moved, perhaps off a long queue.
func (b *Balancer) isSlow(a *attempt, result Result, elapsed time.Duration) bool {
	answeredSince := a.sentAt < a.endpoint.answeredAt
	switch result {
	case Timeout:
		return answeredSince
	case Cancelled:
		late := b.settings.Hedging && elapsed.Seconds() >= b.lateLatency.value*a.request.cost
		return answeredSince || !late
	}
	return false
}

// eject keeps ep from being chosen for a while that doubles with each failed trial, with jitter so that
// sidecars do not return to it together.
func (b *Balancer) eject(ep *endpoint) {
	d := min(minEjection<<min(ep.ejections, 10), maxEjection)
	d = time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
	ep.ejections++
	ep.ejectedUntil = b.now + d
	if ep.ejections == 1 {
		b.log("endpoint ejected", Attribute{"endpoint", ep.id},
			Attribute{"failures", ep.failures}, Attribute{"error_answers", ep.errorAnswers})
	}
}
