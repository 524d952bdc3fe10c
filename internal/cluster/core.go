package cluster

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// member is another one.
type member struct {
	Entry
	since  time.Duration // when State began
	diedAt time.Duration // Dead, Left: as far as is known
	heard  bool          // it spoke to this member itself
	doubt  *suspicion
	live   int  // its place in Core.live; -1: it is not there
	budget bool // Dead: it is counted still
}

// Core is one member's view. Handle is its only way in.
type Core struct {
	cfg  Config
	rng  *rand.Rand
	me   Entry
	now  time.Duration
	out  []Action
	left bool // this member leaves

	members   map[string]*member
	live      []*member // alive or suspect
	round     []*member // order of probes, shuffled
	turn      int
	digest    [buckets]uint64
	doubts    doubtHeap
	spread    spread
	words     map[string]*word
	forgotten []Address
	relays    []relay
	health    int
	probe     probe
	counter   counter

	due       struct{ probe, gossip, sync, retry, join, sweep time.Duration }
	joinPause time.Duration
	joined    bool
	syncSoon  time.Duration // no other sync of its own choice before
	syncBusy  time.Duration // no other one for the sake of much news before
	tokens    float64       // syncs that may be answered
	refilled  time.Duration
	conflicts []time.Duration // when another process of its name made it take the next life
	seq       uint64
	stats     Stats
}

// New makes a Core that starts at now. told is how many sidecars the setting says there are.
func New(c Config, now time.Duration, told int) (*Core, error) {
	c.fill()
	switch {
	case c.Name == "" || len(c.Name) > MaxNameLength:
		return nil, fmt.Errorf("fleet: a name of 1 to %d bytes is wanted", MaxNameLength)
	case len(c.ClusterName) > MaxClusterNameLength:
		return nil, fmt.Errorf("fleet: a fleet's name has at most %d bytes", MaxClusterNameLength)
	case !c.AdvertiseAddr.IsValid():
		return nil, errors.New("fleet: an address of its own is wanted")
	case c.ProbeTimeout >= c.ProbeInterval:
		return nil, fmt.Errorf("fleet: the time-out of a probe, %v, is not below the interval, %v", c.ProbeTimeout, c.ProbeInterval)
	}
	m := &Core{cfg: c, rng: rand.New(rand.NewPCG(c.RandomSeed, c.ProcessID)), now: now, members: map[string]*member{}, words: map[string]*word{}}
	m.me = Entry{Name: c.Name, Addr: c.AdvertiseAddr, Incarnation: Incarnation{Generation: 1, ProcessID: c.ProcessID}}
	m.counter = newCounter(told)
	m.tokens, m.refilled = syncAnswers, now
	m.joinPause = joinFirst
	// Probes of members that start together are spread over their interval.
	m.due.probe = now + time.Duration(m.rng.Int64N(int64(c.ProbeInterval)))
	m.due.gossip = now + time.Duration(m.rng.Int64N(int64(c.GossipInterval)))
	m.due.sync = now + m.spreadOver(c.PushPullInterval)
	m.due.retry = now + m.spreadOver(c.ReconnectInterval)
	m.due.sweep = now + m.sweepEvery()
	m.due.join = now
	return m, nil
}

// spreadOver is d times 0.75 to 1.25 by chance.
func (m *Core) spreadOver(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*m.rng.Float64()))
}

func (m *Core) sweepEvery() time.Duration { return min(m.cfg.NoticeTTL/8, m.cfg.DeadMemberTTL/8) }

// Receive takes a message, Tick the time that Next asked for; Say tells a word of this member's own sources; Leave says
// that this process ends. Each answers with what is to be done. now never goes back; if it does, it is taken for the last.

// Receive takes a message from a peer.
func (m *Core) Receive(now time.Duration, msg *Message) []Action {
	m.begin(now)
	m.receive(msg)
	return m.end()
}

// Tick does what is due.
func (m *Core) Tick(now time.Duration) []Action {
	m.begin(now)
	return m.end()
}

// Say spreads that a server drains or is gone, as this member's own sources tell.
func (m *Core) Announce(now time.Duration, w EndpointNotice) []Action {
	m.begin(now)
	w.ReportedBy, w.Age = m.me.Name, 0
	m.hearWord(w)
	return m.end()
}

// Retell replaces what New was told of the number of sidecars.
func (m *Core) SetConfiguredSize(now time.Duration, told int) []Action {
	m.begin(now)
	m.counter.retell(told)
	return m.end()
}

// Nudge sends some members a message with nothing in it: what goes with every message, the stamp of the configuration, has changed.
func (m *Core) GossipNow(now time.Duration) []Action {
	m.begin(now)
	if !m.left {
		for _, x := range m.pick(m.cfg.GossipFanout, nil) {
			m.send(x.Addr, &Message{Kind: Gossip})
		}
	}
	return m.end()
}

