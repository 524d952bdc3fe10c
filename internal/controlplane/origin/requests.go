package origin

import (
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	"hazelwing/internal/controlplane"
)

// requestKind is the kind of a pending request.
type requestKind uint8

// Kinds of pending requests.
const (
	requestPropose requestKind = iota
	requestQuery
	requestRead
)

// pendingRequest is a request that waits for its result.
type pendingRequest struct {
	kind       requestKind
	id         string
	entry      []byte // proposals only: entry for the log
	readID     uint64 // queries and reads only: ID of the read index request
	readIndex  uint64 // queries and reads only: index to apply before the result is returned; 0 until raft responds
	sentAtTick int    // tick of the last attempt
	proposed   bool   // raft has accepted the proposal, which may take effect from then on
	first      bool   // proposals only: see Propose.First
	deadline   time.Duration
}

// result returns a Result with the latest revision.
func (n *Node) result(id string, outcome Outcome, reason string) Result {
	return Result{ID: id, Outcome: outcome, Revision: n.revision(), Error: reason}
}

// handlePropose checks a change and proposes it to raft. If no leader is known, the proposal waits until one is
// elected.
func (n *Node) handlePropose(now time.Duration, ev Propose, actions []Action) []Action {
	if ev.ID == "" || len(ev.ID) > MaxIDLength {
		reason := fmt.Sprintf("a push has an ID of 1 to %d bytes", MaxIDLength)
		return append(actions, n.result(ev.ID, OutcomeRejected, reason))
	}
	if outcome, ok := n.state.find(ev.ID); ok { // the change was proposed before
		return append(actions, n.resultOf(outcome, controlplane.HashText(ev.Text)))
	}
	if _, err := controlplane.ParseSnapshot(ev.Text); err != nil {
		return append(actions, n.result(ev.ID, OutcomeRejected, err.Error()))
	}
	if outcome, reason := n.checkProposal(now, &ev); reason != "" {
		return append(actions, n.result(ev.ID, outcome, reason))
	}
	p := pendingRequest{
		kind:       requestPropose,
		id:         ev.ID,
		entry:      encode(logEntry{ID: ev.ID, BaseVersion: ev.BaseVersion, Text: ev.Text}),
		deadline:   now + n.cfg.RequestTimeout,
		sentAtTick: n.ticks,
		first:      ev.First,
	}
	if n.raft.BasicStatus().Lead != raft.None {
		if err := n.raft.Propose(p.entry); err != nil {
			reason := "too much waits for a majority: " + err.Error()
			return append(actions, n.result(ev.ID, notProposed(ev.First), reason))
		}
		p.proposed = true
	}
	n.pending = append(n.pending, p)
	return actions
}

// checkProposal returns why a change cannot be proposed; the reason is empty if the change can be proposed.
func (n *Node) checkProposal(now time.Duration, ev *Propose) (outcome Outcome, reason string) {
	if err := n.checkWritable(now); err != nil {
		return notProposed(ev.First), err.Error()
	}
	if ev.BaseVersion < n.state.Version {
		reason := fmt.Sprintf("made after version %d, and %d is the latest", ev.BaseVersion, n.state.Version)
		if !ev.First && !n.state.remembersSuccessorOf(ev.BaseVersion) {
			return OutcomeUnknown, reason + "; the outcome of an earlier attempt is forgotten"
		}
		return OutcomeConflict, reason
	}
	if len(n.pending) >= MaxPendingRequests {
		return notProposed(ev.First), tooManyPending()
	}
	return "", ""
}

// notProposed returns the outcome of a change that this origin cannot propose to raft now. first is Propose.First.
//
// Guard: prevents a change from taking effect after its client was told that it will not. An earlier attempt may be in
// the log of an origin that was cut off from the majority, and be committed once the network heals; this origin may not
// have that entry. This holds because only a first attempt is answered OutcomeRejected.
func notProposed(first bool) Outcome {
	if first {
		return OutcomeRejected
	}
	return OutcomeUnknown
}

func tooManyPending() string {
	return fmt.Sprintf("%d pushes and questions wait already", MaxPendingRequests)
}

// handleRead processes a QueryOutcome or a ReadLatest. The result must wait until this origin has applied all entries
// that a majority has committed; raft's read index request returns the index of the last of them. A query whose outcome
// this origin knows already has its result at once.
func (n *Node) handleRead(now time.Duration, id string, kind requestKind, actions []Action) []Action {
	if outcome, ok := n.state.find(id); ok && kind == requestQuery {
		return append(actions, n.resultOf(outcome, outcome.Hash))
	}
	if !n.canStep() {
		reason := ""
		if err := n.checkWritable(now); err != nil {
			reason = err.Error()
		}
		return append(actions, n.result(id, OutcomeUnknown, reason))
	}
	if len(n.pending) >= MaxPendingRequests {
		return append(actions, n.result(id, OutcomeUnknown, tooManyPending()))
	}
	n.readSerial++
	n.pending = append(n.pending, pendingRequest{
		kind:       kind,
		id:         id,
		readID:     n.readSerial,
		deadline:   now + n.cfg.RequestTimeout,
		sentAtTick: n.ticks,
	})
	n.requestReadIndex(n.readSerial)
	return actions
}

