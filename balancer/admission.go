package balancer

import (
	"math"
	"time"
)

// admit sheds the requests of the lowest weight while more are in flight than can be served in time, and
// after late requests in a row. The latter ends jams that many quiet sidecars sustain by the one or two
// requests that each has in flight.
func (b *Balancer) admit(r *request) bool {
	r.rank = b.weightRanks.add(b.weightOf(r), b.rng.Float64())
	ok := b.pressure() <= 1+r.rank/2 && r.rank >= 1-b.admittedShare
	if !ok && b.shedAt == 0 {
		b.log("load shedding started", Attribute{"in_flight", b.inFlight},
			Attribute{"answers_per_second", math.Round(b.servedRate.perSecond(b.now))})
	} else if ok && b.shedAt != 0 && b.now-b.shedAt > servedMemory {
		b.log("load shedding stopped")
		b.shedAt = 0
	}
	if !ok {
		b.shedAt = b.now
	}
	r.provisionallyShed = !ok
	return ok || b.probesBeforePick() && b.probesAreCheap() // then the load that the pair reports decides
}

// pressure compares the requests in flight with those served while one of them may wait (Little's law):
// above 1 they would on average take more than the wait limit of their objective. It prevents queues that
// grow faster than late answers show, and jams that sustain themselves. Requests that have just arrived
// count less, so that a burst passes at a calm time, and a few may always be in flight. At a quiet sidecar a
// few are chance: the fewer there are, the more their mean over slowServedMemory counts in their place.
func (b *Balancer) pressure() float64 {
	n := float64(b.inFlight)
	if n < max(2, float64(len(b.endpoints))/float64(b.settings.Balancers)) {
		return 0
	}
	meanAge := (time.Duration(b.inFlight)*b.now - b.arrivalSum).Seconds() / n
	ageFactor := min(1, meanAge*b.inverseObjectives/n/fullPressureAge)
	w := n / (n + smallInFlight)
	demand := w*b.inverseObjectives + (1-w)*b.inverseObjectivesMean.perSecond(b.now)
	served := w*b.servedRate.perSecond(b.now) + (1-w)*b.slowServedRate.perSecond(b.now)
	return ageFactor * min(maxPressure, demand/(b.waitLimit*max(served, 1e-3)))
}

// adaptLimits narrows the limits for a request that ended late under pressure, and widens them for one in
// time. It follows endpoints that slow down when crowded, long before latency comes near objectives that are
// many times the work. An endpoint that has not answered since is paused or hung, not crowded.
func (b *Balancer) adaptLimits(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	if b.now < r.objectiveAt-2*b.settings.Tick {
		b.admittedShare = min(maxAdmittedShare, b.admittedShare*admittedIncrease)
		b.waitLimit = min(maxWaitLimit, b.waitLimit*(1+waitLimitStep*allowedLateShare))
		return
	}
	b.admittedShare = max(minAdmittedShare, b.admittedShare*admittedDecrease)
	last := r.lastAttempt()
	if last.endpoint.answeredAt > last.sentAt && b.pressure() > 1 {
		b.waitLimit = max(minWaitLimit, b.waitLimit*(1-waitLimitStep))
	}
}

// weightOf is a request's weight for each unit of work. A part of the requests that a tenant sends beyond
// its quota, chosen at random, has OverQuotaWeight.
func (b *Balancer) weightOf(r *request) float64 {
	weight := r.class.Weight
	if !b.settings.WeightByWork {
		weight /= r.cost
	}
	if r.stale {
		weight *= r.class.LateWeight
	}
	if r.tenantIndex >= 0 {
		b.tenantRates[r.tenantIndex].add(1, b.now)
		used := shareOf(b.tenantRates, r.tenantIndex, b.now)
		if b.rng.Float64()*used > b.settings.Tenants[r.tenantIndex].Fraction {
			weight *= b.settings.OverQuotaWeight
		}
	}
	return weight
}
