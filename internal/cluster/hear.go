package cluster

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// hear takes in what is said of a member; direct: by itself, in a message's header.
func (m *Core) hear(e Entry, direct bool) {
	if !m.valid(&e) {
		m.stats.Rejected++
		return
	}
	if e.Name == m.me.Name {
		m.hearOfMe(e)
		return
	}
	x := m.members[e.Name]
	if x == nil {
		x = m.meet(e, direct)
		if x == nil {
			return
		}
	} else if !x.SameProcess(e.Incarnation) {
		if e.Incarnation.Compare(x.Incarnation) < 0 {
			return // of a life that is over, or one that has to be raised: contrary tells
		}
		m.reborn(x, e)
	} else {
		m.update(x, e)
	}
	if direct {
		x.heard = true
	}
}

// meet is a name that was not known. Nothing is made of the dead but that they are tried again and counted.
func (m *Core) meet(e Entry, direct bool) *member {
	if e.State >= Dead && e.Age >= m.cfg.DeadMemberTTL {
		return nil
	}
	if len(m.members)+1 >= m.cfg.MaxMembers && !m.makeRoom(direct) {
		m.stats.Rejected++
		m.stats.TableFull++
		return nil
	}
	x := &member{Entry: e, since: m.now, live: -1}
	x.Age = 0
	m.members[e.Name] = x
	switch e.State {
	case Dead, Left:
		x.diedAt = m.now - e.Age
		m.counter.died(x)
	case Suspect:
		x.State, x.ReportedBy = Alive, ""
		m.enter(x)
		m.suspect(x, e.ReportedBy, "told by "+e.ReportedBy)
	default:
		m.enter(x)
		m.note(x, Unknown, "is new")
		m.spread.add(newsOf(x.Name))
	}
	m.flip(x)
	return x
}

// makeRoom drops the member that has been dead for longest, and for one that speaks itself one that nobody heard. Guards
// against a table that a broken peer fills with names, so that nobody can join.
func (m *Core) makeRoom(direct bool) bool {
	var worst *member
	for _, x := range m.members {
		if x.State >= Dead && (worst == nil || x.diedAt < worst.diedAt || x.diedAt == worst.diedAt && x.Name < worst.Name) {
			worst = x
		}
	}
	if worst == nil && direct {
		for _, x := range m.members {
			if !x.heard && (worst == nil || x.Name < worst.Name) {
				worst = x
			}
		}
	}
	if worst == nil {
		return false
	}
	m.note(worst, worst.State, "is forgotten: there are too many")
	m.drop(worst)
	return true
}

// reborn is that another process has a member's name: nothing that was said of the old one counts for it.
func (m *Core) reborn(x *member, e Entry) {
	was := x.State
	m.flip(x)
	m.clear(x)
	m.counter.over(x)
	age, by := e.Age, e.ReportedBy
	x.Entry, x.since, x.heard = e, m.now, false
	x.Age, x.ReportedBy = 0, ""
	switch e.State {
	case Dead, Left:
		m.leave(x)
		x.diedAt = m.now - age
		x.ReportedBy = by
		m.counter.died(x)
	case Suspect:
		x.State = Alive
		m.enter(x)
	default:
		m.enter(x)
	}
	m.note(x, was, "has a new life")
	m.spread.add(newsOf(x.Name))
	m.flip(x)
	if e.State == Suspect {
		m.suspect(x, by, "told by "+by)
	}
}

// update is news of the same life.
func (m *Core) update(x *member, e Entry) {
	if x.State == Left {
		return // final
	}
	switch e.State {
	case Left:
		m.counter.over(x)
		m.become(x, Left, e.Refutations, e.Age, "", "has left")
	case Alive:
		if e.Refutations > x.Refutations {
			was := x.State
			x.Addr = e.Addr
			m.become(x, Alive, e.Refutations, 0, "", "refutes")
			if was == Dead {
				m.meetAgain(x)
			}
		}
	case Suspect:
		switch {
		case x.State == Dead && e.Refutations <= x.Refutations || e.Refutations < x.Refutations:
		case x.State == Suspect && e.Refutations == x.Refutations:
			m.confirm(x, e.ReportedBy)
		default:
			m.clear(x)
			m.flip(x)
			x.Refutations = e.Refutations
			m.suspect(x, e.ReportedBy, "told by "+e.ReportedBy)
			m.flip(x)
		}
	case Dead:
		switch {
		case e.Refutations < x.Refutations || x.State == Dead:
		case x.State == Suspect:
			m.become(x, Dead, e.Refutations, e.Age, e.ReportedBy, "told by "+e.ReportedBy)
		default:
			// Who is alive here and dead there was cut off from one of both: it has its time to refute.
			m.flip(x)
			x.Refutations = e.Refutations
			m.suspect(x, e.ReportedBy, "dead for "+e.ReportedBy)
			m.flip(x)
		}
	}
}

