// Package slope fits a model of how a measured value grows with the number of members n. The model is the sum of a
// constant, a part that is proportional to log n, and a part that is proportional to n. None of the parts is negative.
// They are fitted by least squares. The package computes on numbers and does no I/O.
//
// The fit minimizes relative errors: each point is weighted by the inverse of its value. The values span an order of
// magnitude, and their noise is proportional to them. Of the models whose largest relative residual is within the
// noise, the one with the fewest parts is chosen.
package slope

import (
	"errors"
	"fmt"
	"math"
	"math/bits"
	"strings"

	"gonum.org/v1/gonum/mat"
)

// Point is a value measured with a number of members.
type Point struct {
	Size  int     // number of members, at least 1
	Value float64 // measured value in any unit, finite and not negative
}

// Model is the function Const + Log * log2(n) + Linear * n of the number of members n.
type Model struct{ Const, Log, Linear float64 }

// At returns the model's value for n members.
func (m Model) At(n int) float64 {
	return m.Const + m.Log*math.Log2(float64(n)) + m.Linear*float64(n)
}

// String returns the model as a formula, such as "12.1 + 0.35 n".
func (m Model) String() string {
	var summands []string
	for _, s := range []struct {
		factor float64
		suffix string
	}{
		{m.Const, ""},
		{m.Log, " log2 n"},
		{m.Linear, " n"},
	} {
		if s.factor != 0 {
			summands = append(summands, fmt.Sprintf("%.3g%s", s.factor, s.suffix))
		}
	}
	if summands == nil {
		return "0"
	}
	return strings.Join(summands, " + ")
}

// Fit is a model fitted to points.
type Fit struct {
	Model
	Residual     float64 // largest residual, relative to the measured value
	ExceedsNoise bool    // whether Residual is larger than the noise, so that no model of these parts fits
	Sizes        int     // number of different sizes that the fit is based on
}

// Tolerance is the relative residual up to which deviations are attributed to noise. Repeated measurements of a size
// can raise this limit to twice the largest relative deviation of a point from the mean of its size.
const Tolerance = 0.05

// maxWeightRatio limits the ratio of a point's weight to the weight of the point with the largest value.
const maxWeightRatio = 100

// basis has the functions of the number of members that a model combines, in the order of Model's fields.
var basis = [3]func(n float64) float64{
	func(float64) float64 { return 1 },
	math.Log2,
	func(n float64) float64 { return n },
}

// errNoSolution is returned by solve if the solution for the chosen parts has a negative factor or cannot be computed.
var errNoSolution = errors.New("no least-squares solution without negative factors")

// New fits a model to points. It returns an error if the points have fewer than two sizes, or if a point is invalid.
// The texts of these errors are part of the output of the command "lab slopes".
func New(points []Point) (Fit, error) {
	valuesBySize := map[int][]float64{}
	for _, p := range points {
		if p.Size < 1 || !(p.Value >= 0) || math.IsInf(p.Value, 0) {
			return Fit{}, fmt.Errorf("%v with %d members is no figure that can be fitted", p.Value, p.Size)
		}
		valuesBySize[p.Size] = append(valuesBySize[p.Size], p.Value)
	}
	if len(valuesBySize) < 2 {
		return Fit{}, fmt.Errorf("%d size: two at least are wanted", len(valuesBySize))
	}
	allowed := noise(valuesBySize)
	weights := inverseWeights(points)
	best := Fit{Residual: math.Inf(1)}
	// A model with as many parts as there are sizes would fit any values and predict nothing.
	for parts := 1; parts <= min(len(basis), len(valuesBySize)-1); parts++ {
		best = bestFit(best, points, weights, parts)
		if best.Residual <= allowed {
			break
		}
	}
	best.ExceedsNoise = best.Residual > allowed
	best.Sizes = len(valuesBySize)
	return best, nil
}

// bestFit returns the fit with the smallest residual among best and all models with the given number of parts.
func bestFit(best Fit, points []Point, weights []float64, parts int) Fit {
	for set := uint(1); set < 1<<len(basis); set++ {
		if bits.OnesCount(set) != parts {
			continue
		}
		m, err := solve(points, weights, basisIndexes(set))
		if err != nil {
			continue
		}
		if r := maxResidual(m, points, weights); r < best.Residual {
			best = Fit{Model: m, Residual: r}
		}
	}
	return best
}

// basisIndexes returns the indexes of the functions in basis whose bits are set.
func basisIndexes(set uint) []int {
	var indexes []int
	for i := range basis {
		if set>>i&1 == 1 {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// noise returns the largest relative residual that is attributed to noise: Tolerance, or more if the values of a size
// scatter more.
func noise(valuesBySize map[int][]float64) float64 {
	allowed := Tolerance
	for _, values := range valuesBySize {
		mean := 0.0
		for _, v := range values {
			mean += v / float64(len(values))
		}
		if mean <= 0 {
			continue
		}
		for _, v := range values {
			allowed = max(allowed, 2*math.Abs(v-mean)/mean)
		}
	}
	return allowed
}

// inverseWeights returns the inverse of each point's value. The weights of values of 0 or close to it are limited by
// maxWeightRatio. The limit prevents a division by 0, and prevents a single such point from determining the fit.
func inverseWeights(points []Point) []float64 {
	largest := 0.0
	for _, p := range points {
		largest = max(largest, p.Value)
	}
	weights := make([]float64, len(points))
	for i, p := range points {
		weights[i] = 1
		if largest > 0 {
			weights[i] = 1 / max(p.Value, largest/maxWeightRatio)
		}
	}
	return weights
}

// solve returns the weighted least-squares solution over the chosen functions of basis. It returns errNoSolution if a
// factor is negative, since the best model without negative factors then has fewer parts, or if the system of equations
// is singular or nearly so.
func solve(points []Point, weights []float64, chosen []int) (Model, error) {
	a, y := mat.NewDense(len(points), len(chosen), nil), mat.NewVecDense(len(points), nil)
	for i, p := range points {
		for j, c := range chosen {
			a.Set(i, j, weights[i]*basis[c](float64(p.Size)))
		}
		y.SetVec(i, weights[i]*p.Value)
	}
	var x mat.VecDense
	if err := x.SolveVec(a, y); err != nil {
		return Model{}, fmt.Errorf("%w: %w", errNoSolution, err)
	}
	var factors [len(basis)]float64
	for j, c := range chosen {
		factors[c] = x.AtVec(j)
		if factors[c] < 0 {
			return Model{}, errNoSolution
		}
	}
	return Model{Const: factors[0], Log: factors[1], Linear: factors[2]}, nil
}

// maxResidual returns the largest weighted distance of a point from the model.
func maxResidual(m Model, points []Point, weights []float64) float64 {
	largest := 0.0
	for i, p := range points {
		largest = max(largest, math.Abs(m.At(p.Size)-p.Value)*weights[i])
	}
	return largest
}
