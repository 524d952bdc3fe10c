package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// attemptsPerEndpoint sends n requests, interval apart and each answered after 20 ms or less, and returns the number
// of attempts by endpoint.
func (h *harness) attemptsPerEndpoint(idPrefix string, n int, interval time.Duration) map[string]int {
	attempts := map[string]int{}
	for i := range n {
		id := fmt.Sprint(idPrefix, i)
		for _, a := range actionsOfKind(h.request(id, "c", time.Second), Send) {
			attempts[a.Endpoint]++
		}
		h.now += min(interval, 20*ms)
		h.reportOutcome(id, 0, OK, 20*ms)
		h.now += interval - min(interval, 20*ms)
	}
	return attempts
}

// At two requests per second over a long list, no endpoint would answer twice before its estimate is out of date. A
// sidecar with few requests must draw from a few endpoints, and one with many requests from all. Different sidecars
// must draw from different endpoints, and removed or ejected endpoints must be replaced.
func TestQuietSidecarDrawsFromASubset(t *testing.T) {
	subsets := map[string]int{} // number of subsets that contain the endpoint
	s := testSettings()
	s.Balancers = 60
	for seed := range uint64(60) {
		h := newSeededHarness(t, s, seed)
		h.addEndpoints(30)
		attempts := h.attemptsPerEndpoint("q", 60, 500*ms)
		if len(attempts) > 12 {
			t.Fatalf("a sidecar with 2 requests per second used %d of 30 endpoints, want at most 12", len(attempts))
		}
		for endpoint := range attempts {
			subsets[endpoint]++
		}
		if seed > 0 {
			continue
		}
		// If 20 requests per second were spread over all endpoints, each endpoint would still answer too rarely for
		// estimates that decay within a second.
		if n := len(h.attemptsPerEndpoint("m", 200, 50*ms)); n > 14 {
			t.Errorf("a sidecar with 20 requests per second used %d of 30 endpoints, want at most 14", n)
		}
		for endpoint := range attempts { // eject all endpoints of the subset
			h.b.endpointsByID[endpoint].health.ejectedUntil = math.MaxInt64
		}
		if n := len(h.attemptsPerEndpoint("d", 60, 500*ms)); n < 4 {
			t.Errorf("%d endpoints used after all endpoints of the subset were ejected, want at least 4", n)
		}
		for _, ep := range h.b.endpoints {
			ep.health.ejectedUntil = 0
		}
		if n := len(h.attemptsPerEndpoint("b", 3000, 10*ms)); n < 28 {
			t.Errorf("a sidecar with 100 requests per second used %d of 30 endpoints, want at least 28", n)
		}
	}
	for endpoint, n := range subsets {
		if n < 3 || n > 40 { // about 15 expected
			t.Errorf("%s is in %d of 60 subsets, want 3 to 40", endpoint, n)
		}
	}
	if len(subsets) != 30 {
		t.Errorf("60 sidecars together used %d of 30 endpoints, want all", len(subsets))
	}
}

// Cheap probes return the current load each time. A subset would only distribute the load less evenly.
func TestNoSubsetWhereProbesAreCheap(t *testing.T) {
	h := newHarness(t, probeSettings())
	h.addEndpoints(30)
	probes := map[string]int{}
	for i := range 200 {
		for _, probe := range actionsOfKind(h.request(fmt.Sprint(i), "c", time.Second), Probe) {
			probes[probe.Endpoint]++
		}
		h.now += 500 * ms
		h.handle(TimerFired{})
		h.handle(ClientDisconnected{ID: fmt.Sprint(i)})
	}
	if len(probes) < 25 {
		t.Errorf("a sidecar with cheap probes probed %d of 30 endpoints, want at least 25", len(probes))
	}
}

// In a small fleet, subsets would load endpoints unevenly, so pairs must be drawn from all endpoints.
func TestNoSubsetAmongFewSidecars(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(30)
	if attempts := h.attemptsPerEndpoint("q", 200, 500*ms); len(attempts) < 25 {
		t.Errorf("a sidecar of a small fleet used %d of 30 endpoints, want at least 25", len(attempts))
	}
}

// newTwoZoneBalancer returns a balancer with endpoints in two zones: inZoneB of them in zone b and the others in zone
// a. The balancer is in zone a for an even seed and in zone b for an odd one.
func newTwoZoneBalancer(t *testing.T, sidecars, endpoints, inZoneB int, seed uint64) *Balancer {
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
	for i := range endpoints {
		endpoint := Endpoint{ID: fmt.Sprint("u", i), Zone: "a", Kind: "k"}
		if i < inZoneB {
			endpoint.Zone = "b"
		}
		list = append(list, endpoint)
	}
	b.Handle(time.Minute, EndpointUpdate{Kind: CompleteList, Endpoints: list}, nil)
	return b
}

