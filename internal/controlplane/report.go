package controlplane

import (
	"cmp"
	"slices"
)

// Limits of a Report. Higher values tell an operator more, and send more bytes from each member.
const (
	MaxRevisionCounts = 8   // maximum number of revisions that are counted separately
	MaxLaggards       = 64  // maximum number of members that are named
	MaxErrorLength    = 200 // maximum length of a laggard's error, in bytes
	// MaxReportSize is the maximum size of a Report as JSON, in bytes. A longer report is rejected.
	MaxReportSize = 48 << 10

	maxMembers = 1 << 20 // upper limit of each count in a received report
)

// Report describes a member or an origin together with all members that receive the snapshot through it.
type Report struct {
	Members         int             `json:"members"`           // number of members, each counted once
	Latest          Revision        `json:"latest"`            // highest revision that any of these members has
	Active          []RevisionCount `json:"acting,omitempty"`  // members by active revision, highest first
	OtherRevisions  int             `json:"others,omitempty"`  // members whose active revision is not in Active
	Laggards        []Laggard       `json:"lacking,omitempty"` // members on which Latest is not active
	UnnamedLaggards int             `json:"more,omitempty"`    // number of laggards that are not in Laggards
}

// RevisionCount is the number of members on which a revision is active.
type RevisionCount struct {
	Revision Revision `json:"stamp"`
	Count    int      `json:"n"`
}

// LaggardReason says why the latest snapshot is not active on a member.
type LaggardReason string

// Reasons of a Laggard.
const (
	ReasonBehind LaggardReason = "behind" // the member has not reported yet that the snapshot is active
	// ReasonDisconnected means that the member's connection has ended or that its reports have stopped, and that gossip
	// has not shown since then that the member is reachable and has the latest snapshot.
	ReasonDisconnected LaggardReason = "cut"
	// ReasonWaiting means that the member can reach an origin and has no upstream yet. It is in no other report, and
	// Report.Members does not count it.
	ReasonWaiting  LaggardReason = "waiting"
	ReasonRejected LaggardReason = "refused" // the member cannot activate the snapshot; Error says why
)

// laggardReasonOrder is the order of reasons in a report. Members that reject a snapshot come first, because only an
// operator can help them. Waiting members come next, because nothing else in the report shows that they exist.
var laggardReasonOrder = []LaggardReason{ReasonRejected, ReasonWaiting, ReasonDisconnected, ReasonBehind}

// rank returns the index of a reason in laggardReasonOrder. It returns 0 for an unknown reason, which another version
// of the program may send, so that such laggards come first.
func (r LaggardReason) rank() int { return max(slices.Index(laggardReasonOrder, r), 0) }

// Laggard is a member on which the latest snapshot is not active.
type Laggard struct {
	Name        string        `json:"name"`
	Active      Revision      `json:"acts"` // active revision, as last reported
	Reason      LaggardReason `json:"why"`
	Error       string        `json:"err,omitempty"`   // with ReasonRejected: the error's first MaxErrorLength bytes
	Descendants int           `json:"below,omitempty"` // unnamed members below this one that lag for the same reason
}

// Equal reports whether two reports have the same content.
func (r *Report) Equal(other *Report) bool {
	return r.Members == other.Members &&
		r.Latest == other.Latest &&
		r.OtherRevisions == other.OtherRevisions &&
		r.UnnamedLaggards == other.UnnamedLaggards &&
		slices.Equal(r.Active, other.Active) &&
		slices.Equal(r.Laggards, other.Laggards)
}

// LacksAnywhere reports whether a member that can be reached has not activated a revision or a later one: one of
// Members, or a waiting one. Disconnected members do not count.
func (r *Report) LacksAnywhere(revision Revision) bool {
	active := 0
	for _, c := range r.Active {
		if c.Revision.Compare(revision) >= 0 {
			active += c.Count
		}
	}
	return active != r.Members || slices.ContainsFunc(r.Laggards, func(l Laggard) bool {
		return l.Reason == ReasonWaiting && l.Active.Compare(revision) < 0
	})
}

// ActiveOn returns the number of members on which a revision is active; 0 if the revision is not in Active.
func (r *Report) ActiveOn(revision Revision) int {
	for _, c := range r.Active {
		if c.Revision == revision {
			return c.Count
		}
	}
	return 0
}

// mostActive returns the revision that is active on the largest number of members.
func (r *Report) mostActive() Revision {
	best := RevisionCount{}
	for _, c := range r.Active {
		if c.Count > best.Count {
			best = c
		}
	}
	return best.Revision
}

// truncate sorts the lists of a report and limits their lengths. It adds the counts of the entries that it removes to
// OtherRevisions and UnnamedLaggards.
func (r *Report) truncate() {
	slices.SortFunc(r.Active, func(x, y RevisionCount) int {
		return cmp.Or(
			y.Revision.Compare(x.Revision),
			cmp.Compare(y.Count, x.Count),
			cmp.Compare(x.Revision.Hash, y.Revision.Hash),
		)
	})
	for _, c := range r.Active[min(len(r.Active), MaxRevisionCounts):] {
		r.OtherRevisions += max(c.Count, 0)
	}
	r.Active = r.Active[:min(len(r.Active), MaxRevisionCounts)]
	slices.SortStableFunc(r.Laggards, func(x, y Laggard) int {
		return cmp.Or(cmp.Compare(x.Reason.rank(), y.Reason.rank()), cmp.Compare(x.Name, y.Name))
	})
	for _, l := range r.Laggards[min(len(r.Laggards), MaxLaggards):] {
		r.UnnamedLaggards += 1 + max(l.Descendants, 0)
	}
	r.Laggards = r.Laggards[:min(len(r.Laggards), MaxLaggards)]
}

// sanitize enforces all limits on a received report. It copies the lists, which belong to the sender.
func (r *Report) sanitize() {
	r.Active = slices.Clone(r.Active)
	r.Laggards = slices.Clone(r.Laggards)
	r.truncate()
	clampCount(&r.Members)
	clampCount(&r.OtherRevisions)
	clampCount(&r.UnnamedLaggards)
	r.Latest.sanitize()
	for i := range r.Active {
		clampCount(&r.Active[i].Count)
		r.Active[i].Revision.sanitize()
	}
	for i := range r.Laggards {
		r.Laggards[i].sanitize()
	}
}

func (l *Laggard) sanitize() {
	clampCount(&l.Descendants)
	l.Name = printable(l.Name, MaxNameLength)
	l.Error = printable(l.Error, MaxErrorLength)
	l.Active.sanitize()
	if !slices.Contains(laggardReasonOrder, l.Reason) {
		l.Reason = ReasonBehind
	}
}

// clampCount limits a received count to the range from 0 to maxMembers.
func clampCount(n *int) { *n = min(max(*n, 0), maxMembers) }
