// Package bootstrap selects, without I/O, the upstream source of a sidecar's endpoint list while its cluster starts or
// recovers: the discovery service or another sidecar. It prevents the number of calls to the discovery service from
// growing with the cluster. docs/design/recovery.md compares the alternatives.
//
// All members are ordered by the hashes of their names. The first [Config.Roots] members call the discovery service.
// Each other member follows an earlier member, and [Config.FanOut] members follow the same one, so that the list is
// relayed down a tree. A member without a usable peer calls the discovery service itself after a random delay, which
// grows with the cluster: all such members together make about [Config.MaxCallRate] calls per second.
//
// Each member derives its place in the tree from its own membership view, so the members need not agree on anything.
// Members that follow only earlier ones cannot form a cycle. While membership views differ, the path that accompanies
// each list prevents cycles (internal/discovery/relay).
package bootstrap

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// defaultMaxCallRate is the default of Config.MaxCallRate, in calls per second.
	defaultMaxCallRate = 10
	// randomStream selects the random sequence of a Selector, so that it differs from other sequences of the same seed.
	randomStream = 11
)

// Member is a sidecar in the membership view of the cluster.
type Member struct {
	Name string
	Addr netip.AddrPort
}

// Config is the configuration of a Selector.
type Config struct {
	Self string // name of the member that the Selector works for
	// Roots is the number of members that call the discovery service; usually 3. A higher value tolerates the failure
	// of more roots, but makes more calls.
	Roots int
	// FanOut is the number of members that follow the same member; usually 16. A higher value makes the tree flatter,
	// so that changes arrive sooner, but each member serves more followers.
	FanOut int
	// MaxCallRate is how many calls per second all members without a usable peer together make to the discovery
	// service. The default is 10. A higher value shortens a start without peers, but puts more load on the service.
	MaxCallRate float64
	// ConfiguredSize is the number of sidecars according to the configuration. It replaces the size of the membership
	// view until another member is reached.
	ConfiguredSize int
	RandomSeed     uint64
}

// Selection is the source that a Selector has selected, or a delay before the next selection.
type Selection struct {
	// Delay is how long to wait before calling Select again, unless the membership view changes earlier. If it is above
	// 0, no source is selected.
	Delay     time.Duration
	Discovery bool   // the discovery service is selected
	Peer      Member // selected member, if neither Delay nor Discovery is set
}

// discoveryName is the name of the discovery service in the exclusionList. No member has an empty name.
const discoveryName = ""

// sourceName returns the name of the selected source.
func (s Selection) sourceName() string {
	if s.Discovery {
		return discoveryName
	}
	return s.Peer.Name
}

// Selector selects the source of one sidecar. All times are readings of one monotonic clock of the caller. A Selector
// is not safe for concurrent use.
type Selector struct {
	cfg       Config
	rng       *rand.Rand
	startedAt time.Duration

	order         []Member      // all members including this one, ordered by the hashes of their names
	rank          int           // index of this member in order, from 0
	joined        bool          // this member has reached another member at least once
	viewChangedAt time.Duration // time of the last call of UpdateMembers
	exclusions    *exclusionList

	// fallbackAt is when to call the discovery service because there is no usable peer; 0 if no time has been drawn.
	fallbackAt   time.Duration
	working      bool          // the selected source delivers the list
	workingSince time.Duration // valid if working
}

// New returns a Selector for a member that starts at now. Settings that are not positive are replaced by their minimum
// or default.
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
		exclusions: newExclusionList(),
	}
	s.UpdateMembers(now, nil, false)
	return s
}

// Select returns the source from which to obtain the list.
//
// While the membership view is settling, Select returns a delay (joinDelay). A root selects the discovery service, and
// any other member selects a peer, unless that source failed a short time ago (exclusionList); a root whose discovery
// service failed selects a peer too. If other sidecars are configured but none has been reached, or if no peer is
// usable, Select returns the discovery service after a random delay (fallback).
func (s *Selector) Select(now time.Duration) Selection {
	s.working = false
	if delay := s.joinDelay(now); delay > 0 {
		return Selection{Delay: delay}
	}
	if s.isAlone() {
		return s.fallback(now)
	}
	if s.isRoot() && !s.exclusions.contains(now, discoveryName) {
		return Selection{Discovery: true}
	}
	if s.fallbackAt == 0 || now < s.fallbackAt { // from fallbackAt on, no further peer is tried
		if peer, ok := s.selectPeer(now); ok {
			return Selection{Peer: peer}
		}
	}
	return s.fallback(now)
}

// ReportSuccess records that the selected source delivers the list.
func (s *Selector) ReportSuccess(now time.Duration, selected Selection) {
	if !s.working {
		s.working, s.workingSince = true, now
	}
	s.fallbackAt = 0
	s.exclusions.remove(selected.sourceName())
}

// ReportReachable records that a source that was not selected can be reached again, so that it may be selected.
//
// Guard: prevents a member that has reached no other one from never calling the discovery service: each successful
// probe would draw a new delay for it. This holds because the delay that was drawn stays.
func (s *Selector) ReportReachable(source Selection) { s.exclusions.remove(source.sourceName()) }

// ReportFailure records that the selected source does not deliver the list, or has stopped delivering it. The delay
// before a call of the discovery service begins with the first peer that fails, and not after the last one: each peer
// that cannot be reached takes the time of a dial, while the membership view still lists it.
func (s *Selector) ReportFailure(now time.Duration, selected Selection) {
	s.working = false
	if selected.Discovery {
		s.fallbackAt = 0
	} else {
		s.drawFallback(now)
	}
	s.exclusions.add(now, selected.sourceName(), s.rng.Float64())
}
