package balancer

import (
	"math"
	"time"
)

// The memory of a rate divided by minAgeDivisor is its minimum age: a younger rate is computed as if it had
// that age. With a higher value, a rate follows its first events more closely, but is too high after the
// first event alone.
const minAgeDivisor = 20

// rate is an exponentially weighted moving rate of events.
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

// perSecond returns the rate per second at now, corrected for the bias towards low values of a young rate.
func (r *rate) perSecond(now time.Duration) float64 {
	age := max(now-r.startedAt, r.memory/minAgeDivisor)
	sum := r.decayedSum(now)
	return sum / (r.memory.Seconds() * (1 - math.Exp(-float64(age)/float64(r.memory))))
}

// shareOf returns the share that the rate with the given index has in the sum of all rates.
func shareOf(rates []rate, index int, now time.Duration) float64 {
	total := 0.0
	for i := range rates {
		total += rates[i].perSecond(now)
	}
	return rates[index].perSecond(now) / total
}
