package worstcase

import (
	"context"
	"slices"
	"time"

	"hazelwing/internal/strictdecode"
)

const (
	// minKeptLoss is the share of its loss that a case has to keep when it is made one step smaller.
	minKeptLoss = 0.8
	// maxShrinkRounds limits the number of steps.
	maxShrinkRounds = 10
	// minShrunkDuration and minShrunkShare are the smallest duration and share of a fault that are halved.
	minShrunkDuration = 2 * time.Second
	minShrunkShare    = 0.1
)

// shrink makes a case smaller, one step per round, as long as a step keeps the violation, if any, and most of the loss
// that the case had before the step. A step removes one fault, or halves the duration or share of one.
func (s *searcher) shrink(ctx context.Context, c Case) (Case, error) {
	for range maxShrinkRounds {
		smaller := smallerCases(c)
		if err := s.evaluateAll(ctx, smaller); err != nil {
			return c, err
		}
		first := slices.IndexFunc(smaller, func(x Case) bool {
			return x.Loss >= minKeptLoss*c.Loss && x.Loss > 0 && (c.Violations == 0 || x.Violations > 0)
		})
		if first < 0 {
			break
		}
		c = smaller[first]
	}
	return c, nil
}

// smallerCases returns all cases that are one step smaller. For each fault, the case without it comes before those in
// which its duration or share is halved.
func smallerCases(c Case) (smaller []Case) {
	add := func(change func(*Case)) {
		x := c
		x.Faults = slices.Clone(c.Faults)
		change(&x)
		smaller = append(smaller, x)
	}
	for i := range c.Faults {
		add(func(x *Case) { x.Faults = slices.Delete(x.Faults, i, i+1) })
		if time.Duration(c.Faults[i].Duration) >= minShrunkDuration {
			add(func(x *Case) { x.Faults[i].Duration = half(x.Faults[i].Duration) })
		}
		if c.Faults[i].Share >= minShrunkShare {
			add(func(x *Case) { x.Faults[i].Share = roundToHundredth(x.Faults[i].Share / 2) })
		}
	}
	return smaller
}

func half(d strictdecode.Duration) strictdecode.Duration {
	return strictdecode.Duration((time.Duration(d) / 2).Round(timeStep))
}
