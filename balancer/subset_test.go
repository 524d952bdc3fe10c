package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// met plays n requests, gap apart, and counts what each upstream got.
func met(r *rig, name string, n int, gap time.Duration) map[string]int {
	got := map[string]int{}
	for i := range n {
		id := fmt.Sprint(name, i)
		for _, a := range kinds(r.request(id, "c", time.Second), Send) {
			got[a.Endpoint]++
		}
		r.now += min(gap, 20*ms)
		r.result(id, 0, OK, 20*ms)
		r.now += gap - min(gap, 20*ms)
	}
	return got
}

// At two requests a second over a long list no upstream is heard of twice before its estimate is stale: a quiet sidecar
// draws from a few, a busy one from all; other sidecars have other few; what leaves or is ejected is made up for.
func TestQuietSidecarDrawsFromASubset(t *testing.T) {
	all := map[string]int{}
	s := testSettings()
	s.Balancers = 60
	for seed := range uint64(60) {
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, now: time.Minute}
		r.fleet(30)
		got := met(r, "q", 60, 500*ms)
		if len(got) > 12 {
			t.Fatalf("a quiet sidecar met %d of 30", len(got))
		}
		for u := range got {
			all[u]++
		}
		if seed > 0 {
			continue
		}
		// At 20 a second it would hear each of all too seldom for its estimates, which decay in a second, too.
		if n := len(met(r, "m", 200, 50*ms)); n > 14 {
			t.Errorf("at 20 requests a second it met %d of 30", n)
		}
		for u := range got { // every one of them dies
			r.b.endpointsByID[u].ejectedUntil = math.MaxInt64
		}
		if n := len(met(r, "d", 60, 500*ms)); n < 4 {
			t.Errorf("%d upstreams in place of those ejected", n)
		}
		for _, ep := range r.b.endpoints {
			ep.ejectedUntil = 0
		}
		if n := len(met(r, "b", 3000, 10*ms)); n < 28 {
			t.Errorf("a busy sidecar met %d of 30", n)
		}
	}
	for u, n := range all {
		if n < 3 || n > 40 { // about 15 of 60
			t.Errorf("%s is in %d of 60 subsets", u, n)
		}
	}
	if len(all) != 30 {
		t.Errorf("together they met %d of 30", len(all))
	}
}

// Cheap probes tell anew each time; a subset would only load upstreams less evenly (album-zagreb rough-2).
func TestNoSubsetWhereProbesAreCheap(t *testing.T) {
	r := newRig(t, probeSettings())
	r.fleet(30)
	got := map[string]int{}
	for i := range 200 {
		for _, p := range kinds(r.request(fmt.Sprint(i), "c", time.Second), Probe) {
			got[p.Endpoint]++
		}
		r.now += 500 * ms
		r.do(TimerFired{})
		r.do(ClientDisconnected{ID: fmt.Sprint(i)})
	}
	if len(got) < 25 {
		t.Errorf("asked %d of 30", len(got))
	}
}

// The subsets of few sidecars would load upstreams unevenly (nairobi-booking): they draw from all.
func TestNoSubsetAmongFewSidecars(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(30)
	if got := met(r, "q", 200, 500*ms); len(got) < 25 {
		t.Errorf("met %d of 30", len(got))
	}
}

// zonedFleet has upstreams of two zones, of which small are in zone b.
func zonedFleet(t *testing.T, sidecars, n, small int, seed uint64) *Balancer {
	t.Helper()
	s := testSettings()
	s.Balancers, s.Zone, s.PriceCrossZone = sidecars, "a", 0.2
	if seed%2 == 1 {
		s.Zone = "b"
	}
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	var list []Endpoint
	for i := range n {
		m := Endpoint{ID: fmt.Sprint("u", i), Zone: "a", Kind: "k"}
		if i < small {
			m.Zone = "b"
		}
		list = append(list, m)
	}
	b.Handle(time.Minute, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
	return b
}

// Where crossings cost and hardly weigh in the pick, most of a subset is from home. Guards against two or three upstreams of
// home in a subset of ten, of which the better is often worse than any of the others. In a fleet of 80 a crossing still weighs,
// and half of the subset leaves room to go elsewhere.
func TestMostOfASubsetIsFromHome(t *testing.T) {
	for _, c := range []struct{ sidecars, n, small, least, most int }{
		{300, 60, 12, 8, 9}, {300, 60, 2, 2, 2}, {300, 60, 0, 0, 0}, {300, 13, 12, 9, 10}, {80, 600, 150, 5, 7},
		{20, 600, 150, 0, 5}, // what chance gives
	} {
		b := zonedFleet(t, c.sidecars, c.n, c.small, 1)
		home, far := 0, 0
		for _, ep := range b.endpoints {
			if ep.inSubset && ep.zone == "b" {
				home++
			} else if ep.inSubset {
				far++
			}
		}
		if home < c.least || home > c.most || home+far != 10 {
			t.Errorf("%d sidecars, %d upstreams, %d of them at home: %d and %d in the subset, want %d to %d", c.sidecars, c.n, c.small, home, far, c.least, c.most)
		}
	}
}

// What all sidecars together may send to a cold upstream stays what it is by the mean, also where zones are of different
// sizes: their subsets hold the few of a small zone far more often.
func TestColdSharesOfUnevenZones(t *testing.T) {
	const sidecars, upstreams, small = 400, 60, 6
	sum := map[string]float64{}
	for seed := range uint64(sidecars) {
		b := zonedFleet(t, 300, upstreams, small, seed)
		for _, ep := range b.endpoints {
			sum[ep.zone] += b.warmUpShare(ep) / sidecars
		}
	}
	for zone, n := range map[string]int{"a": upstreams - small, "b": small} {
		// A zone may have homeSkew times the mean traffic: then what is 0.8 here is one.
		if got := sum[zone] / float64(n) * upstreams; got < 0.7 || got > 1 {
			t.Errorf("zone %s of %d upstreams: together %.2f of a mean load each", zone, n, got)
		}
	}
}
