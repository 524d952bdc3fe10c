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
	// randomStream is the second half of the seed of the random numbers; Config.Seed is the first half.
	randomStream = 44

	// maxInflightMessages and maxInflightBytes limit raft's messages to one follower that are not acknowledged yet.
	// Higher values bring a follower that is behind up to date sooner, but take more memory while it does not respond.
	maxInflightMessages = 8
	maxInflightBytes    = 4 * controlplane.MaxSnapshotSize

	// maxMemberSilence is how long a member may send no report before it counts as disconnected. A higher value
	// tolerates more lost reports, but a member that hangs counts as connected for longer.
	maxMemberSilence = 30 * time.Second
	// disconnectedRetention is how long reports name a disconnected member. A higher value leaves more time to find the
	// member, but members that were shut down are named for longer.
	disconnectedRetention = time.Minute
	// waitingRetention is how long reports name a waiting member after its last probe. It covers two probes that are
	// sent a second apart and take up to half a second. A higher value tolerates more lost probes, but a push waits
	// longer for a member that has found another upstream.
	waitingRetention = 3 * time.Second
	// maxPeerReportAge is how long the report of another origin is used. After this time, that origin's members may
	// have moved to this origin, which would count them twice. A higher value tolerates longer partitions, but counts
	// such members twice for longer.
	maxPeerReportAge = 15 * time.Second
)

// Node is one origin.
type Node struct {
	cfg          Config
	id           uint64   // ID in raft: the index in names, plus 1
	names        []string // names of all origins, sorted
	bootstrapKey string
	rng          *rand.Rand

	raft *raft.RawNode       // nil if the store is damaged and not even its snapshot can be read
	log  *raft.MemoryStorage // nil if raft is nil

	// State of the store.
	root           rootRecord
	writeNumber    uint64        // write number of the last Persist
	writeNumbers   []uint64      // highest known write number by origin
	rollbackReason string        // why this origin has withdrawn; empty if it has not
	storedEntries  []storedEntry // entries that the root references, oldest first
	snapshotParts  int           // number of records of the snapshot that the root references

	state        stateMachine
	applied      uint64                // index of the last applied entry
	appliedBytes uint64                // size of the entries applied since the last snapshot
	published    controlplane.Revision // revision that was published last

	startedAt       time.Duration
	tickedAt        time.Duration // time up to which ticks are counted
	ticks           int           // ticks since the start
	participating   bool          // whether this origin participates in consensus
	heardFrom       []bool        // by origin: whether a message came since the start
	leaderSilence   int           // ticks since the leader's last message, or this origin's latest campaign or vote
	leaderlessTicks int           // ticks without a known leader
	electionTimeout int           // value of leaderSilence at which this origin campaigns
	ticksSinceSend  []int         // by origin: ticks since the last message to it
	rolledBackPeers []string      // other origins that have announced their withdrawal

	pending    []pendingRequest
	readSerial uint64 // readID of the last read index request

	memberReports controlplane.ReportAggregator // reports of members that receive the snapshot from this origin
	peerReports   controlplane.ReportAggregator // reports of the other origins
	sentReport    controlplane.Report           // report that was last sent to the other origins
	sentReportAt  int                           // tick at which sentReport was sent

	role            Role // role after the last event
	logThrottle     controlplane.LogThrottle
	foreignMessages int
	corruptMessages int
}

// unknownOriginError says that Config.Self is not one of the origins that were bootstrapped.
type unknownOriginError struct {
	self    string
	origins []string
}

func (e *unknownOriginError) Error() string {
	return fmt.Sprintf("%q is not one of the bootstrapped origins %q", e.self, e.origins)
}

// NewNode returns a Node that starts at now from the state of its store, and the first actions to execute. If
// Config.BootstrapConfig is not empty, it must be equal to the bootstrap configuration in the store.
func NewNode(c Config, s *State, now time.Duration) (*Node, []Action, error) {
	c, err := c.complete(s.Bootstrap)
	if err != nil {
		return nil, nil, err
	}
	names := slices.Sorted(slices.Values(c.Origins))
	i, ok := slices.BinarySearch(names, c.Self)
	if !ok {
		return nil, nil, &unknownOriginError{self: c.Self, origins: names}
	}
	n := &Node{
		cfg:            c,
		id:             uint64(i + 1),
		names:          names,
		bootstrapKey:   c.key(),
		rng:            rand.New(rand.NewPCG(c.Seed, randomStream)),
		writeNumbers:   make([]uint64, len(names)),
		startedAt:      now,
		tickedAt:       now,
		heardFrom:      make([]bool, len(names)),
		ticksSinceSend: make([]int, len(names)),
	}
	n.resetElectionTimeout()
	if err := n.restore(s); err != nil {
		return nil, nil, err
	}
	var actions []Action
	if n.raft != nil {
		// A crash may have prevented the deletes that follow the write of a root.
		if deletes := s.unreferenced(&n.root, n.log); len(deletes) > 0 {
			actions = append(actions, Persist{deletes})
		}
		actions = n.processReady(now, actions)
	}
	if n.rollbackReason != "" {
		actions = n.logMessage(now, actions, LogRolledBack, n.rollbackReason)
	}
	return n, actions, nil
}

