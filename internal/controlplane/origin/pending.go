package origin

import (
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	"hazelwing/internal/controlplane"
)

// pending is a push or a question that waits for its answer.
type pending struct {
	kind  pendingKind
	id    string
	data  []byte // pushed: the log's entry
	mark  uint64 // asked, readers: of the question to raft
	index uint64 // which the machine has to reach first; 0: raft has not answered
	sent  int    // at this tick, last
	put   bool   // pushed: raft has taken it, so that it may come to be
	until time.Duration
}

type pendingKind uint8

const (
	pushed pendingKind = iota
	asked
	readers
)

// propose checks a push and puts it to the log.
func (n *Node) propose(now time.Duration, ev Propose, out []Action) []Action {
	answer := func(o Outcome, why string) []Action {
		return append(out, Result{ev.ID, o, n.state.stamp(n.cfg.Epoch), why})
	}
	if ev.ID == "" || len(ev.ID) > MaxIDLength {
		return answer(OutcomeRejected, fmt.Sprintf("a push has an ID of 1 to %d bytes", MaxIDLength))
	}
	if e, ok := n.state.find(ev.ID); ok { // it was pushed before
		return append(out, n.ended(e, controlplane.HashText(ev.Text)))
	}
	if _, err := controlplane.ParseSnapshot(ev.Text); err != nil {
		return answer(OutcomeRejected, err.Error())
	}
	if why := n.cannot(now); why != "" {
		return answer(OutcomeRejected, why)
	}
	if ev.BaseVersion < n.state.Version {
		return answer(OutcomeConflict, fmt.Sprintf("made after version %d, and %d is the latest", ev.BaseVersion, n.state.Version))
	}
	if len(n.pending) >= MaxPendingRequests {
		return answer(OutcomeRejected, fmt.Sprintf("%d pushes and questions wait already", MaxPendingRequests))
	}
	p := pending{kind: pushed, id: ev.ID, data: encode(change{ev.ID, ev.BaseVersion, ev.Text}), until: now + n.cfg.RequestTimeout, sent: n.ticks}
	if n.rn.BasicStatus().Lead != raft.None { // else it waits for the one that is being elected
		if err := n.rn.Propose(p.data); err != nil {
			return answer(OutcomeRejected, "too much waits for a majority: "+err.Error())
		}
		p.put = true
	}
	n.pending = append(n.pending, p)
	return out
}

const noMajority = "no majority of the origins is reachable: nothing changes, and the last snapshot stays"

// cannot is why no push is taken now; empty: one is.
func (n *Node) cannot(now time.Duration) string {
	report := n.sum()
	switch own := n.own(); {
	case n.rolled != "":
		return "this origin takes no part: " + n.rolled
	case !n.ready:
		return "this origin has just started, and has not heard enough of the others"
	case n.rn.BasicStatus().Lead == raft.None && n.alone >= electionWait:
		return noMajority
	case later(&report, own) != own:
		x := later(&report, own)
		return fmt.Sprintf("members hold %v (%.12s), and this origin has %v (%.12s): it is behind, or the origins were rolled back; if that stays, found a higher epoch", x, x.Hash, own, own.Hash)
	case report.Members == 0 && now-n.begun < n.cfg.StartupGracePeriod:
		return fmt.Sprintf("this origin has started within %v, and no member has told yet what it holds", n.cfg.StartupGracePeriod)
	}
	return ""
}

// own is what the members' stamps are held against: the latest, or, before the first change of an epoch, that of its founding. Guards
// against a founding that what members hold of the epoch before it would hinder for good.
func (n *Node) own() controlplane.Revision {
	if n.state.Version == 0 {
		return controlplane.Revision{Epoch: n.cfg.Epoch}
	}
	return n.state.stamp(n.cfg.Epoch)
}

// later is what members hold that own cannot come before: a later one, or another content under its version; own itself: there is none.
func later(r *controlplane.Report, own controlplane.Revision) controlplane.Revision {
	if r.Latest.Compare(own) > 0 {
		return r.Latest
	}
	for _, a := range r.Active {
		if a.Revision.Compare(own) == 0 && a.Revision != own {
			return a.Revision
		}
	}
	return own
}

