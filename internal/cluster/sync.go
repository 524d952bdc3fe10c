package cluster

import (
	"cmp"
	"slices"
)

// Views are compared by a digest: buckets of names, and for each the sum of the hashes of who is thought to live in it. Equal
// views cost a datagram each way; of those that differ, only the buckets that do are sent.

// join asks seeds for all that they know, until anybody is heard.
func (m *Core) join() {
	m.due.join = m.now + m.spreadOver(m.joinPause)
	m.joinPause = min(2*m.joinPause, joinLongest)
	seeds := slices.Clone(m.cfg.Seeds)
	m.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	n := 0
	for _, at := range seeds {
		if at != m.me.Addr && n < 3 {
			m.ask(at, true)
			n++
		}
	}
}

// ask begins a comparison.
func (m *Core) ask(at Address, join bool) {
	m.syncSoon = m.now + m.cfg.ProbeInterval
	m.send(at, &Message{Kind: PushPullRequest, Digest: slices.Clone(m.withMe()), Join: join})
}

// withMe is the digest with this member in it.
func (m *Core) withMe() []uint64 {
	d := m.digest
	if !m.left {
		d[bucketOf(m.me.Name)] ^= hashOf(m.me.Name, m.me.Incarnation)
	}
	return d[:]
}

// answer tells what differs. Guards against many that join at once, or ask again and again: what is beyond syncAnswers a second
// is not answered, and who asked asks another one.
func (m *Core) answer(msg *Message) {
	if len(msg.Digest) != buckets {
		m.stats.Rejected++
		return
	}
	var differ uint64
	for i, h := range m.withMe() {
		if h != msg.Digest[i] {
			differ |= 1 << i
		}
	}
	if msg.Join {
		differ = ^uint64(0)
	}
	if differ == 0 {
		m.send(msg.From.Addr, &Message{Kind: PushPullResponse})
		return
	}
	if m.tokens < 1 {
		m.stats.PushPullsThrottled++
		return
	}
	m.tokens--
	m.stream(msg.From.Addr, &Message{Kind: PushPullResponse, BucketMask: differ, Entries: m.inBuckets(differ), Notices: m.allWords()})
}

// inBuckets is what is known of the names in some buckets, the dead with their age.
func (m *Core) inBuckets(which uint64) (list []Entry) {
	for _, x := range m.members {
		if which&(1<<bucketOf(x.Name)) != 0 {
			list = append(list, m.entry(x))
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// meetAgain compares views with a member that was thought dead: there may be a whole half behind it.
func (m *Core) meetAgain(x *member) {
	if m.now >= m.syncSoon {
		m.ask(x.Addr, false)
	}
}

// store keeps an address to be tried again, in place of the oldest where there are too many.
func (m *Core) store(at Address) {
	if slices.Contains(m.forgotten, at) {
		return
	}
	if len(m.forgotten) >= mostForgotten {
		m.forgotten = m.forgotten[1:]
	}
	m.forgotten = append(m.forgotten, at)
}

// retry tries one address of the dead, of the forgotten, or of a seed that no live member has. All members together try each
// retryTries times in RetryEvery, so that what one dead member costs does not grow with the fleet; a few that face many dead
// try one each time.
func (m *Core) retry() {
	var dead []*member
	others := map[Address]bool{}
	for _, at := range append(slices.Clone(m.forgotten), m.cfg.Seeds...) {
		others[at] = at != m.me.Addr
	}
	for _, x := range m.members {
		switch {
		case x.State == Dead:
			dead = append(dead, x)
		case x.live >= 0 && others[x.Addr]:
			others[x.Addr] = false
		}
	}
	slices.SortFunc(dead, byName)
	m.forgotten = slices.DeleteFunc(m.forgotten, func(at Address) bool { return !others[at] })
	missing := slices.Clone(m.forgotten)
	for _, at := range m.cfg.Seeds {
		if others[at] && !slices.Contains(missing, at) {
			missing = append(missing, at)
		}
	}
	all := len(dead) + len(missing)
	if all == 0 || m.rng.Float64()*float64(m.n()) >= float64(retryTries*all) {
		return
	}
	m.seq++
	msg := &Message{Kind: Ping, Seq: m.seq}
	i := m.rng.IntN(all)
	if i >= len(dead) {
		m.send(missing[i-len(dead)], msg)
		return
	}
	msg.Target, msg.Entries = dead[i].Name, []Entry{m.entry(dead[i])}
	m.send(dead[i].Addr, msg)
}

// forget drops who has been dead or left for long.
func (m *Core) forget() {
	var over []*member
	for _, x := range m.members {
		if x.State >= Dead && m.now-x.diedAt >= m.cfg.DeadMemberTTL {
			over = append(over, x)
		}
	}
	slices.SortFunc(over, byName) // one seed gives one course, also of the addresses that are kept
	for _, x := range over {
		m.note(x, x.State, "is forgotten")
		m.drop(x)
	}
}

func byName(a, b *member) int { return cmp.Compare(a.Name, b.Name) }
