package controlplane

import (
	"cmp"
	"fmt"
	"time"
)

// The bounds of what travels.
const (
	MaxSnapshotSize   = 256 << 10 // bytes of a snapshot's text
	MaxRevisionCounts = 8         // stamps that a Report counts by themselves
	MaxLaggards       = 64        // members that a Report names
	MaxErrorLength    = 200       // bytes of an error in a Report
	MaxNameLength     = 128       // bytes of a member's name in a Report; a longer one is cut
	// MaxReport is how long a Report is at most as JSON, in bytes; a frame that is longer is none.
	MaxReportSize = 48 << 10
)

// Stamp says which snapshot it is. The zero Stamp is that of having none.
type Revision struct {
	Epoch   uint64 `json:"epoch"`   // set by the operator where origins are founded
	Version uint64 `json:"version"` // of the origins' log: the number of changes accepted in the epoch, from 1
	Hash    string `json:"hash"`    // hexadecimal SHA-256 over the text; empty where only the order is known, as in datagrams
}

// Compare orders by epoch, then by version: -1, 0 or 1. Two that are equal with different hashes are in conflict.
func (s Revision) Compare(t Revision) int {
	return cmp.Or(cmp.Compare(s.Epoch, t.Epoch), cmp.Compare(s.Version, t.Version))
}

// None says whether it is the stamp of having none.
func (s Revision) IsZero() bool { return s.Epoch == 0 && s.Version == 0 }

func (s Revision) String() string {
	if s.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d.%d", s.Epoch, s.Version)
}

// Frame is a snapshot as it travels: always whole.
type Frame struct {
	Cluster  string   `json:"fleet"`
	Revision Revision `json:"stamp"`
	Text     []byte   `json:"text"`
}

// Snapshot is a text that was checked. It is not changed once made, and may be shared by goroutines.
type Snapshot struct {
	Revision Revision
	Text     []byte
	Settings Settings
}

// Settings is what a snapshot says; what is nil is as at the process's start. Kinds lists from which instant each one holds.
type Settings struct {
	Discovery *Discovery `toml:"discovery"`
	Fleet     *Fleet     `toml:"fleet"`
	Log       *Log       `toml:"log"`
	Limits    *Limits    `toml:"limits"`
	Price     *Price     `toml:"price"`
	// By name; a sidecar that has no such class or tenant leaves it out.
	Class  map[string]Class  `toml:"class"`
	Tenant map[string]Tenant `toml:"tenant"`
}

// Discovery is where the list of servers is had.
type Discovery struct {
	Addr *string `toml:"addr"` // "HOST:PORT"
}

// Fleet is what is told of the fleet.
type Fleet struct {
	Sidecars *int64 `toml:"sidecars"` // how many there are, for a start that knows nobody; 1 to 100,000
}

// Log is the daemon's own log.
type Log struct {
	Level *string `toml:"level"` // "debug", "info", "warn", "error"
}

// Limits are those of the module that each of its decisions reads anew.
type Limits struct {
	MaxAttempts  *int64 `toml:"max_attempts"`  // attempts of one request; 1 to 16; never more than the platform allows
	SecondCopies *bool  `toml:"second_copies"` // false: no attempt beside one that is out; true: as the platform allows
}

// Price is balancer.Settings' prices, in points of service; 0 to 1,000,000.
type Price struct {
	CrossZone *float64 `toml:"cross_zone"`
	Open      *float64 `toml:"open"`
	Handshake *float64 `toml:"handshake"`
	Probe     *float64 `toml:"probe"`
}

// Class is what of a class can change: what its requests are worth, above 0, and what of that a late answer still earns, 0 to 1.
type Class struct {
	Worth     *float64 `toml:"worth"`
	LateShare *float64 `toml:"late_share"`
}

// Tenant is the share of the service that one may use; 0 to 1.
type Tenant struct {
	Fraction *float64 `toml:"fraction"`
}

// Event is what happens to a Follower: Offered, Confirmed, Lost, PeerStamp, Applied, Reported, Gone or Tick.
type Event interface{ followerEvent() }

// Offered is a whole snapshot from the upstream, or from a peer that was asked by Fetch.
type SnapshotReceived struct {
	From  string
	Frame Frame
}

// Confirmed is that the upstream is followed, and has nothing later than what is held: once a second at most.
type UpstreamConfirmed struct{ From string }

// Lost is that the upstream is followed no more. What is in force stays.
type UpstreamLost struct{ From string }

// PeerStamp is what another member holds, as its datagrams say: a hint, which alone changes nothing that is held.
type PeerRevision struct {
	Name     string
	Address  string
	Revision Revision // without hash
}

// Applied answers an Apply: exactly once for each, in order.
type ApplyResult struct {
	Revision Revision
	Err      error // nil: it is in force; else the one before it is, whole
}

// Reported is the sum of a follower and of those below it; From is its name.
type ReportReceived struct {
	From   string
	Report Report
}

// Gone is that a follower's connection has ended.
type SubscriberDisconnected struct{ From string }

// Tick is that time has passed. It is due at Follower.Next, and does no harm earlier.
type Tick struct{}

func (SnapshotReceived) followerEvent()       {}
func (UpstreamConfirmed) followerEvent()      {}
func (UpstreamLost) followerEvent()           {}
func (PeerRevision) followerEvent()           {}
func (ApplyResult) followerEvent()            {}
func (ReportReceived) followerEvent()         {}
func (SubscriberDisconnected) followerEvent() {}
func (Tick) followerEvent()                   {}

