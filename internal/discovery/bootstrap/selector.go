// Package bootstrap decides, without I/O, what a sidecar does while its fleet comes back. So far: from whom it has its list of
// servers, so that calls of discovery do not grow with the fleet. docs/design/recovery.md has the ways weighed.
//
// All members have one order, by the hash of their names. The first Ask of it ask discovery; each other one follows one before it,
// Fan of them the same one, so the list comes down a tree. Whoever has nobody to follow asks discovery after all, at a time by chance
// that is the later the larger the fleet is: all together call it no more than Rate times a second. Order and view decide alone, so
// nobody has to agree, and who follows only those before it cannot follow itself in a circle; members whose views differ for a while
// are held apart by the path that comes with each list (internal/discovery/relay).
package bootstrap

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	banBase = 2 * time.Second // a peer that failed is not followed again for it, doubled up to banMost, times 0.5 to 1.5 by chance
	banMost = time.Minute
	tries   = 3 // peers that are tried before discovery is asked after all
	// joinWait is how long a start waits for the fleet's view at most, and calm how long that has to stand. Guards against a fleet
	// that starts at once: each has its first view of one or two others, and finds itself among the first.
	joinWait = time.Second
	calm     = 600 * time.Millisecond
	// settle is how long a source that is not the best one is kept while it works. Guards against a fleet that changes its
	// sources with every change of its view.
	settle = 15 * time.Second
	// mostBans bounds what is remembered of peers that failed.
	mostBans = 256
)

// Member is another sidecar, as the fleet's view has it.
type Member struct {
	Name string
	Addr netip.AddrPort
}

// Config is a Selector's.
type Config struct {
	Self           string
	Roots          int     // members that ask discovery; 3
	FanOut         int     // members that follow one; 16
	MaxCallRate    float64 // calls a second of discovery by who has nobody to follow, by the whole fleet; 10
	ConfiguredSize int     // how many sidecars the setting says there are, for a start that knows nobody
	RandomSeed     uint64
}

// Choice is from whom the list is had now.
type Selection struct {
	Delay     time.Duration // above 0: nobody yet; choose again then, or when the view changes
	Discovery bool          // else Peer
	Peer      Member
}

// Selector decides for one sidecar. It is not safe for several goroutines.
type Selector struct {
	cfg    Config
	rng    *rand.Rand
	begun  time.Duration
	order  []Member // by hash, this one included
	rank   int
	joined bool
	turned time.Duration  // when the view changed last
	bans   map[string]ban // by name; discovery's is ""
	last   time.Duration  // when discovery is asked for want of a peer; 0: that is not drawn
	since  time.Duration  // of the choice that works
	works  bool
}

type ban struct {
	fails int
	until time.Duration
}

// New makes one that starts at now.
func New(c Config, now time.Duration) *Selector {
	c.Roots, c.FanOut, c.ConfiguredSize = max(c.Roots, 1), max(c.FanOut, 1), max(c.ConfiguredSize, 1)
	if c.MaxCallRate <= 0 {
		c.MaxCallRate = 10
	}
	s := &Selector{cfg: c, rng: rand.New(rand.NewPCG(c.RandomSeed, 11)), begun: now, bans: map[string]ban{}}
	s.UpdateMembers(now, nil, false)
	return s
}

// View is who lives, but for this member itself; joined says that anybody was heard at all.
func (s *Selector) UpdateMembers(now time.Duration, others []Member, joined bool) {
	s.joined, s.turned = joined, now
	type keyed struct {
		key uint64
		Member
	}
	list := make([]keyed, 0, len(others)+1)
	for _, m := range others {
		list = append(list, keyed{xxhash.Sum64String(m.Name), m})
	}
	list = append(list, keyed{xxhash.Sum64String(s.cfg.Self), Member{Name: s.cfg.Self}})
	slices.SortFunc(list, func(x, y keyed) int { return cmp.Or(cmp.Compare(x.key, y.key), cmp.Compare(x.Name, y.Name)) })
	s.order = s.order[:0]
	for i, m := range list {
		s.order = append(s.order, m.Member)
		if m.Name == s.cfg.Self {
			s.rank = i
		}
	}
}

