// Package slope says how a figure grows with the number of members: a constant, a part that grows with log n and one that
// grows with n, none of them below 0, fitted by least squares. It takes numbers and gives numbers, without I/O.
//
// The fit is of relative errors, since the figures go over an order of magnitude and their noise goes with them: each point
// weighs by one over its value. Of the models the simplest is taken whose largest relative residual the noise allows.
package slope

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/mat"
)

// Point is a figure that was measured with so many members.
type Point struct {
	Size  int
	Value float64
}

// Model is Const + Log x log2 n + Linear x n.
type Model struct{ Const, Log, Linear float64 }

// At is what the model says of n members.
func (m Model) At(n int) float64 {
	return m.Const + m.Log*math.Log2(float64(n)) + m.Linear*float64(n)
}

// String is the model as a formula, such as "12.1 + 0.35 n".
func (m Model) String() string {
	var parts []string
	for _, p := range []struct {
		factor float64
		of     string
	}{{m.Const, ""}, {m.Log, " log2 n"}, {m.Linear, " n"}} {
		if p.factor != 0 {
			parts = append(parts, fmt.Sprintf("%.3g%s", p.factor, p.of))
		}
	}
	if parts == nil {
		return "0"
	}
	return strings.Join(parts, " + ")
}

// Fit is a model of points.
type Fit struct {
	Model
	Residual float64 // the largest, relative to what was measured
	Loose    bool    // it is more than the noise allows: no model of these parts fits
	Sizes    int     // different ones that it rests on
}

// Tolerance is the relative residual that is taken for noise where no size was measured more than once. Measured again,
// twice the largest distance of a point from the mean of its size counts where that is more.
const Tolerance = 0.05

// parts are what a figure may grow with.
var parts = [3]func(n float64) float64{func(float64) float64 { return 1 }, math.Log2, func(n float64) float64 { return n }}

// New fits points. An error says that they are too few (two sizes at least), or that one of them is none.
func New(points []Point) (Fit, error) {
	sizes := map[int][]float64{}
	for _, p := range points {
		if p.Size < 1 || !(p.Value >= 0) || math.IsInf(p.Value, 0) {
			return Fit{}, fmt.Errorf("%v with %d members is no figure that can be fitted", p.Value, p.Size)
		}
		sizes[p.Size] = append(sizes[p.Size], p.Value)
	}
	if len(sizes) < 2 {
		return Fit{}, fmt.Errorf("%d size: two at least are wanted", len(sizes))
	}
	allowed := noise(sizes)
	weights := weigh(points)
	best := Fit{Residual: math.Inf(1)}
	// A model with as many parts as there are sizes goes through all of them and says nothing.
	for terms := 1; terms <= min(len(parts), len(sizes)-1); terms++ {
		for set := 1; set < 1<<len(parts); set++ {
			var chosen []int
			for i := range parts {
				if set>>i&1 == 1 {
					chosen = append(chosen, i)
				}
			}
			if len(chosen) != terms {
				continue
			}
			m, ok := solve(points, weights, chosen)
			if r := residual(m, points, weights); ok && r < best.Residual {
				best = Fit{Model: m, Residual: r}
			}
		}
		if best.Residual <= allowed {
			break
		}
	}
	best.Loose, best.Sizes = best.Residual > allowed, len(sizes)
	return best, nil
}

// noise is the relative residual that the points' own scatter allows.
func noise(sizes map[int][]float64) float64 {
	out := Tolerance
	for _, values := range sizes {
		mean := 0.0
		for _, v := range values {
			mean += v / float64(len(values))
		}
		for _, v := range values {
			if mean > 0 {
				out = max(out, 2*math.Abs(v-mean)/mean)
			}
		}
	}
	return out
}

// weigh gives each point one over its value. One at nothing, or next to it, weighs as a hundredth of the largest would:
// guards against one division by nothing that decides alone.
func weigh(points []Point) []float64 {
	most := 0.0
	for _, p := range points {
		most = max(most, p.Value)
	}
	out := make([]float64, len(points))
	for i, p := range points {
		if out[i] = 1; most > 0 {
			out[i] = 1 / max(p.Value, most/100)
		}
	}
	return out
}

// solve is the least squares over the chosen parts; false: a factor of them is below 0, and the best that is not has fewer
// parts.
func solve(points []Point, weights []float64, chosen []int) (Model, bool) {
	a, y := mat.NewDense(len(points), len(chosen), nil), mat.NewVecDense(len(points), nil)
	for i, p := range points {
		for j, c := range chosen {
			a.Set(i, j, weights[i]*parts[c](float64(p.Size)))
		}
		y.SetVec(i, weights[i]*p.Value)
	}
	var x mat.VecDense
	if err := x.SolveVec(a, y); err != nil {
		return Model{}, false
	}
	var factor [len(parts)]float64
	for j, c := range chosen {
		if factor[c] = x.AtVec(j); factor[c] < 0 {
			return Model{}, false
		}
	}
	return Model{factor[0], factor[1], factor[2]}, true
}

func residual(m Model, points []Point, weights []float64) (most float64) {
	for i, p := range points {
		most = max(most, math.Abs(m.At(p.Size)-p.Value)*weights[i])
	}
	return most
}

// Forecast is what a fit of the smaller sizes says of a larger one, beside what was measured there.
type Forecast struct {
	Size                int
	Measured, Predicted float64
}

// Off is how far the prediction is from what was measured, relative to that; where nothing was measured, Inf or 0.
func (f Forecast) Off() float64 {
	if f.Measured == 0 {
		if f.Predicted == 0 {
			return 0
		}
		return math.Inf(1)
	}
	return (f.Predicted - f.Measured) / f.Measured
}

// Hold fits the points of sizes up to upTo, and predicts the larger ones, each by the mean of its points, in order.
func Hold(points []Point, upTo int) (Fit, []Forecast, error) {
	var small []Point
	sum, count := map[int]float64{}, map[int]float64{}
	for _, p := range points {
		if p.Size <= upTo {
			small = append(small, p)
			continue
		}
		sum[p.Size] += p.Value
		count[p.Size]++
	}
	fit, err := New(small)
	if err != nil {
		return Fit{}, nil, err
	}
	var list []Forecast
	for size := range sum {
		list = append(list, Forecast{size, sum[size] / count[size], fit.At(size)})
	}
	slices.SortFunc(list, func(a, b Forecast) int { return a.Size - b.Size })
	return fit, list, nil
}
