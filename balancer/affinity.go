package balancer

// Affinity determines which endpoints serve the requests with the same affinity key, where endpoints cache
// by key.
//
// Inputs: the key, its share of the recent requests that have a key (0 to 1), and the number of endpoints.
//
// Why: an endpoint that recently served a key needs less work for it, but a key with much traffic would
// overload a small number of endpoints.

const (
	// minKeyEndpoints is the minimum number of endpoints for each key. It is two, so that the one with the
	// lower load can be chosen. A higher value balances loads better and causes more cache misses.
	minKeyEndpoints = 2
	// keySpread determines how many endpoints a key gets in addition to minKeyEndpoints: their share of all
	// endpoints is keySpread times the key's share of requests. A higher value balances the load of keys
	// with much traffic better, and causes more cache misses.
	keySpread = 2.0
	// keyFrequencyMemory is the number of recent requests from which the shares of keys are computed. A
	// higher value makes shares steadier, and a key that becomes hot spreads to more endpoints later.
	keyFrequencyMemory = 200.0
)

// setAffinity sets the hash of r's affinity key and the number of endpoints that serve the key.
func (b *Balancer) setAffinity(r *request, key string) {
	if !b.settings.KeyAffinity || key == "" {
		return
	}
	r.keyHash = hash(key)
	share := keySpread * b.keyFrequencies.add(key, keyFrequencyMemory)
	r.keyEndpointCount = minKeyEndpoints + int(share*float64(len(b.endpoints)))
}

// withAffinity restricts the candidates to the endpoints of the request's key, if it has one. They are
// chosen by rendezvous hashing of the key, so that all sidecars choose the same ones and requests reach
// endpoints that have the result cached. Among them, the endpoint with the lower load is still preferred.
func (b *Balancer) withAffinity(c candidates) candidates {
	r := c.request
	if r.keyHash == 0 {
		return c
	}
	isCandidate := func(ep *endpoint) bool { return b.isCandidate(&c, ep) }
	keyEndpoints := topByHash(b.endpoints, r.keyEndpointCount, isCandidate, r.keyHash)
	return candidates{request: r, keyOnly: true, keyEndpoints: keyEndpoints}
}
