package configsim

import "hazelwing/internal/discovery/bootstrap"

// membershipView is the set of live members as one side of a partition sees it.
type membershipView struct {
	// version changes whenever the view changes; 0 before the view is first computed.
	version uint64
	live    []bool // whether each member is live, by member index
	members []bootstrap.Member
}

// updateViews computes the membership views and passes them to the members' selectors. The two regions have different
// views from the detection of a partition until the detection of its end.
func (c *Cluster) updateViews() {
	sides := 1
	sinceChange := c.Now - c.partitionChangedAt
	isPartitionDetected := c.partitioned && sinceChange >= c.config.DeathDetection
	isRejoinUndetected := !c.partitioned && c.partitionChangedAt > 0 && sinceChange < c.config.StartDetection
	if isPartitionDetected || isRejoinUndetected {
		sides = 2
	}
	for side := range sides {
		c.updateView(side, sides)
	}
	for _, m := range c.Members {
		side := 0
		if sides == 2 {
			side = c.region(&m.machine)
		}
		c.deliverView(m, side)
	}
}

// updateView computes the view of one side. If there is only one side, the view covers all members.
func (c *Cluster) updateView(side, sides int) {
	v := &c.views[side]
	changed := v.version == 0
	for i, m := range c.Members {
		live := c.detectedLive(m, v.live[i])
		if sides == 2 && c.region(&m.machine) != side {
			live = false
		}
		if live != v.live[i] {
			v.live[i], changed = live, true
		}
	}
	if !changed {
		return
	}
	v.version = uint64(c.Now) + 1
	v.members = v.members[:0]
	for i, m := range c.Members {
		if v.live[i] {
			v.members = append(v.members, bootstrap.Member{Name: m.name})
		}
	}
}

// detectedLive reports whether the view shows a member as live. The view shows a death only after DeathDetection, and a
// start or the end of a freeze only after StartDetection. Until then the member is not shown as live, even if its death
// was not detected before.
func (c *Cluster) detectedLive(m *Member, wasLive bool) bool {
	sinceChange := c.Now - m.changedAt
	isDeathUndetected := wasLive && sinceChange < c.config.DeathDetection
	switch {
	case m.frozen:
		return isDeathUndetected
	case m.up:
		return sinceChange >= c.config.StartDetection
	default:
		return isDeathUndetected
	}
}

// deliverView passes a side's view to a member's selector, unless the member already has this version.
func (c *Cluster) deliverView(m *Member, side int) {
	v := &c.views[side]
	version := v.version<<1 | uint64(side)
	if !m.up || m.viewVersion == version {
		return
	}
	m.viewVersion = version
	others := make([]bootstrap.Member, 0, len(v.members))
	for _, p := range v.members {
		if p.Name != m.name {
			others = append(others, p)
		}
	}
	m.selector.UpdateMembers(c.Now, others, len(others) > 0)
}
