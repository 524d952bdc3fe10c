package balancer

import "math"

// chooseSubset settles the subset from which pairs are drawn: the first of an order that is random for this
// sidecar, as many as get a request each in subsetPeriod, ejected ones not counted. Without it the estimates
// of a long list would always be out of date. It applies where sidecars are many (the subsets of few load
// endpoints unevenly) and probes are not cheap (they bring current figures). Requests with a key, and those
// that find no ready endpoint in the subset, draw from all.
//
// Where crossings cost, part of the subset is taken from the home zone first, the larger the less a crossing
// weighs in the choice: a subset of all zones has two or three endpoints there, the better of which is often
// worse than the better of the others. Where the choice itself stays home, a subset of few others would
// leave it nowhere to go.
func (b *Balancer) chooseSubset() {
	b.subsetChosenAt = b.now
	all := b.probesBeforePick() && b.probesAreCheap() || b.settings.Balancers < smallFleet
	for _, ep := range b.endpoints {
		ep.inSubset = all
	}
	b.subsetSize = len(b.endpoints)
	if all {
		return
	}
	b.subsetSize = 0
	size := int(max(minSubsetSize, b.offeredRate.perSecond(b.now)*subsetPeriod.Seconds()))
	clear(b.zoneSizes)
	if b.crossZoneCost() > 0 {
		for _, ep := range b.endpoints {
			b.zoneSizes[ep.zone]++
		}
		homeSize := int(math.Round(homeSubsetShare * (1 - b.crossZoneWeight()) * float64(size)))
		b.addToSubset(homeSize, func(ep *endpoint) bool {
			return ep.zone == b.settings.Zone && b.now >= ep.ejectedUntil
		})
	}
	b.homeSubsetSize = b.subsetSize
	b.addToSubset(size-b.subsetSize, func(ep *endpoint) bool {
		return !ep.inSubset && b.now >= ep.ejectedUntil
	})
}

// addToSubset adds the first n endpoints that are ok.
func (b *Balancer) addToSubset(n int, ok func(*endpoint) bool) {
	for _, ep := range topByHash(b.endpoints, n, ok, b.subsetSeed) {
		ep.inSubset = true
		b.subsetSize++
	}
}
