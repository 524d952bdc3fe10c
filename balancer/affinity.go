package balancer

// Affinity determines which endpoints serve the requests with the same affinity key, where endpoints cache
// by key.
//
// Inputs: the key, its share of the recent requests that have a key (0 to 1), and the number of endpoints.
//
// Why: an endpoint that recently served a key needs less work for it, but a key with much traffic would
// overload a small number of endpoints.

const (
	// minKeyEndpoints is the minimum number of endpoints for each key. With two endpoints, the one with the
	// lower load can be picked. A higher value balances loads better and causes more cache misses.
	minKeyEndpoints = 2
	// keySpread determines how many endpoints a key gets in addition to minKeyEndpoints: the number of all
	// endpoints times keySpread times the key's share of requests. A higher value balances the load of keys
	// with much traffic better, and causes more cache misses.
	keySpread = 2.0
	// keyFrequencyMemory is the number of recent requests from which the shares of keys are computed. With
	// a higher value, the shares are steadier, but a key whose traffic grows gets more endpoints later.
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

// withAffinity restricts the candidates to the endpoints of the request's key, if the request has a key.
// Rendezvous hashing of the key chooses them among the candidates. Sidecars with the same candidates choose
// the same ones, except that their number depends on the key's share at each sidecar, so that requests
// reach endpoints that have the result cached. The pick among these endpoints still depends on their loads.
func (b *Balancer) withAffinity(c candidates) candidates {
	r := c.request
	if r.keyHash == 0 {
		return c
	}
	isCandidate := func(ep *endpoint) bool { return b.isCandidate(&c, ep) }
	keyEndpoints := topByHash(b.endpoints, r.keyEndpointCount, isCandidate, r.keyHash)
	return candidates{request: r, keyOnly: true, keyEndpoints: keyEndpoints}
}
