package cluster

import "time"

// Action is an instruction of a Core to its caller.
type Action struct {
	Kind ActionKind
	// To, Message and Stream are set for SendMessage. Message is to be sent to To in a
	// datagram or, if Stream is set, in a stream of its own.
	To         Address
	Message    *Message
	Stream     bool
	Transition *Transition    // set for MemberChanged
	Notice     EndpointNotice // set for NoticeReceived and NoticeExpired
	// EstimatedSize is the new estimate of the number of members, at least 1. It is set
	// for SizeChanged.
	EstimatedSize int
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	SendMessage    ActionKind = iota
	MemberChanged             // a member changed as Transition describes; to be logged
	NoticeReceived            // another member reported an endpoint as draining or removed
	NoticeExpired             // the notice about an endpoint is older than Config.NoticeTTL and no longer valid
	SizeChanged               // the estimated number of members changed
)

// Transition is a change of one member's state. From and To may be equal, for example if
// the member has restarted, was removed from the table, or has a name conflict.
type Transition struct {
	Name string
	Incarnation
	From, To State
	Reason   string // for the log; one of the Reason constants, or a text that names a member or a duration
}

// Constant reasons of transitions.
const (
	ReasonJoined       = "joined"
	ReasonRestarted    = "restarted" // a newer process has the same name
	ReasonProbeFailed  = "probe timed out"
	ReasonRefuted      = "refuted"
	ReasonLeft         = "left"
	ReasonExpired      = "removed: expired"
	ReasonTableFull    = "removed: member table is full"
	ReasonNameConflict = "another process uses this name"
)

// reportedBy returns the reason of a transition to a state that another member reported.
func reportedBy(member string) string { return "reported by " + member }

// reportedDeadBy returns the reason for suspecting a peer because another member reported
// it dead, although this member considered it alive.
func reportedDeadBy(member string) string { return "reported dead by " + member }

// notRefutedWithin returns the reason of a transition to Dead after a suspicion that lasted for d.
func notRefutedWithin(d time.Duration) string {
	return "not refuted within " + d.Round(time.Millisecond).String()
}
