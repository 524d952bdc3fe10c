package balancer

import "time"

// Effect describes the consequence of running a request a second time.
type Effect int

// Effects of a request. New returns an error for any other value.
const (
	Idempotent    Effect = iota // may run any number of times
	Keyed                       // has an idempotency key: endpoints of one IdempotencyScope deduplicate it
	NonIdempotent               // must not run twice
)

// IdempotencyScope is the set of endpoints that deduplicate a keyed request together.
type IdempotencyScope int

// Scopes of keyed classes.
const (
	ScopeAll  IdempotencyScope = iota // all endpoints
	ScopeZone                         // the endpoints of one zone
	ScopeCell                         // the endpoints with the same Endpoint.Cell
)

// Class describes one kind of request.
type Class struct {
	Name string
	// LatencyObjective is the latency up to which an answer has its full weight. If absent, it is Deadline.
	LatencyObjective time.Duration
	// ObjectiveStretch, multiplied by the request's expected work, is added to LatencyObjective. The sum is limited to
	// Deadline.
	ObjectiveStretch float64
	// Deadline is how long a client waits in total, over all of its own attempts.
	Deadline time.Duration
	// Weight is the priority of requests. If absent, it is 1.
	Weight float64
	// LateWeight is the share of Weight that an answer after the objective still has.
	LateWeight       float64
	Effect           Effect
	IdempotencyScope IdempotencyScope // used for keyed classes only
	// IdempotencyWindow is how long endpoints deduplicate a keyed request.
	IdempotencyWindow time.Duration
	Stream            bool // answers are streamed
}

// Tenant is a party that shares the endpoints with others.
type Tenant struct {
	Name     string
	Fraction float64 // quota, as a share of all requests
}

// Settings configures a Balancer. Unless a field's comment says otherwise, an absent (zero) value disables a feature
// or sets a price to zero.
type Settings struct {
	Balancers int    // sidecars that send to the same endpoints, including this one; absent: 1
	Zone      string // home zone: the zone of this sidecar
	Classes   []Class
	Tenants   []Tenant

	MustSubscribe bool          // the endpoint list arrives only after a Subscribe action
	Tick          time.Duration // minimum time between two calls of Handle; absent: 1 ms

	MaxAttempts      int  // maximum attempts for each request, including hedges; absent: 1
	Hedging          bool // a request may have several attempts outstanding
	Cancellation     bool // attempts can be canceled
	Probes           bool // endpoints can be probed
	KeyAffinity      bool // endpoints cache by affinity key: one that recently served a key needs less work for it
	ProbesReportLoad bool // probes report how many requests an endpoint has in flight
	RetryAfter       bool // rejections tell the client when to retry
	MaxRetryAfter    time.Duration
	ConnectTimeout   time.Duration

	// Prices are shares of service, 0 to 1. Service is the total weight of the requests that are answered in time,
	// divided by the total weight of all requests. At a PriceCrossZone of 0.1, one cross-zone attempt for each
	// request costs as much as leaving a tenth of the requests (by weight) unanswered.
	PriceCrossZone      float64 // price of one cross-zone attempt for each request
	PriceOpenConnection float64 // price of 100 open connections for each endpoint on average
	PriceHandshake      float64 // price of one new connection for each request
	PriceProbe          float64 // price of one probe for each request

	OverQuotaWeight float64 // share of their weight that requests beyond their tenant's quota keep; absent: none
	WeightByWork    bool    // weights are per unit of work, not per request

	// Settings of slow start (slowstart.go).

	// InitialCapacity is the minimum capacity of an endpoint that has just started, as a share of its full capacity, 0
	// to 1. If absent, it is 1. With a higher value, an endpoint gets more load from the start and is overloaded if its
	// actual capacity is lower.
	InitialCapacity float64
	// WarmUp is the time from the start of an endpoint until it has its full capacity. With a higher value, slow start
	// takes longer, and requests wait where many endpoints start together.
	WarmUp time.Duration
	// OverloadMultiple determines the load that overloads an endpoint that is warming up: OverloadMultiple times its
	// current capacity, for OverloadDuration. If absent, an endpoint that has a share x of its full capacity gets at
	// most x times the mean load. A higher value allows more load, so that fewer requests wait, but if it is too high,
	// the endpoint is overloaded.
	OverloadMultiple float64
	// OverloadDuration is how long the load that OverloadMultiple determines must last to overload the endpoint. It
	// determines the size of bursts to the endpoint. A higher value allows larger bursts.
	OverloadDuration time.Duration
}

