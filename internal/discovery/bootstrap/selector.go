// Package bootstrap chooses, without I/O, the upstream source of a sidecar's endpoint list while its cluster starts or
// recovers: the discovery service or another sidecar. It keeps calls of the discovery service from growing with the
// cluster. docs/design/recovery.md compares the alternatives.
//
// All members have one order, by the hash of their names. The first [Config.Roots] of them call the discovery service;
// each other member follows an earlier one, FanOut of them the same one, so the list travels down a tree. A member
// with nobody to follow calls the discovery service after all, at a random time that is the later the larger the
// cluster is: all members together make at most MaxCallRate such calls a second. The order and the membership view
// alone decide, so no agreement is needed, and members that follow only earlier ones cannot form a cycle. While
// membership views differ, the path that accompanies each list prevents cycles (internal/discovery/relay).
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
	// defaultMaxCallRate is used where Config.MaxCallRate is not set.
	defaultMaxCallRate = 10

	// A source that failed is excluded for minExclusion, doubled with each failure up to maxExclusion, times a random
	// factor between 0.5 and 1.5.
	minExclusion = 2 * time.Second
	maxExclusion = time.Minute
	// maxDoublings limits the growth of the exclusion. This prevents an overflow of the shift.
	maxDoublings = 10
	// maxExclusions limits the sources that are remembered as failed.
	maxExclusions = 256

	// maxFailedPeers is how many peers are tried before the discovery service is called after all.
	maxFailedPeers = 3

	// maxJoinDelay limits how long a starting member waits for the membership view, and viewStableTime is how long the
	// view has to remain unchanged. This is for a cluster that starts at once: the first view of each member contains
	// one or two others, which would make it one of the roots.
	maxJoinDelay   = time.Second
	viewStableTime = 600 * time.Millisecond

	// minSourceTime is how long a working source is used even if it is not the best one. This prevents a cluster from
	// switching its sources with every change of its membership view.
	minSourceTime = 15 * time.Second

	// randomStream tells the random numbers of a Selector from others of the same seed.
	randomStream = 11
)

// Member is another sidecar, as in the membership view of the cluster.
type Member struct {
	Name string
	Addr netip.AddrPort
}

// Config is the configuration of a Selector.
type Config struct {
	Self           string  // name of this member
	Roots          int     // members that call the discovery service; usually 3
	FanOut         int     // members that follow the same one; usually 16
	MaxCallRate    float64 // calls a second of the discovery service by all members with nobody to follow; default 10
	ConfiguredSize int     // configured number of sidecars, for a start without known members
	RandomSeed     uint64
}

// Selection is the source that a Selector has selected.
type Selection struct {
	Delay     time.Duration // above 0: no source yet; select again after it, or when the membership view changes
	Discovery bool          // the discovery service; otherwise Peer
	Peer      Member
}

// discoveryName is the name of the discovery service among the sources. No member has an empty name.
const discoveryName = ""

// sourceName returns the name of the selected source.
func (s Selection) sourceName() string {
	if s.Discovery {
		return discoveryName
	}
	return s.Peer.Name
}

// Selector selects the source of one sidecar. All times are read from one clock of the caller that does not run
// backwards. A Selector is not safe for concurrent use.
type Selector struct {
	cfg       Config
	rng       *rand.Rand
	startedAt time.Duration

	order         []Member // all members by the hash of their names, including this one
	rank          int      // index of this member in order
	joined        bool     // another member was reached
	viewChangedAt time.Duration
	exclusions    map[string]exclusion // by name of the source

	fallbackAt   time.Duration // when to call the discovery service for lack of a peer; 0: not drawn yet
	working      bool          // the selected source delivers the list
	workingSince time.Duration // valid if working
}

// exclusion is the state of a source that failed.
type exclusion struct {
	failures int
	until    time.Duration
}

// New returns a Selector of a member that starts at now.
func New(c Config, now time.Duration) *Selector {
	c.Roots = max(c.Roots, 1)
	c.FanOut = max(c.FanOut, 1)
	c.ConfiguredSize = max(c.ConfiguredSize, 1)
	if c.MaxCallRate <= 0 {
		c.MaxCallRate = defaultMaxCallRate
	}
	s := &Selector{
		cfg:        c,
		rng:        rand.New(rand.NewPCG(c.RandomSeed, randomStream)),
		startedAt:  now,
		exclusions: map[string]exclusion{},
	}
	s.UpdateMembers(now, nil, false)
	return s
}

// UpdateMembers takes the membership view: the live members except this one. joined says that another member was ever
// reached.
func (s *Selector) UpdateMembers(now time.Duration, others []Member, joined bool) {
	s.joined, s.viewChangedAt = joined, now
	type hashedMember struct {
		hash uint64
		Member
	}
	list := make([]hashedMember, 0, len(others)+1)
	for _, m := range others {
		list = append(list, hashedMember{xxhash.Sum64String(m.Name), m})
	}
	list = append(list, hashedMember{xxhash.Sum64String(s.cfg.Self), Member{Name: s.cfg.Self}})
	slices.SortFunc(list, func(x, y hashedMember) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.Name, y.Name))
	})
	s.order = s.order[:0]
	for i, m := range list {
		s.order = append(s.order, m.Member)
		if m.Name == s.cfg.Self {
			s.rank = i
		}
	}
}

