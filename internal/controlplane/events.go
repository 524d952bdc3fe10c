package controlplane

// Event is an input of a Follower: SnapshotReceived, UpstreamConfirmed, UpstreamLost, PeerRevision, ApplyResult,
// ReportReceived, SubscriberDisconnected or Tick.
type Event interface{ followerEvent() }

// SnapshotReceived is a snapshot from the upstream, or the response to a Fetch.
type SnapshotReceived struct {
	From  string
	Frame Frame
}

// UpstreamConfirmed says that the upstream is connected and has no later snapshot than this member. It comes once a
// second at most.
type UpstreamConfirmed struct{ From string }

// UpstreamLost says that the connection to the upstream has ended. The active snapshot stays active.
type UpstreamLost struct{ From string }

// PeerRevision is the revision that another member has, as its gossip says. It is a hint and alone changes no snapshot.
type PeerRevision struct {
	Name     string
	Address  string
	Revision Revision // without hash
}

// ApplyResult responds to an Apply. There is exactly one for each, in the same order.
type ApplyResult struct {
	Revision Revision
	Err      error // nil: the snapshot is active; else the one before it still is, unchanged
}

// ReportReceived is a subscriber's report; From is the subscriber's name.
type ReportReceived struct {
	From   string
	Report Report
}

// SubscriberDisconnected says that a subscriber's connection has ended.
type SubscriberDisconnected struct{ From string }

// Tick says that time has passed. It is due at Follower.NextTick, and is harmless earlier.
type Tick struct{}

func (SnapshotReceived) followerEvent()       {}
func (UpstreamConfirmed) followerEvent()      {}
func (UpstreamLost) followerEvent()           {}
func (PeerRevision) followerEvent()           {}
func (ApplyResult) followerEvent()            {}
func (ReportReceived) followerEvent()         {}
func (SubscriberDisconnected) followerEvent() {}
func (Tick) followerEvent()                   {}

// Action is an output of a Follower: Apply, Save, Publish, Fetch, SendReport or LogMessage. The caller executes them
// in order.
type Action interface{ followerAction() }

// Apply activates a snapshot. The caller responds with an ApplyResult, at once or later. At most one Apply is without
// response.
type Apply struct{ Snapshot *Snapshot }

// Save stores the snapshot to begin from at the next start, in place of the one stored before. It may be skipped
// while the disk fails.
type Save struct{ Cached CachedSnapshot }

// Publish sets the frame that subscribers are to receive from now on, in place of any earlier one that is not sent
// yet. It may be a frame that this member itself rejects, as an older program would: its subscribers must not miss it
// for that.
type Publish struct{ Frame Frame }

// Fetch requests the snapshot of a peer once. It comes back as SnapshotReceived; a failure needs no event.
type Fetch struct {
	Name, Address string
	Revision      Revision // that the peer is known to have, or an earlier one than it has
}

// SendReport sends a report to the upstream, in place of any earlier one that is not sent yet.
type SendReport struct{ Report Report }

// LogMessage is for the log. There is at most one of a kind in 10 s; Count has how many it stands for.
type LogMessage struct {
	Kind  LogKind
	Text  string
	Count int // messages of this kind since the last LogMessage of it, this one included
}

// Kinds of a Follower's LogMessage.
const (
	LogActivated LogKind = "in force" // a snapshot is active
	LogRejected  LogKind = "refused"  // a snapshot cannot be activated
	LogConflict  LogKind = "conflict" // a revision came with another content than before
	LogStale     LogKind = "older"    // a frame is older than one that was accepted
	LogCorrupt   LogKind = "broken"   // a frame, or the cached snapshot, is invalid
	LogForeign   LogKind = "foreign"  // a frame belongs to another cluster
	LogFetch     LogKind = "fetch"    // a snapshot is fetched from a peer
)

func (Apply) followerAction()      {}
func (Save) followerAction()       {}
func (Publish) followerAction()    {}
func (Fetch) followerAction()      {}
func (SendReport) followerAction() {}
func (LogMessage) followerAction() {}
