package origin

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	"hazelwing/internal/controlplane"
)

// Errors of checkWritable.
var (
	// ErrNotLeader says that this origin knows no leader that could accept a change.
	ErrNotLeader = errors.New("no majority of the origins is reachable: nothing changes, and the last snapshot stays")
	// errStarting says that this origin does not participate in consensus yet.
	errStarting = errors.New("this origin has just started, and has not heard enough of the others")
)

// withdrawnError says that this origin does not participate in consensus any more.
type withdrawnError struct{ reason string }

func (e *withdrawnError) Error() string { return "this origin takes no part: " + e.reason }

// membersAheadError says that members have a revision that conflicts with this origin's latest one.
type membersAheadError struct{ members, own controlplane.Revision }

func (e *membersAheadError) Error() string {
	return fmt.Sprintf("members hold %v (%.12s), and this origin has %v (%.12s): it is behind, "+
		"or the origins were rolled back; if that stays, found a higher epoch",
		e.members, e.members.Hash, e.own, e.own.Hash)
}

// noReportError says that no member has reported its revision since this origin's start.
type noReportError struct{ gracePeriod time.Duration }

func (e *noReportError) Error() string {
	return fmt.Sprintf("this origin has started within %v, and no member has told yet what it holds", e.gracePeriod)
}

// checkWritable returns why no change can be proposed now; nil if a change can be proposed.
//
// It checks the role of this origin, the time without a leader, and the revisions that members report. The last check
// prevents changes under versions that members already have: two texts would have the same version, and members would
// reject the new one.
func (n *Node) checkWritable(now time.Duration) error {
	report := n.clusterReport()
	switch {
	case n.rollbackReason != "":
		return &withdrawnError{reason: n.rollbackReason}
	case !n.participating:
		return errStarting
	case n.raft.BasicStatus().Lead == raft.None && n.leaderlessTicks >= maxLeaderlessTicks:
		return ErrNotLeader
	}
	own := n.comparableRevision()
	if ahead, ok := conflictingRevision(&report, own); ok {
		return &membersAheadError{members: ahead, own: own}
	}
	if report.Members == 0 && now-n.startedAt < n.cfg.StartupGracePeriod {
		return &noReportError{gracePeriod: n.cfg.StartupGracePeriod}
	}
	return nil
}

// comparableRevision returns the revision to compare with the members' revisions: the latest revision, or, before the
// first change of an epoch, one that is higher than all revisions of earlier epochs. Otherwise members that still have
// a revision of an earlier epoch would prevent the first change forever.
func (n *Node) comparableRevision() controlplane.Revision {
	if n.state.Version == 0 {
		return controlplane.Revision{Epoch: n.cfg.Epoch}
	}
	return n.revision()
}

// conflictingRevision returns a revision that members have and that conflicts with own: a later one, or the same
// version with different content. ok is false if there is none.
func conflictingRevision(
	r *controlplane.Report, own controlplane.Revision,
) (revision controlplane.Revision, ok bool) {
	if r.Latest.Compare(own) > 0 {
		return r.Latest, true
	}
	for _, c := range r.Active {
		if c.Revision.Compare(own) == 0 && c.Revision != own {
			return c.Revision, true
		}
	}
	return controlplane.Revision{}, false
}
