package balancer

import (
	"math"
	"testing"
	"time"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// The estimate by hand: decay 1 s, so w = 1/2 after 693.147... ms.
func TestEstimate(t *testing.T) {
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
		{"above its projection only: replaces it", peakEWMA{0.1, 0}, 0.06, half, 0.06, half},
		{"below the projection: blended in", peakEWMA{0.1, 0}, 0.02, half, 0.1*0.5 + 0.02*0.5, half},
		{"at the projection: stays there", peakEWMA{0.1, 0}, 0.05, half, 0.05, half},
		{"same moment, lower: no weight", peakEWMA{0.1, half}, 0.02, half, 0.1, half},
		{"same moment, higher: a peak all the same", peakEWMA{0.1, half}, 0.2, half, 0.2, half},
		{"earlier than the last: dropped", peakEWMA{0.1, half}, 0.9, half - 1, 0.1, half},
	} {
		c.e.add(c.sample, c.now, decay)
		if math.Abs(c.e.value-c.want) > 1e-6 || c.e.updatedAt != c.wantNow {
			t.Errorf("%s: got %v at %v, want %v at %v", c.name, c.e.value, c.e.updatedAt, c.want, c.wantNow)
		}
	}
}

// What each outcome feeds: success its latency, failure answers at least the penalty, the rest elapsed time.
func TestObserve(t *testing.T) {
	for _, c := range []struct {
		res     Result
		elapsed time.Duration
		want    float64
	}{
		{OK, 80 * ms, 0.080},
		{ServerError, 10 * ms, 0.200}, // penalty: one mean aim
		{Overloaded, 1 * ms, 0.200},
		{ServerError, 300 * ms, 0.300}, // longer than the penalty
		{Timeout, 150 * ms, 0.150},
		{Reset, 90 * ms, 0.090},
		{ConnectFailed, 70 * ms, 0.070},
	} {
		r := newRig(t, testSettings())
		r.fleet(1)
		r.wantSend(r.request("1", "c", time.Second))
		r.now += 60 * time.Second // the seed's projection is nothing by now
		ep := r.b.endpoints[0]
		a := ep.outstanding[0]
		r.b.now = r.now
		r.b.observeOutcome(a, c.res, c.elapsed)
		if !near(ep.latency.value, c.want) {
			t.Errorf("result %d after %v: estimate %v, want %v", c.res, c.elapsed, ep.latency.value, c.want)
		}
	}
}

// The seed is the mean latency known when the upstream is first seen.
func TestSeed(t *testing.T) {
	r := newRig(t, testSettings())
	r.b.meanNormalized = 0.033
	r.fleet(1)
	if got := r.b.endpoints[0].latency; got.value != 0.033 || got.updatedAt != r.now {
		t.Errorf("seed %+v", got)
	}
}

// load is latency x (pending+1).
func TestLoad(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(1)
	ep := r.b.endpoints[0]
	ep.latency = peakEWMA{0.04, r.now}
	r.b.now = r.now
	if got := r.b.loadOf(ep); !near(got, 0.04) {
		t.Errorf("idle: %v", got)
	}
	r.b.send(&request{id: "x", class: r.b.classes["c"], cost: 1, expiresAt: r.now + time.Second}, ep)
	if got := r.b.loadOf(ep); !near(got, 0.08) {
		t.Errorf("one pending: %v", got)
	}
	// A hung attempt's age is a lower bound of the latency.
	r.b.now += 100 * ms
	if got := r.b.loadOf(ep); !near(got, 0.2) {
		t.Errorf("one pending for 100 ms: %v", got)
	}
}

// An idle estimate tends to the mean of all, not to zero: idleness is not speed.
func TestIdleEstimateTendsToMean(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	r.b.endpoints[0].latency = peakEWMA{0.5, r.now}
	r.b.now = r.now + time.Hour
	if got := r.b.loadOf(r.b.endpoints[0]); !near(got, r.b.meanNormalized) {
		t.Errorf("idle for long: %v, want the mean %v", got, r.b.meanNormalized)
	}
}

// Of two ready upstreams the one with the lower load is picked, every time.
func TestPickTakesLowerOfTwo(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(2)
	r.b.endpoints[0].latency = peakEWMA{0.02, r.now}
	r.b.endpoints[1].latency = peakEWMA{0.05, r.now}
	r.b.now = r.now
	got := ""
	for i, want := range []string{"u0", "u0", "u1", "u0", "u0", "u1"} { // loads 20/50, 40/50, 60/50, 60/100, 80/100, 100/100
		if i == 5 {
			break // a tie
		}
		got = r.wantSend(r.request(string(rune('a'+i)), "c", time.Second))
		if got != want {
			t.Fatalf("pick %d: %s, want %s", i, got, want)
		}
	}
}

// Both of the pair are drawn at random: over many picks each upstream is compared, and the worst never wins.
func TestPairIsRandomAndDistinct(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(4)
	for i, ep := range r.b.endpoints {
		ep.latency = peakEWMA{0.01 * float64(i+1), r.now}
	}
	r.b.now = r.now
	n := map[string]int{}
	for range 6000 {
		n[r.b.powerOfTwoChoices(nil, func(*endpoint) bool { return true }).id]++
	}
	// Of the six pairs, u0 wins three, u1 two, u2 one, u3 none.
	for id, want := range map[string]int{"u0": 3000, "u1": 2000, "u2": 1000, "u3": 0} {
		if d := n[id] - want; d < -200 || d > 200 {
			t.Errorf("%s picked %d times of 6000, want about %d", id, n[id], want)
		}
	}
}

// At two requests a second most upstreams have not been heard of lately: what others of the listed kind took is the
// best guess. The kind's name says nothing, and a failure of one is no sign of the rest.
func TestUnheardUpstreamIsLikeItsKind(t *testing.T) {
	for _, names := range [][2]string{{"x", "y"}, {"y", "x"}} {
		r := newRig(t, testSettings())
		var list []Endpoint
		for i := range 8 {
			list = append(list, Endpoint{ID: string(rune('a' + i)), Zone: "a", Kind: names[i%2]})
		}
		r.list(CompleteList, list...)
		for i := range 200 {
			id := string(rune('A' + i))
			u := r.wantSend(r.request(id, "c", time.Second))
			took := 20 * ms
			if u[0]%2 == 0 { // b, d, f, h
				took = 90 * ms
			}
			r.now += took
			r.result(id, 0, OK, took)
		}
		r.now += time.Hour
		r.list(Delta, Endpoint{ID: "new", Zone: "a", Kind: names[1]})
		fast, slow, fresh := r.b.loadOf(r.b.endpointsByID["a"]), r.b.loadOf(r.b.endpointsByID["b"]), r.b.loadOf(r.b.endpointsByID["new"])
		if fast > 0.04 || slow < 0.05 || !near(fresh, slow) {
			t.Errorf("fast %v, slow %v, new of the slow kind %v", fast, slow, fresh)
		}
	}
}
