package capacity

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hazelwing/internal/testcluster/hollow"
)

const (
	// dayStream is the stream of random numbers of a day, by the size of the cluster.
	dayStream = 7
	// drainTime is how long an endpoint drains that serves again.
	drainTime = time.Second
)

// dayEvents are the events of a day, each of which happens at a member of its own.
type dayEvents struct {
	cluster   *hollow.Cluster
	endpoints int

	mu       sync.Mutex
	restarts map[int]int // by endpoint
	failed   []*hollow.Member
}

// setHealth sets the health of a member's endpoint, which may have restarted.
func (d *dayEvents) setHealth(m *hollow.Member, health string, restarts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := (m.Number - 1) % d.endpoints
	d.restarts[i] += restarts
	d.cluster.Discovery.Set(d.cluster.Endpoint(i, health, d.restarts[i]))
}

// fail kills a member for the rest of the day.
func (d *dayEvents) fail(_ context.Context, m *hollow.Member) error {
	d.cluster.Kill(m)
	d.setHealth(m, healthRemoved, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = append(d.failed, m)
	return nil
}

// replace lets an endpoint drain and be removed, and its sidecar leave; both come back.
func (d *dayEvents) replace(_ context.Context, m *hollow.Member) error {
	d.setHealth(m, healthDraining, 0)
	d.cluster.Leave(m)
	d.setHealth(m, healthRemoved, 0)
	if err := d.cluster.Start(m); err != nil {
		return err
	}
	d.setHealth(m, healthServing, 1)
	return nil
}

// drain lets an endpoint drain and serve again.
func (d *dayEvents) drain(ctx context.Context, m *hollow.Member) error {
	d.setHealth(m, healthDraining, 0)
	err := sleep(ctx, drainTime)
	d.setHealth(m, healthServing, 1)
	return err
}

// event is something that happens at a member.
type event func(ctx context.Context, m *hollow.Member) error

// scaledCount is how many of a number of events of the day a cluster of this size has.
func (r *run) scaledCount(n int) int {
	if n == 0 {
		return 0
	}
	return max(1, int(math.Round(float64(n)*float64(r.size)/float64(r.Day.ReferenceSize))))
}

// day runs the events of a day, evenly over its time, in a random order and at random members.
func (r *run) day(ctx context.Context) error {
	d := &dayEvents{cluster: r.cluster, endpoints: cmp.Or(r.Endpoints, r.size), restarts: map[int]int{}}
	var events []event
	addEvents := func(n int, e event) {
		for range r.scaledCount(n) {
			events = append(events, e)
		}
	}
	addEvents(r.Day.Failures, d.fail)
	addEvents(r.Day.Replacements, d.replace)
	addEvents(r.Day.Drains, d.drain)
	if len(events) > r.size {
		return fmt.Errorf("%d events at %d members", len(events), r.size)
	}
	rng := rand.New(rand.NewPCG(uint64(r.size), dayStream))
	rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	var members []*hollow.Member
	for _, i := range rng.Perm(r.size) {
		members = append(members, r.cluster.Members[i])
	}
	length := time.Duration(r.Day.Duration)
	r.add(RoleAll, "events", unitCount, float64(len(events)), 1)
	r.add(RoleAll, "times faster than a day", unitCount, (24*time.Hour).Seconds()/length.Seconds(), 1)
	if err := r.measure(perSecond, func() error { return runEvents(ctx, events, members, length) }); err != nil {
		return err
	}
	if err := r.waitConverged(ctx); err != nil {
		return err
	}
	if err := r.endDay(ctx, d); err != nil {
		return err
	}
	return r.settle(ctx)
}

// runEvents runs events at members, evenly over a time.
func runEvents(ctx context.Context, events []event, members []*hollow.Member, length time.Duration) error {
	interval := length / time.Duration(max(1, len(events)))
	var running sync.WaitGroup
	errs := make([]error, len(events))
	begin := time.Now()
	for i, runEvent := range events {
		if err := sleep(ctx, time.Until(begin.Add(time.Duration(i)*interval))); err != nil {
			break
		}
		running.Go(func() { errs[i] = runEvent(ctx, members[i]) })
	}
	running.Wait()
	if err := cmp.Or(errs...); err != nil {
		return err
	}
	return sleep(ctx, time.Until(begin.Add(length)))
}

// endDay starts the members that have failed.
func (r *run) endDay(ctx context.Context, d *dayEvents) error {
	if err := r.cluster.Start(d.failed...); err != nil {
		return err
	}
	for _, m := range d.failed {
		d.setHealth(m, healthServing, 1)
	}
	return r.waitConvergedUnmeasured(ctx)
}