// restore sets the node's state from its store. If the store is damaged, the node withdraws from consensus; if
// not even a snapshot can be read, raft and log stay nil.
func (n *Node) restore(s *State) error {
	log, root, err := s.restore()
	switch {
	case errors.Is(err, errDamagedStore):
		n.rollbackReason = err.Error()
	case err != nil:
		return err
	}
	if root != nil {
		n.root = *root
		n.writeNumber = root.WriteNumber
		n.writeNumbers = root.WriteNumbers
		n.snapshotParts = countParts(s.Records, snapshotKey(root.SnapshotIndex))
		n.rollbackReason = cmp.Or(root.RollbackReason, n.rollbackReason)
	}
	if log == nil {
		return nil
	}
	n.log = log
	snapshot, err := log.Snapshot()
	if err != nil {
		return err
	}
	if err := decode(snapshot.GetData(), &n.state); err != nil {
		return fmt.Errorf("decoding the snapshot in the store: %w", err)
	}
	n.applied = root.SnapshotIndex
	n.restoreStoredEntries(s)
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID:                        n.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   log,
		Applied:                   root.SnapshotIndex,
		MaxSizePerMsg:             controlplane.MaxSnapshotSize,
		MaxUncommittedEntriesSize: MaxUncommittedSize,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          maxInflightBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    raftLogger{},
	})
	return err
}

// restoreStoredEntries sets storedEntries from the restored log.
func (n *Node) restoreStoredEntries(s *State) {
	last, _ := n.log.LastIndex() // a MemoryStorage returns no error here
	for i := n.root.SnapshotIndex + 1; i <= last; i++ {
		term, _ := n.log.Term(i) // the index is in the log
		n.storedEntries = append(n.storedEntries, storedEntry{
			index: i,
			term:  term,
			parts: countParts(s.Records, entryKey(i, term)),
		})
	}
}

// Handle processes an event and returns the actions to execute. It never blocks.
func (n *Node) Handle(now time.Duration, ev Event) (actions []Action) {
	switch ev := ev.(type) {
	case Message:
		actions = n.handleMessage(now, ev, actions)
	case Propose:
		actions = n.handlePropose(now, ev, actions)
	case QueryOutcome:
		actions = n.handleRead(now, ev.ID, requestQuery, actions)
	case ReadLatest:
		actions = n.handleRead(now, ev.ID, requestRead, actions)
	case ReportReceived:
		n.memberReports.Add(now, ev.From, ev.Report)
	case SubscriberDisconnected:
		n.memberReports.Disconnect(now, ev.From, disconnectedRetention)
	case MemberWaiting:
		n.memberReports.AddWaiting(now, ev.From, ev.Active, waitingRetention)
	case Tick:
		actions = n.handleTick(now, actions)
	}
	actions = n.processReady(now, actions)
	actions = n.completePending(now, actions)
	return n.updateRole(now, actions)
}

// canStep reports whether raft may process messages, ticks and requests.
func (n *Node) canStep() bool { return n.participating && n.rollbackReason == "" }

// withdraw takes the origin out of consensus permanently, because its store was rolled back. It records the reason in
// the store, so the origin stays withdrawn after a restart. The origin participates again only after the bootstrap of a
// higher epoch.
//
// Two callers detect the rollback: handleMessage, if another origin knows a higher write number of this origin, and
// stepRaft, if the leader has committed an entry that this origin's log lacks. If such an origin still participated, it
// could form a majority without changes that it had acknowledged, and these accepted changes would be lost.
func (n *Node) withdraw(now time.Duration, actions []Action, reason string) []Action {
	if n.rollbackReason != "" {
		return actions
	}
	n.rollbackReason = reason
	n.participating = false
	n.root.RollbackReason = reason
	actions = append(actions, n.persist(nil, nil))
	return n.logMessage(now, actions, LogRolledBack, reason)
}

