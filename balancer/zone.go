package balancer

// This rule determines whether an attempt stays in the home zone or goes to another zone.
//
// Inputs: the price of cross-zone attempts (share of service), the mean latency objective (s), the mean
// normalized latency (s), the number of sidecars, the loads of the better endpoints in the home zone and
// elsewhere (s × requests, load.go), and the mean of the reported requests in flight.
//
// Why: cross-zone attempts have a price, but an overloaded home zone costs more.

const (
	// crossZoneObjectives is the latency, in mean latency objectives, that a cross-zone attempt at a price
	// of 1 is equivalent to. With a higher value, there are fewer cross-zone attempts, but an overloaded
	// home zone is left later.
	crossZoneObjectives = 3.5
	// crossZoneBalancers is the number of sidecars above which the price of cross-zone attempts is weighted
	// in inverse proportion to their number. With a higher value, there are fewer cross-zone attempts in
	// large fleets, but an overloaded home zone is left later.
	crossZoneBalancers = 32.0
	// minCrossZoneLatencies is the equivalent latency, as a multiple of the mean latency of requests, below
	// which the price of a cross-zone attempt is ignored. With a higher value, the home zone is preferred
	// less often.
	minCrossZoneLatencies = 0.25
)

// zoneFilter restricts candidates to certain zones.
type zoneFilter int

const (
	anyZone zoneFilter = iota
	homeZone
	otherZones
)

// isInZones reports whether ep is in the zones that the filter allows.
func (b *Balancer) isInZones(zones zoneFilter, ep *endpoint) bool {
	switch zones {
	case homeZone:
		return ep.location.Zone == b.settings.Zone
	case otherZones:
		return ep.location.Zone != b.settings.Zone
	}
	return true
}

// pickByZone picks an endpoint of the home zone as long as it is about as good as the endpoints of other
// zones, to avoid the price of cross-zone attempts. If crossZoneCost is 0, zones are not distinguished. The
// probed pair and the endpoints of the affinity key are considered only in the home zone.
func (b *Balancer) pickByZone(r *request, relaxed relaxation) *endpoint {
	cost := b.crossZoneCost()
	if cost == 0 {
		return b.pickForRequest(candidates{request: r, relaxed: relaxed})
	}
	home := b.pickForRequest(candidates{request: r, relaxed: relaxed, zones: homeZone})
	other := b.powerOfTwoChoices(candidates{request: r, relaxed: relaxed, zones: otherZones})
	if home == nil || other != nil && b.loadOf(other)+cost*(b.load.meanInFlight+1) < b.loadOf(home) {
		return other
	}
	return home
}

// pickForRequest picks from the pair that was probed for the request. If it can pick neither, it picks from
// the endpoints of the affinity key, or from all candidates if the request has no key.
func (b *Balancer) pickForRequest(c candidates) *endpoint {
	if ep := b.pickFromPair(c); ep != nil {
		return ep
	}
	return b.powerOfTwoChoices(b.withAffinity(c))
}

// crossZoneCost returns the price of a cross-zone attempt as a latency in seconds, or 0 if it is
// negligible. pickByZone multiplies it by the mean number of reported requests in flight + 1, to compare it
// with loads (loadOf). In a small fleet, each sidecar notices an overloaded zone by its own outstanding
// attempts; in a large fleet, only latency shows the overload. Without crossZoneWeight, the sidecars of a
// large fleet, each with few requests in flight, would keep requests in an overloaded home zone and reject
// them while other zones are idle.
func (b *Balancer) crossZoneCost() float64 {
	cost := b.settings.PriceCrossZone * crossZoneObjectives * b.meanObjective
	if cost < minCrossZoneLatencies*b.latency.meanNormalized {
		return 0
	}
	return cost * b.crossZoneWeight()
}

// crossZoneWeight returns the weight of the cross-zone price in a fleet of this size, relative to a small
// fleet.
func (b *Balancer) crossZoneWeight() float64 {
	return min(1, crossZoneBalancers/float64(b.settings.Balancers))
}
