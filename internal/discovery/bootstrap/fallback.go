package bootstrap

import "time"

const (
	// maxJoinDelay limits how long a member waits for the membership view after its start. A higher value causes fewer
	// calls to the discovery service while a cluster starts, but delays the start of each member.
	maxJoinDelay = time.Second
	// viewStableTime is how long the membership view must remain unchanged before it is used. A higher value tolerates
	// a slower membership protocol, but delays the start of each member.
	viewStableTime = 600 * time.Millisecond
)

// joinDelay returns how long this member must still wait for its membership view after the start; 0 or less means that
// the view can be used.
//
// The view can be used maxJoinDelay after the start or, if another member has been reached, once the view has not
// changed for viewStableTime, whichever is earlier. A member that is configured as the only sidecar does not wait. The
// wait prevents all members of a cluster that starts at once from calling the discovery service: the first view of each
// member contains only one or two others, which would make the member a root.
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

// fallback selects the discovery service for a member without a usable peer, after a random delay that is drawn once.
func (s *Selector) fallback(now time.Duration) Selection {
	s.drawFallback(now)
	if delay := s.fallbackAt - now; delay > 0 {
		return Selection{Delay: delay}
	}
	return Selection{Discovery: true}
}

// drawFallback draws the time from which this member may call the discovery service without a usable peer, unless it
// has been drawn already.
//
// The delay is such that all members together make Config.MaxCallRate calls per second. This prevents a cluster whose
// members cannot reach each other from overloading the discovery service.
func (s *Selector) drawFallback(now time.Duration) {
	if s.fallbackAt != 0 {
		return
	}
	size := len(s.order)
	if s.isAlone() {
		size = s.cfg.ConfiguredSize
	}
	seconds := s.rng.Float64() * float64(size) / s.cfg.MaxCallRate
	// 1 is added because 0 means that no time has been drawn.
	s.fallbackAt = now + time.Duration(seconds*float64(time.Second)) + 1
}

// isAlone reports whether other sidecars are configured, and none has been reached.
func (s *Selector) isAlone() bool { return !s.joined && s.cfg.ConfiguredSize > 1 }
