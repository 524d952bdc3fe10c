package cluster

import (
	"cmp"
	"time"
)

// notLive is the value of peer.liveIndex for a peer that is dead or has left.
const notLive = -1

// peer is another member.
type peer struct {
	Entry
	since       time.Duration // time at which the peer entered its state
	departedAt  time.Duration // time at which the peer died or left, as far as known; set for Dead and Left
	heardFrom   bool          // whether a message of the peer's current process has arrived
	suspicion   *suspicion    // nil if the peer is not suspected
	liveIndex   int           // index in Core.livePeers, or notLive
	countedDead bool          // whether the peer is dead and still counts for the estimated size
}

func comparePeerNames(a, b *peer) int { return cmp.Compare(a.Name, b.Name) }

// entryOf returns the entry about a peer for a message, with its current age.
func (c *Core) entryOf(p *peer) Entry {
	e := p.Entry
	if e.State >= Dead {
		e.Age = c.now - p.departedAt
	}
	return e
}

// addLive adds a peer to livePeers, and inserts it at a random place into the rest of the
// current round of probes.
func (c *Core) addLive(p *peer) {
	c.size.uncountDead(p)
	if p.liveIndex != notLive {
		return
	}
	p.liveIndex = len(c.livePeers)
	c.livePeers = append(c.livePeers, p)
	at := c.probeIndex + c.random.IntN(len(c.probeOrder)-c.probeIndex+1)
	c.probeOrder = append(c.probeOrder, nil)
	copy(c.probeOrder[at+1:], c.probeOrder[at:])
	c.probeOrder[at] = p
}

// removeLive removes a peer from livePeers. The peer stays in probeOrder, and
// nextProbeTarget skips it.
func (c *Core) removeLive(p *peer) {
	if p.liveIndex == notLive {
		return
	}
	last := c.livePeers[len(c.livePeers)-1]
	c.livePeers[p.liveIndex] = last
	last.liveIndex = p.liveIndex
	c.livePeers = c.livePeers[:len(c.livePeers)-1]
	p.liveIndex = notLive
}

// removePeer removes a peer from the table. The address of a dead peer is remembered, and
// reconnect still probes it.
func (c *Core) removePeer(p *peer) {
	c.size.uncountDead(p)
	c.toggleInDigest(p)
	c.cancelSuspicion(p)
	c.removeLive(p)
	delete(c.peers, p.Name)
	if p.State == Dead {
		c.rememberAddress(p.Addr)
	}
}

// evictPeer removes a peer from the full table to make room for a new member, and reports
// whether it removed a peer. It removes the peer that died or left first. If all peers are
// live and direct is set, it removes a peer that has sent no message; direct means that the
// new member has sent a message itself. This prevents a faulty peer from filling the table
// with invented names and keeping out all other members.
func (c *Core) evictPeer(direct bool) bool {
	victim := c.earliestDeparted()
	if victim == nil && direct {
		victim = c.firstNeverHeardFrom()
	}
	if victim == nil {
		return false
	}
	c.reportTransition(victim, victim.State, ReasonTableFull)
	c.removePeer(victim)
	return true
}

// earliestDeparted returns the peer that died or left first, or nil if all peers are live.
func (c *Core) earliestDeparted() (oldest *peer) {
	for _, p := range c.peers {
		if p.State >= Dead && (oldest == nil || p.departedBefore(oldest)) {
			oldest = p
		}
	}
	return oldest
}

// departedBefore reports whether p died or left before other. Peers with equal times are
// ordered by name.
func (p *peer) departedBefore(other *peer) bool {
	return p.departedAt < other.departedAt || p.departedAt == other.departedAt && p.Name < other.Name
}

// firstNeverHeardFrom returns the first peer by name among the peers that have sent no
// message, or nil if there is none.
func (c *Core) firstNeverHeardFrom() (first *peer) {
	for _, p := range c.peers {
		if !p.heardFrom && (first == nil || p.Name < first.Name) {
			first = p
		}
	}
	return first
}
