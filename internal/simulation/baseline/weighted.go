package baseline

import (
	"cmp"
	"time"

	"hazelwing/balancer"
)

const (
	// weightUpdatePeriod is the interval at which weights are updated: the shortest interval that gRFC A58 allows.
	weightUpdatePeriod = 100 * time.Millisecond
	// weightExpiration is the time after the last load report at which a weight expires.
	weightExpiration = 5 * time.Second
	// fullUtilizationInFlight is the number of requests in flight that counts as a utilization of 1.
	fullUtilizationInFlight = 4.0
	// minUtilization and minRateWindow limit the divisors of a weight from below, so that weights stay finite.
	// minRateWindow is in seconds.
	minUtilization = 0.01
	minRateWindow  = 0.1
)

// weighted implements gRPC's weighted round robin. The weight of an endpoint is its rate of successful requests since
// it was added, but at least 1 per second, divided by the utilization that it reports. Weights are updated every
// weightUpdatePeriod. As in gRPC, the endpoint with the earliest deadline is picked next, and its deadline advances by
// the inverse of its weight.
type weighted struct {
	basePicker
	updatedAt time.Duration
}

func (p *weighted) pick(_ *request, candidates []*endpoint) *endpoint {
	if p.policy.now-p.updatedAt >= weightUpdatePeriod {
		p.update()
	}
	next := candidates[0]
	for _, e := range candidates {
		if e.nextTurn < next.nextTurn {
			next = e
		}
	}
	next.nextTurn += 1 / next.weight
	return next
}

// update applies the reported weights. An endpoint whose weight is missing or has expired gets the mean of the others.
func (p *weighted) update() {
	p.updatedAt = p.policy.now
	sum, count := 0.0, 0.0
	for _, e := range p.policy.endpoints {
		if e.weight = e.reportedWeight; p.policy.now-e.updatedAt > weightExpiration {
			e.weight = 0
		}
		if e.weight > 0 {
			sum, count = sum+e.weight, count+1
		}
	}
	mean := cmp.Or(sum, 1) / max(count, 1)
	for _, e := range p.policy.endpoints {
		e.weight = cmp.Or(e.weight, mean)
		e.nextTurn = p.policy.rng.Float64() / e.weight
	}
}

func (p *weighted) endpointsChanged() { p.update() }

func (p *weighted) attemptEnded(e *endpoint, result balancer.Result, _ time.Duration, load balancer.LoadReport) {
	if result == balancer.OK {
		e.served++
	}
	if load.Reported {
		rate := max(1, float64(e.served)/max((p.policy.now-e.addedAt).Seconds(), minRateWindow))
		utilization := min(1, max(minUtilization, load.InFlight/fullUtilizationInFlight))
		e.reportedWeight, e.updatedAt = rate/utilization, p.policy.now
	}
}