// Action is what a Follower wants done: Apply, Keep, Publish, Fetch, SendReport or Noted. The caller carries them out in order.
type Action interface{ followerAction() }

// Apply puts a snapshot in force; the caller answers with Applied, later or at once. There is never more than one unanswered.
type Apply struct{ Snapshot *Snapshot }

// Keep stores what is to be held at the next start, in place of what was kept. It may be left undone while the disk fails.
type Save struct{ Cached CachedSnapshot }

// Publish is the frame that those who follow this member are to get from now on, in place of any before it that is not sent yet. It
// may be one that this member itself refuses (an older program): those below must not lack it for that.
type Publish struct{ Frame Frame }

// Fetch asks a peer once for its snapshot, which comes back as Offered. Without an answer there is nothing to tell.
type Fetch struct {
	Name, Address string
	Revision      Revision // that it is to hold at least
}

// SendReport goes to the upstream, in place of any before it that is not sent yet.
type SendReport struct{ Report Report }

// Noted is for the log. Repeats of one Kind come at most once in 10 s, with how many there were.
type LogMessage struct {
	Kind  string // "in force", "refused", "conflict", "older", "broken", "foreign", "fetch"
	Text  string
	Count int // of this kind since the last Noted of it, this one included
}

func (Apply) followerAction()      {}
func (Save) followerAction()       {}
func (Publish) followerAction()    {}
func (Fetch) followerAction()      {}
func (SendReport) followerAction() {}
func (LogMessage) followerAction() {}

// Kept is what a member holds over a restart.
type CachedSnapshot struct {
	Frame   Frame    `json:"Frame"`   // that was in force
	Highest Revision `json:"Highest"` // of all that were ever taken: older ones are refused
}

// FollowerConfig is a Follower's.
type FollowerConfig struct {
	Cluster string
	Self    string          // its member name
	Cached  *CachedSnapshot // from the last run; nil: none
	// Round is how long the upstream has to bring what a peer is known to hold; 300 ms.
	FetchDelay time.Duration
	// ReportEvery is the least time between two reports upward, 100 ms, and Refresh the most, 10 s. Gather is how long a change waits
	// for others to be told with it; 30 ms.
	MinReportInterval, MaxReportInterval, ReportDelay time.Duration
	// NameAfter is how long after a new snapshot those who are still behind are named and not only counted; 1 s. Most need less, and
	// their names would be the most of what reports carry.
	LaggardGracePeriod time.Duration
	// CutFor is how long a follower that is gone is named as cut; 60 s. It counts no more from the moment it is gone.
	DisconnectedRetention time.Duration
	// Parse checks a text; nil: Parse. A member of an older program has another one.
	Parse func(text []byte) (*Snapshot, error)
}

// Report is the sum over a member, or an origin, and all who have the snapshot by way of it.
type Report struct {
	Members         int             `json:"members"`           // all that are counted, each once
	Latest          Revision        `json:"latest"`            // the highest that any of them holds
	Active          []RevisionCount `json:"acting,omitempty"`  // by stamp, highest first, at most MaxStamps
	OtherRevisions  int             `json:"others,omitempty"`  // that act on still other ones
	Laggards        []Laggard       `json:"lacking,omitempty"` // who does not act on the latest, at most MaxLacking
	UnnamedLaggards int             `json:"more,omitempty"`    // and so many more who are not named
}

// StampCount is how many act on a snapshot.
type RevisionCount struct {
	Revision Revision `json:"stamp"`
	Count    int      `json:"n"`
}

// Reason says why a member does not act on the latest snapshot.
type LaggardReason string

// The reasons.
const (
	ReasonBehind       LaggardReason = "behind"  // it has not said yet that it does
	ReasonDisconnected LaggardReason = "cut"     // its connection has ended, and it was not heard of by another way
	ReasonRejected     LaggardReason = "refused" // it cannot use it: Err says why
)

// Lack is a member that does not act on the latest snapshot.
type Laggard struct {
	Name        string        `json:"name"`
	Active      Revision      `json:"acts"` // what it acts on, as last heard
	Reason      LaggardReason `json:"why"`
	Error       string        `json:"err,omitempty"`   // Refused: the first MaxError bytes
	Descendants int           `json:"below,omitempty"` // so many more behind it for the same reason, who are not named
}

// FollowerStats count since the start; the rest is now.
type FollowerStats struct {
	Published      Revision      `json:"held"` // what is passed on
	Active         Revision      `json:"acts"` // what is in force
	Highest        Revision      `json:"-"`    // of all that were ever taken
	FromCache      bool          `json:"kept"` // what is in force is from the last run: no upstream has confirmed it yet
	ConfirmedAt    time.Duration `json:"-"`    // when what is in force was confirmed last, on the caller's clock
	Rejected       int           `json:"refused"`
	Stale          int           `json:"older"`
	Conflicts      int           `json:"conflicts"`
	Corrupt        int           `json:"broken"` // hash, size or stamp wrong
	Foreign        int           `json:"foreign"`
	Fetches        int           `json:"fetches"`
	DroppedReports int           `json:"crowded"` // reports not taken: too many followers
}
