// Package balancer makes the decisions of a client-side load balancer that runs as a sidecar.
//
// This file is the whole interface: Settings, events in, actions out. The decisions are in balancer.go.
// A sidecar calls New once, then Handle for each thing that happens, and carries out the actions in order.
// The package does no I/O and reads no clock; a Balancer is not safe for concurrent use.
package balancer

import "time"

// Effect says what a second run of a request would do.
type Effect int

// The three effects. Anything else makes New fail.
const (
	Idempotent    Effect = iota // may run any number of times
	Keyed                       // upstreams of one Group drop repeats within Window
	NonIdempotent               // must not run twice
)

// Group is the set of upstreams that share the memory of a keyed request.
type IdempotencyScope int

// The groups of keyed classes.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // answers within it earn full worth; absent: Deadline
	ObjectiveStretch  float64       // the aim grows by this multiple of the request's own work
	Deadline          time.Duration // what a client waits over all of its tries
	Weight            float64       // absent: 1
	LateWeight        float64       // share of the worth still earned after the aim
	Effect            Effect
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow time.Duration // keyed: how long repeats are dropped
	Stream            bool
}

// Tenant is one of the parties that share the fleet.
type Tenant struct {
	Name     string
	Fraction float64 // its share of the service
}

// Settings is what a sidecar is told at its start. Absent (zero) values mean: feature not allowed, price nil.
type Settings struct {
	Balancers int    // sidecars of this tier in all; absent: 1
	Zone      string // this sidecar's zone
	Classes   []Class
	Tenants   []Tenant

	MustSubscribe bool          // the list comes only to those who ask
	Tick          time.Duration // least time between two calls of Handle; absent: 1 ms

	MaxAttempts      int // absent: 1
	Hedging          bool
	Cancellation     bool
	Probes           bool
	KeyAffinity      bool // an upstream that served a key lately needs less work for it
	ProbesReportLoad bool // probe results tell what an upstream holds
	RetryAfter       bool
	MaxRetryAfter    time.Duration
	ConnectTimeout   time.Duration

	PriceCrossZone      float64 // points of service for crossing zones once a request
	PriceOpenConnection float64 // points of service for a mean of 100 open connections an upstream
	PriceHandshake      float64 // points of service for a new connection a request
	PriceProbe          float64 // points of service for one probe a request
	OverQuotaWeight     float64 // worth of a request beyond its tenant's share, as a fraction
	WeightByWork        bool    // worth counts by unit of work

	InitialCapacity  float64       // a started upstream has at least this share of its capacity; absent: 1
	WarmUp           time.Duration // and is warm after at most this long
	OverloadMultiple float64       // times present capacity that pushes it over; absent: no such rule
	OverloadDuration time.Duration // when kept up for this long
}

// Event is anything a sidecar reports: Members, Request, FirstByte, Outcome, Gone, Wake, ProbeResult, Peer.
type Event interface{ event() }

// State is an upstream's state in the list.
type EndpointState int

// States of list entries.
const (
	Active EndpointState = iota
	Draining
	Removed
)

// Member is an entry of the list of upstreams.
type Endpoint struct {
	ID, Zone  string
	Kind      string // of machine; upstreams of one kind are taken to be alike until heard of
	Cell      int
	State     EndpointState
	StartedAt time.Duration // clock time of its latest start; 0: long ago
}

// MembersKind says how a list is to be read.
type UpdateKind int

// The kinds of Members events.
const (
	CompleteList UpdateKind = iota // the whole list
	Delta                          // changed entries only
	CachedList                     // the whole list as last held; may be stale
	WatchFailed                    // a Subscribe or Fetch failed, or the subscription broke
	OutOfBand                      // changed entries that came beside the subscription, of which they say nothing
)

// Members brings the list of upstreams, or news of it.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	// Anew, of kind Failed: what turned the call away could not be reached before, by what is known.
	NewlyReached bool
}

// Request is a client's request, to be answered exactly once before Expires.
type Request struct {
	ID, Class, Tenant string
	AffinityKey       string        // what the request is about; may be absent
	ExpiresAt         time.Duration // clock time
	ExpectedWork      time.Duration // expected work; 0: unknown
	// Earlier are attempts of earlier requests with the same effect that may have run. Nil for all but keyed ones: one
	// that may have run somewhere is tried again in that group only, and while its window lasts, as its own attempts are.
	PriorAttempts []PriorAttempt
}

// Earlier is an attempt of another request that may have run.
type PriorAttempt struct {
	Zone   string
	Cell   int
	SentAt time.Duration // clock time
}

// FirstByte says that a streamed answer has begun.
type FirstByte struct {
	ID      string
	Attempt int
}

// Result is how an attempt ended.
type Result int

// Results of attempts and probes.
const (
	OK            Result = iota
	ServerError          // error answer; may have run
	Overloaded           // turned away unseen (queue full, draining): did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // did not run
	Reset                // connection broke; may have run
	Cancelled            // may have run
	NotSent              // never sent
)

// MayHaveRun says whether an attempt that ended so may have had its effect, or may have it yet.
func (r Result) MayHaveRun() bool { return r != Overloaded && r != ConnectFailed && r != NotSent }

// Load is what an upstream says of itself, late and roughly.
type LoadReport struct {
	Reported bool    // the report came and says what the upstream holds
	InFlight float64 // requests it holds, running or waiting
}

// Outcome ends an attempt. Each Send has exactly one.
type Outcome struct {
	ID       string
	Attempt  int
	Result   Result
	Elapsed  time.Duration
	Finished bool       // the request has its final answer
	Load     LoadReport // that came along with it
}

// Gone says that the client left: no answer is owed any more.
type ClientDisconnected struct{ ID string }

// Wake is the timer set by the last SetTimer.
type TimerFired struct{}

// ProbeResult ends a probe.
type ProbeResult struct {
	Endpoint string
	Result   Result
	Elapsed  time.Duration
	Load     LoadReport
}

// Peer is a message from another sidecar. The module sends none, and ignores it.
type PeerMessage struct {
	From    int
	Message string
}

func (EndpointUpdate) event()     {}
func (Request) event()            {}
func (FirstByte) event()          {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (ProbeResult) event()        {}
func (PeerMessage) event()        {}

// ActionKind tells actions apart.
type ActionKind int

// What a sidecar can be asked to do.
const (
	Send      ActionKind = iota // start the request's next attempt at Upstream, ending after Timeout, unless that is not before Before
	Cancel                      // stop waiting for attempt number Attempt
	Reject                      // final answer: not done, trying again is harmless; RetryIn is advice
	Fail                        // final answer: no promise
	SetTimer                    // report Wake at time At; an earlier SetTimer may be dropped
	Subscribe                   // ask for the list and its changes
	CloseIdle                   // close the idle connections to Upstream
	Probe                       // ask Upstream for its load; answered by a ProbeResult
	Log                         // a line for the operators
)

// Action is one thing to do. Only the fields named at its Kind are set.
type Action struct {
	Kind       ActionKind
	ID         string
	Endpoint   string
	Attempt    int
	Timeout    time.Duration
	RetryAfter time.Duration
	At         time.Duration
	NotAfter   time.Duration // 0: at any time
	Text       string
}
