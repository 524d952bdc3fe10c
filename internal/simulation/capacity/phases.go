package capacity

import (
	"context"
	"fmt"
	"time"

	"hazelwing/internal/testcluster/hollow"
)

// The names of phases that begin an experiment.
const (
	phaseStart  = "start"
	phaseJoined = "known"
)

// phases are by their names in files.
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

// The racks, zones and regions that are cut off.
const (
	isolatedRack   = hollow.Area("k2")
	isolatedZone   = hollow.Area("z2")
	isolatedRegion = hollow.Area("r1")
	// allOtherAreas is all that is not in the other area.
	allOtherAreas = hollow.Area("rest")
)

// The health of endpoints, as discovery states it.
const (
	healthServing  = "SERVING"
	healthDraining = "DRAINING"
	healthRemoved  = "DELETED"
)

// settle lets the cluster come to rest after a phase.
func (r *run) settle(ctx context.Context) error { return sleep(ctx, time.Duration(r.SettleTime)) }

// start starts all members at once.
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

// startJoined starts a cluster as if it had run for long.
func (r *run) startJoined(ctx context.Context) error {
	err := r.measure(inTotal, func() error { return r.cluster.StartJoined(ctx, time.Duration(r.Timeout)) })
	if err != nil {
		return err
	}
	r.addDiscoveryCalls(0)
	return r.settle(ctx)
}

// addDiscoveryCalls adds how often discovery was called since a count.
func (r *run) addDiscoveryCalls(before int) {
	calls, _ := r.cluster.Discovery.Calls()
	r.add(RoleDiscovery, "calls", unitCount, float64(calls-before), 1)
}

// quiet measures a cluster in which nothing happens.
func (r *run) quiet(ctx context.Context) error {
	err := r.measure(perSecond, func() error { return sleep(ctx, time.Duration(r.QuietTime)) })
	if err != nil {
		return err
	}
	return r.addUsage()
}

// restart kills all members at once and starts them again.
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

// isolate cuts an area off from all others, calls whileCut, changes the list, and measures how long the cluster
// takes to be whole again.
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

// changeList lets one endpoint drain and serve again, which members that are cut off do not learn.
func (r *run) changeList() {
	e := r.cluster.Endpoint(0, healthDraining, 0)
	r.cluster.Discovery.Set(e)
	e.Health = healthServing
	r.cluster.Discovery.Set(e)
}

func (r *run) isolateRack(ctx context.Context) error { return r.isolateArea(ctx, isolatedRack) }

func (r *run) isolateZone(ctx context.Context) error { return r.isolateArea(ctx, isolatedZone) }

// isolateArea cuts an area off until the other members have declared its members dead.
func (r *run) isolateArea(ctx context.Context, a hollow.Area) error {
	if n := len(r.cluster.MembersIn(a)); n == 0 || n == r.size {
		return fmt.Errorf("%s has none or all of the members", a)
	}
	outside := func(l hollow.Location) bool { return !a.Contains(l) }
	return r.isolate(ctx, a, func() error {
		return r.waitUntil(ctx, "others know", func() string { return r.cluster.Disagreement(outside) })
	})
}

// partitionRegions cuts the regions off from each other for PartitionTime.
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
