package cluster

import (
	"slices"
	"time"
)

const (
	// maxRelayedProbes limits the indirect probes that this member runs at a time for
	// others; further requests are not answered. A higher value serves more requests at
	// once, and takes more memory.
	maxRelayedProbes = 256
	// relayedProbePercent is the timeout of a relayed probe, in percent of
	// Config.ProbeTimeout. It is below 100, so that a nack arrives before the deadline of
	// the requester. A higher value tolerates slower targets, and more nacks arrive too
	// late.
	relayedProbePercent = 80
)

// relayedProbe is an indirect probe that this member runs on behalf of another one.
type relayedProbe struct {
	seq          uint64 // sequence number of this member's ping
	requesterSeq uint64 // sequence number of the requester's probe
	requester    Address
	target       string
	deadline     time.Duration // time at which a nack is sent
}

// relayProbe probes a target on behalf of the sender of a PingReq.
func (c *Core) relayProbe(msg *Message) {
	if len(c.relayedProbes) >= maxRelayedProbes || msg.Target == "" || !c.isProbeAddress(msg.TargetAddr) {
		c.stats.Rejected++
		return
	}
	c.lastSeq++
	c.relayedProbes = append(c.relayedProbes, relayedProbe{
		seq:          c.lastSeq,
		requesterSeq: msg.Seq,
		requester:    msg.From.Addr,
		target:       msg.Target,
		deadline:     c.now + c.cfg.ProbeTimeout*relayedProbePercent/percent,
	})
	c.send(msg.TargetAddr, &Message{Kind: Ping, Seq: c.lastSeq, Target: msg.Target})
}

func (c *Core) isProbeAddress(addr Address) bool {
	return addr.IsValid() && (c.cfg.AllowAddress == nil || c.cfg.AllowAddress(addr))
}

// relayAck sends the acknowledgement of a relayed probe to the member that requested it.
func (c *Core) relayAck(msg *Message) {
	for i, r := range c.relayedProbes {
		if r.seq != msg.Seq {
			continue
		}
		if r.target == msg.Target && msg.From.Name == r.target {
			c.relayedProbes = slices.Delete(c.relayedProbes, i, i+1)
			c.send(r.requester, &Message{Kind: Ack, Seq: r.requesterSeq, Target: r.target})
		}
		return
	}
}

// expireRelayedProbes ends the relayed probes that were not answered in time and, unless
// Lifeguard is disabled, sends nacks for them.
func (c *Core) expireRelayedProbes() {
	for len(c.relayedProbes) > 0 && c.now >= c.relayedProbes[0].deadline {
		r := c.relayedProbes[0]
		c.relayedProbes = c.relayedProbes[1:]
		if !c.cfg.DisableLifeguard {
			c.send(r.requester, &Message{Kind: Nack, Seq: r.requesterSeq, Target: r.target})
		}
	}
}
