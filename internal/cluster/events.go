package cluster

import "time"

// Receive handles a message from another member.
func (c *Core) Receive(now time.Duration, msg *Message) []Action {
	c.beginEvent(now)
	c.receive(msg)
	return c.endEvent()
}

// Tick does the periodic work that is due. It should be called at the time that NextTick
// returns.
func (c *Core) Tick(now time.Duration) []Action {
	c.beginEvent(now)
	return c.endEvent()
}

// Announce gossips a notice that an endpoint is draining or was removed. The caller has
// learned this from discovery. Announce sets ReportedBy and Age of the gossiped notice.
func (c *Core) Announce(now time.Duration, n EndpointNotice) []Action {
	c.beginEvent(now)
	n.ReportedBy = c.self.Name
	n.Age = 0
	c.mergeNotice(n)
	return c.endEvent()
}

// SetConfiguredSize replaces the configured number of members that was passed to New.
func (c *Core) SetConfiguredSize(now time.Duration, configuredSize int) []Action {
	c.beginEvent(now)
	c.size.setConfigured(configuredSize)
	return c.endEvent()
}

// GossipNow immediately sends a gossip message to up to GossipFanout live members. The
// caller uses it after its revision of the configuration has changed, because gossip
// messages carry the revision. After Leave, GossipNow sends nothing.
func (c *Core) GossipNow(now time.Duration) []Action {
	c.beginEvent(now)
	if !c.leaving {
		c.gossipTo(c.cfg.GossipFanout)
	}
	return c.endEvent()
}

// leaveFanoutMult is the number of members to which Leave sends the announcement, as a
// multiple of GossipFanout. The announcement is sent only once, so it goes to more members
// than other gossip. A higher value tolerates more message loss, and sends more messages.
const leaveFanoutMult = 2

// Leave announces to a few members that this one leaves the cluster. These members gossip
// the announcement to the others.
func (c *Core) Leave(now time.Duration) []Action {
	c.beginEvent(now)
	if !c.leaving {
		c.leaving = true
		c.self.State = Left
		c.gossipTo(leaveFanoutMult * c.cfg.GossipFanout)
	}
	return c.endEvent()
}

// gossipTo sends a gossip message to up to n random live members, even if no broadcast is
// queued.
func (c *Core) gossipTo(n int) {
	for _, p := range c.randomLivePeers(n, nil) {
		c.send(p.Addr, &Message{Kind: Gossip})
	}
}

// NextTick returns the time at which Tick should be called next.
func (c *Core) NextTick() time.Duration {
	next := min(c.due.gossip, c.due.probe, c.due.pushPull, c.due.reconnect, c.due.sweep)
	if !c.joined {
		next = min(next, c.due.join)
	}
	if c.probe.active {
		next = min(next, c.probe.nextDeadline())
	}
	if len(c.relayedProbes) > 0 {
		next = min(next, c.relayedProbes[0].deadline)
	}
	if timeout, ok := c.suspicions.nextTimeout(); ok {
		next = min(next, timeout)
	}
	return next
}

// beginEvent sets the time of the event. A time that is later than NextTick by more than
// ProbeTimeout shows that the process was stalled, and beginEvent then calls
// compensateStall, unless Lifeguard is disabled.
func (c *Core) beginEvent(now time.Duration) {
	now = max(now, c.now)
	if delay := now - c.NextTick(); delay > c.cfg.ProbeTimeout && !c.cfg.DisableLifeguard {
		c.compensateStall(delay)
	}
	c.now = now
	c.pushPullTokens = min(pushPullRate, c.pushPullTokens+(now-c.tokensUpdatedAt).Seconds()*pushPullRate)
	c.tokensUpdatedAt = now
}

// compensateStall discards the probe in progress and the relayed probes, and extends all
// suspicions by delay, the time for which this process was stalled and could not receive
// answers. This prevents a process that resumes after a SIGSTOP, or did not get a
// processor, from suspecting healthy peers. The symptom would be that one member
// declares many members dead at the same moment.
func (c *Core) compensateStall(delay time.Duration) {
	c.stats.Stalls++
	c.stats.LastStallNS = int64(delay)
	c.adjustHealth(1)
	c.probe.active = false
	c.suspicions.postpone(delay)
	c.relayedProbes = nil
	c.due.probe = c.now + delay + time.Duration(c.random.Int64N(int64(c.cfg.ProbeInterval)))
}

// endEvent does the work that is due and returns the actions of the event.
func (c *Core) endEvent() []Action {
	c.runDue()
	if size, changed := c.size.update(c); changed {
		c.actions = append(c.actions, Action{Kind: SizeChanged, EstimatedSize: size})
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// runDue does the work that is due by now.
func (c *Core) runDue() {
	c.expireRelayedProbes()
	c.runProbe()
	c.expireSuspicions()
	if !c.joined && c.now >= c.due.join {
		c.join()
	}
	if c.now >= c.due.gossip {
		c.due.gossip = c.now + c.cfg.GossipInterval
		c.gossip()
	}
	if c.now >= c.due.pushPull {
		c.due.pushPull = c.now + c.jitter(c.cfg.PushPullInterval)
		c.pushPullWithRandomPeer()
	}
	if c.now >= c.due.reconnect {
		c.due.reconnect = c.now + c.jitter(c.cfg.ReconnectInterval)
		c.reconnect()
	}
	if c.now >= c.due.sweep {
		c.due.sweep = c.now + c.sweepInterval()
		c.removeExpiredPeers()
		c.removeExpiredNotices()
	}
}

// send sends msg in a datagram. It sets the header and, for the kinds that carry queued
// broadcasts, appends these.
func (c *Core) send(to Address, msg *Message) {
	c.setHeader(msg)
	switch msg.Kind {
	case Ping, Ack, PingReq, Gossip:
		c.piggyback(msg)
	}
	c.actions = append(c.actions, Action{Kind: SendMessage, To: to, Message: msg})
}

// sendStream sets the header of msg and sends it in a stream of its own.
func (c *Core) sendStream(to Address, msg *Message) {
	c.setHeader(msg)
	c.actions = append(c.actions, Action{Kind: SendMessage, To: to, Message: msg, Stream: true})
}

func (c *Core) setHeader(msg *Message) {
	msg.ClusterName = c.cfg.ClusterName
	msg.From = c.self
}

// reportTransition emits a MemberChanged action for a change from a former state to the
// peer's current state.
func (c *Core) reportTransition(p *peer, from State, reason string) {
	c.actions = append(c.actions, Action{Kind: MemberChanged, Transition: &Transition{
		Name:        p.Name,
		Incarnation: p.Incarnation,
		From:        from,
		To:          p.State,
		Reason:      reason,
	}})
}
