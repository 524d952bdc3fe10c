package slope

import (
	"math"
	"math/rand/v2"
	"testing"
)

// maxForecastError is the relative error up to which the tests accept a prediction.
const maxForecastError = 0.15

var testSizes = []int{74, 148, 295, 590, 1180}

// samplePoints returns a point of the function for each of testSizes, with uniform relative noise of up to spread.
func samplePoints(function func(n float64) float64, spread float64) []Point {
	rng := rand.New(rand.NewPCG(1, 1))
	var points []Point
	for _, n := range testSizes {
		value := function(float64(n)) * (1 + spread*(2*rng.Float64()-1))
		points = append(points, Point{Size: n, Value: value})
	}
	return points
}

// The fit to values of a function must have exactly the parts of that function, even with noise of 1 %. The fit to
// small sizes must predict the values of the large ones.
func TestNewFindsKnownParts(t *testing.T) {
	for _, test := range []struct {
		name     string
		function func(n float64) float64
		spread   float64
		// wantConst, wantLog and wantLinear tell for each part whether the fit must have it or must not have it.
		wantConst, wantLog, wantLinear bool
	}{
		{"zero", func(float64) float64 { return 0 }, 0, false, false, false},
		{"constant", func(float64) float64 { return 139 }, 0, true, false, false},
		{"constant, 1 %", func(float64) float64 { return 139 }, 0.01, true, false, false},
		{"linear", func(n float64) float64 { return 72 * n }, 0, false, false, true},
		{"log", func(n float64) float64 { return 4 * math.Log2(n) }, 0, false, true, false},
		{"constant and linear", func(n float64) float64 { return 100 + n }, 0, true, false, true},
		{"constant and linear, 1 %", func(n float64) float64 { return 100 + n }, 0.01, true, false, true},
		{"log and linear", func(n float64) float64 { return 20*math.Log2(n) + n/2 }, 0, false, true, true},
		{"constant and log", func(n float64) float64 { return 10 + 5*math.Log2(n) }, 0, true, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			points := samplePoints(test.function, test.spread)
			fit, err := New(points)
			if err != nil || fit.ExceedsNoise {
				t.Errorf("fit %v: ExceedsNoise %v, want false; error %v, want none", fit, fit.ExceedsNoise, err)
			}
			if (fit.Const > 0) != test.wantConst ||
				(fit.Log > 0) != test.wantLog ||
				(fit.Linear > 0) != test.wantLinear {
				t.Errorf("fit %v; want a constant part: %v, a log2 n part: %v, an n part: %v",
					fit, test.wantConst, test.wantLog, test.wantLinear)
			}
			_, forecasts, err := Extrapolate(points, 295)
			if err != nil || len(forecasts) != 2 || forecasts[0].Size != 590 || forecasts[1].Size != 1180 {
				t.Fatalf("forecasts %+v, want the sizes 590 and 1180; error %v, want none", forecasts, err)
			}
			for _, f := range forecasts {
				if math.Abs(f.RelativeError()) > maxForecastError {
					t.Errorf("%d members: %.3g predicted, %.3g measured, relative error %.3g, want at most %.3g",
						f.Size, f.Predicted, f.Measured, f.RelativeError(), maxForecastError)
				}
			}
		})
	}
}

// Without noise the fit has the exact factors.
func TestNewFindsFactors(t *testing.T) {
	fit, err := New(samplePoints(func(n float64) float64 { return 100 + 0.5*n }, 0))
	if err != nil || math.Abs(fit.Const-100) > 1e-6 || math.Abs(fit.Linear-0.5) > 1e-9 {
		t.Errorf("Const %v, want 100; Linear %v, want 0.5; error %v, want none", fit.Const, fit.Linear, err)
	}
	if fit.String() != "100 + 0.5 n" || fit.Sizes != len(testSizes) {
		t.Errorf("fit %v of %d sizes, want 100 + 0.5 n of %d sizes", fit, fit.Sizes, len(testSizes))
	}
}

// If a value grows differently beyond the fitted sizes, or in a way that the model cannot describe, the forecasts must
// have a large error.
func TestExtrapolateMissesOtherGrowth(t *testing.T) {
	for name, function := range map[string]func(n float64) float64{
		"square beyond the fit": func(n float64) float64 { return 100 + n + max(0, n-295)*max(0, n-295)/100 },
		"limited":               func(n float64) float64 { return min(n, 295) },
		"square":                func(n float64) float64 { return n * n },
		"decreasing":            func(n float64) float64 { return 1000 / n },
		"zero beyond the fit":   func(n float64) float64 { return max(0, 590-n) },
		"zero within the fit":   func(n float64) float64 { return max(0, n-295) },
	} {
		t.Run(name, func(t *testing.T) {
			_, forecasts, err := Extrapolate(samplePoints(function, 0), 295)
			if err != nil {
				t.Fatal(err)
			}
			largest := 0.0
			for _, f := range forecasts {
				largest = max(largest, math.Abs(f.RelativeError()))
			}
			if largest <= maxForecastError {
				t.Errorf("largest error of the forecasts is %.2f, want more than %.2f; forecasts %+v",
					largest, maxForecastError, forecasts)
			}
		})
	}
}

// ExceedsNoise is set if no model without negative factors fits the values. It is not set for the scatter of repeated
// measurements.
func TestNewReportsExceededNoise(t *testing.T) {
	fit, err := New(samplePoints(func(n float64) float64 { return 1000 / n }, 0))
	if err != nil || !fit.ExceedsNoise || fit.Linear != 0 || fit.Log != 0 {
		t.Errorf("decreasing values: fit %v, want no log2 n part and no n part; ExceedsNoise %v, want true; "+
			"error %v, want none", fit, fit.ExceedsNoise, err)
	}
	repeated := []Point{{74, 90}, {74, 110}, {148, 90}, {148, 110}, {295, 105}, {295, 95}}
	fit, err = New(repeated)
	if err != nil || fit.ExceedsNoise || math.Abs(fit.Const-100) > 3 || fit.Log+fit.Linear != 0 {
		t.Errorf("noisy constant measured twice: fit %v, want a constant from 97 to 103; ExceedsNoise %v, want false; "+
			"error %v, want none", fit, fit.ExceedsNoise, err)
	}
}

// New returns an error for fewer than two sizes, since any model would fit them, and for invalid points.
func TestNewRejectsUnusablePoints(t *testing.T) {
	for _, test := range []struct {
		name   string
		points []Point
	}{
		{"no points", nil},
		{"one size", []Point{{74, 1}, {74, 2}}},
		{"negative value", []Point{{74, -1}, {148, 1}}},
		{"no members", []Point{{0, 1}, {148, 1}}},
		{"NaN", []Point{{74, math.NaN()}, {148, 1}}},
		{"infinite value", []Point{{74, math.Inf(1)}, {148, 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if fit, err := New(test.points); err == nil {
				t.Errorf("points %v were fitted as %+v, want an error", test.points, fit)
			}
		})
	}
	if _, _, err := Extrapolate([]Point{{295, 1}, {590, 2}}, 295); err == nil {
		t.Error("Extrapolate from a single size returned no error, want one")
	}
}
