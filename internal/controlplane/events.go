package controlplane

// Event is an input of a Follower: SnapshotReceived, UpstreamConfirmed, UpstreamLost, PeerRevision, ApplyResult,
// ReportReceived, SubscriberDisconnected or Tick.
type Event interface{ followerEvent() }

// SnapshotReceived is a snapshot from the upstream, or the response to a Fetch.
type SnapshotReceived struct {
	From  string
	Frame Frame
}

// UpstreamConfirmed says that the upstream is connected and has no later snapshot than this member. The caller sends it
// when the upstream announces a revision that is not later, and for each of its keep-alives, about twice a second.
type UpstreamConfirmed struct{ From string }

// UpstreamLost says that the connection to the upstream has ended. The active snapshot stays active.
type UpstreamLost struct{ From string }

// PeerRevision is the revision that another member announces by gossip. It is only a hint: it may cause a Fetch, but
// does not change the snapshot itself.
type PeerRevision struct {
	Name     string
	Address  string
	Revision Revision // announced revision, without its hash
}

// ApplyResult is the result of an Apply. The caller sends exactly one for each Apply, in the same order.
type ApplyResult struct {
	Revision Revision
	Err      error // nil if the snapshot is active; otherwise the previous snapshot stays active, unchanged
}

// ReportReceived is a subscriber's report; From is the subscriber's name.
type ReportReceived struct {
	From   string
	Report Report
}

// SubscriberDisconnected says that a subscriber's connection has ended.
type SubscriberDisconnected struct{ From string }

// Tick says that time has passed. The caller sends it at Follower.NextTick at the latest; an earlier Tick does no harm.
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

// Apply activates a snapshot. The caller responds with an ApplyResult, at once or later. The Follower returns no
// further Apply before the ApplyResult.
type Apply struct{ Snapshot *Snapshot }

// Save stores the snapshot with which the member begins at its next start, replacing the stored snapshot. The caller
// may skip a Save while the disk fails.
type Save struct{ Cached CachedSnapshot }

// Publish sets the frame that subscribers receive from now on, replacing any earlier frame that is not sent yet. The
// subscribers must receive the frame even if this member cannot activate it, for example because its program is older.
type Publish struct{ Frame Frame }

// Fetch requests the snapshot of a peer once. The caller passes on the response as SnapshotReceived; a failure needs no
// event.
type Fetch struct {
	Name, Address string
	Revision      Revision // as the peer's gossip announced it; the peer may have a later one by now
}

// SendReport sends a report to the upstream, replacing any earlier report that is not sent yet.
type SendReport struct{ Report Report }

// LogMessage is a message for the log. At most one message of each kind is logged in 10 s; Count includes the messages
// that were held back.
type LogMessage struct {
	Kind  LogKind
	Text  string
	Count int // messages of this kind since the previous LogMessage of the kind, including this one
}

// Kinds of a Follower's LogMessage.
const (
	LogActivated LogKind = "in force" // a snapshot is active
	LogRejected  LogKind = "refused"  // a snapshot cannot be activated
	LogConflict  LogKind = "conflict" // a known revision arrived with different content
	LogStale     LogKind = "older"    // a frame is older than the highest accepted revision
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
