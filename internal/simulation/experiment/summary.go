package experiment

import (
	"math"
	"slices"
)

// Summary summarises the results of a policy at a point over the seeds.
type Summary struct {
	Point  int
	Policy string
	// Mean has the mean of each measure.
	Mean map[string]float64
	// MinService and MaxService are the lowest and the highest service among the seeds.
	MinService float64
	MaxService float64
	// SeedsWithViolations counts the seeds with which a rule was violated or the simulation failed.
	SeedsWithViolations int
}

// Summarise returns the summaries of all policies at all points, ordered by point. At each point the policies that
// violated a rule come first.
func Summarise(h Header, runs []Run) (out []Summary) {
	for point := range h.Points {
		first := len(out)
		for _, policy := range h.Policies {
			out = append(out, summarise(runs, point, policy))
		}
		slices.SortStableFunc(out[first:], func(a, b Summary) int {
			return min(b.SeedsWithViolations, 1) - min(a.SeedsWithViolations, 1)
		})
	}
	return out
}

func summarise(runs []Run, point int, policy string) Summary {
	s := Summary{
		Point:      point,
		Policy:     policy,
		Mean:       map[string]float64{},
		MinService: math.Inf(1),
		MaxService: math.Inf(-1),
	}
	n := 0.0
	for _, r := range runs {
		if r.Point != point || r.Policy != policy {
			continue
		}
		n++
		for name, measure := range measures {
			s.Mean[name] += measure(r.Result)
		}
		s.MinService, s.MaxService = min(s.MinService, r.Result.Service), max(s.MaxService, r.Result.Service)
		if r.Result.ViolationCount > 0 {
			s.SeedsWithViolations++
		}
	}
	for name := range s.Mean {
		s.Mean[name] /= n
	}
	return s
}