// Leave says that this member ends. It is told to some members at once, and to the rest by them.
func (m *Core) Leave(now time.Duration) []Action {
	m.begin(now)
	if !m.left {
		m.left, m.me.State = true, Left
		for _, x := range m.pick(2*m.cfg.GossipFanout, nil) {
			m.send(x.Addr, &Message{Kind: Gossip})
		}
	}
	return m.end()
}

// Next is when Tick is wanted.
func (m *Core) NextTick() time.Duration {
	at := min(m.due.gossip, m.due.probe, m.due.sync, m.due.retry, m.due.sweep)
	if !m.joined {
		at = min(at, m.due.join)
	}
	if p := &m.probe; p.on {
		at = min(at, p.next())
	}
	if len(m.relays) > 0 {
		at = min(at, m.relays[0].until)
	}
	if d := m.doubts.next(); d >= 0 {
		at = min(at, d)
	}
	return at
}

// begin takes the time, notices that the process stood still, and does what is due by then.
func (m *Core) begin(now time.Duration) {
	now = max(now, m.now)
	if late := now - m.NextTick(); late > m.stallAfter() && !m.cfg.DisableLifeguard {
		m.stood(late)
	}
	m.now = now
	m.tokens = min(syncAnswers, m.tokens+(now-m.refilled).Seconds()*syncAnswers)
	m.refilled = now
}

// stallAfter is how late a Tick may come before this process counts as one that stood still.
func (m *Core) stallAfter() time.Duration { return m.cfg.ProbeTimeout }

// stood voids what was not heard while this process stood still: the silence was its own. Guards against a process that
// wakes after a SIGSTOP, or had no processor, and accuses whom it did not listen to.
func (m *Core) stood(late time.Duration) {
	m.stats.Stalls++
	m.stats.LastStallNS = int64(late)
	m.unwell(1)
	m.probe.on = false
	m.doubts.postpone(late)
	m.relays = nil
	m.due.probe = m.now + late + time.Duration(m.rng.Int64N(int64(m.cfg.ProbeInterval)))
}

func (m *Core) end() []Action {
	m.run()
	if n, changed := m.counter.settle(m.now, m); changed {
		m.out = append(m.out, Action{Kind: SizeChanged, EstimatedSize: n})
	}
	out := m.out
	m.out = nil
	return out
}

// run does what is due.
func (m *Core) run() {
	now := m.now
	m.expireRelays()
	m.runProbe()
	for d := m.doubts.pop(now); d != nil; d = m.doubts.pop(now) {
		m.bury(d)
	}
	if !m.joined && now >= m.due.join {
		m.join()
	}
	if now >= m.due.gossip {
		m.due.gossip = now + m.cfg.GossipInterval
		m.gossip()
	}
	if now >= m.due.sync {
		m.due.sync = now + m.spreadOver(m.cfg.PushPullInterval)
		if x := m.pick(1, nil); len(x) > 0 {
			m.ask(x[0].Addr, false)
		}
	}
	if now >= m.due.retry {
		m.due.retry = now + m.spreadOver(m.cfg.ReconnectInterval)
		m.retry()
	}
	if now >= m.due.sweep {
		m.due.sweep = now + m.sweepEvery()
		m.forget()
		m.dropWords()
	}
}

// send fills in the header and what is new.
func (m *Core) send(to Address, msg *Message) {
	msg.ClusterName, msg.From = m.cfg.ClusterName, m.me
	switch msg.Kind {
	case Ping, Ack, PingReq, Gossip:
		m.load(msg)
	}
	m.out = append(m.out, Action{Kind: Send, To: to, Message: msg})
}

func (m *Core) stream(to Address, msg *Message) {
	msg.ClusterName, msg.From = m.cfg.ClusterName, m.me
	m.out = append(m.out, Action{Kind: Send, To: to, Message: msg, Stream: true})
}

func (m *Core) note(x *member, was State, why string) {
	m.out = append(m.out, Action{Kind: MemberChanged, Transition: &Transition{Name: x.Name, Incarnation: x.Incarnation, From: was, To: x.State, Reason: why}})
}