// question is a read of what a majority holds, or of what became of a push.
func (n *Node) question(now time.Duration, id string, kind pendingKind, out []Action) []Action {
	if e, ok := n.state.find(id); ok && kind == asked {
		return append(out, n.ended(e, e.Hash))
	}
	switch {
	case n.rolled != "" || !n.ready:
		return append(out, Result{id, OutcomeUnknown, n.state.stamp(n.cfg.Epoch), n.cannot(now)})
	case len(n.pending) >= MaxPendingRequests:
		return append(out, Result{id, OutcomeUnknown, n.state.stamp(n.cfg.Epoch), fmt.Sprintf("%d pushes and questions wait already", MaxPendingRequests)})
	}
	n.serial++
	p := pending{kind: kind, id: id, mark: n.serial, until: now + n.cfg.RequestTimeout, sent: n.ticks}
	n.pending = append(n.pending, p)
	n.readIndex(p.mark)
	return out
}

func (n *Node) readIndex(mark uint64) {
	if n.rn.BasicStatus().Lead != raft.None {
		n.rn.ReadIndex(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, n.id), mark))
	}
}

// reads are raft's answers: what had been accepted when the question came lies up to that index.
func (n *Node) reads(list []raft.ReadState) {
	for _, r := range list {
		if len(r.RequestCtx) != 16 || binary.BigEndian.Uint64(r.RequestCtx) != n.id {
			continue
		}
		for i := range n.pending {
			if p := &n.pending[i]; p.kind != pushed && p.mark == binary.BigEndian.Uint64(r.RequestCtx[8:]) {
				p.index = max(r.Index, 1)
			}
		}
	}
}

// again sends what got no answer once more: its leader may have gone. The machine takes a push once, whoever sent it how often.
func (n *Node) again(now time.Duration) {
	if !n.ready || n.rolled != "" {
		return
	}
	for i := range n.pending {
		p := &n.pending[i]
		lead := n.rn.BasicStatus().Lead != raft.None
		if p.index > 0 || !lead || n.ticks-p.sent < againTicks && (p.put || p.kind != pushed) {
			continue
		}
		p.sent = n.ticks
		if p.kind == pushed {
			p.put = n.rn.Propose(p.data) == nil || p.put
		} else {
			n.readIndex(p.mark)
		}
	}
}

// answers those that can be.
func (n *Node) answers(now time.Duration, out []Action) []Action {
	rest := n.pending[:0]
	for _, p := range n.pending {
		e, ok := n.state.find(p.id)
		switch {
		case p.kind == pushed && ok:
			out = append(out, n.ended(e, hashIn(p.data)))
		case p.kind != pushed && p.index > 0 && n.applied >= p.index:
			out = append(out, n.answered(p, e, ok))
		case (now >= p.until || n.rolled != "") && p.kind == pushed && !p.put:
			out = append(out, Result{p.id, OutcomeRejected, n.state.stamp(n.cfg.Epoch), noMajority})
		case now >= p.until || n.rolled != "":
			out = append(out, Result{p.id, OutcomeUnknown, n.state.stamp(n.cfg.Epoch), "no majority has answered in time: ask again by ID"})
		default:
			rest = append(rest, p)
		}
	}
	clear(n.pending[len(rest):])
	n.pending = rest
	return out
}

func (n *Node) answered(p pending, e ending, ok bool) Result {
	switch {
	case p.kind == readers:
		return Result{ID: p.id, Outcome: OutcomeCurrent, Revision: n.state.stamp(n.cfg.Epoch)}
	case ok:
		return n.ended(e, e.Hash)
	}
	return Result{ID: p.id, Outcome: OutcomeNotFound, Revision: n.state.stamp(n.cfg.Epoch), Error: fmt.Sprintf("none of the last %d pushes has this ID", MaxOutcomes)}
}

// ended is the answer to a push whose text has this hash.
func (n *Node) ended(e ending, hash string) Result {
	switch {
	case e.Hash != hash:
		return Result{e.ID, OutcomeRejected, n.state.stamp(n.cfg.Epoch), "another text was pushed under this ID"}
	case e.Version == 0:
		return Result{e.ID, OutcomeConflict, n.state.stamp(n.cfg.Epoch), "another change came first"}
	}
	return Result{ID: e.ID, Outcome: OutcomeAccepted, Revision: controlplane.Revision{Epoch: n.cfg.Epoch, Version: e.Version, Hash: e.Hash}}
}
