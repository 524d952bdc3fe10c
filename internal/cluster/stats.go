package cluster

import (
	"cmp"
	"slices"
	"time"
)

// Member is one member of a Core's view.
type Member struct {
	Name string  `json:"name"`
	Addr Address `json:"addr"`
	Incarnation
	State State `json:"state"`
	// Since is the time on the Core's clock at which the member entered its state; 0 for the
	// Core's own member.
	Since      time.Duration `json:"since_ns"`
	ReportedBy string        `json:"by,omitempty"`
	Self       bool          `json:"self,omitempty"`
}

// Stats has statistics of a Core. Counters count since its start; the other numbers are
// current values.
type Stats struct {
	// Joining is set while no message of another member has arrived and there are seeds.
	Joining bool `json:"joining"`
	// HealthScore is Lifeguard's local health multiplier minus one. 0 is healthy, and 8
	// (maxHealthScore) is the worst. Probe intervals and timeouts are multiplied by
	// 1 + HealthScore.
	HealthScore      int `json:"health"`
	KnownMembers     int `json:"known"`
	LiveMembers      int `json:"live"`      // alive or suspect, including this member
	EstimatedSize    int `json:"count"`     // the estimated number of members; see sizeEstimator
	QueuedBroadcasts int `json:"queue"`     // updates waiting to be gossiped
	Notices          int `json:"words"`     // endpoint notices that are valid
	RemovedAddresses int `json:"forgotten"` // addresses of removed members that are still probed
	// The following fields are counters, except LastStallNS.
	Refutations        int   `json:"refuted"`       // updates about this member that it refuted
	Stalls             int   `json:"stalls"`        // number of times that this process was stalled
	NameConflicts      int   `json:"conflicts"`     // conflicts over this member's name beyond maxNameConflicts
	ForeignMessages    int   `json:"foreign"`       // messages of other clusters
	Rejected           int   `json:"refused"`       // messages, entries and notices that are invalid or exceed a limit
	Suspicions         int   `json:"accused"`       // suspicions that this member started after a failed probe
	DeclaredDead       int   `json:"buried"`        // members that this member declared dead
	TableFull          int   `json:"full"`          // updates about new members rejected because of a full table
	PushPullsThrottled int   `json:"unasked"`       // push-pull requests not answered because of the rate limit
	LastStallNS        int64 `json:"last_stall_ns"` // duration of the latest stall, in nanoseconds
}

// Stats returns the counters and the current numbers.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Joining = !c.joined && len(c.cfg.Seeds) > 0
	s.HealthScore = c.healthScore
	s.KnownMembers = len(c.peers) + 1
	s.LiveMembers = c.NumLive()
	s.EstimatedSize = c.size.estimate
	s.QueuedBroadcasts = c.broadcasts.len()
	s.Notices = len(c.notices)
	s.RemovedAddresses = len(c.removedAddresses)
	return s
}

// Members returns all known members sorted by name, including this member and dead ones.
func (c *Core) Members() []Member {
	list := []Member{{
		Name:        c.self.Name,
		Addr:        c.self.Addr,
		Incarnation: c.self.Incarnation,
		State:       c.self.State,
		Self:        true,
	}}
	for _, p := range c.peers {
		list = append(list, Member{
			Name:        p.Name,
			Addr:        p.Addr,
			Incarnation: p.Incarnation,
			State:       p.State,
			Since:       p.since,
			ReportedBy:  p.ReportedBy,
		})
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// NumLive returns the number of members that are alive or suspect, including this one.
func (c *Core) NumLive() int { return len(c.livePeers) + 1 }

// Incarnation returns this member's own incarnation.
func (c *Core) Incarnation() Incarnation { return c.self.Incarnation }

// Fingerprint returns the number of live members and a digest of them. Both include this
// member; after Leave, the digest does not. Equal views have equal fingerprints.
func (c *Core) Fingerprint() (live int, digest Digest) {
	return c.NumLive(), Digest(c.digestWithSelf())
}

// Joining reports whether no message of another member has arrived yet.
func (c *Core) Joining() bool { return !c.joined }

// TableFull returns the number of updates about new members that were rejected because the
// table was full.
func (c *Core) TableFull() int { return c.stats.TableFull }
