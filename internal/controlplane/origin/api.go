// Package origin holds the snapshot of configuration on the machines set aside, by consensus (go.etcd.io/raft/v3), without I/O: one
// majority of the origins that were founded together may change it; a side without one changes nothing and serves what it has.
//
// # Who calls
//
// A Node is not safe for several goroutines: one goroutine owns it and calls Handle with each event and the time since some start of
// its own. It carries the actions out in order before the next Handle, and it may block on Persist alone: all that stands after a
// Persist must not happen before that is durable. Where a Persist fails the process ends (fail-stop), and a new one begins from what
// the store has.
//
// # A store that was rolled back
//
// Each Persist has a number, the mark. Each message between origins carries the sender's mark and the highest that it knows of each
// other one. An origin whose own mark is below what another one knows of it has lost what it had made durable: it says so by name and
// takes no part any more; it only serves what it has. At its start an origin takes part once it has heard so many others that they
// are a majority with itself. docs/design/controlplane.md says what that covers and what it doesn't.
package origin

import (
	"time"

	"hazelwing/internal/controlplane"
)

// The bounds.
const (
	MaxOrigins         = 7
	MaxPendingRequests = 64        // pushes and questions that wait for an answer at one origin
	MaxOutcomes        = 256       // pushes whose outcome is remembered, by ID
	MaxIDLength        = 64        // bytes of a push's ID
	MaxMessageSize     = 640 << 10 // bytes of a message between origins; a frame that is longer is none
	// MaxLog is how many bytes of changes may wait for a majority; beyond it pushes are turned away.
	MaxUncommittedSize = 4 * controlplane.MaxSnapshotSize
)

// Founding is what is settled when the origins are founded, the same for all of them. In this slice nobody joins or leaves later: to
// change the origins, found a higher epoch.
type BootstrapConfig struct {
	Cluster string   `json:"fleet"`
	Epoch   uint64   `json:"epoch"`   // from 1; higher after a disaster
	Origins []string `json:"origins"` // names, at most MaxOrigins
}

// Config is a Node's.
type Config struct {
	BootstrapConfig
	Self string // one of Origins
	Seed uint64 // of the times of elections
	// TickEvery is the unit of time: heartbeats each 2 of it, elections after 10 to 20 without one; 100 ms.
	TickInterval time.Duration
	// Wait is how long a push or a question may stay without an answer; 4 s. Then the outcome is Unknown.
	RequestTimeout time.Duration
	// Settle is how long after its start an origin answers no push while no member has told it what it holds; 3 s. Guards against
	// origins that were all rolled back together, of which only the members know.
	StartupGracePeriod time.Duration
}

// Event is what happens to a Node: Message, Propose, Ask, Read, Reported, Gone or Tick.
type Event interface{ originEvent() }

// Message is from another origin, as its Send had it. One that cannot be read, or of another founding, is counted and dropped.
type Message struct {
	From string
	Data []byte
}

// Propose is a push: the text to follow the version After. ID is the pusher's own choice, the same when it pushes again for want of an
// answer, which is safe. It is answered by exactly one Answer.
type Propose struct {
	ID          string
	BaseVersion uint64
	Text        []byte
}

// Ask is what became of the push ID. It is answered by exactly one Answer.
type QueryOutcome struct{ ID string }

// Read is what the latest snapshot is, confirmed by a majority. It is answered by exactly one Answer with its Stamp.
type ReadLatest struct{ ID string }

// Reported is the sum of a member that follows this origin; From is its name.
type ReportReceived struct {
	From   string
	Report controlplane.Report
}

// Gone is that its connection has ended.
type SubscriberDisconnected struct{ From string }

// Tick is that time has passed, due every Config.TickEvery.
type Tick struct{}

func (Message) originEvent()                {}
func (Propose) originEvent()                {}
func (QueryOutcome) originEvent()           {}
func (ReadLatest) originEvent()             {}
func (ReportReceived) originEvent()         {}
func (SubscriberDisconnected) originEvent() {}
func (Tick) originEvent()                   {}

// Action is what a Node wants done: Persist, Send, Publish, Answer or Noted, in order.
type Action interface{ originAction() }

// Persist must be durable before what stands after it happens. Write does it on an internal/store.
type Persist struct{ Records []Record }

// Record is an entry of the store, in order: one may not be there while one before it is not.
type Record struct {
	Key    string
	Value  []byte
	Delete bool
}

// Send is a message to another origin. It may be lost, doubled or late.
type Send struct {
	To   string
	Data []byte
}

// Publish is the frame that members who follow this origin are to get from now on, in place of any before it that is not sent yet.
type Publish struct{ Frame controlplane.Frame }

// Outcome says what became of a push, a question or a read.
type Outcome string

// The outcomes.
const (
	OutcomeAccepted Outcome = "accepted" // by a majority: it will not be lost while one keeps its stores
	OutcomeConflict Outcome = "conflict" // another change came first: Stamp is the latest one
	OutcomeRejected Outcome = "refused"  // this try was not taken, and will not be: Err says why
	OutcomeUnknown  Outcome = "unknown"  // no majority answered in time: it may come to be; ask by ID
	OutcomeNotFound Outcome = "missing"  // to Ask: a majority knows of no such push (or has forgotten it: MaxOutcomes)
	OutcomeCurrent  Outcome = "current"  // to Read
)

// Answer answers a Propose, Ask or Read of this ID.
type Result struct {
	ID       string                `json:"id"`
	Outcome  Outcome               `json:"outcome"`
	Revision controlplane.Revision `json:"stamp"` // Accepted: that the push got
	Error    string                `json:"err,omitempty"`
}

// Noted is for the log. Repeats of one Kind come at most once in 10 s, with how many there were.
type LogMessage struct {
	Kind  controlplane.LogKind // "leads", "follows", "no majority", "change", "rolled back", "ahead", "foreign", "broken"
	Text  string
	Count int
}

func (Persist) originAction()    {}
func (Send) originAction()       {}
func (Publish) originAction()    {}
func (Result) originAction()     {}
func (LogMessage) originAction() {}

// Part says which part an origin takes.
type Role string

// The parts.
const (
	RoleStarting   Role = "starting"    // has not heard enough of the others yet
	RoleLeader     Role = "leads"       // a majority follows it
	RoleFollower   Role = "follows"     // another one
	RoleNoLeader   Role = "no majority" // knows no leader: serves what it has, changes nothing
	RoleRolledBack Role = "rolled back" // its store has lost what was durable: takes no part until a higher epoch is founded
)

// Status is what an origin knows.
type Status struct {
	Self            string                `json:"self"`
	Epoch           uint64                `json:"epoch"`
	Role            Role                  `json:"part"`
	Leader          string                `json:"leader,omitempty"`
	Revision        controlplane.Revision `json:"stamp"`
	Ahead           controlplane.Revision `json:"ahead"`  // a later one that members hold, or another content under Stamp's version: pushes are turned away
	RolledBack      []string              `json:"rolled"` // origins whose store is known to be rolled back
	Report          controlplane.Report   `json:"report"` // of all members, as this origin and the others heard
	ForeignMessages int                   `json:"foreign"`
	CorruptMessages int                   `json:"broken"`
}

// State is what a store holds, as Load read it.
type State struct {
	Bootstrap BootstrapConfig
	Records   map[string][]byte
}
