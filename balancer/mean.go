package balancer

import (
	"math"
	"time"
)

// moveTowards adds a sample with the given weight to an exponentially weighted moving average.
func moveTowards(mean *float64, sample, weight float64) {
	*mean += weight * (sample - *mean)
}

// runningMean is an exponentially weighted moving average that starts at its first sample.
type runningMean struct {
	weight float64 // weight of a new sample
	value  float64
}

func (m *runningMean) add(sample float64) {
	if m.value == 0 {
		m.value = sample
	}
	moveTowards(&m.value, sample, m.weight)
}

// peakEWMA is an exponentially weighted moving average, in seconds, that a higher sample replaces
// immediately, as in Twitter's Finagle.
type peakEWMA struct {
	value     float64
	updatedAt time.Duration
}

func (e *peakEWMA) decayFactor(now, decay time.Duration) float64 {
	return math.Exp(-float64(now-e.updatedAt) / float64(decay))
}

// add replaces the average with the sample if the sample is higher than the average decayed to now.
// Otherwise it averages the two, weighted by the decay. A sample from before the last update is ignored.
func (e *peakEWMA) add(sample float64, now, decay time.Duration) {
	if now < e.updatedAt {
		return
	}
	oldWeight := e.decayFactor(now, decay)
	if sample > e.value*oldWeight {
		e.value = sample
	} else {
		e.value = e.value*oldWeight + sample*(1-oldWeight)
	}
	e.updatedAt = now
}
