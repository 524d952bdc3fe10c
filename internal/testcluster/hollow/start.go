package hollow

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
)

const (
	// waitInterval is the time between two checks of a wait's condition.
	waitInterval = 20 * time.Millisecond
	// statusInterval is the time between two checks of all members' statuses. It is longer than waitInterval since the
	// cost of a status grows with the number of members that a member sees.
	statusInterval = time.Second
	// subscribeBatch is the number of members that subscribe to the endpoint list at a time. Members subscribe in order
	// of their ranks, because a member whose parent has no list yet would wait for a second.
	subscribeBatch = 50
)

// Start starts members in parallel, and returns when all have been started.
func (c *Cluster) Start(members ...*Member) error { return forEach(members, (*Member).start) }

// Kill ends members without informing the others, as SIGKILL ends a real process, and returns when all have ended.
func (c *Cluster) Kill(members ...*Member) { endAll(members, (*Member).kill) }

// Leave ends members and returns when all have ended. The members first tell the others that they leave.
func (c *Cluster) Leave(members ...*Member) { endAll(members, (*Member).leave) }

// forEach calls a function for each of the members in parallel, and returns their joined errors.
func forEach(members []*Member, do func(*Member) error) error {
	errs := make([]error, len(members))
	var calls sync.WaitGroup
	for i, m := range members {
		calls.Go(func() { errs[i] = do(m) })
	}
	calls.Wait()
	return errors.Join(errs...)
}

func endAll(members []*Member, end func(*Member)) {
	var calls sync.WaitGroup
	for _, m := range members {
		calls.Go(func() { end(m) })
	}
	calls.Wait()
}

// StartJoined starts all members and brings the cluster into the state of one that has run for a long time. It sends
// each member a list of all others at once, waits until there are no updates left to gossip, and lets the members
// subscribe to the endpoint list in order of their ranks. No member may be running when it is called. Each wait may
// take up to timeout.
//
// With Start, hundreds of members in one process would learn of each other by gossip. That takes more processor time
// than one process has, so the members would declare each other dead. Sidecars on separate machines have enough
// processor time.
func (c *Cluster) StartJoined(ctx context.Context, timeout time.Duration) error {
	if err := forEach(c.Members, (*Member).open); err != nil {
		return err
	}
	for _, m := range c.Members {
		m.running().join()
	}
	if err := c.introduceAll(ctx); err != nil {
		return err
	}
	everywhere := func(Location) bool { return true }
	if err := waitUntil(ctx, timeout, func() string { return c.Disagreement(everywhere) }); err != nil {
		return err
	}
	if err := waitUntil(ctx, timeout, c.pendingUpdates); err != nil {
		return err
	}
	return c.subscribeByRank(ctx, timeout)
}

// introduceAll sends each member a push-pull response that lists all members.
func (c *Cluster) introduceAll(ctx context.Context) error {
	entries := make([]cluster.Entry, len(c.Members))
	for i, m := range c.Members {
		incarnation := cluster.Incarnation{Generation: 1, ProcessID: m.running().node.Gossip.ProcessID()}
		entries[i] = cluster.Entry{Name: m.Name, Addr: m.Addr, Incarnation: incarnation}
	}
	fromFirst, err := c.introduction(entries[0], entries)
	if err != nil {
		return err
	}
	// The first member would reject a message from itself.
	toFirst, err := c.introduction(entries[1%len(entries)], entries)
	if err != nil {
		return err
	}
	return forEach(c.Members, func(m *Member) error {
		frame := fromFirst
		if m.Number == 1 {
			frame = toFirst
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", m.Addr.String())
		if err != nil {
			return err
		}
		_, err = conn.Write(frame)
		return errors.Join(err, conn.Close())
	})
}

// introduction returns an encoded push-pull response from a member with the given entries, preceded by its length as on
// a stream.
func (c *Cluster) introduction(from cluster.Entry, entries []cluster.Entry) ([]byte, error) {
	frame, err := gossip.Encode(&cluster.Message{
		Kind:        cluster.PushPullResponse,
		ClusterName: c.config.Name,
		From:        from,
		Entries:     entries,
	})
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...), nil
}

// pendingUpdates describes a member that has updates left to gossip, or returns "" if there is none.
func (c *Cluster) pendingUpdates() string {
	for _, m := range c.Members {
		if n := m.Status().Core.QueuedBroadcasts; n > 0 {
			time.Sleep(statusInterval)
			return fmt.Sprintf("%s has %d updates left to gossip", m.Name, n)
		}
	}
	return ""
}

// subscribeByRank lets the members subscribe to the endpoint list in order of their ranks: first the member with rank
// 0, which is a root, and then the others in batches.
func (c *Cluster) subscribeByRank(ctx context.Context, timeout time.Duration) error {
	byRank := make([]*Member, len(c.Members))
	for _, m := range c.Members {
		state, _ := m.SourceState()
		byRank[state.Rank] = m // the members' views agree, so no two have the same rank
	}
	batchSize := 1
	for len(byRank) > 0 {
		batch := byRank[:min(batchSize, len(byRank))]
		byRank, batchSize = byRank[len(batch):], subscribeBatch
		for _, m := range batch {
			m.running().subscribe()
		}
		err := waitUntil(ctx, timeout, func() string {
			for _, m := range batch {
				if m.ListVersion() != c.Discovery.Version() {
					return m.Name + " does not have the latest endpoint list"
				}
			}
			return ""
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// waitUntil polls problem until it returns "". It returns an error when the context ends, or with the last problem
// after the timeout.
func waitUntil(ctx context.Context, timeout time.Duration, problem func() string) error {
	for begin := time.Now(); ; time.Sleep(waitInterval) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		text := problem()
		if text == "" {
			return nil
		}
		if time.Since(begin) > timeout {
			return fmt.Errorf("hollow: cluster not ready within %v: %s", timeout, text)
		}
	}
}
