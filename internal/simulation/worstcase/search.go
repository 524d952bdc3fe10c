// Package worstcase searches for the faults and the load with which a policy has the largest loss of service against a
// baseline, or violates a rule. It draws random faults and loads for the cluster of an experiment, keeps the worst
// case, shrinks it in steps each of which keeps most of the loss, and encodes the result as an experiment of its own.
// The same experiment, seed, number of candidates and number of cores find the same case.
package worstcase

import (
	"cmp"
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"

	"hazelwing/internal/simulation/baseline"
	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/simulation/simulator"
)

const (
	// randomStream is the second seed of the random number generator that candidates are drawn from.
	randomStream = 0x68756e74
	// seedsPerCase is the number of seeds with which each case is simulated.
	seedsPerCase = 3
	// violationLoss is added to the loss of a case with a violation, so that it ranks above cases without one.
	violationLoss = 10
	// candidatesPerCore is the number of candidates per core in a batch.
	candidatesPerCore = 4
)

// Options are the parameters of a search.
type Options struct {
	// Policy is the name of the policy whose losses against Baseline are searched for.
	Policy, Baseline string
	// Candidates is the number of cases that are drawn. Seed seeds the random number generator for them.
	Candidates int
	Seed       uint64
	// Cores is the number of cases that are simulated at the same time; 0: one per core.
	Cores int
	// Progress, if set, is called after each batch with the number of candidates so far, their total, and the largest
	// loss.
	Progress func(done, total int, worst float64)
}

// Case is a load and a list of faults, with their effect on the policy.
type Case struct {
	Load   float64
	Faults []experiment.Fault
	// Loss is the baseline's service minus the policy's service, as the mean of the seeds. If the policy violates a
	// rule, violationLoss is added.
	Loss       float64
	Violations int // rule violations by the policy, summed over all seeds
}

// searcher searches for the worst case of the cluster of an experiment.
type searcher struct {
	experiment *experiment.Experiment
	options    Options
}

func (s *searcher) cores() int { return cmp.Or(s.options.Cores, runtime.GOMAXPROCS(0)) }

// Search returns the worst case that it finds for the cluster of an experiment, after shrinking it. The faults and the
// load of the experiment itself are not used.
func Search(ctx context.Context, e *experiment.Experiment, options Options) (Case, error) {
	for _, name := range []string{options.Policy, options.Baseline} {
		if _, err := baseline.New(name); err != nil {
			return Case{}, err
		}
	}
	s := &searcher{experiment: e, options: options}
	rng := rand.New(rand.NewPCG(options.Seed, randomStream))
	worst := Case{Loss: math.Inf(-1)}
	for done := 0; done < options.Candidates; {
		candidates := s.sampleBatch(rng, worst, min(candidatesPerCore*s.cores(), options.Candidates-done))
		if err := s.evaluateAll(ctx, candidates); err != nil {
			return worst, err
		}
		for _, c := range candidates {
			if c.Loss > worst.Loss {
				worst = c
			}
		}
		done += len(candidates)
		if options.Progress != nil {
			options.Progress(done, options.Candidates, worst.Loss)
		}
	}
	return s.shrink(ctx, worst)
}

// evaluateAll simulates the cases in parallel and sets their losses and violations.
func (s *searcher) evaluateAll(ctx context.Context, cases []Case) error {
	var workers sync.WaitGroup
	errs := make([]error, len(cases))
	slots := make(chan struct{}, s.cores())
	for i := range cases {
		workers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if errs[i] = ctx.Err(); errs[i] == nil {
				errs[i] = s.evaluate(&cases[i])
			}
		})
	}
	workers.Wait()
	return cmp.Or(errs...)
}

// evaluate simulates a case and sets its loss and violations.
func (s *searcher) evaluate(c *Case) error {
	file := s.experiment.File
	file.Cluster.Load, file.Cluster.Rate, file.Faults = c.Load, 0, c.Faults
	config, err := file.Config()
	if err != nil {
		return err
	}
	c.Loss, c.Violations = 0, 0
	for seed := uint64(1); seed <= seedsPerCase; seed++ {
		result, err := simulate(config, s.options.Policy, seed)
		baselineResult, baselineErr := simulate(config, s.options.Baseline, seed)
		if err := errors.Join(err, baselineErr); err != nil {
			return err
		}
		c.Violations += result.ViolationCount
		c.Loss += (baselineResult.Service - result.Service) / seedsPerCase
	}
	if c.Violations > 0 {
		c.Loss += violationLoss
	}
	return nil
}

func simulate(config simulator.Config, policy string, seed uint64) (*simulator.Result, error) {
	newPolicy, err := baseline.New(policy)
	if err != nil {
		return nil, err
	}
	return simulator.Run(config, newPolicy, seed)
}
