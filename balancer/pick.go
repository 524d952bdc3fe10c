package balancer

import "slices"

// relaxation is which conditions on an endpoint are given up when none meets them all.
type relaxation int

const (
	strict           relaxation = iota
	outsideSubset               // any endpoint, not just those of the subset
	triedBefore                 // also those that the request has tried
	ejectedEndpoints            // also ejected ones: better a doubtful endpoint than none
)

// pick returns the endpoint for r's next attempt, or nil. The ordinary case is the one of two random ready
// endpoints of the subset, which r has not tried, that has the lower load (power of two choices). Where
// there is none, the conditions are relaxed one by one; ejected endpoints are used only with nothing
// outstanding.
func (b *Balancer) pick(r *request) *endpoint {
	last := triedBefore
	if r.outstanding == 0 {
		last = ejectedEndpoints
	}
	for relaxed := strict; relaxed <= last; relaxed++ {
		ep := b.pickByZone(r, func(ep *endpoint) bool { return b.isEligible(r, ep, relaxed) })
		if ep != nil {
			return ep
		}
	}
	return nil
}

func (b *Balancer) isEligible(r *request, ep *endpoint, relaxed relaxation) bool {
	if relaxed < outsideSubset && !ep.inSubset && r.keyHash == 0 {
		return false
	}
	if relaxed < ejectedEndpoints && !b.isReady(ep, r) {
		return false
	}
	if relaxed < triedBefore && r.hasTried(ep) {
		return false
	}
	return b.mayAttempt(r, ep)
}

func (r *request) hasTried(ep *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endpoint == ep })
}

// pickByZone stays in the home zone while it serves about as well as the other zones, to avoid paying for
// crossings. It does so where a crossing counts as more than a quarter of the latency of a request;
// otherwise all zones are one.
func (b *Balancer) pickByZone(r *request, ok func(*endpoint) bool) *endpoint {
	crossing := b.crossZoneCost()
	if crossing == 0 {
		return b.powerOfTwoChoices(r, ok)
	}
	home := b.powerOfTwoChoices(r, func(ep *endpoint) bool { return ep.zone == b.settings.Zone && ok(ep) })
	other := b.powerOfTwoChoices(nil, func(ep *endpoint) bool { return ep.zone != b.settings.Zone && ok(ep) })
	if home == nil || other != nil && b.loadOf(other)+crossing*(b.meanInFlight+1) < b.loadOf(home) {
		return other
	}
	return home
}

// crossZoneCost is a crossing's price as latency in seconds, or 0 where that matters little. It is compared
// with latency × (outstanding + 1). Of few sidecars each sees a crowded zone in its own outstanding
// attempts; of many none does, and only latency shows it. The weight prevents a large fleet from rejecting
// requests at home, each sidecar by its own few requests in flight, while other zones are idle.
func (b *Balancer) crossZoneCost() float64 {
	cost := b.settings.PriceCrossZone * crossZoneObjectives * b.meanObjective
	if cost < b.meanNormalized/4 {
		return 0
	}
	return cost * b.crossZoneWeight()
}

// crossZoneWeight is the weight of a crossing in a fleet of this size, relative to a small fleet.
func (b *Balancer) crossZoneWeight() float64 {
	return min(1, crossZoneBalancers/float64(b.settings.Balancers))
}

// powerOfTwoChoices returns the one with the lower load of two distinct random endpoints that are ok, or nil
// (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing"). A pair that was probed was
// drawn before; one of it that did not report counts as the higher. A nil r has no pair and no key.
func (b *Balancer) powerOfTwoChoices(r *request, ok func(*endpoint) bool) *endpoint {
	var one, two *endpoint
	if r != nil && r.probedPair[0] != nil {
		for _, ep := range r.probedPair {
			if ep != nil && ok(ep) && ep.reportedAt >= r.pairProbedAt {
				one, two = ep, one
			}
		}
	}
	if one == nil {
		if r != nil && r.keyHash != 0 {
			ok = b.withAffinity(r, ok)
		}
		if one = b.draw(ok); one == nil {
			return nil
		}
		two = b.draw(func(ep *endpoint) bool { return ep != one && ok(ep) })
	}
	if two == nil || b.loadOf(one) <= b.loadOf(two) {
		return one
	}
	return two
}

// withAffinity narrows ok to the endpoints of r's key: the first in an order that the key gives, the same at
// every sidecar (rendezvous hashing). It saves work that another endpoint has cached, where endpoints cache
// by key. A key with much traffic gets more endpoints. Among them the lower load still decides.
func (b *Balancer) withAffinity(r *request, ok func(*endpoint) bool) func(*endpoint) bool {
	top := topByHash(b.endpoints, r.keyEndpoints, ok, r.keyHash)
	return func(ep *endpoint) bool { return slices.Contains(top, ep) }
}

// draw returns a random endpoint of those that are ok, or nil. It draws a few times from the list, which is
// cheap, and only then searches all of it.
func (b *Balancer) draw(ok func(*endpoint) bool) *endpoint {
	for range min(maxDraws, 2*len(b.endpoints)) {
		if ep := b.endpoints[b.rng.IntN(len(b.endpoints))]; ok(ep) {
			return ep
		}
	}
	var found *endpoint
	n := 0
	for _, ep := range b.endpoints {
		if !ok(ep) {
			continue
		}
		if n++; b.rng.IntN(n) == 0 {
			found = ep
		}
	}
	return found
}

// loadOf is latency × (outstanding + 1), with two exceptions: an idle estimate decays towards the mean of
// its kind rather than to nothing, since idleness is not speed, and an outstanding attempt takes at least
// its age.
func (b *Balancer) loadOf(ep *endpoint) float64 {
	w := ep.latency.decayFactor(b.now, b.decayTime())
	latency := ep.latency.value*w + *ep.kindMean*(1-w)
	if len(ep.outstanding) > 0 {
		oldest := ep.outstanding[0]
		latency = max(latency, (b.now-oldest.sentAt).Seconds()/oldest.request.cost)
	}
	inFlight := float64(len(ep.outstanding))
	if ep.reportedAt > 0 && b.now-ep.reportedAt < seconds(b.meanNormalized) {
		inFlight = max(inFlight, ep.inFlight)
	} else {
		inFlight = max(inFlight, b.meanInFlight) // comparable with endpoints that have reported
	}
	return latency * (inFlight + 1)
}
