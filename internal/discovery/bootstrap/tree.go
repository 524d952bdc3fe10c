package bootstrap

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxFailedPeers is the number of excluded peers at which a member stops trying further peers, and calls the discovery
// service instead. A higher value makes fewer such calls, but leaves a member without a list for longer.
const maxFailedPeers = 3

// UpdateMembers sets the membership view. others are the live members without this one; joined reports whether this
// member has ever reached another one.
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

// Rank returns the index of this member in the order of the members, from 0. Members with a rank below Config.Roots are
// roots.
func (s *Selector) Rank() int { return s.rank }

// isRoot reports whether this member is one of those that call the discovery service.
func (s *Selector) isRoot() bool { return s.rank < s.cfg.Roots }

// selectPeer returns the member to follow; false if the discovery service must be called instead.
//
// It selects the parent in the tree. If the parent failed a short time ago, it selects a random earlier member, so that
// the followers of a failed member spread over all earlier members and do not overload a single one. A root, which only
// follows a peer if it cannot reach the discovery service, selects any member at random.
func (s *Selector) selectPeer(now time.Duration) (Member, bool) {
	candidates := s.order // for a root also its followers: the path of their list contains the root, which rejects it
	if !s.isRoot() {
		parent := s.order[(s.rank-s.cfg.Roots)/s.cfg.FanOut]
		if !s.exclusions.contains(now, parent.Name) {
			return parent, true
		}
		candidates = s.order[:s.rank]
	}
	failed := 0
	for _, m := range candidates {
		if s.exclusions.contains(now, m.Name) {
			failed++
		}
	}
	if failed >= maxFailedPeers {
		return Member{}, false
	}
	for _, i := range s.rng.Perm(len(candidates)) {
		m := candidates[i]
		if m.Name != s.cfg.Self && !s.exclusions.contains(now, m.Name) {
			return m, true
		}
	}
	return Member{}, false
}
