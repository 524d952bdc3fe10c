package cluster

import (
	"slices"
	"time"
)

// probe is the one that is on.
type probe struct {
	on      bool
	seq     uint64
	of      *member
	version Incarnation
	direct  time.Duration // the direct time-out; 0: the others were asked
	until   time.Duration
	helpers int
	nacks   int
}

func (p *probe) next() time.Duration {
	if p.direct > 0 {
		return p.direct
	}
	return p.until
}

// relay is a probe for somebody else.
type relay struct {
	seq    uint64 // of the own Ping
	theirs uint64
	to     Address
	target string
	until  time.Duration // then a Nack is sent
}

// runProbe ends the probe that is on when its time is over, and begins the next one when it is due.
func (m *Core) runProbe() {
	now := m.now
	if p := &m.probe; p.on && p.direct > 0 && now >= p.direct {
		p.direct = 0
		m.askOthers()
	}
	if m.probe.on && now >= m.probe.until {
		m.failed()
	}
	if now < m.due.probe {
		return
	}
	m.due.probe = now + m.slowed(m.cfg.ProbeInterval)
	if x := m.nextTarget(); x != nil && !m.probe.on {
		m.begun(x)
	}
}

// nextTarget is the next one of the round; a round ends with a new order.
func (m *Core) nextTarget() *member {
	for range 2 {
		for m.turn < len(m.round) {
			x := m.round[m.turn]
			m.turn++
			if x.live >= 0 {
				return x
			}
		}
		m.round = append(m.round[:0], m.live...)
		m.rng.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
		m.turn = 0
	}
	return nil
}

func (m *Core) begun(x *member) {
	m.seq++
	m.probe = probe{on: true, seq: m.seq, of: x, version: x.Incarnation, direct: m.now + m.slowed(m.cfg.ProbeTimeout), until: m.now + m.slowed(m.cfg.ProbeInterval)}
	msg := &Message{Kind: Ping, Seq: m.seq, Target: x.Name}
	if x.State == Suspect { // it learns of it from the probe itself, and refutes with the answer
		msg.Entries = []Entry{m.entry(x)}
	}
	m.send(x.Addr, msg)
}

// askOthers has some others try what was not answered in time.
func (m *Core) askOthers() {
	p := &m.probe
	for _, x := range m.pick(m.cfg.IndirectChecks, func(x *member) bool { return x == p.of || x.State != Alive }) {
		p.helpers++
		m.send(x.Addr, &Message{Kind: PingReq, Seq: p.seq, Target: p.of.Name, TargetAddr: p.of.Addr})
	}
}

// failed is that neither the probed member nor a helper brought an answer. Helpers of whom nothing came at all are a sign
// against this member itself.
func (m *Core) failed() {
	p := m.probe
	m.probe.on = false
	switch {
	case p.helpers == 0:
		m.unwell(1)
	case p.nacks < p.helpers:
		m.unwell(p.helpers - p.nacks)
	}
	if x := p.of; m.members[x.Name] == x && x.live >= 0 && x.Incarnation == p.version {
		if x.State == Alive {
			m.suspect(x, m.me.Name, "no answer")
			m.stats.Suspicions++
		} else {
			m.confirm(x, m.me.Name)
		}
	}
}

// acked ends the probe, or passes the answer on to who asked for it.
func (m *Core) acked(msg *Message) {
	if p := &m.probe; p.on && msg.Seq == p.seq {
		if msg.Target == p.of.Name {
			p.on = false
			m.unwell(-1)
		}
		return
	}
	for i, r := range m.relays {
		if r.seq == msg.Seq {
			if r.target == msg.Target && msg.From.Name == r.target {
				m.relays = slices.Delete(m.relays, i, i+1)
				m.send(r.to, &Message{Kind: Ack, Seq: r.theirs, Target: r.target})
			}
			return
		}
	}
}

// relay tries for another one.
func (m *Core) relay(msg *Message) {
	if len(m.relays) >= mostRelays || msg.Target == "" || !msg.TargetAddr.IsValid() || m.cfg.AllowAddress != nil && !m.cfg.AllowAddress(msg.TargetAddr) {
		m.stats.Rejected++
		return
	}
	m.seq++
	m.relays = append(m.relays, relay{m.seq, msg.Seq, msg.From.Addr, msg.Target, m.now + m.cfg.ProbeTimeout*4/5})
	m.send(msg.TargetAddr, &Message{Kind: Ping, Seq: m.seq, Target: msg.Target})
}

func (m *Core) expireRelays() {
	for len(m.relays) > 0 && m.now >= m.relays[0].until {
		r := m.relays[0]
		m.relays = m.relays[1:]
		if !m.cfg.DisableLifeguard {
			m.send(r.to, &Message{Kind: Nack, Seq: r.theirs, Target: r.target})
		}
	}
}
