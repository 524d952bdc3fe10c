package origin

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"hazelwing/internal/controlplane"
)

const (
	defaultTick   = 100 * time.Millisecond
	defaultWait   = 4 * time.Second
	defaultSettle = 3 * time.Second

	heartbeatTicks = 2
	electionTicks  = 10
	againLeast     = 2                 // ticks until it seeks to lead again, at least; electionTicks at most
	mostTicks      = 2 * electionTicks // that one Tick makes up for
	helloTicks     = 10                // between two messages to another origin that nothing else was told
	startTicks     = 30                // how long a start waits for all others; then a majority with itself will do
	electionWait   = 2 * electionTicks // how long without a leader pushes still wait for one
	againTicks     = 10                // a push or a question that has no answer is sent again
	reportTicks    = 3                 // between two reports to the others
	refreshTicks   = 50                // between two that say the same
	// The log is cut to the last snapshot when so many entries or bytes lie before it.
	mostApplied      = 16
	mostAppliedBytes = 2 * controlplane.MaxSnapshotSize

	silentFor = 30 * time.Second // a member that reports nothing for so long is gone
	cutFor    = time.Minute      // and named as cut for so long
	// otherFor is how long another origin's report counts. Guards against a sum of members that have long gone to this one.
	otherFor = 15 * time.Second
)

// Node is one origin.
type Node struct {
	cfg   Config
	id    uint64
	key   string
	rng   *rand.Rand
	rn    *raft.RawNode // nil: its store is damaged
	ms    *raft.MemoryStorage
	names []string // by identity, from 1

	// Of the store.
	root    root
	mark    uint64 // of the last Persist
	seen    []uint64
	rolled  string // why it takes no part; empty: it does
	written []blob // entries that the root names, oldest first
	kept    int    // parts of the snapshot that it names

	state   machine
	applied uint64
	told    controlplane.Revision // published last
	since   uint64                // bytes of entries applied since the snapshot

	begun   time.Duration
	ticked  time.Duration
	ticks   int // since the start
	heard   []bool
	ready   bool // it takes part
	quiet   int  // ticks since the leader was heard
	alone   int  // ticks without a leader
	due     int  // ticks of quiet after which it seeks to lead
	spoke   []int
	outs    []string // origins that say that they were rolled back
	pending []pending
	serial  uint64

	members controlplane.ReportAggregator // that follow this origin
	others  controlplane.ReportAggregator // sums by origin
	toldSum controlplane.Report
	toldAt  int

	notes           controlplane.LogThrottle
	part            Role
	foreign, broken int
}

var errForeign = errors.New("it is of another founding")

