package capacity

import (
	"context"
	"fmt"
	"time"

	"hazelwing/internal/testcluster/hollow"
)

// Names of the phases that can be the first one of an experiment.
const (
	phaseStart  = "start"
	phaseJoined = "known"
)

// phases maps the names of phases in experiments' files to their implementations.
var phases = map[string]func(*run, context.Context) error{
	phaseStart:  (*run).start,
	phaseJoined: (*run).startJoined,
	"quiet":     (*run).quiet,
	"day":       (*run).day,
	"rack":      (*run).isolateRack,
	"zone":      (*run).isolateZone,
	"region":    (*run).partitionRegions,
	"restart":   (*run).restart,
}

// The areas that phases isolate.
const (
	isolatedRack   = hollow.Area("k2")
	isolatedZone   = hollow.Area("z2")
	isolatedRegion = hollow.Area("r1")
	// allOtherAreas is the other side of a link: all members that are not in the isolated area.
	allOtherAreas = hollow.Area("rest")
)

// Health states of endpoints in the answers of discovery.
const (
	healthServing  = "SERVING"
	healthDraining = "DRAINING"
	healthRemoved  = "DELETED"
)

// settle waits for SettleTime, so that the traffic of one phase does not fall into the next one.
func (r *run) settle(ctx context.Context) error { return sleep(ctx, time.Duration(r.SettleTime)) }

// start starts all members at once and measures until the cluster has converged.
func (r *run) start(ctx context.Context) error {
	err := r.measure(inTotal, func() error {
		if err := r.cluster.Start(r.cluster.Members...); err != nil {
			return err
		}
		return r.waitConverged(ctx)
	})
	if err != nil {
		return err
	}
	r.addDiscoveryCalls(0)
	return r.settle(ctx)
}

// startJoined starts all members with complete views, as in a cluster that has run for a long time.
func (r *run) startJoined(ctx context.Context) error {
	err := r.measure(inTotal, func() error { return r.cluster.StartJoined(ctx, time.Duration(r.Timeout)) })
	if err != nil {
		return err
	}
	r.addDiscoveryCalls(0)
	return r.settle(ctx)
}

// addDiscoveryCalls adds the increase of the number of calls to discovery since an earlier count (before).
func (r *run) addDiscoveryCalls(before int) {
	calls, _ := r.cluster.Discovery.Calls()
	r.add(RoleDiscovery, "calls", unitCount, float64(calls-before), 1)
}

// quiet measures a cluster without any changes for QuietTime.
func (r *run) quiet(ctx context.Context) error {
	err := r.measure(perSecond, func() error { return sleep(ctx, time.Duration(r.QuietTime)) })
	if err != nil {
		return err
	}
	return r.addUsage()
}

// restart kills all members at once, starts them again, and measures until the cluster has converged.
func (r *run) restart(ctx context.Context) error {
	before, _ := r.cluster.Discovery.Calls()
	err := r.measure(inTotal, func() error {
		r.cluster.Kill(r.cluster.Members...)
		if err := r.cluster.Start(r.cluster.Members...); err != nil {
			return err
		}
		return r.waitConverged(ctx)
	})
	if err != nil {
		return err
	}
	r.addDiscoveryCalls(before)
	return r.settle(ctx)
}

// isolate cuts the links between an area and all others, calls whileIsolated, changes the list and restores the links.
// It measures from the cut until the cluster has converged.
func (r *run) isolate(ctx context.Context, a hollow.Area, whileIsolated func() error) error {
	err := r.measure(inTotal, func() error {
		if err := r.cluster.Links.Set(a, allOtherAreas, hollow.Link{Cut: true}); err != nil {
			return err
		}
		if err := whileIsolated(); err != nil {
			return err
		}
		r.changeList()
		r.cluster.Links.Heal()
		return r.waitConverged(ctx)
	})
	r.cluster.Links.Heal()
	if err != nil {
		return err
	}
	return r.settle(ctx)
}

// changeList makes one endpoint drain and serve again. During a cut, the members on the side without discovery miss
// these changes of the list.
func (r *run) changeList() {
	e := r.cluster.Endpoint(0, healthDraining, 0)
	r.cluster.Discovery.Set(e)
	e.Health = healthServing
	r.cluster.Discovery.Set(e)
}

func (r *run) isolateRack(ctx context.Context) error { return r.isolateArea(ctx, isolatedRack) }

func (r *run) isolateZone(ctx context.Context) error { return r.isolateArea(ctx, isolatedZone) }

// isolateArea isolates an area until the other members have declared its members dead.
func (r *run) isolateArea(ctx context.Context, a hollow.Area) error {
	if n := len(r.cluster.MembersIn(a)); n == 0 || n == r.size {
		return fmt.Errorf("area %s has %d of the %d members; isolating it needs members on both sides", a, n, r.size)
	}
	outside := func(l hollow.Location) bool { return !a.Contains(l) }
	return r.isolate(ctx, a, func() error {
		return r.waitUntil(ctx, "others know", func() string { return r.cluster.Disagreement(outside) })
	})
}

// partitionRegions isolates one region from the others for PartitionTime, or until the members of each side see only
// each other, if that takes longer.
func (r *run) partitionRegions(ctx context.Context) error {
	if r.Regions < 2 {
		return errOneRegion
	}
	outside := func(l hollow.Location) bool { return !isolatedRegion.Contains(l) }
	return r.isolate(ctx, isolatedRegion, func() error {
		begin := time.Now()
		err := r.waitUntil(ctx, "each side knows itself alone", func() string {
			if problem := r.cluster.Disagreement(isolatedRegion.Contains); problem != "" {
				return problem
			}
			return r.cluster.Disagreement(outside)
		})
		if err != nil {
			return err
		}
		return sleep(ctx, time.Until(begin.Add(time.Duration(r.PartitionTime))))
	})
}
