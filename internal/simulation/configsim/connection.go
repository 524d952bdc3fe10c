package configsim

import (
	"maps"
	"slices"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/discovery/bootstrap"
)

const (
	// maxPathLength limits the number of members between an origin and a member, as in internal/discovery/relay.
	maxPathLength = 8
	// maxSelectionDelay limits the delay until a member selects again, since the membership view may change in between.
	maxSelectionDelay = time.Second
	// retryDelay is the delay between a failed connection attempt and the next selection of an upstream.
	retryDelay = 10 * time.Millisecond
)

// connection is a member's connection to its upstream, which is an origin or another member.
type connection struct {
	child *Member
	// The upstream is either member or origin; the other one is nil.
	member *Member
	origin *Origin
	// childIncarnation and serverIncarnation identify the processes at the two ends.
	childIncarnation, serverIncarnation int
	// silentSince is the time since which the two ends cannot reach each other; 0 if they can.
	silentSince time.Duration
	closed      bool
}

// isStale reports whether the process at one of the two ends has ended.
func (conn *connection) isStale() bool {
	return conn.childIncarnation != conn.child.incarnation || conn.serverIncarnation != conn.server().incarnation
}

// server returns the machine of the upstream.
func (conn *connection) server() *machine {
	if conn.origin != nil {
		return &conn.origin.machine
	}
	return &conn.member.machine
}

// frame returns the current frame of the upstream, or false if it has none.
func (conn *connection) frame() (controlplane.Frame, bool) {
	if conn.origin != nil {
		return conn.origin.frame, !conn.origin.frame.Revision.IsZero()
	}
	return conn.member.follower.Frame()
}

// selectUpstream makes a member select an upstream with its bootstrap.Selector and connect to it.
func (c *Cluster) selectUpstream(m *Member) {
	if m.frozen { // checkMember repeats the selection once the member is resumed
		m.selectionPending = true
		return
	}
	m.selectionPending = false
	m.selections++
	selection := m.selector.Select(c.Now)
	if selection.Delay > 0 {
		c.scheduleSelection(m, m.selections, min(selection.Delay, maxSelectionDelay))
		return
	}
	conn := &connection{child: m}
	if selection.Discovery {
		conn.origin = c.originAt(m.nextOrigin)
		m.nextOrigin++
	} else {
		for _, p := range c.Members {
			if p.name == selection.Peer.Name {
				conn.member = p
			}
		}
	}
	c.subscribe(conn, selection, m.selections)
}

// scheduleSelection makes a member select an upstream after a delay. The selection is dropped if the member has an
// upstream by then, or has made another selection since the one with the given number.
func (c *Cluster) scheduleSelection(m *Member, number int, delay time.Duration) {
	c.After(delay, c.whileRunning(m, func() {
		if m.selections == number && m.upstream == nil {
			c.selectUpstream(m)
		}
	}))
}

// subscribe asks a server to accept a member as a subscriber. number is the member's count of selections at the time of
// this selection.
func (c *Cluster) subscribe(conn *connection, selection bootstrap.Selection, number int) {
	m, server := conn.child, conn.server()
	c.After(c.config.DialTimeout, c.whileRunning(m, func() { c.subscribeFailed(m, selection, number) }))
	conn.childIncarnation, conn.serverIncarnation = m.incarnation, server.incarnation
	c.send(&m.machine, server, subscribeSize, func() {
		accepted := c.accepts(conn)
		c.send(server, &m.machine, subscribeAnswerSize, func() {
			switch {
			case m.selections != number || m.upstream != nil || conn.closed:
			case accepted:
				c.subscribed(conn, selection)
			default:
				c.subscribeFailed(m, selection, number)
			}
		})
		if accepted {
			server.subscribers[m.index] = conn
		}
	})
}

// subscribeFailed makes a member select again. The selector treats the origins as one source, so their failure is
// reported to it only once all of them have failed.
func (c *Cluster) subscribeFailed(m *Member, selection bootstrap.Selection, number int) {
	if m.selections != number || m.upstream != nil {
		return
	}
	m.failedOrigins++
	if !selection.Discovery || m.failedOrigins >= c.config.Origins {
		m.selector.ReportFailure(c.Now, selection)
		m.failedOrigins = 0
	}
	c.scheduleSelection(m, number, retryDelay)
}

// subscribed makes an accepted connection the member's upstream. The upstream sends its frame if it is newer than the
// member's, and the member sends its report.
func (c *Cluster) subscribed(conn *connection, selection bootstrap.Selection) {
	m := conn.child
	m.failedOrigins = 0
	m.upstream, m.selection = conn, selection
	m.path = nil
	if conn.member != nil {
		m.path = append([]int{conn.member.index}, conn.member.path...)
	}
	m.selector.ReportSuccess(c.Now, selection)
	if frame, ok := conn.frame(); ok && frame.Revision.Compare(m.follower.Stats().Published) > 0 {
		c.sendFrame(conn, frame)
	}
	c.sendReport(m, m.follower.Report())
}

