// Package worstcase searches for the faults and the load with which a policy loses most against a baseline, or
// violates a rule: it draws faults and loads for the cluster of an experiment, keeps the worst case, shrinks it to
// the smallest one that still has the effect, and writes it as an experiment of its own. The same experiment, seed
// and number of candidates find the same case.
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
	// randomStream is the stream of a seed that candidates are drawn from.
	randomStream = 0x68756e74
	// seedsPerCase is with how many seeds each case is simulated.
	seedsPerCase = 3
	// violationLoss is added to the loss of a case with a violation.
	violationLoss = 10
	// candidatesPerCore are drawn at a time.
	candidatesPerCore = 4
)

// Options say what is searched for.
type Options struct {
	// Policy is searched for its losses against Baseline.
	Policy, Baseline string
	// Candidates is how many cases are drawn, with Seed.
	Candidates int
	Seed       uint64
	// Cores simulate at the same time; 0: all.
	Cores int
	// Progress is called after each batch, if it is set.
	Progress func(done, total int, worst float64)
}

// Case is a load and faults, with what they cost.
type Case struct {
	Load   float64
	Faults []experiment.Fault
	// Loss is by how much the baseline's service is higher, as the mean of the seeds; with a violation of the
	// policy it is higher by violationLoss.
	Loss       float64
	Violations int
}

// searcher is a search over the cluster of an experiment.
type searcher struct {
	experiment *experiment.Experiment
	options    Options
}

func (s *searcher) cores() int { return cmp.Or(s.options.Cores, runtime.GOMAXPROCS(0)) }

// Search searches over the cluster of an experiment.
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

// evaluateAll measures the losses of cases.
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

// evaluate measures the loss of a case.
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
