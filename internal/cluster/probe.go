package cluster

import "time"

// probe is the probe in progress or, if active is false, the latest one.
type probe struct {
	active         bool
	seq            uint64
	target         *peer
	incarnation    Incarnation   // incarnation of the target at the start of the probe
	directDeadline time.Duration // deadline of the direct probe; 0 after it has passed
	deadline       time.Duration // deadline of the direct and indirect probes
	helpers        int           // number of members asked for an indirect probe
	nacks          int           // number of nacks received from helpers
}

func (p *probe) nextDeadline() time.Duration {
	if p.directDeadline > 0 {
		return p.directDeadline
	}
	return p.deadline
}

// runProbe does the steps of probing that are due: it requests indirect probes after the
// deadline of the direct probe, ends the probe in progress after the deadline of the direct
// and indirect probes, and starts the next probe.
func (c *Core) runProbe() {
	if p := &c.probe; p.active && p.directDeadline > 0 && c.now >= p.directDeadline {
		p.directDeadline = 0
		c.requestIndirectProbes()
	}
	if c.probe.active && c.now >= c.probe.deadline {
		c.failProbe()
	}
	if c.now < c.due.probe {
		return
	}
	c.due.probe = c.now + c.scaleByHealth(c.cfg.ProbeInterval)
	if target := c.nextProbeTarget(); target != nil && !c.probe.active {
		c.startProbe(target)
	}
}

// nextProbeTarget returns the next live peer of the current round of probes, or nil if no
// peer is live. Each round has a new random order.
func (c *Core) nextProbeTarget() *peer {
	for range 2 {
		for c.probeIndex < len(c.probeOrder) {
			p := c.probeOrder[c.probeIndex]
			c.probeIndex++
			if p.liveIndex != notLive {
				return p
			}
		}
		c.probeOrder = append(c.probeOrder[:0], c.livePeers...)
		c.random.Shuffle(len(c.probeOrder), func(i, j int) {
			c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i]
		})
		c.probeIndex = 0
	}
	return nil
}

// startProbe sends a direct probe. The probe of a suspect carries the suspicion, so that
// the suspect can refute it in its acknowledgement (Lifeguard's buddy system).
func (c *Core) startProbe(target *peer) {
	c.lastSeq++
	c.probe = probe{
		active:         true,
		seq:            c.lastSeq,
		target:         target,
		incarnation:    target.Incarnation,
		directDeadline: c.now + c.scaleByHealth(c.cfg.ProbeTimeout),
		deadline:       c.now + c.scaleByHealth(c.cfg.ProbeInterval),
	}
	msg := &Message{Kind: Ping, Seq: c.lastSeq, Target: target.Name}
	if target.State == Suspect {
		msg.Entries = []Entry{c.entryOf(target)}
	}
	c.send(target.Addr, msg)
}

// requestIndirectProbes asks other members to probe the target, which did not answer the
// direct probe in time.
func (c *Core) requestIndirectProbes() {
	target := c.probe.target
	helpers := c.randomLivePeers(c.cfg.IndirectChecks, func(p *peer) bool {
		return p == target || p.State != Alive
	})
	for _, helper := range helpers {
		c.probe.helpers++
		c.send(helper.Addr, &Message{
			Kind:       PingReq,
			Seq:        c.probe.seq,
			Target:     target.Name,
			TargetAddr: target.Addr,
		})
	}
}

// failProbe ends a probe that was not acknowledged.
//
// The target is suspected if no acknowledgement has arrived, either directly or through a
// helper, within ProbeInterval times 1 + the health score, and if the target is still live
// and no newer incarnation of it is known. If the target is suspected already, the failed
// probe confirms the suspicion. A helper that sent no nack either is evidence that this
// member itself is slow or cut off, so the health score rises by 1 for each missing nack. If
// there was no helper, the score rises by 1.
func (c *Core) failProbe() {
	failed := c.probe
	c.probe.active = false
	switch {
	case failed.helpers == 0:
		c.adjustHealth(1)
	case failed.nacks < failed.helpers:
		c.adjustHealth(failed.helpers - failed.nacks)
	}
	target := failed.target
	isCurrent := c.peers[target.Name] == target && target.liveIndex != notLive &&
		target.Incarnation == failed.incarnation
	if !isCurrent {
		return
	}
	if target.State == Alive {
		c.suspect(target, c.self.Name, ReasonProbeFailed)
		c.stats.Suspicions++
	} else {
		c.confirm(target, c.self.Name)
	}
}

// receiveAck completes the probe in progress, or relays the acknowledgement of a relayed
// probe.
func (c *Core) receiveAck(msg *Message) {
	if p := &c.probe; p.active && msg.Seq == p.seq {
		if msg.Target == p.target.Name {
			p.active = false
			c.adjustHealth(-1)
		}
		return
	}
	c.relayAck(msg)
}