// readContextSize is the size of the context of a read index request, in bytes. The context contains the IDs of this
// origin and of the request, 8 bytes each.
const readContextSize = 16

// requestReadIndex asks raft for the index of the last entry that a majority has committed. Without a leader it does
// nothing, and retryPending calls it again.
func (n *Node) requestReadIndex(readID uint64) {
	if n.raft.BasicStatus().Lead == raft.None {
		return
	}
	context := binary.BigEndian.AppendUint64(nil, n.id)
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(context, readID))
}

// handleReadStates records the responses to read index requests.
func (n *Node) handleReadStates(states []raft.ReadState) {
	for _, s := range states {
		if len(s.RequestCtx) != readContextSize || binary.BigEndian.Uint64(s.RequestCtx) != n.id {
			continue
		}
		readID := binary.BigEndian.Uint64(s.RequestCtx[8:])
		for i := range n.pending {
			if p := &n.pending[i]; p.kind != requestPropose && p.readID == readID {
				p.readIndex = max(s.Index, 1)
			}
		}
	}
}

// retryPending repeats requests without result, since the leader to which they were sent may have failed. The state
// machine applies a change once, however often it is proposed.
func (n *Node) retryPending() {
	if !n.canStep() {
		return
	}
	for i := range n.pending {
		p := &n.pending[i]
		hasLeader := n.raft.BasicStatus().Lead != raft.None
		neverSent := p.kind == requestPropose && !p.proposed
		isRecent := n.ticks-p.sentAtTick < retryTicks
		if p.readIndex > 0 || !hasLeader || isRecent && !neverSent {
			continue
		}
		p.sentAtTick = n.ticks
		if p.kind == requestPropose {
			p.proposed = n.raft.Propose(p.entry) == nil || p.proposed
		} else {
			n.requestReadIndex(p.readID)
		}
	}
}

// completePending appends the results of the pending requests that are complete, and removes these requests.
func (n *Node) completePending(now time.Duration, actions []Action) []Action {
	waiting := n.pending[:0]
	for _, p := range n.pending {
		if result, ok := n.completeRequest(now, &p); ok {
			actions = append(actions, result)
		} else {
			waiting = append(waiting, p)
		}
	}
	clear(n.pending[len(waiting):])
	n.pending = waiting
	return actions
}

// completeRequest returns the result of a pending request; ok is false if the request is not complete yet.
func (n *Node) completeRequest(now time.Duration, p *pendingRequest) (result Result, ok bool) {
	outcome, known := n.state.find(p.id)
	isExpired := now >= p.deadline || n.rollbackReason != ""
	switch {
	case p.kind == requestPropose && known:
		return n.resultOf(outcome, hashOfEntry(p.entry)), true
	case p.kind != requestPropose && p.readIndex > 0 && n.applied >= p.readIndex:
		return n.completeRead(p, outcome, known), true
	case isExpired && p.kind == requestPropose && !p.proposed:
		return n.result(p.id, notProposed(p.first), ErrNotLeader.Error()), true
	case isExpired:
		return n.result(p.id, OutcomeUnknown, "no majority has answered in time: ask again by ID"), true
	}
	return Result{}, false
}

// completeRead returns the result of a query or read whose readIndex was applied.
func (n *Node) completeRead(p *pendingRequest, outcome changeOutcome, known bool) Result {
	switch {
	case p.kind == requestRead:
		return n.result(p.id, OutcomeCurrent, "")
	case known:
		return n.resultOf(outcome, outcome.Hash)
	}
	return n.result(p.id, OutcomeNotFound, fmt.Sprintf("none of the last %d pushes has this ID", MaxOutcomes))
}

// resultOf returns the result for a change whose outcome is known. hash is the hash of the text that was proposed now;
// a query passes o.Hash, since it has no text.
func (n *Node) resultOf(o changeOutcome, hash string) Result {
	switch {
	case o.Hash != hash:
		return n.result(o.ID, OutcomeRejected, "another text was pushed under this ID")
	case o.Version == 0:
		return n.result(o.ID, OutcomeConflict, "another change came first")
	}
	revision := controlplane.Revision{Epoch: n.cfg.Epoch, Version: o.Version, Hash: o.Hash}
	return Result{ID: o.ID, Outcome: OutcomeAccepted, Revision: revision}
}

// hashOfEntry returns the hash of the text in an entry of the log; it is empty if the entry cannot be decoded.
func hashOfEntry(data []byte) string {
	var change logEntry
	if decode(data, &change) != nil {
		return ""
	}
	return controlplane.HashText(change.Text)
}
