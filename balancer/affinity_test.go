package balancer

import (
	"fmt"
	"testing"
	"time"
)

// attemptsWithKey sends n requests with the same affinity key through one sidecar and returns the number of attempts
// by endpoint. Before each of them, it sends others requests with unique keys.
func attemptsWithKey(t *testing.T, keyAffinity bool, seed uint64, n int, others int) map[string]int {
	t.Helper()
	s := testSettings()
	s.KeyAffinity = keyAffinity
	h := newSeededHarness(t, s, seed)
	h.addEndpoints(20)
	request := func(id, key string) []Action {
		return h.handle(Request{ID: id, Class: "c", AffinityKey: key, ExpiresAt: h.now + time.Second})
	}
	attempts := map[string]int{}
	for i := range n {
		for j := range others {
			id := fmt.Sprint("o", i, ".", j)
			request(id, id)
			h.reportOutcome(id, 0, OK, 20*ms)
		}
		id := fmt.Sprint("q", i)
		attempts[h.wantSend(request(id, "k"))]++
		h.reportOutcome(id, 0, OK, 20*ms)
		h.now += 10 * ms
	}
	return attempts
}

// If requests with the same key were spread over all endpoints, few would find their result cached. Every sidecar
// must send a key to the same pair of endpoints.
func TestKeyIsSentToTheSamePair(t *testing.T) {
	attempts := map[string]int{}
	for seed := range uint64(5) {
		for endpoint, n := range attemptsWithKey(t, true, seed, 30, 60) {
			attempts[endpoint] += n
		}
	}
	if len(attempts) > 3 { // 1/61 of the requests have the key, which adds at most one endpoint
		t.Errorf("requests with one key were sent to %d endpoints, want at most 3: %v", len(attempts), attempts)
	}
	if attempts := attemptsWithKey(t, false, 1, 60, 0); len(attempts) < 10 {
		t.Errorf("without key affinity, requests with one key were sent to %d endpoints, want at least 10",
			len(attempts))
	}
}

// One key accounts for half of the traffic and would overload a pair of endpoints. The number of endpoints that serve
// a key must grow with its share of the traffic.
func TestHotKeyIsSpread(t *testing.T) {
	attempts := attemptsWithKey(t, true, 1, 400, 1) // every other request has the key
	if len(attempts) < 12 {
		t.Errorf("requests with the hot key were sent to %d of 20 endpoints, want at least 12", len(attempts))
	}
}
