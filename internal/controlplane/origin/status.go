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
	RoleStarting   Role = "starting"    // it has not heard from enough of the others yet
	RoleLeader     Role = "leads"       // a majority follows it
	RoleFollower   Role = "follows"     // it follows another one
	RoleNoLeader   Role = "no majority" // it knows no leader: it serves what it has and changes nothing
	RoleRolledBack Role = "rolled back" // its store has lost writes: it has withdrawn from its epoch
)

// Status is what an origin knows.
type Status struct {
	Self            string                `json:"self"`
	Epoch           uint64                `json:"epoch"`
	Role            Role                  `json:"part"`
	Leader          string                `json:"leader,omitempty"`
	Revision        controlplane.Revision `json:"stamp"`
	Ahead           controlplane.Revision `json:"ahead"`  // that members have: changes are rejected
	RolledBack      []string              `json:"rolled"` // origins that have withdrawn
	Report          controlplane.Report   `json:"report"` // of all members, as this origin and the others know them
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

// clusterReport sums up all members, as this origin and the others know them.
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

// updateRole logs a change of the role.
func (n *Node) updateRole(now time.Duration, actions []Action) []Action {
	role := n.currentRole()
	if role == n.role {
		return actions
	}
	n.role = role
	if role == RoleRolledBack { // withdraw has logged it
		return actions
	}
	return n.logMessage(now, actions, controlplane.LogKind(role), fmt.Sprintf("at %v", n.revision()))
}
