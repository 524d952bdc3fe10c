package balancer

import "time"

// lateAfter is how long the latest attempt may be outstanding before it is late. Where no hedge may run
// beside it, to end it costs its place in the queue: it then gets all the time that leaves enough for
// another attempt.
func (b *Balancer) lateAfter(r *request) time.Duration {
	doubled := float64(int(1) << max(r.outstanding-1, 0)) // with each hedge
	d := seconds(b.lateLatency.value * r.cost * doubled)
	if !b.settings.Hedging {
		d = max(d, r.deadline-b.now-b.usualLatency(r))
	}
	return d
}

// handleLateAttempt answers a late attempt by a hedge beside it or, where hedging is off, by another attempt
// in its place if the endpoint has not answered since. This helps against pauses and hung endpoints. It dies
// out in overload: the budget is relative to first attempts, lateness to what is usual, and pressure stops
// it.
func (b *Balancer) handleLateAttempt(r *request) {
	if r.outstanding == 0 || b.now < r.lateAt || b.retryTokens < 1 || b.pressure() > maxHedgePressure {
		return
	}
	if b.settings.Hedging {
		if ep := b.pick(r); ep != nil {
			b.send(r, ep)
		}
		return
	}
	last := r.lastAttempt()
	silent := last.endpoint.answeredAt < last.sentAt
	if b.settings.Cancellation && silent && b.now+b.usualLatency(r) < r.deadline {
		b.cancelOthers(r, noAttempt)
	}
}
