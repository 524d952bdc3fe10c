package balancer

import "time"

// startWarmUp begins an endpoint's slow start, counted from the time from.
func (b *Balancer) startWarmUp(ep *endpoint, from time.Duration) {
	ep.warmingUp = true
	ep.warmUpFrom = from
	ep.tokensAt = b.now
	// A random part of the first token: all sidecars learn of ep together, and one request each is a burst.
	ep.warmUpTokens = b.rng.Float64()
	ep.latency = peakEWMA{*ep.kindMean / b.capacityShare(ep), b.now}
}

// capacityShare is the minimum share of its capacity that an endpoint has by now.
func (b *Balancer) capacityShare(ep *endpoint) float64 {
	if ep.warmingUp && b.now-ep.warmUpFrom >= b.settings.WarmUp {
		ep.warmingUp, b.warmUpLimiting = false, false
	}
	if !ep.warmingUp {
		return 1
	}
	progress := float64(b.now-ep.warmUpFrom) / float64(b.settings.WarmUp)
	return min(1, b.settings.InitialCapacity+(1-b.settings.InitialCapacity)*progress)
}

// warmUpAllows holds an endpoint that is warming up to a part of the load that would overload it. The rule
// is about the work of all sidecars together, and a sidecar sees only its own. It does its part when it
// sends no more than OverloadMultiple of its own mean load, as far as the endpoint is warm and its kind is
// as fast as the mean: the load of warm endpoints is below their capacity.
func (b *Balancer) warmUpAllows(ep *endpoint) bool {
	share := b.capacityShare(ep)
	if !ep.warmingUp {
		return true
	}
	if b.settings.OverloadMultiple > 0 {
		kindRatio := min(maxWarmUpKindRatio, b.meanNormalized / *ep.kindMean)
		share *= warmUpSafety * b.settings.OverloadMultiple * kindRatio
	}
	perSecond := share * b.offeredRate.perSecond(b.now) * b.warmUpShare(ep)
	burst := max(1, perSecond*b.settings.OverloadDuration.Seconds()/10)
	ep.warmUpTokens = min(burst, ep.warmUpTokens+perSecond*(b.now-ep.tokensAt).Seconds())
	ep.tokensAt = b.now
	return ep.warmUpTokens >= 1
}

// warmUpShare is the part of its own load that this sidecar counts as ep's mean load. Where pairs are drawn
// from subsets, ep gets most from the few sidecars that have it in their subset, and the others leave it
// little: together they stay at one mean load. Equal budgets would be left unused by most sidecars, and
// endpoints that return would stand idle.
func (b *Balancer) warmUpShare(ep *endpoint) float64 {
	fleet := float64(b.recentListSize())
	switch {
	case b.subsetSize >= len(b.endpoints):
		return 1 / fleet
	case ep.inSubset:
		return subsetWarmUpShare / fleet / b.subsetShare(ep)
	}
	return (1 - subsetWarmUpShare) / fleet
}

// subsetShare is the share of sidecars that have ep in their subset, if all are like this one and spread
// evenly over the zones, but for homeZoneSkew. Where most of a subset is from the home zone, the few
// endpoints of a small zone are in more subsets and those of a busy zone in busier ones: one budget for all
// would be wrong.
func (b *Balancer) subsetShare(ep *endpoint) float64 {
	all, zones := float64(len(b.endpoints)), float64(len(b.zoneSizes))
	if b.homeSubsetSize == 0 || zones < 2 {
		return float64(b.subsetSize) / all
	}
	home, others := float64(b.homeSubsetSize), float64(b.subsetSize-b.homeSubsetSize)
	fromHome := min(1, home/float64(b.zoneSizes[ep.zone]))
	return homeZoneSkew*fromHome/zones + (1-1/zones)*others/(all-all/zones)
}

// logWarmUpLimiting logs that slow start may delay a request, once until the next endpoint has warmed up.
func (b *Balancer) logWarmUpLimiting() {
	if warmingUp := b.warmingUpCount(); warmingUp > 0 && !b.warmUpLimiting {
		b.warmUpLimiting = true
		b.log("requests wait for endpoints that are warming up",
			Attribute{"warming_up", warmingUp}, Attribute{"endpoints", len(b.endpoints)})
	}
}