// become moves a member of one life to a state, and spreads that.
func (m *Core) become(x *member, s State, inc uint64, age time.Duration, by, why string) {
	was := x.State
	m.flip(x)
	m.clear(x)
	x.State, x.Refutations, x.ReportedBy = s, inc, by
	if was != s {
		x.since = m.now
	}
	if s >= Dead {
		x.diedAt = m.now - age
		m.leave(x)
		m.counter.died(x)
	} else {
		m.enter(x)
	}
	m.flip(x)
	m.note(x, was, why)
	m.spread.add(newsOf(x.Name))
}

// enter and leave keep the list of live members, and the round of probes.
func (m *Core) enter(x *member) {
	m.counter.over(x)
	if x.live >= 0 {
		return
	}
	x.live = len(m.live)
	m.live = append(m.live, x)
	at := m.turn + m.rng.IntN(len(m.round)-m.turn+1) // somewhere in what is left of the round
	m.round = append(m.round, nil)
	copy(m.round[at+1:], m.round[at:])
	m.round[at] = x
}

func (m *Core) leave(x *member) {
	if x.live < 0 {
		return
	}
	last := m.live[len(m.live)-1]
	m.live[x.live], last.live = last, x.live
	m.live = m.live[:len(m.live)-1]
	x.live = -1
}

// clear ends a suspicion.
func (m *Core) clear(x *member) {
	if x.doubt != nil {
		x.doubt.of = nil
		x.doubt = nil
	}
}

// drop forgets a member.
func (m *Core) drop(x *member) {
	m.counter.over(x)
	m.flip(x)
	m.clear(x)
	m.leave(x)
	delete(m.members, x.Name)
	if x.State == Dead {
		m.store(x.Addr)
	}
}

// flip takes a member into its bucket's digest, or out of it again. Only who is thought to live counts: the dead are
// forgotten by each member at its own time.
func (m *Core) flip(x *member) {
	if x.State < Dead {
		h := hashOf(x.Name, x.Incarnation)
		m.digest[bucketOf(x.Name)] ^= h
	}
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % buckets) }

func hashOf(name string, v Incarnation) uint64 {
	var b [24]byte
	for i, n := range []uint64{v.Generation, v.ProcessID, v.Refutations} {
		for j := range 8 {
			b[8*i+j] = byte(n >> (8 * j))
		}
	}
	d := xxhash.New()
	d.WriteString(name)
	d.Write(b[:])
	return d.Sum64()
}

// hearOfMe refutes what is wrong, and takes the next life where another process has had this name.
func (m *Core) hearOfMe(e Entry) {
	switch {
	case e.SameProcess(m.me.Incarnation):
		switch {
		case m.left || e.State == Alive:
			if e.Refutations > m.me.Refutations {
				m.me.Refutations = e.Refutations // said in this life's name: nothing that this process says later may be below it
			}
		case e.State == Left:
			m.nextLife(e.Incarnation)
		case e.Refutations >= m.me.Refutations:
			m.me.Refutations = e.Refutations + 1
			m.stats.Refutations++
			m.unwell(1)
			m.spread.add(newsOf(m.me.Name))
		}
	case e.Incarnation.Compare(m.me.Incarnation) > 0:
		m.nextLife(e.Incarnation)
	}
}

// nextLife goes past what another process under this name had. Two that run at the same time would chase each other: after
// conflictRaises in conflictWindow it waits.
func (m *Core) nextLife(v Incarnation) {
	if v.Generation >= MaxCounter {
		m.stats.Rejected++
		return
	}
	for len(m.conflicts) > 0 && m.now-m.conflicts[0] > conflictWindow {
		m.conflicts = m.conflicts[1:]
	}
	if len(m.conflicts) >= conflictRaises {
		m.stats.NameConflicts++
		if m.now-m.conflicts[len(m.conflicts)-1] < conflictPause {
			return
		}
		m.out = append(m.out, Action{Kind: MemberChanged, Transition: &Transition{Name: m.me.Name, Incarnation: v, From: Alive, To: Alive, Reason: "another process uses this name"}})
		m.conflicts = m.conflicts[1:]
	}
	m.conflicts = append(m.conflicts, m.now)
	m.me.Incarnation = Incarnation{Generation: v.Generation + 1, ProcessID: m.me.ProcessID}
	m.spread.add(newsOf(m.me.Name))
}