// Rank returns the index of this member in the order, from 0. Below Roots it calls the discovery service.
func (s *Selector) Rank() int { return s.rank }

// isRoot reports whether this member is to call the discovery service.
func (s *Selector) isRoot() bool { return s.rank < s.cfg.Roots }

// excluded reports whether a source failed a short time ago.
func (s *Selector) excluded(now time.Duration, name string) bool {
	return now < s.exclusions[name].until
}

// Select returns the source to have the list from now.
func (s *Selector) Select(now time.Duration) Selection {
	s.working = false
	if delay := s.joinDelay(now); delay > 0 {
		return Selection{Delay: delay}
	}
	if !s.joined && s.cfg.ConfiguredSize > 1 {
		return s.fallback(now, s.cfg.ConfiguredSize)
	}
	if s.isRoot() && !s.excluded(now, discoveryName) {
		return Selection{Discovery: true}
	}
	if s.fallbackAt == 0 || now < s.fallbackAt { // a drawn time stays, whichever peers are tried in between
		if peer, ok := s.selectPeer(now); ok {
			return Selection{Peer: peer}
		}
	}
	return s.fallback(now, len(s.order))
}

// joinDelay returns how long this member still waits for the membership view after its start; 0 or less: it does not.
func (s *Selector) joinDelay(now time.Duration) time.Duration {
	if !s.joined && s.cfg.ConfiguredSize <= 1 {
		return 0
	}
	delay := s.startedAt + maxJoinDelay - now
	if s.joined {
		delay = min(delay, s.viewChangedAt+viewStableTime-now)
	}
	return delay
}

// selectPeer returns the member to follow: the parent in the tree, otherwise a random earlier one, or any member for a
// root that cannot reach the discovery service.
func (s *Selector) selectPeer(now time.Duration) (Member, bool) {
	candidates := s.order // the path that accompanies a list prevents two members from following each other
	if !s.isRoot() {
		parent := s.order[(s.rank-s.cfg.Roots)/s.cfg.FanOut]
		if !s.excluded(now, parent.Name) {
			return parent, true
		}
		candidates = s.order[:s.rank]
	}
	failed := 0
	for _, m := range candidates {
		if s.excluded(now, m.Name) {
			failed++
		}
	}
	if failed >= maxFailedPeers {
		return Member{}, false
	}
	for _, i := range s.rng.Perm(len(candidates)) {
		m := candidates[i]
		if m.Name != s.cfg.Self && !s.excluded(now, m.Name) {
			return m, true
		}
	}
	return Member{}, false
}

// fallback selects the discovery service for lack of a peer, at a time that is drawn once: if all of size members do
// so, they make MaxCallRate calls a second.
func (s *Selector) fallback(now time.Duration, size int) Selection {
	if s.fallbackAt == 0 {
		seconds := s.rng.Float64() * float64(size) / s.cfg.MaxCallRate
		s.fallbackAt = now + time.Duration(seconds*float64(time.Second)) + 1
	}
	if delay := s.fallbackAt - now; delay > 0 {
		return Selection{Delay: delay}
	}
	return Selection{Discovery: true}
}

// ReportSuccess records that the selected source delivers the list.
func (s *Selector) ReportSuccess(now time.Duration, selected Selection) {
	if !s.working {
		s.working, s.workingSince = true, now
	}
	s.fallbackAt = 0
	delete(s.exclusions, selected.sourceName())
}

// ReportFailure records that the selected source does not deliver the list, or does not any longer.
func (s *Selector) ReportFailure(now time.Duration, selected Selection) {
	s.working = false
	if selected.Discovery {
		s.fallbackAt = 0
	}
	name := selected.sourceName()
	e := s.exclusions[name]
	duration := min(minExclusion<<min(e.failures, maxDoublings), maxExclusion)
	e.failures++
	e.until = now + time.Duration(float64(duration)*(0.5+s.rng.Float64()))
	if len(s.exclusions) >= maxExclusions && e.failures == 1 {
		s.removeExpiredExclusions(now)
	}
	if len(s.exclusions) < maxExclusions {
		s.exclusions[name] = e
	}
}

func (s *Selector) removeExpiredExclusions(now time.Duration) {
	for name, e := range s.exclusions {
		if now >= e.until {
			delete(s.exclusions, name)
		}
	}
}

// ShouldSwitch reports whether to leave a working source for a better one: that applies to a member that calls the
// discovery service for lack of a peer and does not need to any more, and to a root that follows a peer. Neither
// switches before minSourceTime has passed.
func (s *Selector) ShouldSwitch(now time.Duration, selected Selection) bool {
	if !s.working || now-s.workingSince < minSourceTime || !s.joined {
		return false
	}
	if s.isRoot() {
		return !selected.Discovery && !s.excluded(now, discoveryName)
	}
	if selected.Discovery {
		_, ok := s.selectPeer(now)
		return ok
	}
	isMember := slices.ContainsFunc(s.order, func(m Member) bool { return m.Name == selected.Peer.Name })
	return !isMember
}
