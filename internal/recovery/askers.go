// Package recovery decides, without I/O, what a sidecar does while its fleet comes back. So far: from whom it has its list of
// servers, so that calls of discovery do not grow with the fleet. docs/design/recovery.md has the ways weighed.
//
// All members have one order, by the hash of their names. The first Ask of it ask discovery; each other one follows one before it,
// Fan of them the same one, so the list comes down a tree. Whoever has nobody to follow asks discovery after all, at a time by chance
// that is the later the larger the fleet is: all together call it no more than Rate times a second. Order and view decide alone, so
// nobody has to agree, and who follows only those before it cannot follow itself in a circle; members whose views differ for a while
// are held apart by the path that comes with each list (internal/membership/relay).
package recovery

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

// Config is an Askers'.
type Config struct {
	Self string
	Ask  int     // members that ask discovery; 3
	Fan  int     // members that follow one; 16
	Rate float64 // calls a second of discovery by who has nobody to follow, by the whole fleet; 10
	Told int     // how many sidecars the setting says there are, for a start that knows nobody
	Seed uint64
}

// Choice is from whom the list is had now.
type Choice struct {
	Wait      time.Duration // above 0: nobody yet; choose again then, or when the view changes
	Discovery bool          // else Peer
	Peer      Member
}

// Askers decides for one sidecar. It is not safe for several goroutines.
type Askers struct {
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
func New(c Config, now time.Duration) *Askers {
	c.Ask, c.Fan, c.Told = max(c.Ask, 1), max(c.Fan, 1), max(c.Told, 1)
	if c.Rate <= 0 {
		c.Rate = 10
	}
	a := &Askers{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 11)), begun: now, bans: map[string]ban{}}
	a.View(now, nil, false)
	return a
}

// View is who lives, but for this member itself; joined says that anybody was heard at all.
func (a *Askers) View(now time.Duration, others []Member, joined bool) {
	a.joined, a.turned = joined, now
	type keyed struct {
		key uint64
		Member
	}
	list := make([]keyed, 0, len(others)+1)
	for _, m := range others {
		list = append(list, keyed{xxhash.Sum64String(m.Name), m})
	}
	list = append(list, keyed{xxhash.Sum64String(a.cfg.Self), Member{Name: a.cfg.Self}})
	slices.SortFunc(list, func(x, y keyed) int { return cmp.Or(cmp.Compare(x.key, y.key), cmp.Compare(x.Name, y.Name)) })
	a.order = a.order[:0]
	for i, m := range list {
		a.order = append(a.order, m.Member)
		if m.Name == a.cfg.Self {
			a.rank = i
		}
	}
}

// Rank is this member's place in the order, from 0; below Ask it asks discovery.
func (a *Askers) Rank() int { return a.rank }

// banned says whether somebody failed lately; "" is discovery.
func (a *Askers) banned(now time.Duration, name string) bool { return now < a.bans[name].until }

// Choose says from whom to have the list now.
func (a *Askers) Choose(now time.Duration) Choice {
	a.works = false
	if left := a.begun + joinWait - now; left > 0 && (a.joined || a.cfg.Told > 1) {
		if quiet := a.turned + calm - now; a.joined && quiet < left {
			left = quiet
		}
		if left > 0 {
			return Choice{Wait: left}
		}
	}
	if !a.joined && a.cfg.Told > 1 {
		return a.alone(now, a.cfg.Told)
	}
	if a.rank < a.cfg.Ask {
		if !a.banned(now, "") {
			return Choice{Discovery: true}
		}
	}
	if a.last == 0 || now < a.last { // the time that was drawn holds, whoever was tried meanwhile
		if p, ok := a.peer(now); ok {
			return Choice{Peer: p}
		}
	}
	return a.alone(now, len(a.order))
}

// peer is whom to follow: the parent in the tree, or else some before this one by chance, or, for one that asks and cannot reach
// discovery, anybody.
func (a *Askers) peer(now time.Duration) (Member, bool) {
	if a.rank >= a.cfg.Ask {
		if p := a.order[(a.rank-a.cfg.Ask)/a.cfg.Fan]; !a.banned(now, p.Name) {
			return p, true
		}
	}
	among := a.order[:a.rank]
	if a.rank < a.cfg.Ask {
		among = a.order // the path that comes with a list keeps two from following each other
	}
	failed := 0
	for _, m := range among {
		if a.banned(now, m.Name) {
			failed++
		}
	}
	if failed >= tries {
		return Member{}, false
	}
	for _, i := range a.rng.Perm(len(among)) {
		if m := among[i]; m.Name != a.cfg.Self && !a.banned(now, m.Name) {
			return m, true
		}
	}
	return Member{}, false
}

// alone asks discovery itself, at a time that is drawn once: n members that all do so make Rate calls a second.
func (a *Askers) alone(now time.Duration, n int) Choice {
	if a.last == 0 {
		a.last = now + time.Duration(a.rng.Float64()*float64(n)/a.cfg.Rate*float64(time.Second)) + 1
	}
	if wait := a.last - now; wait > 0 {
		return Choice{Wait: wait}
	}
	return Choice{Discovery: true}
}

// Works says that the source that was chosen brings the list.
func (a *Askers) Works(now time.Duration, c Choice) {
	if !a.works {
		a.works, a.since = true, now
	}
	a.last = 0
	delete(a.bans, a.name(c))
}

func (a *Askers) name(c Choice) string {
	if c.Discovery {
		return ""
	}
	return c.Peer.Name
}

// Failed says that it did not, or no longer.
func (a *Askers) Failed(now time.Duration, c Choice) {
	a.works = false
	if c.Discovery {
		a.last = 0
	}
	name := a.name(c)
	b := a.bans[name]
	d := min(banBase<<min(b.fails, 10), banMost)
	b.fails++
	b.until = now + time.Duration(float64(d)*(0.5+a.rng.Float64()))
	if len(a.bans) >= mostBans && b.fails == 1 {
		for old, x := range a.bans {
			if now >= x.until {
				delete(a.bans, old)
			}
		}
	}
	if len(a.bans) < mostBans {
		a.bans[name] = b
	}
}

// Better says whether a source that works should be left for a better one: who asks discovery for want of a peer and need not, and
// who follows one although it is to ask. Both wait until settle has passed.
func (a *Askers) Better(now time.Duration, c Choice) bool {
	if !a.works || now-a.since < settle || !a.joined {
		return false
	}
	if a.rank < a.cfg.Ask {
		return !c.Discovery && !a.banned(now, "")
	}
	if c.Discovery {
		_, ok := a.peer(now)
		return ok
	}
	return !slices.ContainsFunc(a.order, func(m Member) bool { return m.Name == c.Peer.Name }) // it has left
}
