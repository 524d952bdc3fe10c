package simulator

import (
	"slices"
	"time"
)

// connections are the connections of an instance to one node.
type connections struct {
	open int
	idle []connection // idle connections, in order of idle time, the longest first
	// shared is the connection that new attempts use if attempts are multiplexed: the one that was opened last.
	shared connection
}

// connection is a connection to one process of a node. The field incarnation identifies the process.
type connection struct {
	incarnation         int
	openedAt, idleSince time.Duration
}

// openConnection counts a new connection to a node.
func (i *instance) openConnection(n *node) {
	i.connections[n.index].open++
	n.connections++
	n.maxConnections = max(n.maxConnections, n.connections)
	i.sim.metrics.handshakes++
	n.connectionsOpened = n.connectionsOpened.add(i.sim.now)
}

// closeConnection closes one connection to a node. If attempts are multiplexed, it closes all connections to the node.
func (i *instance) closeConnection(n *node) {
	c := &i.connections[n.index]
	if i.sim.config.Network.Multiplexed {
		n.connections -= c.open
		c.open, c.shared = 0, connection{}
		return
	}
	c.open--
	n.connections--
}

// takeIdle gives an attempt the shared connection or the idle connection that was used last. It returns false if the
// attempt needs a new connection.
func (i *instance) takeIdle(n *node, a *attempt) bool {
	c := &i.connections[n.index]
	if i.sim.config.Network.Multiplexed && c.open > 0 && c.shared.openedAt > 0 {
		a.conn = c.shared
		return true
	}
	if last := len(c.idle) - 1; last >= 0 && !n.dead {
		a.conn, c.idle = c.idle[last], c.idle[:last]
		return true
	}
	return false
}

// putIdle returns an attempt's connection to the idle connections, for use by a later attempt.
func (i *instance) putIdle(a *attempt) {
	n := a.node
	if i.sim.config.Network.Multiplexed {
		return
	}
	c := &i.connections[n.index]
	a.conn.idleSince = i.sim.now
	c.idle = append(c.idle, a.conn)
	if len(c.idle) == 1 {
		i.sim.after(i.sim.config.Network.IdleTimeout, func() { i.closeExpired(n) })
	}
}

// closeExpired closes all connections to a node that have been idle for IdleTimeout. If others are idle, it schedules
// itself for the time at which the next of them expires.
func (i *instance) closeExpired(n *node) {
	c := &i.connections[n.index]
	timeout := i.sim.config.Network.IdleTimeout
	for len(c.idle) > 0 && i.sim.now-c.idle[0].idleSince >= timeout {
		c.idle = slices.Delete(c.idle, 0, 1)
		i.closeConnection(n)
	}
	if len(c.idle) > 0 {
		i.sim.at(c.idle[0].idleSince+timeout, func() { i.closeExpired(n) })
	}
}

// closeIdleConnections closes all idle connections to a node whose process has ended. Connections in use are closed
// when their attempts fail.
func (sim *simulation) closeIdleConnections(n *node) {
	for _, i := range sim.instances {
		i.closeIdle(n)
	}
}

// closeIdle closes all idle connections of an instance to a node.
func (i *instance) closeIdle(n *node) {
	for range i.connections[n.index].idle {
		i.closeConnection(n)
	}
	i.connections[n.index].idle = nil
}
