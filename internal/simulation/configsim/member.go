package configsim

import (
	"slices"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/discovery/bootstrap"
)

const (
	// maxStartDelay limits the random time between a member's start and its first selection of an upstream.
	maxStartDelay = 20 * time.Millisecond
	// minTickDelay is the minimum delay until a follower's next tick.
	minTickDelay = time.Millisecond
	// exchangeInterval is the time between a member's exchanges of revisions with a random other member.
	exchangeInterval = time.Second
)

// Member is a sidecar that takes part in the distribution of configuration.
type Member struct {
	machine
	follower *controlplane.Follower
	selector *bootstrap.Selector
	// cached is the snapshot on disk. The member's next process starts with it.
	cached *controlplane.CachedSnapshot
	// upstream is the connection to the member's current upstream, nil if there is none; selection is the selector's
	// choice that led to it.
	selection bootstrap.Selection
	upstream  *connection
	// path holds the indexes of the members between this member and an origin, the nearest one first.
	path   []int
	tickAt time.Duration
	// nextOrigin is the index of the origin that the member calls next. failedOrigins is the number of origins that
	// failed one after the other; it is 0 again once the failure is reported to the selector.
	nextOrigin    int
	failedOrigins int
	// selections is the number of upstream selections so far. Events of earlier selections are ignored.
	selections int
	// selectionPending is set if the member was frozen when it had to select an upstream.
	selectionPending bool
	// viewVersion is the version of the membership view that the selector has.
	viewVersion uint64
	// Fetches is the number of snapshots that the member fetched from peers.
	Fetches int
}

// StartMember starts a new process of a member, with the member's cached snapshot.
func (c *Cluster) StartMember(i int) {
	m := c.Members[i]
	m.incarnation++
	m.up, m.frozen, m.changedAt, m.subscribers = true, false, c.Now, map[int]*connection{}
	m.upstream, m.path, m.viewVersion, m.nextOrigin, m.selections = nil, nil, 0, m.index%c.config.Origins, 0
	var actions []controlplane.Action
	m.follower, actions = controlplane.NewFollower(controlplane.FollowerConfig{
		Cluster:    clusterName,
		Self:       m.name,
		Cached:     m.cached,
		FetchDelay: c.config.FetchDelay,
	}, c.Now)
	m.selector = bootstrap.New(bootstrap.Config{
		Self:           m.name,
		Roots:          c.config.Roots,
		FanOut:         c.config.FanOut,
		MaxCallRate:    float64(c.config.MaxCallRate),
		ConfiguredSize: c.config.Members,
		RandomSeed:     c.rng.Uint64(),
	}, c.Now)
	m.tickAt = 0
	c.perform(m, actions)
	startDelay := time.Duration(c.rng.Int64N(int64(maxStartDelay)))
	c.After(startDelay, c.whileRunning(m, func() { c.selectUpstream(m) }))
}

// whileRunning wraps a function so that it does nothing once the member's current process has ended.
func (c *Cluster) whileRunning(m *Member, do func()) func() {
	incarnation := m.incarnation
	return func() {
		if m.incarnation == incarnation && m.up {
			do()
		}
	}
}

// handle passes an event to a member's follower and performs the resulting actions. A stopped or frozen member drops
// the event.
func (c *Cluster) handle(m *Member, event controlplane.Event) {
	if m.up && !m.frozen {
		c.perform(m, m.follower.Handle(c.Now, event))
	}
}

// perform performs a follower's actions and schedules its next tick.
func (c *Cluster) perform(m *Member, actions []controlplane.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case controlplane.Apply:
			c.After(c.config.ApplyTime, c.whileRunning(m, func() { c.apply(m, a.Snapshot.Revision) }))
		case controlplane.Save:
			cached := a.Cached
			m.cached = &cached
		case controlplane.Publish:
			c.publish(&m.machine, a.Frame)
			for range max(c.config.PushFanOut, 0) {
				c.sendRevision(m, c.Members[c.rng.IntN(len(c.Members))])
			}
		case controlplane.Fetch:
			c.fetch(m, a.Name)
		case controlplane.SendReport:
			c.sendReport(m, a.Report)
		}
	}
	c.scheduleTick(m)
}

