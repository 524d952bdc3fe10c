package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"hazelwing/internal/simulation/simulator"
)

const (
	resamples = 2000 // number of bootstrap samples
	// tailShare is the share of the sample means that lie outside of the 95 % interval on each side.
	tailShare = 0.025
	// minSeeds is the smallest number of seeds with which a difference can be told from noise.
	minSeeds = 5
)

// Difference compares a measure of one policy at one point between two files of results with the same points and seeds.
type Difference struct {
	Point   int    `json:"Point"`
	Policy  string `json:"Contestant"`
	Measure string `json:"Measure"`
	// Left and Right are the means of the measure over the seeds, in the first and in the second file.
	Left  float64 `json:"Left"`
	Right float64 `json:"Right"`
	// Mean is the mean over the seeds of the difference Right - Left. Low and High limit its 95 % interval.
	Mean float64 `json:"Mean"`
	Low  float64 `json:"Low"`
	High float64 `json:"High"`
	// Differs reports whether the interval excludes 0. If it does not, the difference may be noise.
	Differs bool `json:"Differs"`
}

// bootstrap returns the mean of the differences and its 95 % interval by the paired percentile bootstrap (Efron and
// Tibshirani 1993, chapter 13). Its random numbers depend only on the number of differences.
func bootstrap(differences []float64) (mean, low, high float64) {
	n := float64(len(differences))
	rng := rand.New(rand.NewPCG(1, uint64(len(differences))))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range differences {
			sum += differences[rng.IntN(len(differences))]
		}
		means[i] = sum / n
	}
	slices.Sort(means)
	for _, x := range differences {
		mean += x / n
	}
	return mean, means[int(tailShare*resamples)], means[int((1-tailShare)*resamples)-1]
}

// Compare compares the named measures of two files of results with the same points and seeds, for each point and each
// policy that is in both files.
func Compare(leftHeader Header, left []Run, rightHeader Header, right []Run, names []string) ([]Difference, error) {
	if len(leftHeader.Points) != len(rightHeader.Points) {
		return nil, fmt.Errorf("files of results must have the same points: the first has %d points, the second %d",
			len(leftHeader.Points), len(rightHeader.Points))
	}
	if leftHeader.Seeds != rightHeader.Seeds {
		return nil, fmt.Errorf("files of results must have the same seeds: the first has %d seeds, the second %d",
			leftHeader.Seeds, rightHeader.Seeds)
	}
	if leftHeader.Seeds < minSeeds {
		return nil, fmt.Errorf("a comparison needs at least %d seeds to tell a difference from noise, got %d",
			minSeeds, leftHeader.Seeds)
	}
	var out []Difference
	for point := range leftHeader.Points {
		for _, policy := range leftHeader.Policies {
			if !slices.Contains(rightHeader.Policies, policy) {
				continue
			}
			leftResults := resultsBySeed(left, point, leftHeader.Seeds, policy)
			rightResults := resultsBySeed(right, point, leftHeader.Seeds, policy)
			for _, name := range names {
				if measures[name] == nil {
					return nil, unknownMeasure(name)
				}
				d := difference(name, leftResults, rightResults)
				d.Point, d.Policy = point, policy
				out = append(out, d)
			}
		}
	}
	return out, nil
}

// resultsBySeed returns the results of a policy at a point, in the order of the seeds from 1 on.
func resultsBySeed(runs []Run, point, seeds int, policy string) []*simulator.Result {
	out := make([]*simulator.Result, seeds)
	for _, r := range runs {
		if r.Point == point && r.Policy == policy && r.Seed >= 1 && r.Seed <= seeds && out[r.Seed-1] == nil {
			out[r.Seed-1] = r.Result
		}
	}
	return out
}

// difference compares a measure of two lists of results, whose elements at the same index have the same seed.
func difference(name string, left, right []*simulator.Result) Difference {
	d := Difference{Measure: name}
	seeds := float64(len(left))
	var differences []float64
	for i := range left {
		l, r := measures[name](left[i]), measures[name](right[i])
		d.Left += l / seeds
		d.Right += r / seeds
		differences = append(differences, r-l)
	}
	d.Mean, d.Low, d.High = bootstrap(differences)
	d.Differs = d.Low > 0 || d.High < 0
	return d
}
