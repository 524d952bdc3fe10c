package bootstrap

import (
	"slices"
	"time"
)

// minSourceTime is the minimum time for which a working source is used, even if there is a better one. This prevents
// members from switching their sources with every change of the membership view. A higher value switches less often,
// but members that are not roots call the discovery service for longer.
const minSourceTime = 15 * time.Second

// ShouldSwitch reports whether to replace a working source by a better one. It returns false until the source has
// worked for minSourceTime and this member has reached another one. After that it returns true in these cases:
//   - this member is a root, follows a peer, and the discovery service did not fail a short time ago;
//   - this member is not a root, calls the discovery service, and can follow a peer;
//   - this member is not a root, and the peer that it follows is no longer in the membership view.
func (s *Selector) ShouldSwitch(now time.Duration, selected Selection) bool {
	if !s.working || now-s.workingSince < minSourceTime || !s.joined {
		return false
	}
	if s.isRoot() {
		return !selected.Discovery && !s.exclusions.contains(now, discoveryName)
	}
	if selected.Discovery {
		_, ok := s.selectPeer(now)
		return ok
	}
	isMember := slices.ContainsFunc(s.order, func(m Member) bool { return m.Name == selected.Peer.Name })
	return !isMember
}
