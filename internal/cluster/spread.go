package cluster

import "slices"

// news is what is spread: a member's entry or a server's word, as it stands when a datagram is made, so that nothing old is
// sent on.
type news struct {
	member string
	server string
}

func newsOf(member string) news { return news{member: member} }

// spread is what is to be told to the others, least told first. It holds each news once.
type spread struct {
	levels [][]item // by how often it was told
	latest map[news]uint64
	serial uint64
}

type item struct {
	news
	serial uint64 // another one than latest: it was replaced
}

func (s *spread) len() int { return len(s.latest) }

func (s *spread) add(n news) {
	if s.latest == nil {
		s.latest = map[news]uint64{}
	}
	s.serial++
	s.latest[n] = s.serial
	s.push(0, item{n, s.serial})
}

func (s *spread) push(level int, i item) {
	for len(s.levels) <= level {
		s.levels = append(s.levels, nil)
	}
	s.levels[level] = append(s.levels[level], i)
}

// take calls use with each news in turn, least told first, until it says that there is no room; what it took is told once more,
// up to times in all.
func (s *spread) take(times int, use func(news) (took, more bool)) {
	type told struct {
		item
		level int
	}
	var taken []told
	more := true
	for level := 0; level < len(s.levels) && more; level++ {
		list := s.levels[level]
		n := 0
		for n < len(list) && more {
			i := list[n]
			if s.latest[i.news] == i.serial {
				var took bool
				if took, more = use(i.news); !took {
					break
				}
				taken = append(taken, told{i, level})
			}
			n++
		}
		if n == len(list) {
			s.levels[level] = list[:0]
		} else {
			s.levels[level] = list[n:]
		}
	}
	for _, t := range taken {
		if t.level+1 >= times {
			delete(s.latest, t.news)
			continue
		}
		s.push(t.level+1, t.item)
	}
	if len(s.latest) == 0 {
		s.levels = nil // also what was replaced
	}
}

// load puts what is new into a message, behind what it has already.
func (m *Core) load(msg *Message) {
	room := m.cfg.MaxDatagramBytes - headerBytes
	for i := range msg.Entries {
		room -= entryBytes + len(msg.Entries[i].Name) + len(msg.Entries[i].ReportedBy)
	}
	if m.spread.len() == 0 {
		return
	}
	msg.Entries = msg.Entries[:len(msg.Entries):len(msg.Entries)]
	m.spread.take(m.cfg.RetransmitMult*m.logN(), func(n news) (took, more bool) {
		if len(msg.Entries)+len(msg.Notices) >= mostEntries {
			return false, false
		}
		if n.server != "" {
			w := m.words[n.server]
			if w == nil {
				return true, true // it is old by now
			}
			if room -= wordBytes + len(n.server) + len(w.ReportedBy); room < 0 {
				return false, false
			}
			msg.Notices = append(msg.Notices, m.wordOf(w))
			return true, true
		}
		if slices.ContainsFunc(msg.Entries, func(e Entry) bool { return e.Name == n.member }) {
			return true, true // it is what the message was made for
		}
		e := m.me // its own entry is in the header, too; behind it others pass it on
		if n.member != m.me.Name {
			x := m.members[n.member]
			if x == nil {
				return true, true
			}
			e = m.entry(x)
		}
		if room -= entryBytes + len(e.Name) + len(e.ReportedBy); room < 0 {
			return false, false
		}
		msg.Entries = append(msg.Entries, e)
		return true, true
	})
}

// gossip sends what is new to some by chance, also to suspects: they can refute.
func (m *Core) gossip() {
	if m.spread.len() == 0 {
		return
	}
	if m.spread.len() > syncAbove && m.now >= m.syncBusy {
		m.syncBusy = m.now + syncBusy*m.cfg.GossipInterval
		if x := m.pick(1, nil); len(x) > 0 {
			m.ask(x[0].Addr, false)
		}
	}
	for _, x := range m.pick(m.cfg.GossipFanout, nil) {
		if m.spread.len() == 0 {
			return // all was told often enough
		}
		m.send(x.Addr, &Message{Kind: Gossip})
	}
}
