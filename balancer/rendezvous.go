package balancer

import (
	"hash/fnv"
	"slices"
)

// Multipliers of the finalizer of SplitMix64.
const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
)

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // a hash never returns an error
	return h.Sum64()
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * mixMultiplier1
	x = (x ^ x>>27) * mixMultiplier2
	return x ^ x>>31
}

// topByHash returns the n endpoints with the highest hashes of seed and ID among those for which ok returns
// true (rendezvous hashing).
func topByHash(list []*endpoint, n int, ok func(*endpoint) bool, seed uint64) []*endpoint {
	top := make([]*endpoint, 0, n+1)
	for _, ep := range list {
		if !ok(ep) {
			continue
		}
		i := len(top)
		for i > 0 && mix(seed^ep.hash) > mix(seed^top[i-1].hash) {
			i--
		}
		if i == n { // n endpoints have higher hashes
			continue
		}
		if top = slices.Insert(top, i, ep); len(top) > n {
			top = top[:n]
		}
	}
	return top
}
