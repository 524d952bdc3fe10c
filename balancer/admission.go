package balancer

// Admission control decides which requests are shed on arrival, that is, rejected without an attempt, so
// that the remaining ones are served in time.
//
// A request is shed if the pressure is above the level that its rank allows, or if so many requests end
// late that requests of its rank are no longer admitted. Where endpoints are probed before a pick and
// probes are cheap, such a request is not shed at once but marked undecided; the load that a pair of probed
// endpoints reports then decides (pairadmission.go).
//
// Inputs: the rank of the request's weight among the weights of recent requests (0 to 1; weight.go), the
// pressure (pressure.go) and the admitted share (share of requests; admissionlimits.go).
//
// Why: if all requests wait while the load exceeds the capacity, all of them end late, and late work
// displaces work that could still be in time. Requests of the lowest weight are shed first.

import (
	"math"
	"time"
)

const (
	// fullPressure is the pressure at which the requests in flight use up their wait limit.
	fullPressure = 1.0
	// rankAllowance is the additional pressure above fullPressure up to which the request of the highest
	// rank is admitted. A higher value gives weights more influence and allows more requests in flight.
	rankAllowance = 0.5
)

// admissionVerdict is the decision of admission control about an arriving request.
type admissionVerdict int

const (
	admitted  admissionVerdict = iota
	undecided                  // shed unless the pair that is probed for the request reports capacity
	shed
)

// admissionControl sheds arriving requests of low rank, either because the pressure (pressure.go) is too
// high for their rank, or because so many recent requests ended late that only higher ranks are admitted
// (admissionlimits.go).
type admissionControl struct {
	meter   pressureMeter
	limits  admissionLimits
	weights recentRanks
	shedAt  time.Duration // when a request was last shed or undecided on arrival; 0 if there is no load shedding
}

func newAdmissionControl() admissionControl {
	return admissionControl{meter: newPressureMeter(), limits: newAdmissionLimits()}
}

// admit sets the rank of an arriving request and decides whether the request is admitted.
func (b *Balancer) admit(r *request) admissionVerdict {
	r.rank = b.admission.weights.rankAndAdd(b.weightOf(r), b.rng.Float64())
	ok := b.admission.allows(r.rank, b.pressure())
	b.logShedding(ok)
	switch {
	case ok:
		return admitted
	case b.probesBeforePick() && b.probesAreCheap():
		return undecided
	}
	return shed
}

// allows reports whether a request of this rank is admitted at this pressure and with the current limits.
func (a *admissionControl) allows(rank, pressure float64) bool {
	return pressure <= fullPressure+rankAllowance*rank && rank >= 1-a.limits.admittedShare
}

// logShedding logs the start and the end of load shedding on arrival; ok reports whether the arriving
// request was admitted. The end is logged with the first admitted request after servedMemory without
// shedding. An undecided request counts as shed, although its pair may still admit it. Requests that
// admitToPair sheds later are not logged.
func (b *Balancer) logShedding(ok bool) {
	a := &b.admission
	if !ok && a.shedAt == 0 {
		b.log("load shedding started", Attribute{"in_flight", a.meter.inFlight.count},
			Attribute{"answers_per_second", math.Round(a.meter.served.perSecond(b.now))})
	} else if ok && a.shedAt != 0 && b.now-a.shedAt > servedMemory {
		b.log("load shedding stopped")
		a.shedAt = 0
	}
	if !ok {
		a.shedAt = b.now
	}
}