// Event is an input that a sidecar passes to Handle: EndpointUpdate, Request, FirstByte, Outcome, ClientDisconnected,
// TimerFired, ProbeResult or PeerMessage.
type Event interface{ event() }

// EndpointState is an endpoint's state in the endpoint list.
type EndpointState int

// States of an endpoint.
const (
	Active   EndpointState = iota
	Draining               // shutting down gracefully; gets no new attempts
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID   string
	Zone string
	Kind string // machine type; endpoints of one kind are assumed to be equally fast until they have answered
	Cell int    // endpoints with the same Cell deduplicate keyed requests of ScopeCell together
	// LocationUnknown means that Zone and Cell are not reported, and have their zero values.
	LocationUnknown bool
	State           EndpointState
	StartedAt       time.Duration // clock time of the latest start; 0 if it was long ago
}

// UpdateKind is the kind of an EndpointUpdate.
type UpdateKind int

var updateKindTexts = [...]string{"complete list", "delta", "cached list", "watch failed", "out of band"}

// String returns the kind's text for logs.
func (k UpdateKind) String() string { return updateKindTexts[k] }

// Kinds of endpoint updates.
const (
	CompleteList UpdateKind = iota // all endpoints
	Delta                          // changed endpoints only
	CachedList                     // all endpoints as last known; possibly out of date
	WatchFailed                    // a subscription or the call to subscribe failed; contains no endpoints
	OutOfBand                      // changed endpoints from another source; does not confirm the subscription
)

// EndpointUpdate is the endpoint list, or a change of it.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	// NewlyReached reports, for kind WatchFailed, that the service that failed the call has become reachable again, as
	// far as is known. The pauses between calls then start again from the first pause. Otherwise, a service that comes
	// back and at first rejects all callers would still be called at the intervals of a long outage, and draining
	// endpoints would be noticed seconds late.
	NewlyReached bool
}

// Request is a client's request. It gets exactly one final answer before ExpiresAt, unless its client disconnects
// first. A request is ignored if an earlier one with the same ID has no final answer yet or has outstanding attempts.
type Request struct {
	ID           string
	Class        string
	Tenant       string
	AffinityKey  string        // identifies the subject of the request, for caching; may be absent
	ExpiresAt    time.Duration // clock time
	ExpectedWork time.Duration // 0 if unknown
	// PriorAttempts are attempts of earlier requests with the same effect that may have run. They restrict this
	// request like its own attempts: it is sent only within their idempotency scope and idempotency window. The field
	// is nil unless the request is keyed.
	PriorAttempts []PriorAttempt
}

// Location is the place of an endpoint, as far as its source reports it.
type Location struct {
	Zone string
	Cell int
	// Unknown means that the source reports neither: Zone and Cell have their zero values, which must not be compared
	// with those of other endpoints.
	Unknown bool
}

// PriorAttempt is an attempt of an earlier request that may have run.
type PriorAttempt struct {
	Location Location
	SentAt   time.Duration // clock time
}

// FirstByte reports that a streamed answer has started.
type FirstByte struct {
	ID      string
	Attempt int
}

// Result is the way in which an attempt or a probe ended.
type Result int

// Results of attempts and probes.
const (
	OK            Result = iota
	ServerError          // answered with an error; may have run
	Overloaded           // rejected before processing (full queue, draining); did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // did not run
	Reset                // the connection broke; may have run
	Cancelled            // may have run
	NotSent              // did not run
)

var resultTexts = [...]string{
	"ok", "server error", "overloaded", "timeout", "connect failed", "reset", "cancelled", "not sent",
}

// String returns the result's text for logs.
func (r Result) String() string { return resultTexts[r] }

