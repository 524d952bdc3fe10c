package configsim

import (
	"maps"
	"slices"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/discovery/bootstrap"
)

// mostSteps is how many members may stand between an origin and one, as with the list (internal/discovery/relay).
const mostSteps = 8

// choose connects a member to whom recovery.Selector says.
func (f *Fleet) choose(m *Member) {
	if m.frozen { // it goes on when it thaws: sweep sees to it
		m.idle = true
		return
	}
	m.idle = false
	m.attempts++
	attempt := m.attempts
	again := func(d time.Duration) {
		f.After(d, f.alive(m, func() {
			if m.attempts == attempt && m.up1 == nil {
				f.choose(m)
			}
		}))
	}
	c := m.sel.Select(f.Now)
	if c.Delay > 0 {
		again(min(c.Delay, time.Second)) // the view may change meanwhile
		return
	}
	s := &session{child: m}
	if c.Discovery {
		s.origin = f.Origins[m.next%f.cfg.Origins]
		m.next++
	} else {
		for _, p := range f.Members {
			if p.name == c.Peer.Name {
				s.member = p
			}
		}
	}
	failed := func() {
		if m.attempts == attempt && m.up1 == nil {
			if m.tried++; !c.Discovery || m.tried >= f.cfg.Origins {
				m.sel.ReportFailure(f.Now, c)
				m.tried = 0
			}
			again(10 * time.Millisecond)
		}
	}
	f.After(f.cfg.Dial, f.alive(m, failed)) // unless it answers
	server := s.server()
	s.lives = [2]int{m.life, server.life}
	f.send(&m.machine, server, 250, func() {
		why := f.turnsAway(s)
		f.send(server, &m.machine, 100, func() {
			if m.attempts != attempt || m.up1 != nil || s.closed {
				return
			}
			if why != "" {
				failed()
				return
			}
			m.tried = 0
			m.up1, m.choice = s, c
			m.path = nil
			if s.member != nil {
				m.path = append([]int{s.member.index}, s.member.path...)
			}
			m.sel.ReportSuccess(f.Now, c)
			if fr, ok := serverFrame(s); ok && fr.Revision.Compare(m.f.Stats().Published) > 0 {
				f.frame(s, fr)
			}
			f.report(m, m.f.Report())
		})
		if why == "" {
			server.children[m.index] = s
		}
	})
}

func serverFrame(s *session) (controlplane.Frame, bool) {
	if s.origin != nil {
		return s.origin.frame, !s.origin.frame.Revision.IsZero()
	}
	return s.member.f.Frame()
}

// turnsAway says why one may not follow; empty: it may.
func (f *Fleet) turnsAway(s *session) string {
	if fr, _ := serverFrame(s); fr.Revision.Compare(s.child.f.Stats().Published) < 0 {
		return "a later one is held than this one has"
	}
	if s.origin != nil {
		return ""
	}
	switch p := s.member; {
	case p.up1 == nil:
		return "it follows nobody itself"
	case slices.Contains(p.path, s.child.index):
		return "this one has it from there"
	case len(p.path) >= mostSteps:
		return "too far from the origins"
	}
	return ""
}

