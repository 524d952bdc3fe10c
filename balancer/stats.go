package balancer

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Statistics: quantiles, rates, means and the peak-EWMA. What is added to them and what follows from them is in the
// files of the policy.

// quantile follows the quantile of the added values with the given probability, by steps in their logarithm.
type quantile struct {
	probability float64
	value       float64
}

func (q *quantile) add(x float64) {
	if x > q.value {
		q.value *= math.Exp(quantileStep * q.probability)
	} else {
		q.value *= math.Exp(-quantileStep * (1 - q.probability))
	}
}

// rate is an exponentially weighted moving rate.
type rate struct {
	memory    time.Duration
	sum       float64
	updatedAt time.Duration
	startedAt time.Duration
	started   bool
}

func (r *rate) add(x float64, now time.Duration) {
	if !r.started {
		r.started = true
		r.startedAt = now
		r.updatedAt = now
	}
	r.sum = r.decayedSum(now) + x
	r.updatedAt = now
}

func (r *rate) decayedSum(now time.Duration) float64 {
	return r.sum * math.Exp(-float64(now-r.updatedAt)/float64(r.memory))
}

// perSecond is the rate at now, without the bias to low values that a young rate would have.
func (r *rate) perSecond(now time.Duration) float64 {
	age := max(now-r.startedAt, r.memory/20)
	sum := r.decayedSum(now)
	return sum / (r.memory.Seconds() * (1 - math.Exp(-float64(age)/float64(r.memory))))
}

// peakEWMA is an exponentially weighted moving average, in seconds, that jumps to a peak at once (as that of
// Twitter's Finagle does).
type peakEWMA struct {
	value     float64
	updatedAt time.Duration
}

func (e *peakEWMA) decayFactor(now, decay time.Duration) float64 {
	return math.Exp(-float64(now-e.updatedAt) / float64(decay))
}

// add replaces the average by a sample that is above its value decayed to now, and blends in any other.
func (e *peakEWMA) add(sample float64, now, decay time.Duration) {
	if now < e.updatedAt {
		return
	}
	w := e.decayFactor(now, decay)
	if sample > e.value*w {
		e.value = sample
	} else {
		e.value = e.value*w + sample*(1-w)
	}
	e.updatedAt = now
}

// shareOf is the share of the rate with the given index in the sum of all.
func shareOf(rates []rate, index int, now time.Duration) float64 {
	total := 0.0
	for i := range rates {
		total += rates[i].perSecond(now)
	}
	return rates[index].perSecond(now) / total
}

// frequencies counts how often each of many names comes. Counts are halved from time to time.
type frequencies struct {
	counts map[string]float64
	total  float64
}

// add counts a name and returns its share of the last names, about as many as memory; low while few have come.
func (f *frequencies) add(name string, memory float64) float64 {
	if f.counts == nil {
		f.counts = map[string]float64{}
	}
	if f.total >= memory {
		f.halve()
	}
	f.counts[name]++
	f.total++
	return f.counts[name] / (f.total + memory/8)
}

// halve halves all counts, and forgets names whose count becomes less than one half.
func (f *frequencies) halve() {
	f.total = 0
	for name, count := range f.counts {
		if count /= 2; count < 0.5 {
			delete(f.counts, name)
		} else {
			f.counts[name] = count
			f.total += count
		}
	}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // a hash never returns an error
	return h.Sum64()
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// topByHash returns the n endpoints of those that are ok with the highest hashes of seed and ID.
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
		if top = slices.Insert(top, i, ep); len(top) > n {
			top = top[:n]
		}
	}
	return top
}

// runningMean is an exponentially weighted moving mean that starts at its first sample.
type runningMean struct {
	weight float64
	value  float64
}

func (m *runningMean) add(x float64) {
	if m.value == 0 {
		m.value = x
	}
	m.value += m.weight * (x - m.value)
}

// maxArrivals covers a second of a class at a busy sidecar that serves none of its requests.
const maxArrivals = 256

// recentArrivals is the times at which the last maxArrivals of some requests arrived.
type recentArrivals struct {
	times [maxArrivals]time.Duration
	count int
}

func (a *recentArrivals) add(at time.Duration) {
	a.times[a.count%maxArrivals] = at
	a.count++
}

// near reports whether one of them arrived within tolerance of at.
func (a *recentArrivals) near(at, tolerance time.Duration) bool {
	for _, t := range a.times[:min(a.count, maxArrivals)] {
		if (t - at).Abs() <= tolerance {
			return true
		}
	}
	return false
}

// maxRankSamples is the number of recent values among which a new one is ranked.
const maxRankSamples = 64

// recentRanks ranks a value among recent ones.
type recentRanks struct {
	samples [maxRankSamples]float64
	count   int
}

// add returns the share of recent values below v, 0 to 1, and adds v to them. Of equal values the given part, 0 to 1,
// counts as below: a random part keeps equal values apart.
func (r *recentRanks) add(v, equalPart float64) float64 {
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