// New makes a Node that starts at now from what its store holds; Config.Founding may be empty, and is the store's then, else the two
// have to be the same.
func NewNode(c Config, s *State, now time.Duration) (*Node, []Action, error) {
	if len(c.Origins) == 0 && c.Cluster == "" && c.Epoch == 0 {
		c.BootstrapConfig = s.Bootstrap
	} else if c.BootstrapConfig.key() != s.Bootstrap.key() {
		return nil, nil, fmt.Errorf("the store was founded for fleet %q, epoch %d, origins %q; the settings say %q, %d, %q", s.Bootstrap.Cluster, s.Bootstrap.Epoch, s.Bootstrap.Origins, c.Cluster, c.Epoch, c.Origins)
	}
	c.TickInterval, c.RequestTimeout, c.StartupGracePeriod = cmp.Or(c.TickInterval, defaultTick), cmp.Or(c.RequestTimeout, defaultWait), cmp.Or(c.StartupGracePeriod, defaultSettle)
	n := &Node{cfg: c, names: slices.Sorted(slices.Values(c.Origins)), rng: rand.New(rand.NewPCG(c.Seed, 44)), begun: now, ticked: now}
	i, ok := slices.BinarySearch(n.names, c.Self)
	if !ok {
		return nil, nil, fmt.Errorf("%q is none of the origins that were founded: %q", c.Self, n.names)
	}
	n.id, n.key = uint64(i+1), c.BootstrapConfig.key()
	n.seen, n.heard, n.spoke = make([]uint64, len(n.names)), make([]bool, len(n.names)), make([]int, len(n.names))
	n.draw()
	ms, r, err := s.restore()
	var out []Action
	switch {
	case errors.Is(err, errDamaged):
		n.rolled = err.Error()
	case err != nil:
		return nil, nil, err
	}
	if r != nil {
		n.root, n.mark, n.kept, n.seen = *r, r.Mark, partsOf(s.Records, snapshotKey(r.Index)), r.Seen
		n.rolled = cmp.Or(r.Rolled, n.rolled)
	}
	if ms == nil {
		return n, n.note(now, out, "rolled back", n.rolled), nil
	}
	snap, err := ms.Snapshot()
	if err != nil {
		return nil, nil, err
	}
	if err := decode(snap.GetData(), &n.state); err != nil {
		return nil, nil, fmt.Errorf("the snapshot in the store: %w", err)
	}
	n.applied = r.Index
	n.ms = ms
	last, _ := ms.LastIndex()
	for i := r.Index + 1; i <= last; i++ {
		term, _ := ms.Term(i)
		n.written = append(n.written, blob{i, term, partsOf(s.Records, entryKey(i, term))})
	}
	n.rn, err = raft.NewRawNode(&raft.Config{
		ID: n.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: ms, Applied: r.Index, MaxSizePerMsg: controlplane.MaxSnapshotSize,
		MaxUncommittedEntriesSize: MaxUncommittedSize, MaxInflightMsgs: 8, MaxInflightBytes: 4 * controlplane.MaxSnapshotSize, CheckQuorum: true, PreVote: true, Logger: silent{},
	})
	if err != nil {
		return nil, nil, err
	}
	if g := s.garbage(r, ms); len(g) > 0 { // a crash lay between the root and its deletes
		out = append(out, Persist{g})
	}
	out = n.turn(now, out)
	if n.rolled != "" {
		out = n.note(now, out, "rolled back", n.rolled)
	}
	return n, out, nil
}

// draw sets when it seeks to lead: at a time by chance, its own, so that two do not do so together again and again.
func (n *Node) draw() { n.quiet, n.due = 0, electionTicks+n.rng.IntN(electionTicks) }

// Handle takes an event in. It never blocks.
func (n *Node) Handle(now time.Duration, ev Event) (out []Action) {
	switch ev := ev.(type) {
	case Message:
		out = n.message(now, ev, out)
	case Propose:
		out = n.propose(now, ev, out)
	case QueryOutcome:
		out = n.question(now, ev.ID, asked, out)
	case ReadLatest:
		out = n.question(now, ev.ID, readers, out)
	case ReportReceived:
		n.members.Add(now, ev.From, ev.Report)
	case SubscriberDisconnected:
		n.members.Disconnect(now, ev.From, cutFor)
	case Tick:
		out = n.tick(now, out)
	}
	out = n.turn(now, out)
	out = n.answers(now, out)
	return n.parts(now, out)
}

