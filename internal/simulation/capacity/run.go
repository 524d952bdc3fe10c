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
	// waitInterval is how often a wait checks its condition.
	waitInterval = 20 * time.Millisecond
	// clusterSeed is that of the members' random numbers.
	clusterSeed = 1
)

// run is one size of an experiment that is being run.
type run struct {
	*Experiment
	size    int
	cluster *hollow.Cluster
	// before is what the process used before there was a cluster.
	before  processUsage
	results []Result
	phase   string
}

// Run runs an experiment at one size. It returns what was measured also where it fails. Only one may run at a time in a
// process. progress is called after each phase.
func (e *Experiment) Run(ctx context.Context, size int, progress func(format string, args ...any)) ([]Result, error) {
	r := &run{Experiment: e, size: size}
	var err error
	if r.before, err = readUsage(); err != nil {
		return nil, err
	}
	//nolint:contextcheck // the cluster and its discovery listen on loopback, which does not wait
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

// add adds a figure of the present phase, which is a mean of n values.
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

// waitUntil waits until problem returns nothing, and adds how long that took.
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
	return fmt.Errorf("%s: not within %v: %s", figure, time.Duration(r.Timeout), last)
}

func allLocations(hollow.Location) bool { return true }

// viewDisagreement describes a view that is not right; empty: all are.
func (r *run) viewDisagreement() string { return r.cluster.Disagreement(allLocations) }

// outdatedLists says how many members do not have the latest list; empty: all have.
func (r *run) outdatedLists() string {
	if n := r.cluster.CountOutdated(allLocations); n > 0 {
		return fmt.Sprintf("%d do not have discovery's list", n)
	}
	return ""
}

// waitConverged waits for the views and the lists at the same time, and adds how long each took.
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
		return fmt.Errorf("not whole: %q: %w", problems, err)
	}
	if problems != [2]string{} {
		return fmt.Errorf("not whole within %v: %q", time.Duration(r.Timeout), problems)
	}
	r.add(RoleAll, "views agree", unitSeconds, viewsAt.Seconds(), 1)
	r.add(RoleAll, "lists current", unitSeconds, listsAt.Seconds(), 1)
	return nil
}

// waitConvergedUnmeasured waits for the views and the lists, and adds no figure.
func (r *run) waitConvergedUnmeasured(ctx context.Context) error {
	for begin := time.Now(); ; {
		problems := [2]string{r.viewDisagreement(), r.outdatedLists()}
		if problems == [2]string{} {
			return nil
		}
		if time.Since(begin) > time.Duration(r.Timeout) {
			return fmt.Errorf("not whole again within %v: %q", time.Duration(r.Timeout), problems)
		}
		if err := sleep(ctx, waitInterval); err != nil {
			return err
		}
	}
}

var errOneRegion = errors.New("there is one region")