func (f *Fleet) sessions() (out []*session) {
	seen := map[*session]bool{}
	add := func(s *session) {
		if s != nil && !s.closed && !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	all := func(children map[int]*session) {
		for _, i := range slices.Sorted(maps.Keys(children)) {
			add(children[i])
		}
	}
	for _, m := range f.Members {
		add(m.up1)
		all(m.children)
	}
	for _, o := range f.Origins {
		all(o.children)
	}
	return out
}

// close ends a connection for both of its ends.
func (f *Fleet) close(s *session) {
	if s.closed {
		return
	}
	s.closed = true
	m, server := s.child, s.server()
	if server.children[m.index] == s {
		delete(server.children, m.index)
		if s.origin != nil {
			f.handleOrigin(s.origin, origin.SubscriberDisconnected{From: m.name})
		} else {
			f.handle(s.member, controlplane.SubscriberDisconnected{From: m.name})
		}
	}
	if m.up1 == s {
		m.up1 = nil
		f.handle(m, controlplane.UpstreamLost{From: server.name})
		if m.up {
			if s.origin == nil { // else the next origin is tried first: they are one source
				m.sel.ReportFailure(f.Now, m.choice)
			}
			m.tried = 0
			f.choose(m)
		}
	}
}

// sweep is once a beat: silent connections are given up, those that live say so, views change.
func (f *Fleet) sweep() {
	f.seeViews()
	for _, s := range f.sessions() {
		server := s.server()
		switch {
		case s.stale():
			f.close(s)
		case f.reach(&s.child.machine, server) && f.reach(server, &s.child.machine):
			s.broken = 0
			server.BeatsOut += beatSize
			if s.child.up1 == s {
				f.handle(s.child, controlplane.UpstreamConfirmed{From: server.name})
			} else if s.child.up1 != nil {
				f.close(s) // the child has another one by now
			}
		case s.broken == 0:
			s.broken = f.Now
		case f.Now-s.broken >= f.cfg.GiveUp-f.cfg.Beat:
			f.close(s)
		}
	}
	for _, m := range f.Members {
		if !m.up || m.frozen {
			continue
		}
		if m.up1 == nil && m.idle {
			f.choose(m)
		}
		if m.up1 != nil && m.sel.ShouldSwitch(f.Now, m.choice) {
			f.close(m.up1)
		}
		if m.tickAt <= f.Now {
			f.handle(m, controlplane.Tick{})
		}
	}
	f.After(f.cfg.Beat, f.sweep)
}

// compare is the view's probes: each second each member exchanges stamps with one by chance.
func (f *Fleet) compare() {
	for _, m := range f.Members {
		f.After(time.Duration(f.rng.Int64N(int64(time.Second))), f.alive(m, func() {
			to := f.Members[f.rng.IntN(len(f.Members))]
			f.hint(m, to)
			if f.reach(&m.machine, &to.machine) {
				f.hint(to, m)
			}
		}))
	}
	f.After(time.Second, f.compare)
}

// seeViews tells the selectors who lives, as each side sees it.
func (f *Fleet) seeViews() {
	sides := 1
	if f.cut && f.Now-f.cutAt >= f.cfg.DeadSeen || !f.cut && f.cutAt > 0 && f.Now-f.cutAt < f.cfg.LiveSeen {
		sides = 2
	}
	for k := range sides {
		v := &f.views[k]
		changed := v.serial == 0
		for i, m := range f.Members {
			live := m.up && !m.frozen && f.Now-m.since >= f.cfg.LiveSeen || !m.up && f.Now-m.since < f.cfg.DeadSeen && v.live[i]
			if m.frozen {
				live = v.live[i] && f.Now-m.since < f.cfg.DeadSeen
			}
			if sides == 2 && f.region(&m.machine) != k {
				live = false
			}
			if live != v.live[i] {
				v.live[i], changed = live, true
			}
		}
		if changed {
			v.serial = uint64(f.Now) + 1
			v.list = v.list[:0]
			for i, m := range f.Members {
				if v.live[i] {
					v.list = append(v.list, bootstrap.Member{Name: m.name})
				}
			}
		}
	}
	for _, m := range f.Members {
		k := 0
		if sides == 2 {
			k = f.region(&m.machine)
		}
		v := &f.views[k]
		mark := v.serial<<1 | uint64(k)
		if !m.up || m.viewed == mark {
			continue
		}
		m.viewed = mark
		others := make([]bootstrap.Member, 0, len(v.list))
		for _, p := range v.list {
			if p.Name != m.name {
				others = append(others, p)
			}
		}
		m.sel.UpdateMembers(f.Now, others, len(others) > 0)
	}
}