// message takes one from another origin.
func (n *Node) message(now time.Duration, ev Message, out []Action) []Action {
	e, m, err := n.open(ev.Data)
	switch {
	case errors.Is(err, errForeign):
		n.foreign++
		return n.note(now, out, "foreign", fmt.Sprintf("from %s: %v", ev.From, err))
	case err != nil:
		n.broken++
		return n.note(now, out, "broken", fmt.Sprintf("from %s: %v", ev.From, err))
	}
	from := n.names[e.From-1]
	for i, mark := range e.Marks {
		if uint64(i+1) != n.id {
			n.seen[i] = max(n.seen[i], mark)
		}
	}
	if e.Rolled && !slices.Contains(n.outs, from) {
		n.outs = append(n.outs, from)
	}
	if e.Report != nil {
		n.others.Add(now, from, *e.Report)
	}
	// Guards against a store that was rolled back: what it voted and acknowledged since is forgotten here, and still counts elsewhere.
	if known := e.Marks[n.id-1]; known > n.mark {
		return n.leave(now, out, fmt.Sprintf("its store was rolled back: %s knows of write %d, and the store's last is %d", from, known, n.mark))
	}
	if !n.heard[e.From-1] {
		n.heard[e.From-1] = true
		out = n.begin(now, out)
	}
	if m == nil || !n.ready || n.rolled != "" {
		return out
	}
	// Guards against raft's own panic, should a leader count as here what is not.
	if last, _ := n.ms.LastIndex(); m.GetType() == raftpb.MsgHeartbeat && m.GetCommit() > last && m.GetTerm() >= n.root.Term {
		return n.leave(now, out, fmt.Sprintf("its store was rolled back: %s counts on entry %d, and the last one here is %d", from, m.GetCommit(), last))
	}
	vote := n.rn.BasicStatus().HardState.GetVote()
	if err := n.rn.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		n.broken++
		return n.note(now, out, "broken", fmt.Sprintf("from %s: %v", from, err))
	}
	status := n.rn.BasicStatus()
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if status.Lead == m.GetFrom() {
			if n.quiet = 0; n.due < electionTicks { // it sought to lead itself
				n.draw()
			}
		}
	case raftpb.MsgVote:
		if v := status.HardState.GetVote(); v != vote && v == m.GetFrom() {
			n.draw()
		}
	}
	return out
}

// leave is for good: only a higher epoch brings it back.
func (n *Node) leave(now time.Duration, out []Action, why string) []Action {
	if n.rolled != "" {
		return out
	}
	n.rolled, n.ready = why, false
	n.root.Rolled = why
	out = append(out, n.persist(nil, nil))
	return n.note(now, out, "rolled back", why)
}

// begin is that it takes part, once all others were heard, or a majority with itself and all have had their time. Guards against a
// store that was rolled back: whoever knows it has said so by then.
func (n *Node) begin(now time.Duration, out []Action) []Action {
	count := 1
	for _, h := range n.heard {
		if h {
			count++
		}
	}
	if n.ready || n.rolled != "" || n.rn == nil || count < len(n.names) && (n.ticks < startTicks || count <= len(n.names)/2) {
		return out
	}
	n.ready = true
	n.draw()
	return out
}

// tick lets raft's time pass. A follower's own election timer stands here and not in raft, whose is not seeded.
func (n *Node) tick(now time.Duration, out []Action) []Action {
	due := int((now - n.ticked) / n.cfg.TickInterval)
	n.ticked += time.Duration(due) * n.cfg.TickInterval
	for range min(due, mostTicks) {
		n.ticks++
		out = n.begin(now, out)
		for i := range n.spoke {
			n.spoke[i]++
		}
		if !n.ready || n.rolled != "" {
			continue
		}
		if n.rn.BasicStatus().RaftState == raft.StateLeader {
			n.rn.Tick()
			n.quiet, n.alone = 0, 0
			continue
		}
		n.quiet++
		n.alone++
		if n.rn.BasicStatus().Lead != raft.None {
			n.alone = 0
		}
		if n.quiet >= electionTicks && n.rn.BasicStatus().Lead != raft.None {
			_ = n.rn.ForgetLeader()
		}
		if n.quiet >= n.due {
			// Again soon: the others may have heard the leader a moment later, and still wait for it, or two may have sought to lead at
			// once. PreVote keeps this from costing a leader that works anything.
			n.quiet, n.due = 0, againLeast+n.rng.IntN(electionTicks-againLeast)
			_ = n.rn.Campaign()
		}
	}
	n.members.Expire(now, silentFor, cutFor)
	n.others.Expire(now, otherFor, 0)
	n.again(now)
	n.notes.Flush(now, func(kind controlplane.LogKind, text string, count int) {
		out = append(out, LogMessage{kind, text, count})
	})
	return n.hellos(out)
}

