package balancer

// Affinity: which endpoints serve the requests of one key, where endpoints cache by key.
//
// Inputs: the key, its share of recent requests that have one (0 to 1), and the number of endpoints.
//
// Why: an endpoint that served a key lately needs less work for it; a key with much traffic would overload
// few.

const (
	// minKeyEndpoints is the number of endpoints that each key has: two, so that the lower load decides.
	// Higher: loads are more even, and caches hit less.
	minKeyEndpoints = 2
	// keySpread is a key's share of endpoints beyond those, in shares of requests that have the key.
	// Higher: as for minKeyEndpoints, for keys with much traffic.
	keySpread = 2.0
	// keyFrequencyMemory is the number of requests over which those shares are counted. Higher: steadier,
	// and a key that becomes hot spreads later.
	keyFrequencyMemory = 200.0
)

// setAffinity sets the number of endpoints that r's key has.
func (b *Balancer) setAffinity(r *request, key string) {
	if !b.settings.KeyAffinity || key == "" {
		return
	}
	r.keyHash = hash(key)
	share := keySpread * b.keyFrequencies.add(key, keyFrequencyMemory)
	r.keyEndpointCount = minKeyEndpoints + int(share*float64(len(b.endpoints)))
}

// withAffinity narrows candidates to the endpoints of the request's key, if it has one: the first in an
// order that the key gives, the same at every sidecar (rendezvous hashing). It saves work that another
// endpoint has cached. Among them the lower load still decides.
func (b *Balancer) withAffinity(c candidates) candidates {
	r := c.request
	if r.keyHash == 0 {
		return c
	}
	isCandidate := func(ep *endpoint) bool { return b.isCandidate(&c, ep) }
	ofKey := topByHash(b.endpoints, r.keyEndpointCount, isCandidate, r.keyHash)
	return candidates{request: r, keyOnly: true, keyEndpoints: ofKey}
}
