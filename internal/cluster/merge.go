package cluster

import "time"

// mergeEntry merges an entry into the view. direct is set for the sender's own entry in
// a message's header.
//
// An entry about a newer process replaces the known entry. An entry about an older process
// is ignored. updatePeer handles an entry about the same process. This prevents an old
// update that arrives late from reviving a member that has left.
func (c *Core) mergeEntry(e Entry, direct bool) {
	if !c.isValidEntry(&e) {
		c.stats.Rejected++
		return
	}
	if e.Name == c.self.Name {
		c.mergeOwnEntry(e)
		return
	}
	p := c.peers[e.Name]
	switch {
	case p == nil:
		p = c.addPeer(e, direct)
		if p == nil {
			return
		}
	case p.SameProcess(e.Incarnation):
		c.updatePeer(p, e)
	case e.Compare(p.Incarnation) < 0:
		// The entry is about an older process, or about a new process with a lower ID. A new process takes the
		// next generation when it receives the known entry (see contradictions).
		return
	default:
		c.replaceProcess(p, e)
	}
	if direct {
		p.heardFrom = true
	}
}

// addPeer adds an unknown member to the table. A member that is dead or has left is neither
// reported nor gossiped, but a dead one is probed by reconnect and counts for the estimated
// size. addPeer returns nil if the table is full and evictPeer removes no peer, or if the
// member died or left at least DeadMemberTTL ago.
func (c *Core) addPeer(e Entry, direct bool) *peer {
	if e.State >= Dead && e.Age >= c.cfg.DeadMemberTTL {
		return nil
	}
	if len(c.peers)+1 >= c.cfg.MaxMembers && !c.evictPeer(direct) {
		c.stats.Rejected++
		c.stats.TableFull++
		return nil
	}
	p := &peer{Entry: e, since: c.now, liveIndex: notLive}
	p.Age = 0
	c.peers[e.Name] = p
	switch e.State {
	case Dead, Left:
		p.departedAt = c.now - e.Age
		c.size.countDead(p)
	case Suspect:
		p.State = Alive
		p.ReportedBy = ""
		c.addLive(p)
		c.suspect(p, e.ReportedBy, reportedBy(e.ReportedBy))
	default:
		c.addLive(p)
		c.reportTransition(p, Unknown, ReasonJoined)
		c.broadcasts.add(memberBroadcast(p.Name))
	}
	c.toggleInDigest(p)
	return p
}

// replaceProcess replaces a peer's process by a newer one with the same name. All state
// of the former process is discarded.
func (c *Core) replaceProcess(p *peer, e Entry) {
	formerState := p.State
	c.toggleInDigest(p)
	c.cancelSuspicion(p)
	c.size.uncountDead(p)
	p.Entry = e
	p.Age = 0
	p.ReportedBy = ""
	p.since = c.now
	p.heardFrom = false
	switch e.State {
	case Dead, Left:
		c.removeLive(p)
		p.departedAt = c.now - e.Age
		p.ReportedBy = e.ReportedBy
		c.size.countDead(p)
	case Suspect:
		p.State = Alive
		c.addLive(p)
	default:
		c.addLive(p)
	}
	c.reportTransition(p, formerState, ReasonRestarted)
	c.broadcasts.add(memberBroadcast(p.Name))
	c.toggleInDigest(p)
	if e.State == Suspect {
		c.suspect(p, e.ReportedBy, reportedBy(e.ReportedBy))
	}
}

// updatePeer merges an entry about the known process of a peer.
func (c *Core) updatePeer(p *peer, e Entry) {
	if p.State == Left {
		return // Left is the final state of a process.
	}
	switch e.State {
	case Alive:
		c.updateAlive(p, e)
	case Suspect:
		c.updateSuspect(p, e)
	case Dead:
		c.updateDead(p, e)
	case Left:
		c.size.uncountDead(p)
		c.setState(p, stateChange{state: Left, refutations: e.Refutations, age: e.Age, reason: ReasonLeft})
	}
}

// updateAlive merges an entry that reports the peer alive. A higher refutation counter
// refutes a suspicion or a death.
func (c *Core) updateAlive(p *peer, e Entry) {
	if e.Refutations <= p.Refutations {
		return
	}
	formerState := p.State
	p.Addr = e.Addr
	c.setState(p, stateChange{state: Alive, refutations: e.Refutations, reason: ReasonRefuted})
	if formerState == Dead {
		c.pushPullAfterReconnect(p)
	}
}

// updateSuspect merges an entry that reports the peer suspect.
func (c *Core) updateSuspect(p *peer, e Entry) {
	switch {
	case e.Refutations < p.Refutations || p.State == Dead && e.Refutations == p.Refutations:
		// The entry is outdated.
	case p.State == Suspect && e.Refutations == p.Refutations:
		c.confirm(p, e.ReportedBy)
	default:
		c.cancelSuspicion(p)
		c.suspectInIncarnation(p, e, reportedBy(e.ReportedBy))
	}
}

// updateDead merges an entry that reports the peer dead. A peer that is alive in this
// member's view is only suspected, because a partition may separate the peer from the
// reporting member alone, and the peer can refute a suspicion. Otherwise a member that was
// cut off and declared all others dead would remove them from all views once it
// reconnects.
func (c *Core) updateDead(p *peer, e Entry) {
	switch {
	case e.Refutations < p.Refutations || p.State == Dead:
		// The entry is outdated, or the death is known already.
	case p.State == Suspect:
		c.setState(p, stateChange{
			state:       Dead,
			refutations: e.Refutations,
			age:         e.Age,
			reportedBy:  e.ReportedBy,
			reason:      reportedBy(e.ReportedBy),
		})
	default:
		c.suspectInIncarnation(p, e, reportedDeadBy(e.ReportedBy))
	}
}

// suspectInIncarnation sets a peer's refutation counter to the one in e and starts a suspicion.
func (c *Core) suspectInIncarnation(p *peer, e Entry, reason string) {
	c.toggleInDigest(p)
	p.Refutations = e.Refutations
	c.suspect(p, e.ReportedBy, reason)
	c.toggleInDigest(p)
}

// stateChange describes a change of a peer's state without a change of its process.
type stateChange struct {
	state       State
	refutations uint64
	age         time.Duration // time since the peer died or left; set for Dead and Left
	reportedBy  string
	reason      string
}

// setState changes a peer's state, and reports and gossips the change.
func (c *Core) setState(p *peer, change stateChange) {
	formerState := p.State
	c.toggleInDigest(p)
	c.cancelSuspicion(p)
	p.State = change.state
	p.Refutations = change.refutations
	p.ReportedBy = change.reportedBy
	if formerState != change.state {
		p.since = c.now
	}
	if change.state >= Dead {
		p.departedAt = c.now - change.age
		c.removeLive(p)
		c.size.countDead(p)
	} else {
		c.addLive(p)
	}
	c.toggleInDigest(p)
	c.reportTransition(p, formerState, change.reason)
	c.broadcasts.add(memberBroadcast(p.Name))
}
