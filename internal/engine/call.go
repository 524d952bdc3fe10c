package engine

import (
	"context"
	"time"

	"hazelwing/balancer"
)

// Call is one request of an application. A front fills in the exported fields and does not modify them after it has
// passed the Call to Do.
type Call struct {
	ID          string // unique among the calls in flight
	Class       string // one of the classes of the settings
	Tenant      string
	AffinityKey string // object that the call concerns; optional
	// IdempotencyKey is the client's key; optional. All calls for one effect have the same key, even if their IDs
	// differ.
	IdempotencyKey string
	// PriorAttempts lists attempts of other calls with this idempotency key that may have run; see balancer.Request.
	PriorAttempts []PriorAttempt
	// ExpectedWork is the work that the client expects the call to cause at the endpoint; 0 if unknown.
	ExpectedWork time.Duration
	// ExpiresAt is when the client stops waiting. A call that has no result by twice Settings.Tick before this time is
	// given up; after a stall of this process, this may be later.
	ExpiresAt time.Time
	// Payload is used by the transport only. Several attempts may read it concurrently, so it must not be modified.
	Payload any
	// Disconnected reports whether the client has disconnected, which it may detect before Do's context ends. If
	// Disconnected is nil, only the context is checked. Disconnected must be safe for concurrent use and must not
	// block.
	Disconnected func() bool

	ctx      context.Context //nolint:containedctx // Do's context; MayStart's result checks it during the call.
	result   chan Result     // buffered for the one result
	notAfter time.Time       // no further attempt may start from this time on; zero: no limit

	// Only Run's goroutine uses the fields below.
	attempts      []*attempt
	outstanding   int // attempts without an outcome
	answered      bool
	timedOut      bool
	streamAttempt int // number of the attempt whose stream the client receives, or noAttempt
	lastErr       error
	lastAnswer    any
}

// PriorAttempt is an attempt of another call that may have run.
type PriorAttempt struct {
	Location balancer.Location
	SentAt   time.Time
}

// RejectionChecker is implemented by a Doer of a front that remembers calls. MayReject reports whether a call that was
// not passed to Do may be rejected, which tells the client that a retry is harmless. It does not block.
type RejectionChecker interface{ MayReject(c *Call) bool }

// MayReject reports whether a front may reject a call that it does not pass to doer. It returns true if doer is no
// RejectionChecker.
//
// Guard: prevents a client from being told that a retry is harmless although an earlier call for the same effect may
// have run. This holds because each front calls MayReject before it rejects a call by itself.
func MayReject(doer any, c *Call) bool {
	checker, ok := doer.(RejectionChecker)
	return !ok || checker.MayReject(c)
}

// MayStart returns a function that decides whether an attempt that is ready to be written may still start. The attempt
// may start while the client is connected and, if the Balancer set Action.NotAfter, only before that time. A transport
// calls MayStart in Attempt, from Run's goroutine, and calls the returned function from the attempt's goroutine,
// immediately before it writes the first byte.
//
// Guard: prevents an attempt that waited for a dial, a connection or a disk from being written after its client has
// disconnected, or after the window in which endpoints recognize a repeated request. The endpoint would do work that no
// client waits for, or would apply the same effect twice. This holds because nothing blocks between the check and the
// write.
func (c *Call) MayStart() func() bool {
	notAfter := c.notAfter
	return func() bool {
		inTime := notAfter.IsZero() || time.Now().Before(notAfter)
		return inTime && !c.hasDisconnected()
	}
}

// hasDisconnected reports whether the client is known to have disconnected. It is safe for concurrent use.
func (c *Call) hasDisconnected() bool {
	return c.contextEnded() || c.Disconnected != nil && c.Disconnected()
}

// contextEnded reports whether Do's context has ended. It is safe for concurrent use.
func (c *Call) contextEnded() bool { return c.ctx != nil && c.ctx.Err() != nil }

// disconnectedResult returns the result for a call whose client has disconnected. Do may not have noticed the
// disconnect yet.
func (c *Call) disconnectedResult() Result {
	return Result{Kind: Disconnected, Err: context.Cause(c.ctx)}
}

// cancelAttempts cancels all attempts of the call.
func (c *Call) cancelAttempts() {
	for _, a := range c.attempts {
		a.exchange.Cancel()
	}
}

// ResultKind is the kind of a Result.
type ResultKind int

// The kinds of results.
const (
	Served       ResultKind = iota // Answer holds the answer that the transport returned
	Streaming                      // Answer holds a stream that has begun; the Result does not tell how the stream ends
	Rejected                       // it is safe to retry
	Failed                         // attempts may have run; it may be unsafe to retry
	Duplicate                      // another call with this ID is in flight; this call was not processed
	Disconnected                   // the client disconnected before the call had another result
)

// Result is the outcome of a Call. The comment of a field names the kinds of results that have the field.
type Result struct {
	Kind       ResultKind
	Answer     any           // Served, Streaming: the answer; Failed: the last answer of an attempt, or nil
	RetryAfter time.Duration // Rejected: when to retry; 0: not specified
	TimedOut   bool          // Failed: an attempt timed out or is still outstanding; not set at shutdown
	Attempts   int           // number of attempts started; 0 for Disconnected
	Err        error         // Rejected, Failed: the cause, if known; Disconnected: cause of Do's context, if it ended
}
