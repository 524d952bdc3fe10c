package origin

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"hazelwing/internal/controlplane"
)

// Role is the role of an origin.
type Role string

// Roles.
const (
	RoleStarting   Role = "starting"    // the origin has not heard from enough of the others yet
	RoleLeader     Role = "leads"       // a majority follows the origin
	RoleFollower   Role = "follows"     // the origin follows another one
	RoleNoLeader   Role = "no majority" // the origin knows no leader: it serves its snapshot and accepts no change
	RoleRolledBack Role = "rolled back" // the origin's store has lost writes: it has withdrawn until a higher epoch
)

// Status is the status of an origin, and of the cluster as this origin knows it.
type Status struct {
	Self            string                `json:"self"`
	Epoch           uint64                `json:"epoch"`
	Role            Role                  `json:"part"`
	Leader          string                `json:"leader,omitempty"`
	Revision        controlplane.Revision `json:"stamp"`
	Ahead           controlplane.Revision `json:"ahead"`  // revision of members that prevents changes; zero if none
	RolledBack      []string              `json:"rolled"` // origins that have withdrawn
	Report          controlplane.Report   `json:"report"` // report of all members of the cluster
	ForeignMessages int                   `json:"foreign"`
	CorruptMessages int                   `json:"broken"`
}

// Status returns the origin's status.
func (n *Node) Status() Status {
	s := Status{
		Self:            n.cfg.Self,
		Epoch:           n.cfg.Epoch,
		Role:            n.currentRole(),
		Revision:        n.revision(),
		RolledBack:      slices.Clone(n.rolledBackPeers),
		Report:          n.clusterReport(),
		ForeignMessages: n.foreignMessages,
		CorruptMessages: n.corruptMessages,
	}
	if n.raft != nil && n.participating {
		if lead := n.raft.BasicStatus().Lead; lead != raft.None {
			s.Leader = n.names[lead-1]
		}
	}
	if ahead, ok := conflictingRevision(&s.Report, n.comparableRevision()); ok {
		s.Ahead = ahead
	}
	if n.rollbackReason != "" {
		s.RolledBack = append(s.RolledBack, n.cfg.Self)
	}
	return s
}

// revision returns the revision of the state machine.
func (n *Node) revision() controlplane.Revision { return n.state.revision(n.cfg.Epoch) }

// clusterReport returns a report of all members, from the reports that this origin and the others have received.
func (n *Node) clusterReport() controlplane.Report {
	own := n.memberReports.Aggregate(n.revision(), nil)
	return n.peerReports.With(n.names[n.id-1], own).Aggregate(n.revision(), nil)
}

func (n *Node) currentRole() Role {
	switch {
	case n.rollbackReason != "":
		return RoleRolledBack
	case !n.participating:
		return RoleStarting
	}
	switch s := n.raft.BasicStatus(); {
	case s.RaftState == raft.StateLeader:
		return RoleLeader
	case s.Lead != raft.None:
		return RoleFollower
	}
	return RoleNoLeader
}

// updateRole records and logs a change of the role.
func (n *Node) updateRole(now time.Duration, actions []Action) []Action {
	role := n.currentRole()
	if role == n.role {
		return actions
	}
	n.role = role
	if role == RoleRolledBack { // NewNode or withdraw has logged the reason
		return actions
	}
	return n.logMessage(now, actions, controlplane.LogKind(role), fmt.Sprintf("at revision %v", n.revision()))
}