// If cross-zone attempts have a price but this price hardly affects picks, most of a subset must be from the home zone.
// Otherwise a subset of ten has two or three endpoints of the home zone, and the better of these is often worse than
// any of the others. Among 80 sidecars, the price still affects picks, so that about half of the subset may be from
// other zones.
func TestMostOfASubsetIsFromTheHomeZone(t *testing.T) {
	for _, c := range []struct{ sidecars, endpoints, atHome, minHome, maxHome int }{
		{300, 60, 12, 8, 9},
		{300, 60, 2, 2, 2},
		{300, 60, 0, 0, 0},
		{300, 13, 12, 9, 10},
		{80, 600, 150, 5, 7},
		{20, 600, 150, 0, 5}, // chosen regardless of zones
	} {
		b := newTwoZoneBalancer(t, c.sidecars, c.endpoints, c.atHome, 1)
		home, others := 0, 0
		for _, ep := range b.endpoints {
			switch {
			case ep.inSubset && ep.location.Zone == "b":
				home++
			case ep.inSubset:
				others++
			}
		}
		if home < c.minHome || home > c.maxHome || home+others != 10 {
			t.Errorf("%+v: subset has %d endpoints of the home zone, want %d to %d; %d others, want 10 in total",
				c, home, c.minHome, c.maxHome, others)
		}
	}
}

// For an endpoint that is warming up, the budgets of all sidecars together must not exceed what the mean load allows.
// This must also hold if zones have different sizes, although an endpoint of a small zone is then in far more
// subsets.
func TestWarmUpSharesOfUnevenZones(t *testing.T) {
	const sidecars, endpoints, inZoneB = 400, 60, 6
	shares := map[string]float64{}
	for seed := range uint64(sidecars) {
		b := newTwoZoneBalancer(t, 300, endpoints, inZoneB, seed)
		for _, ep := range b.endpoints {
			shares[ep.location.Zone] += b.shareOfOwnLoad(ep) / sidecars
		}
	}
	for zone, n := range map[string]int{"a": endpoints - inZoneB, "b": inZoneB} {
		// Budgets are divided by homeZoneSkew, because a zone may have that multiple of the mean traffic. A share of
		// about 0.8 here becomes 1 in such a zone.
		if got := shares[zone] / float64(n) * endpoints; got < 0.7 || got > 1 {
			t.Errorf("zone %s, %d endpoints: sidecars together send each %.2f of a mean load, want 0.7 to 1",
				zone, n, got)
		}
	}
}

// A subset that grows with the load must keep its endpoints. Otherwise each change of the load would close
// connections and make estimates useless.
func TestGrowingSubsetKeepsItsEndpoints(t *testing.T) {
	var endpoints []*endpoint
	for i := range 40 {
		endpoints = append(endpoints, &endpoint{hash: hash(fmt.Sprint("u", i))})
	}
	all := func(*endpoint) bool { return true }
	s := newSubset(7)
	s.add(endpoints, 10, all)
	var before []*endpoint
	for _, ep := range endpoints {
		if ep.inSubset {
			before = append(before, ep)
		}
	}
	s.clear(endpoints)
	s.add(endpoints, 20, all)
	if len(before) != 10 || s.size != 20 {
		t.Fatalf("smaller subset has %d endpoints, want 10; larger subset has %d, want 20", len(before), s.size)
	}
	for _, ep := range before {
		if !ep.inSubset {
			t.Errorf("the endpoint with hash %016x is in the smaller subset but not in the larger one, want it in both",
				ep.hash)
		}
	}
}

// The budget of slow start for an endpoint is divided by the share of sidecars that have the endpoint in their
// subset.
func TestShareOfSidecarsWithAnEndpoint(t *testing.T) {
	zones := map[string]int{"a": 54, "b": 6}
	for _, c := range []struct {
		subset subset
		zone   string
		want   float64
	}{
		{subset{size: 10}, "a", 10.0 / 60}, // cross-zone attempts have no price
		{subset{size: 10, homeSize: 8, zoneSizes: map[string]int{"a": 60}}, "a", 10.0 / 60},
		// Half of the sidecars, times 1.3 for the skew, are in zone a and have 8 of its 54 endpoints. The other half
		// draws 2 endpoints of the 30 that would be in the other zone if zones were equal.
		{subset{size: 10, homeSize: 8, zoneSizes: zones}, "a", homeZoneSkew*8.0/54/2 + 0.5*2/30},
		{subset{size: 10, homeSize: 8, zoneSizes: zones}, "b", homeZoneSkew/2 + 0.5*2/30},
	} {
		if got := c.subset.shareOfSidecars(&endpoint{location: Location{Zone: c.zone}}, 60); !almostEqual(got, c.want) {
			t.Errorf("%+v, zone %s: share of sidecars %v, want %v", c.subset, c.zone, got, c.want)
		}
	}
}
