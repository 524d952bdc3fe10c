package balancer

import "time"

// Sizes of the memories of recent values, in values. Higher: more memory, and older values count longer.
const (
	maxArrivals    = 256 // a second of a class at a busy sidecar that serves none of its requests
	maxRankSamples = 64  // values among which a new one is ranked
)

// recentArrivals is the times at which the last maxArrivals of some requests arrived.
type recentArrivals struct {
	times [maxArrivals]time.Duration
	count int
}

func (a *recentArrivals) add(at time.Duration) {
	a.times[a.count%maxArrivals] = at
	a.count++
}

// hasNear reports whether one of them arrived within tolerance of at.
func (a *recentArrivals) hasNear(at, tolerance time.Duration) bool {
	for _, t := range a.times[:min(a.count, maxArrivals)] {
		if (t - at).Abs() <= tolerance {
			return true
		}
	}
	return false
}

// recentRanks ranks a value among recent ones.
type recentRanks struct {
	samples [maxRankSamples]float64
	count   int
}

// rankAndAdd returns the share of recent values below v, 0 to 1, and adds v to them. Of equal values the
// given part, 0 to 1, counts as below: a random part keeps equal values apart.
func (r *recentRanks) rankAndAdd(v, equalPart float64) float64 {
	lower, equal := 0.0, 0.0
	n := min(r.count, maxRankSamples)
	for _, x := range r.samples[:n] {
		if x < v {
			lower++
		} else if x == v {
			equal++
		}
	}
	r.samples[r.count%maxRankSamples] = v
	r.count++
	if n == 0 {
		return 1
	}
	return (lower + equal*equalPart) / float64(n)
}
