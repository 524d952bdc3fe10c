package cluster

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
	Reason   string
}
