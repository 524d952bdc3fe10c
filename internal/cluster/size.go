package cluster

import "time"

const (
	// sizeHoldTime is the minimum time for which a dead member counts for the estimated
	// size. It is also the time in which a configured size that is too high falls by half.
	// With a higher value, the estimate tolerates longer failures of many members, and
	// falls later after the cluster has become smaller.
	sizeHoldTime = time.Minute
	// sizeDecayInterval is an eighth of sizeHoldTime, so that the configured size falls in
	// small steps. Each step multiplies it by sizeDecayFactor, the eighth root of a half.
	sizeDecayInterval = sizeHoldTime / 8
	sizeDecayFactor   = 0.917
	// minLiveFraction is a fraction of the counted members: dead members stop counting
	// only while more than this fraction is live. With a higher value, the estimate also
	// withstands the apparent loss of a smaller part of the members. If these members are
	// really dead, however, it falls only when they are removed from the table.
	minLiveFraction = 2.0 / 3
)

// sizeEstimator estimates the number of members. From the estimate, the balancer derives
// the size of each member's subset of endpoints, the weight of other zones, and whether
// probes are worth their cost. If the members of each half of a partitioned cluster counted only
// their own half, they would load endpoints like members of a small cluster. Therefore the
// estimate rises at once and falls late:
//
//   - Until a message of another member has arrived, the estimate is the configured size.
//   - Members that are alive or suspect count. Members that announced that they leave stop
//     counting as soon as that is known.
//   - Dead members count for sizeHoldTime. They continue to count while at most
//     minLiveFraction of the counted members are live, because then this member may be the
//     one that is cut off. Members that were removed from the table never count.
//
// A configured size below the number of counted members has no effect. A configured size
// above it falls by half in each sizeHoldTime, because the view becomes more reliable than
// the settings with time. It does not fall while at most minLiveFraction of the counted
// members are live.
type sizeEstimator struct {
	estimate    int
	configured  float64       // the configured size after its decay so far
	started     bool          // whether decayedAt is set
	decayedAt   time.Duration // time of the latest decay step
	countedDead int           // number of dead members that count
}

func newSizeEstimator(configuredSize int) sizeEstimator {
	size := max(configuredSize, 1)
	return sizeEstimator{estimate: size, configured: float64(size)}
}

// setConfigured replaces the configured size.
func (s *sizeEstimator) setConfigured(size int) { s.configured = float64(max(size, 1)) }

// countDead counts a peer that has died. It does nothing for a peer that has left.
func (s *sizeEstimator) countDead(p *peer) {
	if p.State == Dead && !p.countedDead {
		p.countedDead = true
		s.countedDead++
	}
}

// uncountDead stops counting a peer as a dead member.
func (s *sizeEstimator) uncountDead(p *peer) {
	if p.countedDead {
		p.countedDead = false
		s.countedDead--
	}
}

// update updates the estimate. It returns the estimate and whether the estimate has changed.
func (s *sizeEstimator) update(c *Core) (estimate int, changed bool) {
	former := s.estimate
	if !c.joined {
		s.estimate = int(s.configured)
		return s.estimate, s.estimate != former
	}
	if !s.started {
		s.started = true
		s.decayedAt = c.now
	}
	if c.now-s.decayedAt >= sizeDecayInterval {
		s.decayedAt = c.now
		s.decay(c)
	}
	s.estimate = max(c.NumLive()+s.countedDead, int(s.configured))
	return s.estimate, s.estimate != former
}

// decay lowers the configured size and stops counting members that have been dead for
// sizeHoldTime. It does nothing unless more than minLiveFraction of the counted members
// are live.
func (s *sizeEstimator) decay(c *Core) {
	live := float64(c.NumLive())
	if live <= minLiveFraction*float64(c.NumLive()+s.countedDead) {
		return
	}
	s.configured *= sizeDecayFactor
	for _, p := range c.peers {
		if p.countedDead && c.now-p.departedAt >= sizeHoldTime {
			s.uncountDead(p)
		}
	}
}
