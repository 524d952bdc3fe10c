package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// BookingClasses resemble the request classes of a booking site, but their times are ten times shorter.
var BookingClasses = []TrafficClass{
	{Name: "seat-search", Effect: "safe", ObjectiveMS: 80, DeadlineMS: 400, Weight: 3, LateWeight: 0.3},
	{Name: "coach-map", Effect: "safe", ObjectiveMS: 60, DeadlineMS: 400, Weight: 3, LateWeight: 0.3},
	{Name: "confirm-booking", Effect: "unsafe", ObjectiveMS: 120, DeadlineMS: 600, Weight: 10, LateWeight: 0.5},
	{Name: "payment-record", Effect: "keyed", ObjectiveMS: 250, DeadlineMS: 600, Weight: 8, LateWeight: 0.3},
}

const (
	// trafficStream selects the random stream of generated traffic.
	trafficStream = 0x7261696c
	// workSigma is the standard deviation of the logarithm of a request's work.
	workSigma = 0.5
	// hintSigma is the standard deviation of the logarithm of the ratio of a request's expected work to its work.
	hintSigma = 0.2
	// generatedKeys is the number of different affinity keys.
	generatedKeys = 500
)

// bookingMix has an entry for each of BookingClasses, in the same order: the share of the requests that are of this or
// an earlier class, and the mean work of the class in microseconds.
var bookingMix = []struct {
	cumulativeShare float64
	meanWorkUS      float64
}{
	{0.40, 10500},
	{0.70, 11500},
	{0.91, 18000},
	{1, 19000},
}

// Generate draws traffic of BookingClasses. Requests arrive as a Poisson process with the given average rate per
// second, and their work has a lognormal distribution. The same seed gives the same traffic.
func Generate(seed uint64, rate float64, length time.Duration) *Traffic {
	rng := rand.New(rand.NewPCG(seed, trafficStream))
	traffic := &Traffic{TrafficHeader: TrafficHeader{Classes: BookingClasses}}
	for at := rng.ExpFloat64() / rate; at < length.Seconds(); at += rng.ExpFloat64() / rate {
		traffic.Requests = append(traffic.Requests, generateRequest(rng, at))
	}
	return traffic
}

// generateRequest draws a request that is sent at the given number of seconds after the start.
func generateRequest(rng *rand.Rand, at float64) Request {
	x, class := rng.Float64(), 0
	for x > bookingMix[class].cumulativeShare {
		class++
	}
	work := bookingMix[class].meanWorkUS * math.Exp(workSigma*rng.NormFloat64()-workSigma*workSigma/2)
	key := rng.IntN(generatedKeys)
	expectedWork := work * math.Exp(hintSigma*rng.NormFloat64())
	return Request{
		AtMS:           math.Round(at*1e6) / 1e3,
		Class:          BookingClasses[class].Name,
		AffinityKey:    fmt.Sprintf("u%d", key),
		WorkUS:         math.Round(work),
		ExpectedWorkUS: math.Round(expectedWork),
	}
}
