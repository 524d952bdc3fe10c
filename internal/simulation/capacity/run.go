package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hazelwing/internal/testcluster/hollow"
)

const (
	// waitInterval is the time between two checks while waiting for a condition.
	waitInterval = 20 * time.Millisecond
	// clusterSeed is the seed of the members' random numbers.
	clusterSeed = 1
)

// run is the state of running an experiment at one size.
type run struct {
	*Experiment
	size    int
	cluster *hollow.Cluster
	// before is the usage of the process before the cluster was created.
	before  processUsage
	results []Result
	phase   string
}

// Run runs an experiment at one size and calls progress after each phase. If a phase fails, it returns the results up
// to then with the error. Only one experiment may run in a process at a time, since some figures cover the whole
// process.
func (e *Experiment) Run(ctx context.Context, size int, progress func(format string, args ...any)) ([]Result, error) {
	r := &run{Experiment: e, size: size}
	var err error
	if r.before, err = readUsage(); err != nil {
		return nil, err
	}
	//nolint:contextcheck // New only listens on loopback, which does not block
	r.cluster, err = hollow.New(hollow.Config{
		Members:       size,
		Endpoints:     e.Endpoints,
		Services:      e.Services,
		Regions:       e.Regions,
		Zones:         e.Zones,
		RackSize:      e.RackSize,
		Seed:          clusterSeed,
		ClusterKeys:   e.ClusterKeys,
		BootstrapKeys: e.BootstrapKeys,
	})
	if err != nil {
		return nil, err
	}
	defer r.cluster.Close()
	for _, name := range e.Phases {
		r.phase = name
		begin := time.Now()
		if err := phases[name](r, ctx); err != nil {
			return r.results, fmt.Errorf("%s at %d members, phase %s: %w", e.Name, size, name, err)
		}
		progress("%s, %d members, %s: %.1f s", e.Name, size, name, time.Since(begin).Seconds())
	}
	return r.results, nil
}

// add adds a figure of the current phase. The figure is the mean of n values.
func (r *run) add(role, figure, unit string, value float64, n int) {
	r.results = append(r.results, Result{r.Name, r.size, role, r.phase, figure, unit, value, n})
}

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitUntil waits until problem returns an empty string, and adds the time that this took as a figure.
func (r *run) waitUntil(ctx context.Context, figure string, problem func() string) error {
	begin, last := time.Now(), ""
	for time.Since(begin) < time.Duration(r.Timeout) {
		if last = problem(); last == "" {
			r.add(RoleAll, figure, unitSeconds, time.Since(begin).Seconds(), 1)
			return nil
		}
		if err := sleep(ctx, waitInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("condition %q not reached within %v: %s", figure, time.Duration(r.Timeout), last)
}

func allLocations(hollow.Location) bool { return true }

// viewDisagreement describes a member's view that differs from the actual members. It returns an empty string if there
// is no such view.
func (r *run) viewDisagreement() string { return r.cluster.Disagreement(allLocations) }

// outdatedLists describes how many members do not have the latest list. It returns an empty string if all have it.
func (r *run) outdatedLists() string {
	if n := r.cluster.CountOutdated(allLocations); n > 0 {
		return fmt.Sprintf("%d members do not have the latest list of discovery", n)
	}
	return ""
}

// waitConverged waits until all views agree and all lists are current. It adds the time until the views agreed and the
// time until the lists were current as figures.
func (r *run) waitConverged(ctx context.Context) error {
	var waits sync.WaitGroup
	begin := time.Now()
	var viewsAt, listsAt time.Duration
	var problems [2]string
	wait := func(at *time.Duration, last *string, problem func() string) {
		for time.Since(begin) < time.Duration(r.Timeout) && ctx.Err() == nil {
			if *last = problem(); *last == "" {
				*at = time.Since(begin)
				return
			}
			time.Sleep(waitInterval)
		}
	}
	waits.Go(func() { wait(&viewsAt, &problems[0], r.viewDisagreement) })
	waits.Go(func() { wait(&listsAt, &problems[1], r.outdatedLists) })
	waits.Wait()
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("cancelled before views and lists converged (last differences: %q): %w", problems, err)
	}
	if problems != [2]string{} {
		return fmt.Errorf("views and lists did not converge within %v; last differences: %q",
			time.Duration(r.Timeout), problems)
	}
	r.add(RoleAll, "views agree", unitSeconds, viewsAt.Seconds(), 1)
	r.add(RoleAll, "lists current", unitSeconds, listsAt.Seconds(), 1)
	return nil
}

// waitConvergedUnmeasured waits until all views agree and all lists are current, without adding a figure.
func (r *run) waitConvergedUnmeasured(ctx context.Context) error {
	for begin := time.Now(); ; {
		problems := [2]string{r.viewDisagreement(), r.outdatedLists()}
		if problems == [2]string{} {
			return nil
		}
		if time.Since(begin) > time.Duration(r.Timeout) {
			return fmt.Errorf("views and lists did not converge within %v after the day; last differences: %q",
				time.Duration(r.Timeout), problems)
		}
		if err := sleep(ctx, waitInterval); err != nil {
			return err
		}
	}
}

var errOneRegion = errors.New("a partition of regions needs at least 2 regions")