// receive takes a message in: first its sender, then what it says of others, then what it is.
func (m *Core) receive(msg *Message) {
	from := msg.From
	switch {
	case msg.ClusterName != m.cfg.ClusterName:
		m.stats.ForeignMessages++
		return
	case from.Name == m.me.Name && from.SameProcess(m.me.Incarnation):
		return // itself, by a seed that is its own address
	case msg.Kind >= kinds || !m.valid(&from) || from.State != Alive && from.State != Left:
		m.stats.Rejected++
		return
	}
	if from.Name != m.me.Name { // else another process under this name: what it says of that name is an entry
		m.joined = true
	}
	from.ReportedBy, from.Age = "", 0
	m.hear(from, true)
	for i := range msg.Entries {
		if i >= mostEntries && msg.Kind == Gossip || i >= m.cfg.MaxMembers {
			m.stats.Rejected += len(msg.Entries) - i
			break
		}
		m.hear(msg.Entries[i], false)
	}
	for i := range msg.Notices {
		if i >= mostWords {
			break
		}
		if msg.Notices[i].ReportedBy != m.me.Name {
			m.hearWord(msg.Notices[i])
		}
	}
	if m.left {
		return
	}
	x := m.members[from.Name]
	switch msg.Kind {
	case Ping:
		if msg.Target == m.me.Name || msg.Target == "" {
			m.send(from.Addr, &Message{Kind: Ack, Seq: msg.Seq, Target: m.me.Name, Entries: m.contrary(x, &from)})
		}
	case Ack:
		m.acked(msg)
	case Nack:
		if m.probe.on && msg.Seq == m.probe.seq {
			m.probe.nacks++
		}
	case PingReq:
		m.relay(msg)
	case Gossip:
		// It may not know what is held of it, and nobody else may know it: it is told.
		if list := m.contrary(x, &from); list != nil {
			m.send(from.Addr, &Message{Kind: Gossip, Entries: list})
		}
	case PushPullRequest:
		m.answer(msg)
	case PushPullResponse:
		if msg.BucketMask != 0 {
			m.stream(from.Addr, &Message{Kind: PushPullFinal, Entries: m.inBuckets(msg.BucketMask), Notices: m.allWords()})
		}
	}
}

// contrary is what is held of a sender and contradicts what it says of itself, so that it can refute that, or take the
// next life.
func (m *Core) contrary(x *member, from *Entry) []Entry {
	if from.Name == m.me.Name {
		return []Entry{m.me}
	}
	if x == nil || x.State == Alive && x.SameProcess(from.Incarnation) || from.State == Left {
		return nil
	}
	return []Entry{m.entry(x)}
}

// entry is what is told of a member.
func (m *Core) entry(x *member) Entry {
	e := x.Entry
	if e.State >= Dead {
		e.Age = m.now - x.diedAt
	}
	return e
}

func (m *Core) valid(e *Entry) bool {
	return e.Name != "" && len(e.Name) <= MaxNameLength && len(e.ReportedBy) <= MaxNameLength && e.Addr.IsValid() && e.State <= Left && e.Generation >= 1 &&
		e.Generation <= MaxCounter && e.Refutations <= MaxCounter && e.Age >= 0 && (m.cfg.AllowAddress == nil || m.cfg.AllowAddress(e.Addr))
}

// n is the fleet's size for timers and spreading.
func (m *Core) n() int { return len(m.live) + 1 }

// unwell moves the measure of one's own slowness.
func (m *Core) unwell(by int) {
	if !m.cfg.DisableLifeguard {
		m.health = min(max(m.health+by, 0), mostHealth)
	}
}

// slowed is a time-out as own slowness stretches it.
func (m *Core) slowed(d time.Duration) time.Duration { return d * time.Duration(1+m.health) }

// pick is up to n live members by chance, none twice, but those that skip names.
func (m *Core) pick(n int, skip func(*member) bool) (list []*member) {
	for tries := 0; len(list) < n && tries < 4*n+8 && len(m.live) > 0; tries++ {
		x := m.live[m.rng.IntN(len(m.live))]
		if !slices.Contains(list, x) && (skip == nil || !skip(x)) {
			list = append(list, x)
		}
	}
	return list
}

// View is all that is known, by name, this member included.
func (m *Core) Members() []Member {
	list := []Member{{Name: m.me.Name, Addr: m.me.Addr, Incarnation: m.me.Incarnation, State: m.me.State, Self: true}}
	for _, x := range m.members {
		list = append(list, Member{Name: x.Name, Addr: x.Addr, Incarnation: x.Incarnation, State: x.State, Since: x.since, ReportedBy: x.ReportedBy})
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Live is how many members are alive or suspect, this one included; Version its own.
func (m *Core) NumLive() int             { return m.n() }
func (m *Core) Incarnation() Incarnation { return m.me.Incarnation }

// Fingerprint is of who is thought to live, this member included: equal views have equal ones.
func (m *Core) Fingerprint() (live int, digest [buckets]uint64) {
	return m.n(), [buckets]uint64(m.withMe())
}

// Stats is what was counted.
func (m *Core) Stats() Stats {
	s := m.stats
	s.Joining = !m.joined && len(m.cfg.Seeds) > 0
	s.HealthScore, s.KnownMembers, s.LiveMembers, s.EstimatedSize = m.health, len(m.members)+1, m.n(), m.counter.n
	s.QueuedBroadcasts, s.Notices, s.ForgottenAddresses = m.spread.len(), len(m.words), len(m.forgotten)
	return s
}

// Joining says that nobody was heard yet.
func (m *Core) Joining() bool { return !m.joined }

// Full is how often a name had no place.
func (m *Core) TableFull() int { return m.stats.TableFull }

// logN is how many rounds news takes, rounded up.
func (m *Core) logN() int { return int(math.Ceil(math.Log10(float64(m.n() + 1)))) }