// MayHaveRun reports whether an attempt with this result may have had its effect or may still have it.
func (r Result) MayHaveRun() bool { return r != Overloaded && r != ConnectFailed && r != NotSent }

// LoadReport is the load that an endpoint reports. It is delayed and imprecise.
type LoadReport struct {
	Reported bool    // a report was received and contains InFlight
	InFlight float64 // requests that the endpoint is running or has queued
}

// Outcome reports the end of an attempt. Each Send has exactly one Outcome.
type Outcome struct {
	ID       string
	Attempt  int
	Result   Result
	Elapsed  time.Duration
	Finished bool       // the request has its final answer
	Load     LoadReport // load report that came with the answer
	// Expired means that the Result is ConnectFailed because the attempt's own timeout has ended, before the
	// connect timeout. This is no refusal.
	Expired bool
	// Refused means that the Result is ConnectFailed because nothing listens at the endpoint's address: its process has
	// ended.
	Refused bool
}

// ClientDisconnected reports that the client no longer waits for an answer to the request.
type ClientDisconnected struct{ ID string }

// TimerFired reports that the time of the last SetTimer action has come.
type TimerFired struct{}

// ProbeResult reports the end of a probe.
type ProbeResult struct {
	Endpoint string
	Result   Result
	Elapsed  time.Duration
	Load     LoadReport
}

// PeerMessage is a message from another sidecar. A Balancer ignores it and sends none.
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

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions that a sidecar carries out.
const (
	// Send starts the request's next attempt, on Endpoint, with the given Timeout. The request must not be written to
	// the endpoint at NotAfter or later.
	Send ActionKind = iota
	// Cancel ends the attempt with number Attempt.
	Cancel
	// Reject is a final answer that tells the client that a retry is harmless, after RetryAfter if that is set.
	Reject
	// Fail is a final answer that does not tell whether a retry is harmless.
	Fail
	// SetTimer requests a TimerFired event at time At. It may replace an earlier SetTimer.
	SetTimer
	// Subscribe requests the endpoint list and its changes.
	Subscribe
	// CloseIdle closes the idle connections to Endpoint.
	CloseIdle
	// Probe requests the load of Endpoint. A ProbeResult reports the answer.
	Probe
	// Log writes Text and Attributes to the log.
	Log
)

// Reason tells why the Balancer ended a request with an answer of its own. It is for logs only.
type Reason int

// Reasons of Reject and Fail actions.
const (
	NoReason         Reason = iota
	UnknownClass            // the settings do not have the request's class
	DeadlinePassed          // the request's deadline has passed
	LoadShed                // admission control shed the request
	PairOverloaded          // the endpoints that were probed for the request are overloaded
	NoTimeForRetry          // the usual latency exceeds the time that is left for another attempt
	NoFurtherAttempt        // the maximum number of attempts is reached, or the class does not allow a retry
	RetryBudgetSpent        // too many retries and hedges were sent recently
	reasonCount             // number of reasons
)

var reasonTexts = [reasonCount]string{
	"", "unknown class", "deadline passed", "load shed", "probed endpoints overloaded", "no time for a retry",
	"no further attempt allowed", "retry budget spent",
}

// String returns the reason's text for logs.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return ""
	}
	return reasonTexts[r]
}

// Action is an instruction to the sidecar. The comment of its kind names the fields that are set. ID is also set if the
// action concerns a request.
type Action struct {
	Kind       ActionKind
	ID         string
	Endpoint   string
	Attempt    int
	Timeout    time.Duration
	RetryAfter time.Duration
	At         time.Duration
	// NotAfter is the time from which the attempt could reach an endpoint after the endpoints have dropped the record
	// of an earlier attempt of a keyed request; 0 if there is no limit. It prevents a second run of a request whose
	// retry is decided inside the idempotency window, but waits for a connection until the window is over. The
	// transport compares NotAfter with the clock immediately before it writes the first byte.
	NotAfter   time.Duration
	Reason     Reason // Reject and Fail; for logs only
	Text       string
	Attributes []Attribute
}

// Attribute is an attribute of a log line.
type Attribute struct {
	Key   string // in snake_case
	Value any
}