// Rank is this member's place in the order, from 0; below Ask it asks discovery.
func (s *Selector) Rank() int { return s.rank }

// banned says whether somebody failed lately; "" is discovery.
func (s *Selector) banned(now time.Duration, name string) bool { return now < s.bans[name].until }

// Choose says from whom to have the list now.
func (s *Selector) Select(now time.Duration) Selection {
	s.works = false
	if left := s.begun + joinWait - now; left > 0 && (s.joined || s.cfg.ConfiguredSize > 1) {
		if quiet := s.turned + calm - now; s.joined && quiet < left {
			left = quiet
		}
		if left > 0 {
			return Selection{Delay: left}
		}
	}
	if !s.joined && s.cfg.ConfiguredSize > 1 {
		return s.alone(now, s.cfg.ConfiguredSize)
	}
	if s.rank < s.cfg.Roots {
		if !s.banned(now, "") {
			return Selection{Discovery: true}
		}
	}
	if s.last == 0 || now < s.last { // the time that was drawn holds, whoever was tried meanwhile
		if p, ok := s.peer(now); ok {
			return Selection{Peer: p}
		}
	}
	return s.alone(now, len(s.order))
}

// peer is whom to follow: the parent in the tree, or else some before this one by chance, or, for one that asks and cannot reach
// discovery, anybody.
func (s *Selector) peer(now time.Duration) (Member, bool) {
	if s.rank >= s.cfg.Roots {
		if p := s.order[(s.rank-s.cfg.Roots)/s.cfg.FanOut]; !s.banned(now, p.Name) {
			return p, true
		}
	}
	among := s.order[:s.rank]
	if s.rank < s.cfg.Roots {
		among = s.order // the path that comes with a list keeps two from following each other
	}
	failed := 0
	for _, m := range among {
		if s.banned(now, m.Name) {
			failed++
		}
	}
	if failed >= tries {
		return Member{}, false
	}
	for _, i := range s.rng.Perm(len(among)) {
		if m := among[i]; m.Name != s.cfg.Self && !s.banned(now, m.Name) {
			return m, true
		}
	}
	return Member{}, false
}

// alone asks discovery itself, at a time that is drawn once: n members that all do so make Rate calls a second.
func (s *Selector) alone(now time.Duration, n int) Selection {
	if s.last == 0 {
		s.last = now + time.Duration(s.rng.Float64()*float64(n)/s.cfg.MaxCallRate*float64(time.Second)) + 1
	}
	if wait := s.last - now; wait > 0 {
		return Selection{Delay: wait}
	}
	return Selection{Discovery: true}
}

// Works says that the source that was chosen brings the list.
func (s *Selector) ReportSuccess(now time.Duration, c Selection) {
	if !s.works {
		s.works, s.since = true, now
	}
	s.last = 0
	delete(s.bans, s.name(c))
}

func (s *Selector) name(c Selection) string {
	if c.Discovery {
		return ""
	}
	return c.Peer.Name
}

// Failed says that it did not, or no longer.
func (s *Selector) ReportFailure(now time.Duration, c Selection) {
	s.works = false
	if c.Discovery {
		s.last = 0
	}
	name := s.name(c)
	b := s.bans[name]
	d := min(banBase<<min(b.fails, 10), banMost)
	b.fails++
	b.until = now + time.Duration(float64(d)*(0.5+s.rng.Float64()))
	if len(s.bans) >= mostBans && b.fails == 1 {
		for old, x := range s.bans {
			if now >= x.until {
				delete(s.bans, old)
			}
		}
	}
	if len(s.bans) < mostBans {
		s.bans[name] = b
	}
}

// Better says whether a source that works should be left for a better one: who asks discovery for want of a peer and need not, and
// who follows one although it is to ask. Both wait until settle has passed.
func (s *Selector) ShouldSwitch(now time.Duration, c Selection) bool {
	if !s.works || now-s.since < settle || !s.joined {
		return false
	}
	if s.rank < s.cfg.Roots {
		return !c.Discovery && !s.banned(now, "")
	}
	if c.Discovery {
		_, ok := s.peer(now)
		return ok
	}
	return !slices.ContainsFunc(s.order, func(m Member) bool { return m.Name == c.Peer.Name }) // it has left
}
