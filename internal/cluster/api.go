package cluster

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"
)

// Address is where a member listens for datagrams and streams.
type Address = netip.AddrPort

// State is what is thought of a member.
type State uint8

// The states. Their order is that of precedence within one number of one life: a later one wins.
const (
	Alive   State = iota
	Suspect       // did not answer a probe; it has its time to refute
	Dead          // did not refute
	Left          // said so itself: final in its life
	// Unknown is what a name was before it was heard of.
	Unknown State = 255
)

func (s State) String() string {
	if s > Left {
		return "unknown"
	}
	return [...]string{"alive", "suspect", "dead", "left"}[s]
}

// MarshalText is the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads one.
func (s *State) UnmarshalText(text []byte) error {
	for x := Alive; x <= Left; x++ {
		if x.String() == string(text) {
			*s = x
			return nil
		}
	}
	return fmt.Errorf("%q is no state of a member", text)
}

// Version orders what is said of one name: by life, then run, then number.
type Incarnation struct {
	Generation  uint64 `json:"life"` // of the name, from 1
	ProcessID   uint64 `json:"run"`  // of the process, random
	Refutations uint64 `json:"inc"`  // grows when the process refutes what is said of it
}

// SameLife says whether both are of one process.
func (v Incarnation) SameProcess(w Incarnation) bool {
	return v.Generation == w.Generation && v.ProcessID == w.ProcessID
}

// Compare is -1, 0 or 1.
func (v Incarnation) Compare(w Incarnation) int {
	return cmp.Or(cmp.Compare(v.Generation, w.Generation), cmp.Compare(v.ProcessID, w.ProcessID), cmp.Compare(v.Refutations, w.Refutations))
}

// Entry is what is said of a member.
type Entry struct {
	Name string
	Addr Address
	Incarnation
	State      State
	ReportedBy string        // who accuses it: Suspect, Dead
	Age        time.Duration // Dead, Left: since when, as the sender knows
}

// Word is that a server drains or is gone, as a member was told by its sources.
type EndpointNotice struct {
	Endpoint   string
	Removed    bool    // else it drains
	StartedMS  float64 // start of the process that is meant, Unix milliseconds; 0: not known
	ReportedBy string  // the member that was told
	Age        time.Duration
}

// newer says whether w says more than old of the same server: of a later process, or that it is gone.
func (w *EndpointNotice) newer(old *EndpointNotice) bool {
	if w.StartedMS != old.StartedMS {
		return w.StartedMS > old.StartedMS
	}
	return w.Removed && !old.Removed
}

// Kind is a message's.
type Kind uint8

// The kinds of messages.
const (
	Ping             Kind = iota // Seq, Target: are you there?
	Ack                          // Seq, Target: Target is there
	Nack                         // Seq, Target: it did not answer me in time, but I am there
	PingReq                      // Seq, Target, TargetAddr: try for me
	Gossip                       // Entries, Words
	PushPullRequest              // Digest, Join: what differs in your view?
	PushPullResponse             // Buckets: these differ, and this is what I have in them
	PushPullFinal                // what I have in those buckets
	kinds
)

// Message is what members send each other.
type Message struct {
	Kind        Kind
	ClusterName string
	From        Entry // the sender's own: Alive, or Left when it leaves
	Seq         uint64
	Target      string // empty in a Ping: whoever listens there
	TargetAddr  Address
	Entries     []Entry
	Notices     []EndpointNotice
	Digest      []uint64
	BucketMask  uint64 // a bit for each
	Join        bool
	// Epoch and Number are of the configuration that the sender acts on; 0: it takes none. The core does not look at them.
	ConfigEpoch, ConfigVersion uint64
}

// Action is what a Core wants done.
type Action struct {
	Kind ActionKind
	// Send: Msg goes to To, as a datagram or, where Stream is set, in a stream of its own.
	To            Address
	Message       *Message
	Stream        bool
	Transition    *Transition    // Noted
	Notice        EndpointNotice // Told, Unsaid
	EstimatedSize int            // Counted
}

// ActionKind says what an Action is.
type ActionKind uint8

// The kinds of actions.
const (
	Send           ActionKind = iota
	MemberChanged             // a transition, for the log
	NoticeReceived            // a member was told that a server drains or is gone; this member's own words are not told back
	NoticeExpired             // that word is old: it holds no more
	SizeChanged               // how many sidecars to reckon with, when it changes
)

// Note is one transition.
type Transition struct {
	Name string
	Incarnation
	From, To State
	Reason   string
}

// Member is one of a view.
type Member struct {
	Name string  `json:"name"`
	Addr Address `json:"addr"`
	Incarnation
	State      State         `json:"state"`
	Since      time.Duration `json:"since_ns"` // on the clock of Handle's now
	ReportedBy string        `json:"by,omitempty"`
	Self       bool          `json:"self,omitempty"`
}

// Stats count since the start; Health is now.
type Stats struct {
	Joining            bool  `json:"joining"` // nobody was heard yet, and there are seeds
	HealthScore        int   `json:"health"`  // own slowness: 0 is fine, 8 the most; probes wait (1 + it) times as long
	KnownMembers       int   `json:"known"`
	LiveMembers        int   `json:"live"`      // alive or suspect, itself included
	EstimatedSize      int   `json:"count"`     // sidecars to reckon with
	QueuedBroadcasts   int   `json:"queue"`     // news to be sent on
	Notices            int   `json:"words"`     // that are told
	ForgottenAddresses int   `json:"forgotten"` // forgotten addresses that are tried again
	Refutations        int   `json:"refuted"`   // said of this member, and wrong
	Stalls             int   `json:"stalls"`    // times it stood still
	NameConflicts      int   `json:"conflicts"` // times another process claimed its name
	ForeignMessages    int   `json:"foreign"`   // messages of other fleets
	Rejected           int   `json:"refused"`   // entries and messages that could not be taken: bad, or above a bound
	Suspicions         int   `json:"accused"`   // suspicions that began here
	DeclaredDead       int   `json:"buried"`    // members that this one found dead
	TableFull          int   `json:"full"`      // names that had no place
	PushPullsThrottled int   `json:"unasked"`   // syncs not answered: too many in a second
	LastStallNS        int64 `json:"last_stall_ns"`
}
