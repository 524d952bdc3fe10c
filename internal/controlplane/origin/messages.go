package origin

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// handleMessage processes a message from another origin.
func (n *Node) handleMessage(now time.Duration, ev Message, actions []Action) []Action {
	e, m, err := n.decodeEnvelope(ev.Data)
	if err != nil {
		return n.rejectMessage(now, ev.From, err, actions)
	}
	from := n.names[e.From-1]
	n.mergeEnvelope(now, e, from)
	// A higher write number shows that the store was rolled back: this origin has lost votes and acknowledgements on
	// which other origins still rely.
	if known := e.WriteNumbers[n.id-1]; known > n.writeNumber {
		return n.withdraw(now, actions, fmt.Sprintf(
			"its store was rolled back: %s knows of write %d, and the store's last is %d", from, known, n.writeNumber))
	}
	if !n.heardFrom[e.From-1] {
		n.heardFrom[e.From-1] = true
		n.tryParticipate()
	}
	if m == nil || !n.canStep() {
		return actions
	}
	return n.stepRaft(now, from, m, actions)
}

// rejectMessage counts and logs a message that is not valid.
func (n *Node) rejectMessage(now time.Duration, from string, err error, actions []Action) []Action {
	kind := LogCorrupt
	if errors.Is(err, errForeignMessage) {
		kind = LogForeign
		n.foreignMessages++
	} else {
		n.corruptMessages++
	}
	return n.logMessage(now, actions, kind, fmt.Sprintf("from %s: %v", from, err))
}

// mergeEnvelope records the write numbers, the withdrawal and the report of another origin.
func (n *Node) mergeEnvelope(now time.Duration, e *envelope, from string) {
	for i, number := range e.WriteNumbers {
		if uint64(i+1) != n.id {
			n.writeNumbers[i] = max(n.writeNumbers[i], number)
		}
	}
	if e.RolledBack && !slices.Contains(n.rolledBackPeers, from) {
		n.rolledBackPeers = append(n.rolledBackPeers, from)
	}
	if e.Report != nil {
		n.peerReports.Add(now, from, *e.Report)
	}
}

// tryParticipate starts to participate in consensus once this origin has heard from all others since its start, or,
// after startupTicks, from enough of them to form a majority with itself.
//
// The wait prevents an origin whose store was rolled back from voting twice in a term, or from acknowledging other
// entries in place of those that it had acknowledged. Either could lose an accepted change. During the wait, an origin
// that knows of the lost writes sends a higher write number than the store has, and this origin withdraws.
func (n *Node) tryParticipate() {
	if n.participating || n.rollbackReason != "" || n.raft == nil {
		return
	}
	heard := 1
	for _, h := range n.heardFrom {
		if h {
			heard++
		}
	}
	missing := len(n.names) - heard
	isMajority := heard > missing
	if missing > 0 && (n.ticks < startupTicks || !isMajority) {
		return
	}
	n.participating = true
	n.resetElectionTimeout()
}

// stepRaft passes a message to raft.
func (n *Node) stepRaft(now time.Duration, from string, m *raftpb.Message, actions []Action) []Action {
	// Raft panics if the leader has committed an entry that is missing in this log.
	last, _ := n.log.LastIndex() // a MemoryStorage returns no error here
	if m.GetType() == raftpb.MsgHeartbeat && m.GetCommit() > last && m.GetTerm() >= n.root.Term {
		return n.withdraw(now, actions, fmt.Sprintf(
			"its store was rolled back: %s counts on entry %d, and the last one here is %d", from, m.GetCommit(), last))
	}
	vote := n.vote()
	if err := n.raft.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		n.corruptMessages++
		return n.logMessage(now, actions, LogCorrupt, fmt.Sprintf("from %s: %v", from, err))
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if n.raft.BasicStatus().Lead == m.GetFrom() {
			n.heardLeader()
		}
	case raftpb.MsgVote:
		if v := n.vote(); v != vote && v == m.GetFrom() {
			n.resetElectionTimeout()
		}
	}
	return actions
}

// vote returns the ID of the origin for which this one has voted in the current term; 0 if there is none.
func (n *Node) vote() uint64 {
	status := n.raft.BasicStatus()
	return status.GetVote()
}
