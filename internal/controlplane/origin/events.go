package origin

import "hazelwing/internal/controlplane"

// Event is an input of a Node: Message, Propose, QueryOutcome, ReadLatest, ReportReceived, SubscriberDisconnected,
// MemberWaiting or Tick.
type Event interface{ originEvent() }

// Message is a message from another origin, which that origin's Node returned as a Send. A message that is corrupt, or
// from an origin of another bootstrap, is counted and dropped.
type Message struct {
	From string
	Data []byte
}

// Propose proposes a change: Text is the text of the version after BaseVersion. The caller chooses the ID, and may
// propose the change again under the same ID if it got no result: the change takes effect at most once. Each Propose
// has exactly one Result.
type Propose struct {
	ID          string
	BaseVersion uint64
	Text        []byte
	// First means that the change was never proposed before, at no origin. Otherwise it may be in the log of an origin,
	// and may still take effect although this attempt is not proposed to raft.
	First bool
}

// QueryOutcome requests the outcome of the change with this ID. Each QueryOutcome has exactly one Result.
type QueryOutcome struct{ ID string }

// ReadLatest requests the latest revision, confirmed by a majority. Each ReadLatest has exactly one Result, which has
// the same ID.
type ReadLatest struct{ ID string }

// ReportReceived is the report of a member that receives the snapshot from this origin; From is the member's name.
type ReportReceived struct {
	From   string
	Report controlplane.Report
}

// SubscriberDisconnected says that a member's connection has ended.
type SubscriberDisconnected struct{ From string }

// MemberWaiting says that a member has probed this origin while it has no upstream. Active is its active revision.
type MemberWaiting struct {
	From   string
	Active controlplane.Revision
}

// Tick says that time has passed. The caller sends one every Config.TickInterval.
type Tick struct{}

func (Message) originEvent()                {}
func (Propose) originEvent()                {}
func (QueryOutcome) originEvent()           {}
func (ReadLatest) originEvent()             {}
func (ReportReceived) originEvent()         {}
func (SubscriberDisconnected) originEvent() {}
func (MemberWaiting) originEvent()          {}
func (Tick) originEvent()                   {}

// Action is an output of a Node: Persist, Send, Publish, Result or LogMessage. The caller executes them in order.
type Action interface{ originAction() }

// Persist is a batch of records that must be durable before the actions after it are executed. The function Write
// writes them to a store (package internal/store).
type Persist struct{ Records []Record }

// Record is a write to the store: it sets the value of a key, or deletes the key. Records must become durable in order:
// a record must never be durable while an earlier one is not.
type Record struct {
	Key    string
	Value  []byte
	Delete bool
}

// Send is a message to another origin. It may be lost, duplicated, delayed or reordered.
type Send struct {
	To   string
	Data []byte
}

// Publish sets the frame that members receive from this origin from now on, replacing any earlier frame that is not
// sent yet.
type Publish struct{ Frame controlplane.Frame }

// Outcome is the outcome of a Propose, QueryOutcome or ReadLatest.
type Outcome string

// Outcomes.
const (
	OutcomeAccepted Outcome = "accepted" // a majority has stored the change; lost only if a majority loses its stores
	OutcomeConflict Outcome = "conflict" // another change came first; Revision is the latest one
	OutcomeRejected Outcome = "refused"  // the change has not taken effect and will not; Error says why
	// OutcomeUnknown means that no majority responded in time or that the origin has withdrawn: the change may still
	// take effect; query by ID. For a QueryOutcome or ReadLatest it may also mean that the origin does not participate
	// or has too many pending requests.
	OutcomeUnknown  Outcome = "unknown"
	OutcomeNotFound Outcome = "missing" // QueryOutcome only: the ID is not among the last MaxOutcomes changes
	OutcomeCurrent  Outcome = "current" // ReadLatest only: Revision is the latest one
)

// Result is the result of the Propose, QueryOutcome or ReadLatest with the same ID.
type Result struct {
	ID       string                `json:"id"`
	Outcome  Outcome               `json:"outcome"`
	Revision controlplane.Revision `json:"stamp"` // with OutcomeAccepted the change's revision, otherwise the latest
	Error    string                `json:"err,omitempty"`
}

// LogMessage is a message for the log. A Node returns at most one message of each kind in 10 s. Count is the number of
// messages for which it stands: the message itself, and those of its kind that were not returned before.
type LogMessage struct {
	Kind  controlplane.LogKind
	Text  string
	Count int
}

// Kinds of a Node's LogMessage. The values of Role are further kinds, which a Node logs when its role changes.
const (
	LogChange     controlplane.LogKind = "change"      // a change was accepted
	LogRolledBack controlplane.LogKind = "rolled back" // the store has lost writes: the origin withdraws
	LogForeign    controlplane.LogKind = "foreign"     // a message belongs to another bootstrap
	LogCorrupt    controlplane.LogKind = "broken"      // a message or an entry of the log is invalid
)

func (Persist) originAction()    {}
func (Send) originAction()       {}
func (Publish) originAction()    {}
func (Result) originAction()     {}
func (LogMessage) originAction() {}
