package balancer

// This rule picks the endpoint that a request's next attempt is sent to.
//
// Inputs: the endpoints that may be sent the attempt (retry.go), their health (ejection.go), the subset
// (subset.go), the preferred zones (zone.go), the endpoints of the request's affinity key (affinity.go),
// the pair that was probed for the request (probe.go), and the loads of endpoints (load.go).
//
// Why: picking the better of two random endpoints balances loads although each sidecar sees only its own
// traffic. If all sidecars always picked the best endpoint, they would all pick the same one.

import "slices"

const (
	// maxDraws is the number of random draws before the whole list is searched. For short lists, the number
	// is limited to drawsPerEndpoint for each endpoint. With higher values, long lists are searched less
	// often, but more draws are wasted if few endpoints are eligible.
	maxDraws         = 8
	drawsPerEndpoint = 2
)

// relaxation determines which conditions on an endpoint are dropped when no endpoint meets all of them.
// Each value also drops the conditions of the values before it.
type relaxation int

const (
	strict             relaxation = iota
	allowOutsideSubset            // also includes endpoints outside the subset
	allowTried                    // also includes endpoints that the request has tried
	allowEjected                  // also includes endpoints that isHealthyFor excludes: better than none
)

// candidates describes the endpoints from which one is picked for a request.
type candidates struct {
	request      *request
	relaxed      relaxation
	zones        zoneFilter
	keyOnly      bool        // whether only keyEndpoints are candidates
	keyEndpoints []*endpoint // endpoints of the key that meet all other conditions; may be empty
	exclude      *endpoint   // endpoint that was drawn before; nil if none
}

// pick returns the endpoint for r's next attempt, or nil. In the ordinary case, it draws two random
// eligible endpoints of the subset that r has not tried, and returns the one with the lower load (power of
// two choices). If no endpoint meets these conditions, they are dropped one by one (relaxation). Endpoints
// that isHealthyFor excludes are used only if r has no outstanding attempt.
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

// isEligible reports whether ep meets all conditions that relaxed does not drop, and those of mayAttempt,
// which are never dropped.
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

// powerOfTwoChoices draws two distinct random candidates and returns the one with the lower load, the only
// candidate if there is just one, or nil if there is none (M. Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing").
func (b *Balancer) powerOfTwoChoices(c candidates) *endpoint {
	first := b.draw(&c)
	if first == nil {
		return nil
	}
	c.exclude = first
	return b.lowerLoad(first, b.draw(&c))
}

// lowerLoad returns the endpoint with the lower load; second may be nil.
func (b *Balancer) lowerLoad(first, second *endpoint) *endpoint {
	if second == nil || b.loadOf(first) <= b.loadOf(second) {
		return first
	}
	return second
}

// pickFromPair returns the endpoint with the lower load from the pair that was probed for the request, or
// nil if neither can be picked. Only candidates that reported their load are considered.
func (b *Balancer) pickFromPair(c candidates) *endpoint {
	var first, second *endpoint
	for _, ep := range c.request.pair.endpoints {
		if ep != nil && b.isCandidate(&c, ep) && c.request.pair.hasReport(ep) {
			first, second = ep, first
		}
	}
	if first == nil {
		return nil
	}
	return b.lowerLoad(first, second)
}

// draw returns a random candidate, or nil if there is none. It first makes a few random draws from the
// list, which is cheap, and searches all endpoints that may be candidates only if these find none.
func (b *Balancer) draw(c *candidates) *endpoint {
	for range min(maxDraws, drawsPerEndpoint*len(b.endpoints)) {
		if ep := b.endpoints[b.rng.IntN(len(b.endpoints))]; b.isCandidate(c, ep) {
			return ep
		}
	}
	var found *endpoint
	n := 0
	for _, ep := range b.searched(c) {
		if !b.isCandidate(c, ep) {
			continue
		}
		if n++; b.rng.IntN(n) == 0 {
			found = ep
		}
	}
	return found
}

// searched returns the endpoints that may be candidates, in the order of the list: the subset if the others
// are excluded, and the whole list otherwise. A request of a large fleet would otherwise take time in
// proportion to the length of the list.
func (b *Balancer) searched(c *candidates) []*endpoint {
	if b.subset.members == nil || c.relaxed >= allowOutsideSubset || c.request.keyHash != 0 {
		return b.endpoints
	}
	return b.subset.members
}
