package origin

import "hazelwing/internal/controlplane"

// Event is an input of a Node: Message, Propose, QueryOutcome, ReadLatest, ReportReceived, SubscriberDisconnected or
// Tick.
type Event interface{ originEvent() }

// Message is a message from another origin, as its Send has it. One that is corrupt, or of another bootstrap, is
// counted and dropped.
type Message struct {
	From string
	Data []byte
}

// Propose proposes a change: the text that is to follow version BaseVersion. The caller chooses ID, and may propose
// the change again under the same ID when it got no result: it takes effect at most once. There is exactly one Result
// for it.
type Propose struct {
	ID          string
	BaseVersion uint64
	Text        []byte
}

// QueryOutcome asks for the outcome of the change with this ID. There is exactly one Result for it.
type QueryOutcome struct{ ID string }

// ReadLatest asks for the latest revision, confirmed by a majority. There is exactly one Result for it.
type ReadLatest struct{ ID string }

// ReportReceived is the report of a member that receives the snapshot from this origin; From is the member's name.
type ReportReceived struct {
	From   string
	Report controlplane.Report
}

// SubscriberDisconnected says that a member's connection has ended.
type SubscriberDisconnected struct{ From string }

// Tick says that time has passed. It is due every Config.TickInterval.
type Tick struct{}

func (Message) originEvent()                {}
func (Propose) originEvent()                {}
func (QueryOutcome) originEvent()           {}
func (ReadLatest) originEvent()             {}
func (ReportReceived) originEvent()         {}
func (SubscriberDisconnected) originEvent() {}
func (Tick) originEvent()                   {}

// Action is an output of a Node: Persist, Send, Publish, Result or LogMessage. The caller executes them in order.
type Action interface{ originAction() }

// Persist must be durable before the actions after it are executed. Write writes it to an internal/store.
type Persist struct{ Records []Record }

// Record is a write to the store. Records become durable in order: none without those before it.
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

// Publish sets the frame that members are to receive from this origin from now on, in place of any earlier one that is
// not sent yet.
type Publish struct{ Frame controlplane.Frame }

// Outcome is the outcome of a Propose, QueryOutcome or ReadLatest.
type Outcome string

// Outcomes.
const (
	OutcomeAccepted Outcome = "accepted" // a majority has the change: it is not lost while one keeps its stores
	OutcomeConflict Outcome = "conflict" // another change came first; Revision is the latest one
	OutcomeRejected Outcome = "refused"  // this attempt has not taken effect and will not; Error says why
	OutcomeUnknown  Outcome = "unknown"  // no majority responded in time: the change may still take effect; query by ID
	OutcomeNotFound Outcome = "missing"  // of a QueryOutcome: a majority does not know the ID, or has forgotten it
	OutcomeCurrent  Outcome = "current"  // of a ReadLatest
)

// Result is the result of the Propose, QueryOutcome or ReadLatest with the same ID.
type Result struct {
	ID       string                `json:"id"`
	Outcome  Outcome               `json:"outcome"`
	Revision controlplane.Revision `json:"stamp"` // with OutcomeAccepted: the change's; else the latest
	Error    string                `json:"err,omitempty"`
}

// LogMessage is for the log. There is at most one of a kind in 10 s; Count has how many it stands for.
type LogMessage struct {
	Kind  controlplane.LogKind
	Text  string
	Count int
}

// Kinds of a Node's LogMessage, beside the values of Role, which it logs when it takes a role.
const (
	LogChange     controlplane.LogKind = "change"      // a change was accepted
	LogRolledBack controlplane.LogKind = "rolled back" // the store has lost writes: the origin withdraws
	LogForeign    controlplane.LogKind = "foreign"     // a message is of another bootstrap
	LogCorrupt    controlplane.LogKind = "broken"      // a message or an entry of the log is invalid
)

func (Persist) originAction()    {}
func (Send) originAction()       {}
func (Publish) originAction()    {}
func (Result) originAction()     {}
func (LogMessage) originAction() {}
