package balancer

import "time"

// Numbers of recent values that are kept. Higher values use more memory, and older values count for longer.
const (
	maxArrivals    = 256 // arrivals of a class within a second at a busy sidecar that serves none of them
	maxRankSamples = 64  // values among which a new value is ranked
)

// recentArrivals holds the arrival times of the last maxArrivals requests that were added.
type recentArrivals struct {
	times [maxArrivals]time.Duration
	count int
}

func (a *recentArrivals) add(at time.Duration) {
	a.times[a.count%maxArrivals] = at
	a.count++
}

// hasNear reports whether one of the requests arrived within tolerance of at.
func (a *recentArrivals) hasNear(at, tolerance time.Duration) bool {
	for _, t := range a.times[:min(a.count, maxArrivals)] {
		if (t - at).Abs() <= tolerance {
			return true
		}
	}
	return false
}

// recentRanks ranks a value among recent values.
type recentRanks struct {
	samples [maxRankSamples]float64
	count   int
}

// rankAndAdd adds v to the recent values, and returns its rank among the earlier ones: the share of them, 0
// to 1, that is below v, or 1 if there are none. Of the values equal to v, the part equalPart (0 to 1)
// counts as below v. With a random equalPart, equal values get different ranks.
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
