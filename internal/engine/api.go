package engine

import (
	"context"
	"time"

	"hazelwing/balancer"
)

// Call is one request of an application. The front fills it in and leaves it alone once Do has it.
type Call struct {
	ID          string // tells it from all others in hand
	Class       string // one of the settings' classes
	Tenant      string
	AffinityKey string // what it is about (affinity); may be absent
	// Identity is the same in all requests for one effect, whatever their ID: a client's key. It may be absent.
	IdempotencyKey string
	// Earlier is where attempts of others with its identity may have run; see balancer.Request.
	PriorAttempts []PriorAttempt
	ExpectedWork  time.Duration // expected work; 0: unknown
	// Expires is when the client stops waiting. The Result comes before it, by twice the settings' Tick.
	ExpiresAt time.Time
	// Payload is for the transport alone. Several attempts may read it at the same time: nobody changes it.
	Payload any
	// Left looks whether the client is gone, sooner than Do's ctx may tell; nil: only that tells. It is called from any
	// goroutine and does not block.
	Disconnected func() bool

	ctx    context.Context // Do's
	reply  chan Result     // holds the one result
	before time.Time       // no further attempt may be begun from then on; zero: at any time

	// Run's own.
	attempts []*attempt
	out      int
	answered bool
	timedOut bool
	begun    int // the attempt whose stream is the client's; -1: none
	last     error
	lastAns  any
}

// Earlier is an attempt of another call that may have run.
type PriorAttempt struct {
	Zone   string
	Cell   int
	SentAt time.Time
}

// Permit returns what says whether an attempt that is being prepared may still begin. A transport takes it in Attempt, and
// calls it from the attempt's goroutine, once there is nothing left to wait for but the write itself. Guards against dials,
// places and disks that keep an attempt until its client has left, or until those who saw the first one no longer drop its
// repeat.
func (c *Call) MayStart() func() bool {
	before := c.before
	return func() bool { return (before.IsZero() || time.Now().Before(before)) && !c.gone() }
}

// gone says that the client has left, as far as can be told now.
func (c *Call) gone() bool { return c.over() || c.Disconnected != nil && c.Disconnected() }

// over says that Do's context has ended.
func (c *Call) over() bool { return c.ctx != nil && c.ctx.Err() != nil }

// attempt is a Call's attempt, from its Send to its outcome.
type attempt struct {
	exchange Exchange
	sent     time.Time
	verdict  chan bool // whether it may begin its stream
}

// Kind says what a Result is.
type ResultKind int

// The kinds of results.
const (
	Served       ResultKind = iota // Answer is what the transport made of it
	Streaming                      // Answer is a stream that has begun; how it ends is the client's own
	Rejected                       // not done: trying again is harmless
	Failed                         // no promise
	Duplicate                      // another call with this ID is in hand; nothing was done for this one
	Disconnected                   // the client's context ended first
)

// Result is what becomes of a Call.
type Result struct {
	Kind       ResultKind
	Answer     any           // Served, Begun; Failed: the last answer that an attempt brought, or nil
	RetryAfter time.Duration // Refused: when to try again, 0: no advice
	TimedOut   bool          // Failed: an attempt ran out of time, or is still out
	Attempts   int           // that were started
	Err        error         // Refused, Failed: why the last attempt ended so, where that is known; Left: the context's
}

// Outcome is how an exchange ended. Result tells whether it may have run (balancer.Result.MayHaveRun); what proves
// that it did not is listed in each transport.
type Outcome struct {
	Result  balancer.Result
	Elapsed time.Duration       // from when it was asked for to its end; of a stream, to its beginning
	Answer  any                 // what came back; nil: nothing that a client could be given
	Final   bool                // Answer is for the client, whatever Result says of the member. Set where Result is OK
	Load    balancer.LoadReport // what the member said of itself along with it
	Err     error               // why it ended so, where it was not served
}

// Exchange is one attempt or one probe.
type Exchange interface {
	// Run carries it out and returns by its timeout, or soon after Cancel. The engine calls it once, in a goroutine
	// of its own. Of a stream, Run calls begin when the first of it has come, and goes on only if begin says true:
	// then the answer is the client's, the timeout no longer counts, and Run returns when the stream has ended.
	Run(begin func(answer any) bool) Outcome
	// Cancel ends it, whatever it is doing. It does not block; it may be called at any time, also again.
	Cancel()
	// Forbid ends it if nothing of it was written yet, and lets it go on otherwise. It does not block. Guards against
	// a connection that comes up after the call's result: what is sent then could run for nothing.
	CancelUnsent()
}

// Transport reaches the members. The engine calls it from Run's goroutine only; none of its methods may block.
type Transport interface {
	// Update follows the list: entries replaces what is known where whole, and changes it otherwise. told is when the
	// news came: what drains, or is gone, is written nothing new from the settings' grace after it on at the latest.
	Update(whole bool, entries []Endpoint, told time.Time)
	// Attempt prepares an attempt; nil says that the member is not known.
	Attempt(member string, c *Call, timeout time.Duration) Exchange
	// Probe prepares a probe, whose Outcome has its Load; nil says that the member is not known.
	Probe(member string, timeout time.Duration) Exchange
	// Close closes the connections to a member that carry nothing.
	CloseIdle(member string)
}

// Member is an entry of a list of members.
type Endpoint struct {
	ID    string // the same at every instance, and after a restart
	Addr  string // where it listens
	Zone  string
	Kind  string // of machine
	Cell  int
	State balancer.EndpointState
	// BornMS is when its process started, Unix milliseconds; 0: long ago. Another one is another process.
	StartedAtMS float64
}

// NoVersion is where nothing of a list is held. Any version from 0 on may be one that holds members: a source that
// begins to count with its first list has that as version 0.
const NoVersion = -1

// OtherVersion is where a list is held, and its version says nothing to the source: it is another source's, or what came
// after it is lost. What the source tells holds at once; the whole list may follow when it comes cheap.
const UnknownVersion = -2

// News is what a Source tells.
type EndpointUpdate struct {
	Kind      balancer.UpdateKind
	Version   int64 // the list's version, from which a later Watch goes on; NoVersion, OtherVersion: from the whole list
	Endpoints []Endpoint
	Err       error // of kind Failed
	Reachable bool  // of kind Failed: the source could be reached, as far as is known
}

// Source tells of members.
type Source interface {
	// Watch starts to follow the list, once pause has passed, from version seq on, and returns at once. From NoVersion
	// on its first news, unless it is Failed, is of kind Full. It calls tell from goroutines of its own, one call at a
	// time. News of kind Failed is its last, and it tells none after stop was called and has returned, but for one that
	// is under way. stop does not block, and may be called again. The engine calls Watch and stop from Run's goroutine,
	// and has one Watch on at a time.
	Watch(seq int64, pause time.Duration, tell func(EndpointUpdate)) (stop context.CancelFunc)
}