// processReady executes the updates that raft has ready: first it persists entries and state, then it sends messages,
// and then it applies committed entries. On an origin that has withdrawn, it only publishes the snapshot, once.
func (n *Node) processReady(now time.Duration, actions []Action) []Action {
	for n.raft != nil && n.rollbackReason == "" && n.raft.HasReady() {
		ready := n.raft.Ready()
		actions = n.persistReady(&ready, actions)
		for _, m := range ready.Messages {
			actions = append(actions, n.sendRaft(m))
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			actions = n.applySnapshot(ready.Snapshot, actions)
		}
		for _, e := range ready.CommittedEntries {
			actions = n.applyCommitted(now, e, actions)
		}
		n.handleReadStates(ready.ReadStates)
		n.raft.Advance(ready)
		actions = n.compactLog(actions)
	}
	if n.published.IsZero() {
		actions = n.publish(actions)
	}
	return actions
}

// persistReady adds raft's new entries, snapshot and hard state to the log, and persists them.
func (n *Node) persistReady(ready *raft.Ready, actions []Action) []Action {
	var snapshot *raftpb.Snapshot
	if !raft.IsEmptySnap(ready.Snapshot) {
		snapshot = ready.Snapshot
		_ = n.log.ApplySnapshot(snapshot) // the only possible error says that the log has a later snapshot
	}
	if err := n.log.Append(ready.Entries); err != nil {
		panic(err) // a bug: raft's entries must fit its log
	}
	if state := ready.HardState; state != nil {
		_ = n.log.SetHardState(state) // a MemoryStorage returns no error here
		n.root.Term = state.GetTerm()
		n.root.Vote = state.GetVote()
		n.root.Commit = state.GetCommit()
	}
	if snapshot == nil && len(ready.Entries) == 0 && ready.HardState == nil {
		return actions
	}
	return append(actions, n.persist(ready.Entries, snapshot))
}

// sendRaft returns a Send that contains a message of raft.
func (n *Node) sendRaft(m *raftpb.Message) Send {
	peer := m.GetTo() - 1
	n.ticksSinceSend[peer] = 0
	send := Send{To: n.names[peer], Data: n.encodeEnvelope(m, nil)}
	if m.GetType() == raftpb.MsgSnap {
		// The snapshot is reported as received at once. If it is lost, raft sends it again when the responses of the
		// follower show that it is missing.
		n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
	return send
}

// applySnapshot replaces the state machine by the one in the leader's snapshot.
func (n *Node) applySnapshot(snapshot *raftpb.Snapshot, actions []Action) []Action {
	var state stateMachine
	if err := decode(snapshot.GetData(), &state); err != nil {
		panic(err) // a bug: the leader encoded the snapshot
	}
	n.state = state
	n.applied = snapshot.GetMetadata().GetIndex()
	n.appliedBytes = 0
	return n.publish(actions)
}

// applyCommitted applies an entry that a majority has committed.
func (n *Node) applyCommitted(now time.Duration, e *raftpb.Entry, actions []Action) []Action {
	n.applied = e.GetIndex()
	n.appliedBytes += uint64(len(e.GetData()))
	if len(e.GetData()) == 0 { // an empty entry, which each new leader appends
		return actions
	}
	var change logEntry
	if err := decode(e.GetData(), &change); err != nil {
		// The entry is from a later version of the program, or was not written by this program. All origins skip it:
		// a single entry must not crash every origin at each of its starts.
		n.corruptMessages++
		return n.logMessage(now, actions, LogCorrupt, fmt.Sprintf("skipping entry %d of the log: %v", n.applied, err))
	}
	if _, changed := n.state.apply(&change); changed {
		actions = n.publish(actions)
		actions = n.logMessage(now, actions, LogChange, fmt.Sprintf("%v by push %s", n.revision(), change.ID))
	}
	return actions
}

// publish publishes the latest snapshot, unless there is none or it was published already.
func (n *Node) publish(actions []Action) []Action {
	f, ok := n.Frame()
	if !ok || f.Revision == n.published {
		return actions
	}
	n.published = f.Revision
	return append(actions, Publish{f})
}

// Frame returns the frame of the latest accepted snapshot that this origin has; ok is false if there is none yet.
func (n *Node) Frame() (frame controlplane.Frame, ok bool) {
	revision := n.revision()
	frame = controlplane.Frame{Cluster: n.cfg.Cluster, Revision: revision, Text: n.state.Text}
	return frame, !revision.IsZero()
}

func (n *Node) logMessage(
	now time.Duration, actions []Action, kind controlplane.LogKind, text string,
) []Action {
	if count, ok := n.logThrottle.Add(now, kind, text); ok {
		actions = append(actions, LogMessage{Kind: kind, Text: text, Count: count})
	}
	return actions
}
