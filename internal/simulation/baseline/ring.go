package baseline

import (
	"cmp"
	"math"
	"slices"
	"strconv"
)

const (
	// pointsPerEndpoint is the number of points of the ring that belong to each endpoint.
	pointsPerEndpoint = 64
	// maxLoadFactor limits the requests in flight of an endpoint, as a multiple of the mean of all candidates.
	maxLoadFactor = 1.25
)

// ring implements consistent hashing with bounded loads: starting at the hash of the request's affinity key, or of its
// ID if it has no key, it picks the first endpoint on the ring whose load is below the limit.
type ring struct {
	basePicker
	points []ringPoint
}

// ringPoint is a point of the ring and the endpoint that it belongs to.
type ringPoint struct {
	hash     uint64
	endpoint *endpoint
}

func (p *ring) endpointsChanged() {
	p.points = p.points[:0]
	for _, e := range p.policy.endpoints {
		if !e.active {
			continue
		}
		for i := range pointsPerEndpoint {
			p.points = append(p.points, ringPoint{hashOf(e.id + "/" + strconv.Itoa(i)), e})
		}
	}
	slices.SortFunc(p.points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

func (p *ring) pick(r *request, candidates []*endpoint) *endpoint {
	total := 1
	for _, e := range candidates {
		total += e.inFlight
	}
	capacity := int(math.Ceil(maxLoadFactor * float64(total) / float64(len(candidates))))
	hash := hashOf(cmp.Or(r.affinityKey, r.id))
	from, _ := slices.BinarySearchFunc(p.points, hash, func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	for i := range p.points {
		e := p.points[(from+i)%len(p.points)].endpoint
		if e.inFlight < capacity && slices.Contains(candidates, e) {
			return e
		}
	}
	return candidates[0]
}
