package balancer

import (
	"math"
	"slices"
)

// awaitProbes draws the pair for r's next attempt and probes both, unless that has been done. It reports
// whether r still waits for an answer. Probes help where a sidecar's own outstanding attempts show nothing:
// of many sidecars each sends an endpoint little. They are used where they report an endpoint's load, cost
// little (the more sidecars there are, the less one sees by itself) and are answered fast.
func (b *Balancer) awaitProbes(r *request) bool {
	if !b.probesBeforePick() || r.outstanding > 0 {
		return false
	}
	wait := 2*b.settings.Tick + seconds(4*b.probeLatency.value)
	if r.probedPair[0] != nil {
		return r.awaitsReport() && b.now < r.pairProbedAt+wait
	}
	if b.probeLatency.value > b.meanNormalized/4 && b.rng.IntN(slowProbeOneIn) > 0 {
		return false
	}
	if !b.drawPair(r) {
		return false
	}
	for _, ep := range r.probedPair {
		if ep.probeSentAt == 0 || b.now-ep.probeSentAt > wait {
			ep.probeSentAt = b.now
			b.emit(Action{Kind: Probe, Endpoint: ep.id})
		}
	}
	b.awaitingProbes = append(b.awaitingProbes, r)
	b.schedule(b.now+wait, timerAdvance, r)
	return true
}

// awaitsReport reports whether one of the pair has neither reported nor failed to since it was drawn.
func (r *request) awaitsReport() bool {
	return slices.ContainsFunc(r.probedPair[:], func(ep *endpoint) bool {
		return ep != nil && max(ep.reportedAt, ep.reportFailedAt) < r.pairProbedAt
	})
}

// drawPair draws the pair to probe for r; it reports whether there are two.
func (b *Balancer) drawPair(r *request) bool {
	ok := func(ep *endpoint) bool {
		return (b.crossZoneCost() == 0 || ep.zone == b.settings.Zone) && b.isEligible(r, ep, strict)
	}
	one := b.draw(ok)
	two := b.draw(func(ep *endpoint) bool { return ep != one && ok(ep) })
	if two == nil {
		return false
	}
	r.probedPair, r.pairProbedAt = [2]*endpoint{one, two}, b.now
	r.pairsProbed++
	return true
}

// probesAreCheap reports whether probes may be used freely; others only serve the choice of an endpoint.
func (b *Balancer) probesAreCheap() bool { return 4*b.settings.PriceProbe <= maxProbePrice }

// probesBeforePick reports whether endpoints are probed before one is chosen. Dearer probes pay off only
// among many sidecars.
func (b *Balancer) probesBeforePick() bool {
	tooDear := 2*b.settings.PriceProbe > maxProbePrice ||
		!b.probesAreCheap() && b.settings.Balancers < smallFleet
	return b.settings.Probes && b.settings.ProbesReportLoad && !tooDear
}

// pairLoad tells whether one of the pair has reported its load, and whether that is too much for r to be
// served in time, the sooner the lower r's weight is. It corrects the coarse measure of pressure, which with
// two requests in flight is mostly chance, and prevents work that would end late. It applies where probes
// are cheap: dear ones report late.
func (b *Balancer) pairLoad(r *request) (reported, overloaded bool) {
	lowest := math.Inf(1)
	for _, ep := range r.probedPair {
		if ep != nil && ep.reportedAt >= r.pairProbedAt {
			lowest = min(lowest, ep.inFlight)
		}
	}
	if math.IsInf(lowest, 1) || !b.probesAreCheap() {
		return false, false
	}
	tolerance := minOverloadTolerance + (1-minOverloadTolerance)*r.rank
	available := (r.objectiveAt - b.now).Seconds() * tolerance
	return true, b.secondsPerRequest.value*(lowest+r.cost) > available
}

// handleProbeResult records a probe's answer, and moves the requests on that waited for it.
func (b *Balancer) handleProbeResult(e ProbeResult) {
	ep := b.endpointsByID[e.Endpoint]
	if ep == nil || ep.probeSentAt == 0 {
		return
	}
	b.probeLatency.add(e.Elapsed.Seconds())
	ep.probeSentAt = 0
	if e.Result == OK && e.Load.isUsable() {
		b.recordLoad(ep, e.Load.InFlight)
	} else {
		ep.reportFailedAt = b.now
	}
	b.awaitingProbes = slices.DeleteFunc(b.awaitingProbes, func(r *request) bool {
		if !r.done && r.probedPair[0] != nil && slices.Contains(r.probedPair[:], ep) {
			b.advance(r)
		}
		return r.done || r.probedPair[0] == nil
	})
}
