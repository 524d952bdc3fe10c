package balancer

import (
	"fmt"
	"testing"
	"time"
)

// keyPicks counts where n requests with the same key go, at one of several sidecars.
func keyPicks(t *testing.T, warm bool, seed uint64, n int, others int) map[string]int {
	s := testSettings()
	s.KeyAffinity = warm
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: time.Minute}
	r.fleet(20)
	got := map[string]int{}
	for i := range n {
		for j := range others {
			id := fmt.Sprint("o", i, ".", j)
			r.do(Request{ID: id, Class: "c", AffinityKey: id, ExpiresAt: r.now + time.Second})
			r.result(id, 0, OK, 20*ms)
		}
		id := fmt.Sprint("q", i)
		got[r.wantSend(r.do(Request{ID: id, Class: "c", AffinityKey: "k", ExpiresAt: r.now + time.Second}))]++
		r.result(id, 0, OK, 20*ms)
		r.now += 10 * ms
	}
	return got
}

// Repeats of a key spread over all upstreams find none that remembers it: every sidecar keeps a key to the same pair.
func TestKeyMeetsTheSamePair(t *testing.T) {
	all := map[string]int{}
	for seed := range uint64(5) {
		for u, n := range keyPicks(t, true, seed, 30, 60) {
			all[u] += n
		}
	}
	if len(all) > 3 { // a share of one in sixty widens the pair by one at most
		t.Errorf("a key went to %d upstreams: %v", len(all), all)
	}
	if got := keyPicks(t, false, 1, 60, 0); len(got) < 10 {
		t.Errorf("without memory of keys: %d upstreams", len(got))
	}
}

// A hot key would overload its pair: it is kept to a wider set, as its share of the traffic grows.
func TestHotKeyIsSpread(t *testing.T) {
	got := keyPicks(t, true, 1, 400, 1) // every other request
	if len(got) < 12 {
		t.Errorf("half of the traffic went to %d of 20 upstreams", len(got))
	}
}