func (c *Cluster) apply(m *Member, revision controlplane.Revision) {
	c.handle(m, controlplane.ApplyResult{Revision: revision})
	if c.OnActive != nil {
		c.OnActive(m, revision)
	}
}

// scheduleTick schedules the follower's next tick, unless one at the same time or earlier is already scheduled.
func (c *Cluster) scheduleTick(m *Member) {
	at := m.follower.NextTick()
	if !m.up || m.tickAt > c.Now && at >= m.tickAt {
		return
	}
	m.tickAt = max(at, c.Now+minTickDelay)
	scheduled := m.tickAt
	c.After(scheduled-c.Now, c.whileRunning(m, func() {
		if m.tickAt != scheduled {
			return
		}
		if m.frozen {
			m.tickAt = 0
			return
		}
		c.handle(m, controlplane.Tick{})
	}))
}

// fetch makes the member m request the current frame from the member with the given name.
func (c *Cluster) fetch(m *Member, name string) {
	m.Fetches++
	for _, peer := range c.Members {
		if peer.name != name {
			continue
		}
		c.send(&m.machine, &peer.machine, fetchSize, func() {
			frame, ok := peer.follower.Frame()
			if !ok {
				return
			}
			size := frameSize(&frame)
			peer.FramesOut += size
			c.send(&peer.machine, &m.machine, size, func() {
				c.handle(m, controlplane.SnapshotReceived{From: peer.name, Frame: frame})
			})
		})
	}
}

// sendReport sends a member's report to its upstream.
func (c *Cluster) sendReport(m *Member, report controlplane.Report) {
	upstream := m.upstream
	if upstream == nil || upstream.closed {
		return
	}
	size := reportSize(&report)
	m.ReportsOut += size
	c.send(&m.machine, upstream.server(), size, func() {
		if upstream.closed {
			return
		}
		upstream.server().ReportsIn += size
		if upstream.origin != nil {
			c.handleOrigin(upstream.origin, origin.ReportReceived{From: m.name, Report: report})
		} else {
			c.handle(upstream.member, controlplane.ReportReceived{From: m.name, Report: report})
		}
	})
}

// sendRevision sends the revision of a member's snapshot to another member.
func (c *Cluster) sendRevision(m, to *Member) {
	if m == to || !m.up || m.frozen {
		return
	}
	frame, ok := m.follower.Frame()
	if !ok {
		return
	}
	revision := controlplane.Revision{Epoch: frame.Revision.Epoch, Version: frame.Revision.Version}
	c.send(&m.machine, &to.machine, revisionSize, func() {
		c.handle(to, controlplane.PeerRevision{Name: m.name, Address: m.name, Revision: revision})
	})
}

// exchangeRevisions makes each member exchange revisions with a random member once in each exchangeInterval, as the
// membership probes do.
func (c *Cluster) exchangeRevisions() {
	for _, m := range c.Members {
		delay := time.Duration(c.rng.Int64N(int64(exchangeInterval)))
		c.After(delay, c.whileRunning(m, func() {
			to := c.Members[c.rng.IntN(len(c.Members))]
			c.sendRevision(m, to)
			if c.reachable(&m.machine, &to.machine) {
				c.sendRevision(to, m)
			}
		}))
	}
	c.After(exchangeInterval, c.exchangeRevisions)
}

// LargestRelay returns the member with the most descendants.
func (c *Cluster) LargestRelay() *Member {
	return slices.MaxFunc(c.Members, func(x, y *Member) int { return c.descendants(x) - c.descendants(y) })
}

// descendants returns the number of members that receive their snapshots through a member.
func (c *Cluster) descendants(m *Member) (n int) {
	for _, other := range c.Members {
		if slices.Contains(other.path, m.index) {
			n++
		}
	}
	return n
}
