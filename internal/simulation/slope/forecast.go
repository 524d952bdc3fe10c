package slope

import (
	"cmp"
	"math"
	"slices"
)

// Forecast compares the value that a fit to smaller sizes predicts for a larger size with the measured value.
type Forecast struct {
	Size                int // number of members
	Measured, Predicted float64
}

// RelativeError returns the signed error of the prediction, relative to the measured value. If the measured value is 0,
// RelativeError returns 0 for a prediction of 0 and +Inf for any other.
func (f Forecast) RelativeError() float64 {
	if f.Measured == 0 {
		if f.Predicted == 0 {
			return 0
		}
		return math.Inf(1)
	}
	return (f.Predicted - f.Measured) / f.Measured
}

// Extrapolate fits a model to the points of sizes up to maxFittedSize and predicts the values of the larger sizes. Each
// prediction is compared with the mean of the points of its size. The forecasts are ordered by size. Extrapolate
// returns the errors of New for the points that it fits.
func Extrapolate(points []Point, maxFittedSize int) (Fit, []Forecast, error) {
	var fitted []Point
	sum, count := map[int]float64{}, map[int]float64{}
	for _, p := range points {
		if p.Size <= maxFittedSize {
			fitted = append(fitted, p)
			continue
		}
		sum[p.Size] += p.Value
		count[p.Size]++
	}
	fit, err := New(fitted)
	if err != nil {
		return Fit{}, nil, err
	}
	var forecasts []Forecast
	for size := range sum {
		forecasts = append(forecasts, Forecast{
			Size:      size,
			Measured:  sum[size] / count[size],
			Predicted: fit.At(size),
		})
	}
	slices.SortFunc(forecasts, func(a, b Forecast) int { return cmp.Compare(a.Size, b.Size) })
	return fit, forecasts, nil
}