// hellos go to whom nothing else was said for a while, with the sum of the members that follow this origin where it is new.
func (n *Node) hellos(out []Action) []Action {
	var report *controlplane.Report
	if n.ticks-n.toldAt >= reportTicks {
		if r := n.members.Aggregate(n.state.stamp(n.cfg.Epoch), nil); n.ticks-n.toldAt >= refreshTicks || !r.Equal(&n.toldSum) {
			n.toldSum, n.toldAt = r, n.ticks
			report = &r
		}
	}
	for i, name := range n.names {
		if every := helloTicks; uint64(i+1) != n.id && (report != nil || n.spoke[i] >= every || !n.ready && n.rolled == "" && n.spoke[i] >= heartbeatTicks) {
			n.spoke[i] = 0
			out = append(out, Send{name, n.seal(nil, report)})
		}
	}
	return out
}

// turn carries out what raft has ready: what has to be durable, then the messages, then what the log has decided.
func (n *Node) turn(now time.Duration, out []Action) []Action {
	for n.rn != nil && n.rolled == "" && n.rn.HasReady() {
		rd := n.rn.Ready()
		var fresh *raftpb.Snapshot
		if !raft.IsEmptySnap(rd.Snapshot) {
			fresh = rd.Snapshot
			_ = n.ms.ApplySnapshot(fresh) // out of date: there is a later one
		}
		if err := n.ms.Append(rd.Entries); err != nil {
			panic(err) // raft's own entries do not fit its own log
		}
		if rd.HardState != nil {
			_ = n.ms.SetHardState(rd.HardState)
			n.root.Term, n.root.Vote, n.root.Commit = rd.HardState.GetTerm(), rd.HardState.GetVote(), rd.HardState.GetCommit()
		}
		if fresh != nil || len(rd.Entries) > 0 || rd.HardState != nil {
			out = append(out, n.persist(rd.Entries, fresh))
		}
		for _, m := range rd.Messages {
			i := m.GetTo() - 1
			n.spoke[i] = 0
			out = append(out, Send{n.names[i], n.seal(m, nil)})
			if m.GetType() == raftpb.MsgSnap {
				n.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // one that is lost is sent again when it is missed
			}
		}
		if fresh != nil {
			var state machine
			if err := decode(fresh.GetData(), &state); err != nil {
				panic(err) // the leader's machine is no machine
			}
			n.state, n.applied, n.since = state, fresh.GetMetadata().GetIndex(), 0
			out = n.publish(now, out)
		}
		for _, e := range rd.CommittedEntries {
			out = n.decided(now, e, out)
		}
		n.reads(rd.ReadStates)
		n.rn.Advance(rd)
		out = n.compact(out)
	}
	if n.told.IsZero() {
		out = n.publish(now, out)
	}
	return out
}

// decided takes in an entry that a majority holds.
func (n *Node) decided(now time.Duration, e *raftpb.Entry, out []Action) []Action {
	n.applied = e.GetIndex()
	n.since += uint64(len(e.GetData()))
	if len(e.GetData()) == 0 { // of a new leader
		return out
	}
	var c change
	if err := decode(e.GetData(), &c); err != nil {
		// Of a later program, or of none of ours: all leave it out alike. Guards against one entry that ends every origin, at each start.
		n.broken++
		return n.note(now, out, "broken", fmt.Sprintf("entry %d of the log: %v", n.applied, err))
	}
	if _, fresh := n.state.apply(&c); fresh {
		out = n.publish(now, out)
		out = n.note(now, out, "change", fmt.Sprintf("%v by push %s", n.state.stamp(n.cfg.Epoch), c.ID))
	}
	return out
}

func (n *Node) publish(now time.Duration, out []Action) []Action {
	f, ok := n.Frame()
	if !ok || f.Revision == n.told {
		return out
	}
	n.told = f.Revision
	return append(out, Publish{f})
}

// Frame is the latest snapshot that this origin knows to be accepted; false: none was yet.
func (n *Node) Frame() (controlplane.Frame, bool) {
	s := n.state.stamp(n.cfg.Epoch)
	return controlplane.Frame{Cluster: n.cfg.Cluster, Revision: s, Text: n.state.Text}, !s.IsZero()
}

func (n *Node) note(now time.Duration, out []Action, kind controlplane.LogKind, text string) []Action {
	if count, ok := n.notes.Add(now, kind, text); ok {
		out = append(out, LogMessage{kind, text, count})
	}
	return out
}
