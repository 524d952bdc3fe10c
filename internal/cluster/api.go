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
type Version struct {
	Life uint64 `json:"life"` // of the name, from 1
	Run  uint64 `json:"run"`  // of the process, random
	Inc  uint64 `json:"inc"`  // grows when the process refutes what is said of it
}

// SameLife says whether both are of one process.
func (v Version) SameLife(w Version) bool { return v.Life == w.Life && v.Run == w.Run }

// Compare is -1, 0 or 1.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Life, w.Life), cmp.Compare(v.Run, w.Run), cmp.Compare(v.Inc, w.Inc))
}

// Entry is what is said of a member.
type Entry struct {
	Name string
	Addr Address
	Version
	State State
	By    string        // who accuses it: Suspect, Dead
	Age   time.Duration // Dead, Left: since when, as the sender knows
}

// Word is that a server drains or is gone, as a member was told by its sources.
type Word struct {
	Server string
	Gone   bool    // else it drains
	BornMS float64 // start of the process that is meant, Unix milliseconds; 0: not known
	By     string  // the member that was told
	Age    time.Duration
}

// newer says whether w says more than old of the same server: of a later process, or that it is gone.
func (w *Word) newer(old *Word) bool {
	if w.BornMS != old.BornMS {
		return w.BornMS > old.BornMS
	}
	return w.Gone && !old.Gone
}

// Kind is a message's.
type Kind uint8

// The kinds of messages.
const (
	Ping     Kind = iota // Seq, Target: are you there?
	Ack                  // Seq, Target: Target is there
	Nack                 // Seq, Target: it did not answer me in time, but I am there
	PingReq              // Seq, Target, TargetAddr: try for me
	Gossip               // Entries, Words
	SyncAsk              // Digest, Join: what differs in your view?
	SyncTell             // Buckets: these differ, and this is what I have in them
	SyncEnd              // what I have in those buckets
	kinds
)

// Message is what members send each other.
type Message struct {
	Kind       Kind
	Fleet      string
	From       Entry // the sender's own: Alive, or Left when it leaves
	Seq        uint64
	Target     string // empty in a Ping: whoever listens there
	TargetAddr Address
	Entries    []Entry
	Words      []Word
	Digest     []uint64
	Buckets    uint64 // a bit for each
	Join       bool
	// Epoch and Number are of the configuration that the sender acts on; 0: it takes none. The core does not look at them.
	Epoch, Number uint64
}

// Action is what a Core wants done.
type Action struct {
	Do ActionKind
	// Send: Msg goes to To, as a datagram or, where Stream is set, in a stream of its own.
	To     Address
	Msg    *Message
	Stream bool
	Note   *Note // Noted
	Word   Word  // Told, Unsaid
	Count  int   // Counted
}

// ActionKind says what an Action is.
type ActionKind uint8

// The kinds of actions.
const (
	Send    ActionKind = iota
	Noted              // a transition, for the log
	Told               // a member was told that a server drains or is gone; this member's own words are not told back
	Unsaid             // that word is old: it holds no more
	Counted            // how many sidecars to reckon with, when it changes
)

// Note is one transition.
type Note struct {
	Name string
	Version
	Was, Now State
	Why      string
}

// Member is one of a view.
type Member struct {
	Name string  `json:"name"`
	Addr Address `json:"addr"`
	Version
	State State         `json:"state"`
	Since time.Duration `json:"since_ns"` // on the clock of Handle's now
	By    string        `json:"by,omitempty"`
	Self  bool          `json:"self,omitempty"`
}

// Stats count since the start; Health is now.
type Stats struct {
	Joining   bool  `json:"joining"` // nobody was heard yet, and there are seeds
	Health    int   `json:"health"`  // own slowness: 0 is fine, 8 the most; probes wait (1 + it) times as long
	Known     int   `json:"known"`
	Live      int   `json:"live"`      // alive or suspect, itself included
	Count     int   `json:"count"`     // sidecars to reckon with
	Queue     int   `json:"queue"`     // news to be sent on
	Words     int   `json:"words"`     // that are told
	Forgotten int   `json:"forgotten"` // forgotten addresses that are tried again
	Refuted   int   `json:"refuted"`   // said of this member, and wrong
	Stalls    int   `json:"stalls"`    // times it stood still
	Conflicts int   `json:"conflicts"` // times another process claimed its name
	Foreign   int   `json:"foreign"`   // messages of other fleets
	Refused   int   `json:"refused"`   // entries and messages that could not be taken: bad, or above a bound
	Accused   int   `json:"accused"`   // suspicions that began here
	Buried    int   `json:"buried"`    // members that this one found dead
	Full      int   `json:"full"`      // names that had no place
	Unasked   int   `json:"unasked"`   // syncs not answered: too many in a second
	LastStall int64 `json:"last_stall_ns"`
}