// accepts reports whether the server accepts the child as a subscriber. No server accepts a child that has a later
// revision. A server that is a member also has to have an upstream, must not receive its own snapshots through the
// child, and must have fewer than maxPathLength members between itself and an origin.
func (c *Cluster) accepts(conn *connection) bool {
	if frame, _ := conn.frame(); frame.Revision.Compare(conn.child.follower.Stats().Published) < 0 {
		return false
	}
	if conn.origin != nil {
		return true
	}
	p := conn.member
	return p.upstream != nil && !slices.Contains(p.path, conn.child.index) && len(p.path) < maxPathLength
}

// publish sends a frame to all subscribers of a machine, in order of their indexes.
func (c *Cluster) publish(m *machine, frame controlplane.Frame) {
	for _, i := range slices.Sorted(maps.Keys(m.subscribers)) {
		if conn := m.subscribers[i]; !conn.closed {
			c.sendFrame(conn, frame)
		}
	}
}

func (c *Cluster) sendFrame(conn *connection, frame controlplane.Frame) {
	size, server, child := frameSize(&frame), conn.server(), conn.child
	server.FramesOut += size
	c.send(server, &child.machine, size, func() {
		if !conn.closed {
			c.handle(child, controlplane.SnapshotReceived{From: server.name, Frame: frame})
		}
	})
}

// connections returns all open connections, each once, in a fixed order.
func (c *Cluster) connections() (open []*connection) {
	seen := map[*connection]bool{}
	add := func(conn *connection) {
		if conn != nil && !conn.closed && !seen[conn] {
			seen[conn] = true
			open = append(open, conn)
		}
	}
	addSubscribers := func(m *machine) {
		for _, i := range slices.Sorted(maps.Keys(m.subscribers)) {
			add(m.subscribers[i])
		}
	}
	for _, m := range c.Members {
		add(m.upstream)
		addSubscribers(&m.machine)
	}
	for _, o := range c.Origins {
		addSubscribers(&o.machine)
	}
	return open
}

// close closes a connection at both ends. A child that loses its upstream this way selects another one.
func (c *Cluster) close(conn *connection) {
	if conn.closed {
		return
	}
	conn.closed = true
	m, server := conn.child, conn.server()
	if server.subscribers[m.index] == conn {
		delete(server.subscribers, m.index)
		if conn.origin != nil {
			c.handleOrigin(conn.origin, origin.SubscriberDisconnected{From: m.name})
		} else {
			c.handle(conn.member, controlplane.SubscriberDisconnected{From: m.name})
		}
	}
	if m.upstream == conn {
		m.upstream = nil
		c.handle(m, controlplane.UpstreamLost{From: server.name})
		c.upstreamLost(m, conn)
	}
}

// upstreamLost makes a member select another upstream. The loss of one origin is not reported to the selector as a
// failure: the origins count as one source, and the member tries the other ones first.
func (c *Cluster) upstreamLost(m *Member, conn *connection) {
	if !m.up {
		return
	}
	if conn.origin == nil {
		m.selector.ReportFailure(c.Now, m.selection)
	}
	m.failedOrigins = 0
	c.selectUpstream(m)
}

// checkConnections runs once per heartbeat interval. It updates the membership views, confirms connections whose ends
// can reach each other, closes the silent ones, and checks each member (checkMember).
func (c *Cluster) checkConnections() {
	c.updateViews()
	for _, conn := range c.connections() {
		c.checkConnection(conn)
	}
	for _, m := range c.Members {
		if m.up && !m.frozen {
			c.checkMember(m)
		}
	}
	c.After(c.config.HeartbeatInterval, c.checkConnections)
}

// checkConnection confirms a connection to the child. It closes the connection if it is stale, if the child has another
// upstream, or if it has been silent for too long.
func (c *Cluster) checkConnection(conn *connection) {
	child, server := conn.child, conn.server()
	switch {
	case conn.isStale():
		c.close(conn)
	case c.reachable(&child.machine, server) && c.reachable(server, &child.machine):
		conn.silentSince = 0
		if child.upstream == conn {
			c.handle(child, controlplane.UpstreamConfirmed{From: server.name})
		} else if child.upstream != nil {
			c.close(conn) // the child has another upstream by now
		}
	case conn.silentSince == 0:
		conn.silentSince = c.Now
	case c.Now-conn.silentSince >= c.config.ConnectionTimeout-c.config.HeartbeatInterval:
		c.close(conn)
	}
}

// checkMember catches up on the actions that a member missed while it was frozen, and closes its connection if its
// selector wants to switch to another upstream.
func (c *Cluster) checkMember(m *Member) {
	if m.upstream == nil && m.selectionPending {
		c.selectUpstream(m)
	}
	if m.upstream != nil && m.selector.ShouldSwitch(c.Now, m.selection) {
		c.close(m.upstream)
	}
	if m.tickAt <= c.Now {
		c.handle(m, controlplane.Tick{})
	}
}
