package balancer

// Admission limits determine how much admission control admits. They adapt to whether requests end before
// their objectives, in two feedback loops. Each request that misses its objective lowers the admitted
// share; if an overloaded endpoint caused the miss, it also lowers the wait limit. Each request that meets
// its objective raises both.
//
// Inputs: when a request ended and its objective (times of Handle's clock), the pressure, and whether the
// endpoint of its latest attempt has answered since that attempt was sent.
//
// Why: if objectives are many times the work of a request, endpoints may slow down under overload long
// before latencies approach the objectives. A lower wait limit then keeps the queues short. Pressure does
// not detect the congestion that many quiet sidecars sustain with one or two requests in flight each. A
// lower admitted share ends this congestion.

const (
	// maxWaitLimit is the upper bound of the wait limit. With a higher value, fewer requests are shed, and
	// more of them end late.
	maxWaitLimit = 0.65
	// minWaitLimit is the lower bound of the wait limit, reached where endpoints are overloaded. With a
	// higher value, fewer requests are shed while endpoints are overloaded, and more of them end late.
	minWaitLimit = 0.33
	// waitLimitStep is the relative decrease of the wait limit for each request that an overloaded endpoint
	// made late. With a higher value, the limit follows a slowdown sooner, but also reacts more to chance.
	waitLimitStep = 0.06
	// allowedLateShare is the share of late requests that leaves the wait limit unchanged: a request in
	// time raises the limit by allowedLateShare times as much as a late one lowers it. With a higher value,
	// fewer requests are shed, and more of them end late.
	allowedLateShare = 0.05
	// admittedIncrease multiplies the admitted share for each request in time, and admittedDecrease for
	// each late one. They balance when four in ten requests are late. Values closer to 1 make the share
	// steadier, and congestion lasts longer.
	admittedIncrease = 1.3
	admittedDecrease = 0.7
	// minAdmittedShare is the smallest share of requests that is admitted. With a higher value, the end of
	// congestion is detected sooner, but more requests are admitted that sustain the congestion.
	minAdmittedShare = 0.1
	// maxAdmittedShare is the upper bound of the admitted share. It is above 1 because a few consecutive
	// late requests happen by chance. With a higher value, it takes more consecutive late requests until
	// requests are shed.
	maxAdmittedShare = 2.5
)

// admissionLimits are the limits that late requests lower. A request is in time if it ends, answered or
// not, before its objective less the deadline margin; otherwise it is late. A request with a streamed
// answer ends with its stream.
type admissionLimits struct {
	wait          float64 // wait limit: share of its objective that a request in flight may wait
	admittedShare float64 // share of requests to admit, highest ranks first; 1 or more admits all
}

func newAdmissionLimits() admissionLimits {
	return admissionLimits{wait: maxWaitLimit, admittedShare: maxAdmittedShare}
}

// recordInTime raises the limits after a request that ended in time.
func (l *admissionLimits) recordInTime() {
	l.admittedShare = min(maxAdmittedShare, l.admittedShare*admittedIncrease)
	l.wait = min(maxWaitLimit, l.wait*(1+waitLimitStep*allowedLateShare))
}

// recordLate lowers the admitted share after a request that ended late, and also the wait limit if an
// overloaded endpoint made it late.
func (l *admissionLimits) recordLate(overloaded bool) {
	l.admittedShare = max(minAdmittedShare, l.admittedShare*admittedDecrease)
	if overloaded {
		l.wait = max(minWaitLimit, l.wait*(1-waitLimitStep))
	}
}

// adaptLimits raises the limits after a request that ended in time, and lowers them after one that ended
// late. A late request always lowers the admitted share. It lowers the wait limit only if the pressure is
// above fullPressure and the endpoint of the latest attempt has answered since that attempt was sent: an
// endpoint that has not answered is paused or hung, not overloaded. A request without an attempt, or whose
// client disconnects, changes no limit.
func (b *Balancer) adaptLimits(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	if b.now < r.objectiveAt-b.settings.deadlineMargin() {
		b.admission.limits.recordInTime()
		return
	}
	answeredSince := r.lastAttempt().answeredSince()
	b.admission.limits.recordLate(answeredSince && b.pressure() > fullPressure)
}
