package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// ScheduledRequest is a request of a plan.
type ScheduledRequest struct {
	At       time.Duration // intended send time, relative to the start
	Class    string
	Effect   string // safe, keyed, unsafe
	Deadline time.Duration
	Work     time.Duration // work that emulated nodes are to perform; also sent as the expected work
}

// Plan is a schedule of requests.
type Plan []ScheduledRequest

// Point is a point of a rate curve. The curve is linear between its points, and constant before the first and after the
// last one.
type Point struct {
	At   time.Duration
	Rate float64 // requests per second
}

const (
	// maxRequests limits the size of a plan.
	maxRequests = 10_000_000
	// poissonStream selects the random stream of plans.
	poissonStream = 0x6c6f6164
)

// Poisson returns a plan whose requests arrive as a Poisson process with a rate that follows a curve (by thinning:
// Lewis and Shedler, 1979). The same seed gives the same plan.
func Poisson(seed uint64, curve []Point, length time.Duration, request ScheduledRequest) (Plan, error) {
	maxRate := 0.0
	for i, p := range curve {
		if !(p.Rate >= 0) {
			return nil, fmt.Errorf("point %d of the rate curve has the rate %v; want 0 or more", i+1, p.Rate)
		}
		if i > 0 && p.At <= curve[i-1].At {
			const format = "point %d of the rate curve is at %v; want a time after that of the previous point, %v"
			return nil, fmt.Errorf(format, i+1, p.At, curve[i-1].At)
		}
		maxRate = max(maxRate, p.Rate)
	}
	if !(maxRate > 0) {
		return nil, fmt.Errorf("highest rate is %v requests per second; want above 0", maxRate)
	}
	if length <= 0 {
		return nil, fmt.Errorf("length is %v; want above 0", length)
	}
	if requests := maxRate * length.Seconds(); requests > maxRequests {
		const format = "highest rate for %v would give %.0f requests; want at most %d"
		return nil, fmt.Errorf(format, length, requests, maxRequests)
	}
	rng := rand.New(rand.NewPCG(seed, poissonStream))
	var plan Plan
	for at := 0.0; ; {
		at += rng.ExpFloat64() / maxRate
		request.At = time.Duration(at * float64(time.Second))
		if request.At >= length {
			return plan, nil
		}
		if rng.Float64()*maxRate < rateAt(curve, request.At) {
			plan = append(plan, request)
		}
	}
}

func rateAt(curve []Point, at time.Duration) float64 {
	for i, p := range curve {
		if at < p.At {
			if i == 0 {
				return p.Rate
			}
			q := curve[i-1]
			return q.Rate + (p.Rate-q.Rate)*float64(at-q.At)/float64(p.At-q.At)
		}
	}
	return curve[len(curve)-1].Rate
}
