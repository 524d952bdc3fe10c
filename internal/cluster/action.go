package cluster

import "time"

// Action is something that a Core asks its caller to do.
type Action struct {
	Kind ActionKind
	// SendMessage: Message goes to To, in a datagram or, if Stream is set, in a stream of its own.
	To         Address
	Message    *Message
	Stream     bool
	Transition *Transition    // MemberChanged
	Notice     EndpointNotice // NoticeReceived, NoticeExpired
	// EstimatedSize is the new estimate of the number of members, at least 1: SizeChanged.
	EstimatedSize int
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	SendMessage    ActionKind = iota
	MemberChanged             // a member's state changed; for the log
	NoticeReceived            // another member reported an endpoint as draining or removed
	NoticeExpired             // such a report is older than Config.NoticeTTL and no longer holds
	SizeChanged               // the estimated number of members changed
)

// Transition is a change of one member's state.
type Transition struct {
	Name string
	Incarnation
	From, To State
	Reason   string // in plain words, for the log; one of the constants, or with details
}

// Reasons of transitions. Others name a member or a duration.
const (
	ReasonJoined       = "joined"
	ReasonRestarted    = "restarted" // another process under the same name
	ReasonProbeFailed  = "probe timed out"
	ReasonRefuted      = "refuted"
	ReasonLeft         = "left"
	ReasonExpired      = "removed: expired"
	ReasonTableFull    = "removed: member table is full"
	ReasonNameConflict = "another process uses this name"
)

// reportedBy is the reason of a state that another member reported.
func reportedBy(member string) string { return "reported by " + member }

// reportedDeadBy is the reason of a suspicion of a member that is alive here.
func reportedDeadBy(member string) string { return "reported dead by " + member }

// notRefutedWithin is the reason for declaring a member dead.
func notRefutedWithin(d time.Duration) string {
	return "not refuted within " + d.Round(time.Millisecond).String()
}
