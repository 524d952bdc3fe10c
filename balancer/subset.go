package balancer

// Subsetting determines the endpoints from which a sidecar draws its pairs.
//
// Inputs: the rate of offered work (mean requests per second), the number of sidecars, the cost and the
// weight of cross-zone attempts (zone.go), whether probes are cheap (probe.go), and the endpoints' zones
// and health.
//
// Why: with a long list, each endpoint would answer so rarely that its latency estimate would always be out
// of date.

import (
	"math"
	"time"
)

const (
	// minSubsetSize is the minimum size of a subset, which a sidecar with few requests uses. With a higher
	// value, endpoints are loaded more evenly, but their estimates are older.
	minSubsetSize = 10.0
	// subsetPeriod is the time in which each endpoint of a subset should get one request: a subset has as
	// many endpoints as requests arrive in this time. With a higher value, endpoints are loaded more
	// evenly, but their estimates are older.
	subsetPeriod = time.Second / 2
	// maxSubsetAge is the age from which the next request causes a subset to be chosen again. A higher
	// value means less work, but the subset follows ejections and load changes later.
	maxSubsetAge = subsetPeriod / 4
	// homeSubsetShare is the share of a subset that is taken from the home zone if cross-zone attempts have
	// a price but this price hardly affects picks. With a higher value, there are fewer cross-zone
	// attempts, but also fewer alternatives to an overloaded zone.
	homeSubsetShare = 0.85
	// smallFleet is the number of sidecars below which each of them sees a substantial part of an
	// endpoint's load itself. Such fleets use neither subsets nor expensive probes. With a higher value,
	// larger fleets draw from the whole list and use fewer probes.
	smallFleet = 10
)

// subset describes the endpoints from which pairs are drawn. The endpoints themselves are marked by
// endpoint.inSubset.
type subset struct {
	seed      uint64 // seed of the random order, which differs between sidecars
	size      int
	members   []*endpoint    // in the order of the endpoint list; not set if all endpoints are in the subset
	homeSize  int            // endpoints that were chosen because they are in the home zone
	zoneSizes map[string]int // number of listed endpoints by zone
	chosenAt  time.Duration
}

func newSubset(seed uint64) subset { return subset{seed: seed, zoneSizes: map[string]int{}} }

// refreshSubset chooses the subset again if it is older than maxSubsetAge.
func (b *Balancer) refreshSubset() {
	if b.now-b.subset.chosenAt > maxSubsetAge {
		b.chooseSubset()
	}
}

// chooseSubset chooses the subset from which pairs are drawn. If drawsFromAll, these are all endpoints.
// Otherwise they are the first endpoints in an order that is random for each sidecar; if cross-zone
// attempts have a cost, the first homeSubsetSize of them are taken from the home zone. Their number is the
// number of requests that arrive in subsetPeriod, but at least minSubsetSize. Ejected endpoints are
// skipped. Requests with an affinity key, and those that find no eligible endpoint in the subset, use all
// endpoints.
func (b *Balancer) chooseSubset() {
	s := &b.subset
	s.chosenAt = b.now
	if b.drawsFromAll() {
		s.takeAll(b.endpoints)
		return
	}
	size := int(max(minSubsetSize, b.offeredRate.perSecond(b.now)*subsetPeriod.Seconds()))
	s.clear(b.endpoints)
	if b.crossZoneCost() > 0 {
		s.add(b.endpoints, b.homeSubsetSize(size), func(ep *endpoint) bool {
			return ep.location.Zone == b.settings.Zone && !ep.health.isEjected(b.now)
		})
	}
	s.homeSize = s.size
	s.add(b.endpoints, size-s.size, func(ep *endpoint) bool {
		return !ep.inSubset && !ep.health.isEjected(b.now)
	})
	s.listMembers(b.endpoints)
}

// drawsFromAll reports whether pairs are drawn from all endpoints. They are if there are few sidecars,
// whose subsets would load endpoints unevenly, or if endpoints are probed and probes are cheap, because
// these return the current load.
func (b *Balancer) drawsFromAll() bool {
	return b.probesBeforePick() && b.probesAreCheap() || b.settings.Balancers < smallFleet
}

// homeSubsetSize returns how many endpoints of the home zone are added to a subset before the rest is drawn
// from all zones. It is used if cross-zone attempts have a price.
//
// In a large fleet, picks give this price little weight, and the number is high: a subset drawn from all
// zones would have only two or three endpoints in the home zone, and the better of these would often be
// worse than the better of the others, so many attempts would go to other zones.
//
// Up to crossZoneBalancers sidecars, the price has its full weight, so picks prefer the home zone anyway.
// The number is then 0, and the subset is drawn from all zones alike, which keeps alternatives to an
// overloaded home zone. If no endpoint of the home zone in the subset is eligible, an attempt goes to
// another zone even if the home zone has healthy endpoints outside the subset, because pick looks at other
// zones before it looks outside the subset.
func (b *Balancer) homeSubsetSize(size int) int {
	return int(math.Round(homeSubsetShare * (1 - b.crossZoneWeight()) * float64(size)))
}

// takeAll adds all endpoints to the subset.
func (s *subset) takeAll(endpoints []*endpoint) {
	for _, ep := range endpoints {
		ep.inSubset = true
	}
	s.size = len(endpoints)
	s.members = nil
}

// clear removes all endpoints from the subset.
func (s *subset) clear(endpoints []*endpoint) {
	for _, ep := range endpoints {
		ep.inSubset = false
	}
	s.size = 0
}

// listMembers sets members.
func (s *subset) listMembers(endpoints []*endpoint) {
	clear(s.members) // so that endpoints that are no longer listed are not retained
	s.members = s.members[:0]
	for _, ep := range endpoints {
		if ep.inSubset {
			s.members = append(s.members, ep)
		}
	}
}

// countZones sets zoneSizes. It must be called whenever the endpoint list changes.
func (s *subset) countZones(endpoints []*endpoint) {
	clear(s.zoneSizes)
	for _, ep := range endpoints {
		s.zoneSizes[ep.location.Zone]++
	}
}

// add adds the first n endpoints for which ok returns true, in the order of the subset's seed.
func (s *subset) add(endpoints []*endpoint, n int, ok func(*endpoint) bool) {
	for _, ep := range topByHash(endpoints, n, ok, s.seed) {
		ep.inSubset = true
		s.size++
	}
}
