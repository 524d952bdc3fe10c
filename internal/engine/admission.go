package engine

import "errors"

// Errors for calls that are rejected without the Balancer. Calls in flight at shutdown also get errClosed, and
// Reconfigure returns it. The gRPC client's status messages contain these texts.
var (
	errClosed       = errors.New("closed")
	errTooManyCalls = errors.New("too many calls in hand")
)

// immediateResult decides which calls get their result without the Balancer; ok is false for all others. A call is
// rejected here even if it has PriorAttempts of a Deduplicator (internal/idempotency/middleware), which turns such a
// rejection into Failed where a retry would not be safe. The decision depends on whether the engine is stopping, the
// calls in flight, Config.MaxCalls and the call's context:
//
//   - During shutdown, a new call is rejected. The Balancer is not called any more, so the call would otherwise get no
//     result before Run returns.
//   - A call whose ID is already in flight is a Duplicate. This prevents two clients from ending each other's calls.
//   - Calls beyond Config.MaxCalls are rejected. This prevents unbounded memory use if a front admits too many calls.
//   - A call whose client disconnected while the call was queued gets a Disconnected result.
//
// Guard: prevents an attempt for a client whose disconnect event is still queued behind its call: the attempt would
// start after the client has disconnected. This holds because the call's context is checked directly.
func (e *Engine) immediateResult(c *Call) (r Result, ok bool) {
	switch {
	case e.stopping:
		return e.unsentResult(c, errClosed), true
	case e.calls[c.ID] != nil:
		return Result{Kind: Duplicate}, true
	case e.maxCalls > 0 && len(e.calls) >= e.maxCalls:
		return e.unsentResult(c, errTooManyCalls), true
	case c.contextEnded(): // the client disconnected while the call waited in the queue
		return c.disconnectedResult(), true
	}
	return Result{}, false
}

// unsentResult returns the result of a call that is not passed to the Balancer: Rejected, unless an attempt of an
// earlier call with its ID may have run.
func (e *Engine) unsentResult(c *Call, err error) Result {
	if e.MayReject(c) {
		return Result{Kind: Rejected, Err: err}
	}
	return Result{Kind: Failed, Err: err}
}
