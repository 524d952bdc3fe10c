package balancer

import "math"

// quantileStep is the step size by which the logarithm of an estimated quantile moves. With a higher value,
// the estimate follows a change sooner and is noisier.
const quantileStep = 0.1

// quantile estimates the quantile, for the given probability, of a series of values. Each added value moves
// the estimate up or down by a small factor.
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
