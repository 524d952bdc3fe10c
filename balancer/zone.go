package balancer

// Zones: whether an attempt stays in the home zone or is a cross-zone one.
//
// Inputs: the price of cross-zone attempts (share of service), the mean latency objective (s), the mean
// normalized latency (s), the number of sidecars, the loads of the better endpoints at home and elsewhere (s
// × requests, load.go) and the mean reported requests in flight.
//
// Why: cross-zone attempts cost, and an overloaded home zone costs more.

const (
	// crossZoneObjectives is the latency, in mean latency objectives, that a cross-zone attempt of price 1
	// counts as. Higher: fewer of them, and an overloaded home zone is left later.
	crossZoneObjectives = 3.5
	// crossZoneBalancers is the number of sidecars above which a cross-zone attempt counts less, in proportion.
	// Higher: as for crossZoneObjectives, in large fleets.
	crossZoneBalancers = 32.0
	// minCrossZoneLatencies is the latency, in mean latencies of a request, below which a cross-zone attempt
	// does not count. Higher: zones matter less often.
	minCrossZoneLatencies = 0.25
)

// zoneFilter is the zones that candidates are in.
type zoneFilter int

const (
	anyZone zoneFilter = iota
	homeZone
	otherZones
)

// isInZones reports whether ep is in the zones of a choice.
func (b *Balancer) isInZones(zones zoneFilter, ep *endpoint) bool {
	switch zones {
	case homeZone:
		return ep.zone == b.settings.Zone
	case otherZones:
		return ep.zone != b.settings.Zone
	}
	return true
}

// pickByZone stays in the home zone while it serves about as well as the other zones, to avoid paying for
// cross-zone attempts. It does so where one counts as more than minCrossZoneLatencies; otherwise all zones
// are one. A request's pair and its key's endpoints are those of the home zone.
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

// pickForRequest picks from the pair that was probed for the request, from the endpoints of its key, or
// from all candidates.
func (b *Balancer) pickForRequest(c candidates) *endpoint {
	if ep := b.pickFromPair(c); ep != nil {
		return ep
	}
	return b.powerOfTwoChoices(b.withAffinity(c))
}

// crossZoneCost is the price of a cross-zone attempt as latency in seconds, or 0 where that matters little.
// It is compared with latency × (outstanding + 1). Of few sidecars each sees an overloaded zone in its own
// outstanding attempts; of many none does, and only latency shows it. The weight prevents a large fleet from
// rejecting requests at home, each sidecar by its own few requests in flight, while other zones are idle.
func (b *Balancer) crossZoneCost() float64 {
	cost := b.settings.PriceCrossZone * crossZoneObjectives * b.meanObjective
	if cost < minCrossZoneLatencies*b.latency.meanNormalized {
		return 0
	}
	return cost * b.crossZoneWeight()
}

// crossZoneWeight is the weight of the price in a fleet of this size, relative to a small fleet.
func (b *Balancer) crossZoneWeight() float64 {
	return min(1, crossZoneBalancers/float64(b.settings.Balancers))
}
