package balancer

import (
	"math"
	"testing"
	"time"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// The decay time is 1 s, so the weight of the former estimate is 1/2 after 693.147... ms.
func TestPeakEWMA(t *testing.T) {
	const decay = time.Second
	half := time.Duration(math.Round(math.Ln2 * 1e9))
	for _, c := range []struct {
		name    string
		e       peakEWMA
		sample  float64
		now     time.Duration
		want    float64
		wantNow time.Duration
	}{
		{"above the estimate: replaces it", peakEWMA{0.1, 0}, 0.3, half, 0.3, half},
		{"above the decayed estimate only: replaces it", peakEWMA{0.1, 0}, 0.06, half, 0.06, half},
		{"below the decayed estimate: averaged", peakEWMA{0.1, 0}, 0.02, half, 0.1*0.5 + 0.02*0.5, half},
		{"equal to the decayed estimate: becomes the estimate", peakEWMA{0.1, 0}, 0.05, half, 0.05, half},
		{"same time, lower: has no weight", peakEWMA{0.1, half}, 0.02, half, 0.1, half},
		{"same time, higher: replaces it", peakEWMA{0.1, half}, 0.2, half, 0.2, half},
		{"earlier than the last sample: ignored", peakEWMA{0.1, half}, 0.9, half - 1, 0.1, half},
	} {
		c.e.add(c.sample, c.now, decay)
		if math.Abs(c.e.value-c.want) > 1e-6 || c.e.updatedAt != c.wantNow {
			t.Errorf("%s: estimate %v updated at %v, want %v updated at %v",
				c.name, c.e.value, c.e.updatedAt, c.want, c.wantNow)
		}
	}
}

// The sample is the latency for a success, at least the penalty for an error answer or a rejection, and the elapsed
// time for any other result in the table.
func TestObserveOutcome(t *testing.T) {
	for _, c := range []struct {
		result  Result
		elapsed time.Duration
		want    float64
	}{
		{OK, 80 * ms, 0.080},
		{ServerError, 10 * ms, 0.200}, // the penalty: one mean latency objective
		{Overloaded, 1 * ms, 0.200},
		{ServerError, 300 * ms, 0.300}, // longer than the penalty
		{Timeout, 150 * ms, 0.150},
		{Reset, 90 * ms, 0.090},
		{ConnectFailed, 70 * ms, 0.070},
	} {
		h := newHarness(t, testSettings())
		h.addEndpoints(1)
		h.wantSend(h.request("1", "c", time.Second))
		h.now += 60 * time.Second // the initial estimate has decayed
		ep := h.b.endpoints[0]
		a := ep.outstanding[0]
		h.b.now = h.now
		h.b.observeOutcome(a, c.result, c.elapsed)
		if !almostEqual(ep.latency.value, c.want) {
			t.Errorf("outcome with result %d after %v: latency estimate %v, want %v",
				c.result, c.elapsed, ep.latency.value, c.want)
		}
	}
}

// The initial estimate of an endpoint is the mean latency when the endpoint is first listed.
func TestInitialEstimate(t *testing.T) {
	h := newHarness(t, testSettings())
	h.b.latency.meanNormalized = 0.033
	h.addEndpoints(1)
	if got := h.b.endpoints[0].latency; got.value != 0.033 || got.updatedAt != h.now {
		t.Errorf("initial estimate %+v, want value 0.033 and updatedAt %v", got, h.now)
	}
}

// The load of an endpoint is latency × (outstanding attempts + 1).
func TestLoadOf(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(1)
	ep := h.b.endpoints[0]
	ep.latency = peakEWMA{0.04, h.now}
	h.b.now = h.now
	if got := h.b.loadOf(ep); !almostEqual(got, 0.04) {
		t.Errorf("idle endpoint: load %v, want 0.04", got)
	}
	h.b.send(&request{id: "x", class: h.b.classes["c"], relativeWork: 1, expiresAt: h.now + time.Second}, ep)
	if got := h.b.loadOf(ep); !almostEqual(got, 0.08) {
		t.Errorf("one attempt outstanding: load %v, want 0.08", got)
	}
	// The latency is at least the age of an outstanding attempt.
	h.b.now += 100 * ms
	if got := h.b.loadOf(ep); !almostEqual(got, 0.2) {
		t.Errorf("one attempt outstanding for 100 ms: load %v, want 0.2", got)
	}
}

// The estimate of an idle endpoint decays towards the mean of its kind, not towards zero, because an idle endpoint is
// not necessarily fast.
func TestIdleEstimateDecaysToMean(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(2)
	h.b.endpoints[0].latency = peakEWMA{0.5, h.now}
	h.b.now = h.now + time.Hour
	if got := h.b.loadOf(h.b.endpoints[0]); !almostEqual(got, h.b.latency.meanNormalized) {
		t.Errorf("endpoint idle for an hour: load %v, want the mean %v", got, h.b.latency.meanNormalized)
	}
}

// Of two eligible endpoints, the one with the lower load is always picked.
func TestPickTakesLowerOfTwo(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(2)
	h.b.endpoints[0].latency = peakEWMA{0.02, h.now}
	h.b.endpoints[1].latency = peakEWMA{0.05, h.now}
	h.b.now = h.now
	// Loads in ms before each pick: 20/50, 40/50, 60/50, 60/100, 80/100. Before a sixth pick they would be equal.
	for i, want := range []string{"u0", "u0", "u1", "u0", "u0"} {
		got := h.wantSend(h.request(string(rune('a'+i)), "c", time.Second))
		if got != want {
			t.Fatalf("request %d was sent to %s, want %s", i+1, got, want)
		}
	}
}

// Both endpoints of a pair are drawn at random: over many picks, each endpoint is compared with the others, and the
// one with the highest load is never picked.
func TestPairIsRandomAndDistinct(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(4)
	for i, ep := range h.b.endpoints {
		ep.latency = peakEWMA{0.01 * float64(i+1), h.now}
	}
	h.b.now = h.now
	r := &request{class: h.b.classes["c"], relativeWork: 1, expiresAt: h.now + time.Second}
	picks := map[string]int{}
	for range 6000 {
		picks[h.b.powerOfTwoChoices(candidates{request: r}).id]++
	}
	// There are six pairs: u0 has the lowest load in three of them, u1 in two, u2 in one, u3 in none.
	for id, want := range map[string]int{"u0": 3000, "u1": 2000, "u2": 1000, "u3": 0} {
		if d := picks[id] - want; d < -200 || d > 200 {
			t.Errorf("%s picked %d times of 6000, want about %d", id, picks[id], want)
		}
	}
}

// At two requests per second, most endpoints have no recent answer, and the mean latency of their kind is the best
// estimate. The names of kinds must not matter, and a new endpoint must start from the mean of its kind. The failure of
// one endpoint is no evidence about the others of its kind.
func TestEstimateWithoutRecentAnswerIsTheKindMean(t *testing.T) {
	for _, kinds := range [][2]string{{"x", "y"}, {"y", "x"}} {
		h := newHarness(t, testSettings())
		var list []Endpoint
		for i := range 8 {
			list = append(list, Endpoint{ID: string(rune('a' + i)), Zone: "a", Kind: kinds[i%2]})
		}
		h.updateEndpoints(CompleteList, list...)
		for i := range 200 {
			id := string(rune('A' + i))
			endpoint := h.wantSend(h.request(id, "c", time.Second))
			latency := 20 * ms
			if endpoint[0]%2 == 0 { // the slow endpoints b, d, f and h
				latency = 90 * ms
			}
			h.now += latency
			h.reportOutcome(id, 0, OK, latency)
		}
		h.now += time.Hour
		h.updateEndpoints(Delta, Endpoint{ID: "new", Zone: "a", Kind: kinds[1]})
		fast := h.b.loadOf(h.b.endpointsByID["a"])
		slow := h.b.loadOf(h.b.endpointsByID["b"])
		added := h.b.loadOf(h.b.endpointsByID["new"])
		if fast > 0.04 || slow < 0.05 || !almostEqual(added, slow) {
			t.Errorf("load of the fast kind %v, want at most 0.04; of the slow kind %v, want at least 0.05; "+
				"of a new endpoint of the slow kind %v, want that of its kind", fast, slow, added)
		}
	}
}
