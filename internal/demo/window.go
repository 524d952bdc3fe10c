package demo

import (
	"slices"
	"time"

	"hazelwing/internal/emulator"
)

const (
	// windowLength is the period that the view's figures cover.
	windowLength = time.Second

	millisecondsPerSecond = 1000
)

// window holds the requests that ended within the last windowLength, in the order in which they were added, and older
// ones until the next call of summary. It is not safe for concurrent use.
type window []endedRequest

// endedRequest is a request that has ended.
type endedRequest struct {
	endedAt         time.Time
	withinObjective bool
	latency         time.Duration
}

// windowSummary holds the view's figures.
type windowSummary struct {
	requests        int
	withinObjective float64 // share of the requests that were served within the latency objective
	p50, p99        time.Duration
}

// add adds a request that ends now.
func (w *window) add(class emulator.TrafficClass, outcome emulator.Outcome, latency time.Duration) {
	milliseconds := latency.Seconds() * millisecondsPerSecond
	*w = append(*w, endedRequest{
		endedAt:         time.Now(),
		withinObjective: outcome == emulator.Served && milliseconds <= class.ObjectiveMS,
		latency:         latency,
	})
}

// summary removes the requests that have left the window and returns the figures of the remaining requests.
func (w *window) summary() windowSummary {
	start := time.Now().Add(-windowLength)
	*w = slices.DeleteFunc(*w, func(r endedRequest) bool { return !r.endedAt.After(start) })
	count := len(*w)
	if count == 0 {
		return windowSummary{}
	}
	var latencies []time.Duration
	withinObjective := 0
	for _, r := range *w {
		latencies = append(latencies, r.latency)
		if r.withinObjective {
			withinObjective++
		}
	}
	slices.Sort(latencies)
	return windowSummary{
		requests:        count,
		withinObjective: float64(withinObjective) / float64(count),
		p50:             latencies[count/2],
		p99:             latencies[min(count-1, count*99/percent)],
	}
}
