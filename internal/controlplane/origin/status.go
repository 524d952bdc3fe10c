package origin

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwing/internal/controlplane"
)

// sum is of all members, as this origin and the others heard.
func (n *Node) sum() controlplane.Report {
	all := n.others
	return all.With(n.names[n.id-1], n.members.Aggregate(n.state.stamp(n.cfg.Epoch), nil)).Aggregate(n.state.stamp(n.cfg.Epoch), nil)
}

// Status says how it is.
func (n *Node) Status() Status {
	s := Status{Self: n.cfg.Self, Epoch: n.cfg.Epoch, Role: n.current(), Revision: n.state.stamp(n.cfg.Epoch), RolledBack: slices.Clone(n.outs), Report: n.sum(), ForeignMessages: n.foreign, CorruptMessages: n.broken}
	if n.rn != nil && n.ready {
		if lead := n.rn.BasicStatus().Lead; lead != raft.None {
			s.Leader = n.names[lead-1]
		}
	}
	if x := later(&s.Report, n.own()); x != n.own() {
		s.Ahead = x
	}
	if n.rolled != "" {
		s.RolledBack = append(s.RolledBack, n.cfg.Self)
	}
	return s
}

func (n *Node) current() Role {
	switch {
	case n.rolled != "":
		return RoleRolledBack
	case !n.ready:
		return RoleStarting
	}
	switch s := n.rn.BasicStatus(); {
	case s.RaftState == raft.StateLeader:
		return RoleLeader
	case s.Lead != raft.None:
		return RoleFollower
	}
	return RoleNoLeader
}

// parts notes when it takes another part.
func (n *Node) parts(now time.Duration, out []Action) []Action {
	part := n.current()
	if part == n.part {
		return out
	}
	n.part = part
	if part != RoleRolledBack {
		out = n.note(now, out, controlplane.LogKind(part), fmt.Sprintf("at %v", n.state.stamp(n.cfg.Epoch)))
	}
	return out
}

func marshalEntry(e *raftpb.Entry) []byte {
	data, err := proto.Marshal(e)
	if err != nil {
		panic(err) // raft's own
	}
	return data
}

// hashIn is that of the text of a log's entry.
func hashIn(data []byte) string {
	var c change
	if decode(data, &c) != nil {
		return ""
	}
	return controlplane.HashText(c.Text)
}
