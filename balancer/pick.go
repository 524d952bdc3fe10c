package balancer

// The choice of an endpoint: which one a request's next attempt is sent to.
//
// Inputs: the endpoints that may be sent the attempt (retry.go), their health (ejection.go), the subset
// (subset.go), the zones' preference (zone.go), the endpoints of the request's key (affinity.go), the pair
// that was probed for it (probe.go), and the loads of endpoints (load.go).
//
// Why: the better of two at random keeps loads equal, though each sidecar sees only its own traffic;
// always the best one would send all sidecars to the same endpoint.

import "slices"

const (
	// maxDraws is the number of random draws before the whole list is searched, and drawsPerEndpoint bounds
	// it for short lists. Higher: fewer searches of long lists, and more draws for nothing where few
	// endpoints are eligible.
	maxDraws         = 8
	drawsPerEndpoint = 2
)

// relaxation is which conditions on an endpoint are given up when none meets them all.
type relaxation int

const (
	strict             relaxation = iota
	allowOutsideSubset            // any endpoint, not just those of the subset
	allowTried                    // also those that the request has tried
	allowEjected                  // also ejected ones: better a doubtful endpoint than none
)

// candidates are the endpoints among which one is chosen for a request.
type candidates struct {
	request      *request
	relaxed      relaxation
	zones        zoneFilter
	keyOnly      bool        // only ofKey
	keyEndpoints []*endpoint // the endpoints of the request's key that meet all other conditions; there may be none
	exclude      *endpoint   // that was drawn before; nil: none
}

// pick returns the endpoint for r's next attempt, or nil. The ordinary case is the one of two random eligible
// endpoints of the subset, which r has not tried, that has the lower load (power of two choices). Where there
// is none, the conditions are relaxed one by one; ejected endpoints are used only with nothing outstanding.
func (b *Balancer) pick(r *request) *endpoint {
	last := allowTried
	if r.outstanding == 0 {
		last = allowEjected
	}
	for relaxed := strict; relaxed <= last; relaxed++ {
		if ep := b.pickByZone(r, relaxed); ep != nil {
			return ep
		}
	}
	return nil
}

// isCandidate reports whether ep is one of the candidates.
func (b *Balancer) isCandidate(c *candidates, ep *endpoint) bool {
	switch {
	case ep == c.exclude:
		return false
	case c.keyOnly:
		return slices.Contains(c.keyEndpoints, ep)
	}
	return b.isInZones(c.zones, ep) && b.isEligible(c.request, ep, c.relaxed)
}

// isEligible reports whether ep meets all conditions that are not relaxed. Health is one of them
// (isHealthyFor).
func (b *Balancer) isEligible(r *request, ep *endpoint, relaxed relaxation) bool {
	if relaxed < allowOutsideSubset && !ep.inSubset && r.keyHash == 0 {
		return false
	}
	if relaxed < allowEjected && !b.isHealthyFor(ep, r) {
		return false
	}
	if relaxed < allowTried && r.hasTried(ep) {
		return false
	}
	return b.mayAttempt(r, ep)
}

// powerOfTwoChoices returns the one with the lower load of two distinct random candidates, or nil
// (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
func (b *Balancer) powerOfTwoChoices(c candidates) *endpoint {
	one := b.draw(&c)
	if one == nil {
		return nil
	}
	c.exclude = one
	return b.lowerLoad(one, b.draw(&c))
}

// lowerLoad returns the one of two endpoints with the lower load, and one if there is no other.
func (b *Balancer) lowerLoad(one, other *endpoint) *endpoint {
	if other == nil || b.loadOf(one) <= b.loadOf(other) {
		return one
	}
	return other
}

// pickFromPair returns the one with the lower load of the pair that was probed for the request, or nil. One
// of it that did not report counts as the higher.
func (b *Balancer) pickFromPair(c candidates) *endpoint {
	var one, two *endpoint
	for _, ep := range c.request.pair.endpoints {
		if ep != nil && b.isCandidate(&c, ep) && c.request.pair.hasReport(ep) {
			one, two = ep, one
		}
	}
	if one == nil {
		return nil
	}
	return b.lowerLoad(one, two)
}

// draw returns a random candidate, or nil. It draws a few times from the list, which is cheap, and only
// then searches all of it.
func (b *Balancer) draw(c *candidates) *endpoint {
	for range min(maxDraws, drawsPerEndpoint*len(b.endpoints)) {
		if ep := b.endpoints[b.rng.IntN(len(b.endpoints))]; b.isCandidate(c, ep) {
			return ep
		}
	}
	var found *endpoint
	n := 0
	for _, ep := range b.endpoints {
		if !b.isCandidate(c, ep) {
			continue
		}
		if n++; b.rng.IntN(n) == 0 {
			found = ep
		}
	}
	return found
}
