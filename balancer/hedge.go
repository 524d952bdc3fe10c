package balancer

// Hedging determines when an attempt is overdue, and whether another attempt is then sent in addition to it
// or in its place.
//
// Inputs: the overdue and the usual latency (s, estimate.go), the request's expected work (relative to the
// mean request), its outstanding attempts and its deadline, the retry budget (tokens), the pressure
// (pressure.go), whether the endpoint has answered since the attempt was sent, and the settings Hedging and
// Cancellation.
//
// Why: an endpoint that pauses or hangs holds its requests until their deadlines unless they are sent to
// other endpoints in time.

import "time"

// maxHedgePressure is the pressure above which no attempt is hedged or replaced, because first attempts
// need the capacity. With a higher value, more requests get away from slow endpoints, but more load is
// added near the limit.
const maxHedgePressure = 0.7

// overdueAfter returns how long the latest attempt may be outstanding before it is overdue. If hedging is
// off, the attempt must be cancelled before another one is sent, and its place in the endpoint's queue is
// lost. The attempt is therefore not overdue until the time left is just enough for another attempt.
func (b *Balancer) overdueAfter(r *request) time.Duration {
	factor := float64(int(1) << max(r.outstanding-1, 0)) // doubles with each hedge
	d := seconds(b.latency.overdue.value * r.relativeWork * factor)
	if !b.settings.Hedging {
		d = max(d, r.deadline-b.now-b.usualLatency(r))
	}
	return d
}

// handleOverdueAttempt sends a hedge in addition to an overdue attempt. If hedging is off and Cancellation
// is on, it cancels the attempt instead, to be followed by another one, provided that the endpoint has not
// answered since the attempt was sent and that there is time for another attempt. Hedges and replacements
// help if endpoints pause or hang. In overload both stop: the retry budget is relative to first attempts,
// the latency beyond which attempts are overdue rises with the measured latencies, and handleOverdueAttempt
// does nothing above maxHedgePressure.
func (b *Balancer) handleOverdueAttempt(r *request) {
	if r.outstanding == 0 || b.now < r.overdueAt || b.retries.isSpent() || b.pressure() > maxHedgePressure {
		return
	}
	if b.settings.Hedging {
		if ep := b.pick(r); ep != nil {
			b.send(r, ep)
		}
		return
	}
	last := r.lastAttempt()
	silent := last.endpoint.health.answeredAt < last.sentAt
	if b.settings.Cancellation && silent && b.now+b.usualLatency(r) < r.deadline {
		b.cancelOthers(r, noAttempt)
	}
}
