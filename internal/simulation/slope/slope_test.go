package slope

import (
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []int{74, 148, 295, 590, 1180}

func points(of func(n float64) float64, spread float64, seed uint64) (list []Point) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, n := range sizes {
		list = append(list, Point{n, of(float64(n)) * (1 + spread*(2*rng.Float64()-1))})
	}
	return list
}

// Figures with known parts come back as these parts, with noise of a per cent, too, and the small sizes predict the large ones.
func TestKnownParts(t *testing.T) {
	for _, c := range []struct {
		name                string
		of                  func(n float64) float64
		spread              float64
		konst, logs, linear bool // parts that the fit has to have, and no others
	}{
		{"nothing", func(float64) float64 { return 0 }, 0, false, false, false},
		{"constant", func(float64) float64 { return 139 }, 0, true, false, false},
		{"constant, 1 %", func(float64) float64 { return 139 }, 0.01, true, false, false},
		{"linear", func(n float64) float64 { return 72 * n }, 0, false, false, true},
		{"log", func(n float64) float64 { return 4 * math.Log2(n) }, 0, false, true, false},
		{"constant and linear", func(n float64) float64 { return 100 + n }, 0, true, false, true},
		{"constant and linear, 1 %", func(n float64) float64 { return 100 + n }, 0.01, true, false, true},
		{"log and linear", func(n float64) float64 { return 20*math.Log2(n) + n/2 }, 0, false, true, true},
		{"constant and log", func(n float64) float64 { return 10 + 5*math.Log2(n) }, 0, true, true, false},
	} {
		p := points(c.of, c.spread, 1)
		f, err := New(p)
		if err != nil || f.Loose {
			t.Errorf("%s: %+v, %v", c.name, f, err)
		}
		if (f.Const > 0) != c.konst || (f.Log > 0) != c.logs || (f.Linear > 0) != c.linear {
			t.Errorf("%s: fitted as %v", c.name, f)
		}
		_, list, err := Hold(p, 295)
		if err != nil || len(list) != 2 || list[0].Size != 590 || list[1].Size != 1180 {
			t.Fatalf("%s: %v, %v", c.name, list, err)
		}
		for _, x := range list {
			if math.Abs(x.Off()) > 0.15 {
				t.Errorf("%s: %d: %.3g predicted, %.3g measured", c.name, x.Size, x.Predicted, x.Measured)
			}
		}
	}
}

// The factors themselves, where nothing is noise.
func TestFactors(t *testing.T) {
	f, err := New(points(func(n float64) float64 { return 100 + 0.5*n }, 0, 1))
	if err != nil || math.Abs(f.Const-100) > 1e-6 || math.Abs(f.Linear-0.5) > 1e-9 || f.String() != "100 + 0.5 n" || f.Sizes != len(sizes) {
		t.Errorf("%+v %v %v", f, f, err)
	}
}

// The check can fail: what turns steeper, or stops growing, beyond the sizes of the fit is not predicted.
func TestHoldFails(t *testing.T) {
	for name, of := range map[string]func(n float64) float64{
		"square beyond":   func(n float64) float64 { return 100 + n + max(0, n-295)*max(0, n-295)/100 },
		"cut off":         func(n float64) float64 { return min(n, 295) },
		"square":          func(n float64) float64 { return n * n },
		"falls with n":    func(n float64) float64 { return 1000 / n },
		"gone at scale":   func(n float64) float64 { return max(0, 590-n) },
		"from nothing up": func(n float64) float64 { return max(0, n-295) },
	} {
		_, list, err := Hold(points(of, 0, 1), 295)
		if err != nil {
			t.Fatal(name, err)
		}
		worst := 0.0
		for _, x := range list {
			worst = max(worst, math.Abs(x.Off()))
		}
		if worst <= 0.15 {
			t.Errorf("%s: predicted within %.2f: %+v", name, worst, list)
		}
	}
}

// What no non-negative model bears is said so, and noise that was measured is allowed for.
func TestLoose(t *testing.T) {
	if f, err := New(points(func(n float64) float64 { return 1000 / n }, 0, 1)); err != nil || !f.Loose || f.Linear != 0 || f.Log != 0 {
		t.Errorf("a figure that falls: %+v, %v", f, err)
	}
	twice := []Point{{74, 90}, {74, 110}, {148, 90}, {148, 110}, {295, 105}, {295, 95}}
	if f, err := New(twice); err != nil || f.Loose || math.Abs(f.Const-100) > 3 || f.Log+f.Linear != 0 {
		t.Errorf("a constant, measured twice: %+v, %v", f, err)
	}
}

// No fit is better than one that cannot be told from noise: too few sizes and odd figures are errors.
func TestUnusable(t *testing.T) {
	for _, p := range [][]Point{nil, {{74, 1}, {74, 2}}, {{74, -1}, {148, 1}}, {{0, 1}, {148, 1}}, {{74, math.NaN()}, {148, 1}}, {{74, math.Inf(1)}, {148, 1}}} {
		if f, err := New(p); err == nil {
			t.Errorf("%v: %+v", p, f)
		}
	}
	if _, _, err := Hold([]Point{{295, 1}, {590, 2}}, 295); err == nil {
		t.Error("one small size predicts")
	}
}
