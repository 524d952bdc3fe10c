package balancer

import "math"

// quantileStep is the step size of estimated quantiles, on a logarithmic scale. A higher value follows a
// change sooner and is noisier.
const quantileStep = 0.1

// quantile estimates the quantile with the given probability of the values that are added. Each value moves
// the estimate by a step on a logarithmic scale.
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
