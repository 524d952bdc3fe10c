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
	// dayStream selects the stream of random numbers of a day. The seed is the size of the cluster.
	dayStream = 7
	// drainTime is the time for which an endpoint drains before it serves again (Day.Drains).
	drainTime = time.Second
)

// dayEvents performs the events of a day. Each event of a day affects a different member.
type dayEvents struct {
	cluster   *hollow.Cluster
	endpoints int

	mu       sync.Mutex
	restarts map[int]int      // number of restarts, by index of the endpoint
	failed   []*hollow.Member // members that were killed for the rest of the day
}

// setHealth sets the health of a member's endpoint in the list of discovery, and increases the endpoint's number of
// restarts.
func (d *dayEvents) setHealth(m *hollow.Member, health string, restarts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := (m.Number - 1) % d.endpoints
	d.restarts[i] += restarts
	d.cluster.Discovery.Set(d.cluster.Endpoint(i, health, d.restarts[i]))
}

// fail kills a member for the rest of the day and removes its endpoint from the list.
func (d *dayEvents) fail(_ context.Context, m *hollow.Member) error {
	d.cluster.Kill(m)
	d.setHealth(m, healthRemoved, 0)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = append(d.failed, m)
	return nil
}

// replace replaces a sidecar and its endpoint. The endpoint drains, the sidecar leaves the cluster, the endpoint is
// removed from the list, and both start again.
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

// drain drains an endpoint for drainTime. After that the endpoint serves again, with one more restart.
func (d *dayEvents) drain(ctx context.Context, m *hollow.Member) error {
	d.setHealth(m, healthDraining, 0)
	err := sleep(ctx, drainTime)
	d.setHealth(m, healthServing, 1)
	return err
}

// event performs one event of a day at a member.
type event func(ctx context.Context, m *hollow.Member) error

// scaledCount scales a number of events of the day from the reference size to the size of the cluster. It returns at
// least 1, or 0 for 0 events.
func (r *run) scaledCount(n int) int {
	if n == 0 {
		return 0
	}
	return max(1, int(math.Round(float64(n)*float64(r.size)/float64(r.Day.ReferenceSize))))
}

// day runs the events of a day, evenly spread over its duration, in a random order and at random members.
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
		return fmt.Errorf("day has %d events, want at most one for each of the %d members", len(events), r.size)
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

// runEvents runs each event at the member with the same index. The starts of the events are evenly spread over length.
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

// endDay starts the members that were killed during the day, and waits until the cluster has converged again.
func (r *run) endDay(ctx context.Context, d *dayEvents) error {
	if err := r.cluster.Start(d.failed...); err != nil {
		return err
	}
	for _, m := range d.failed {
		d.setHealth(m, healthServing, 1)
	}
	return r.waitConvergedUnmeasured(ctx)
}
