package watch

import (
	"context"
	"fmt"
	"time"
)

// attempt is one call of a hedged request. The context of a successful attempt remains valid after hedge has returned.
// The context is canceled when the service has fallen silent.
type attempt[T any] struct {
	value   T
	cancel  context.CancelCauseFunc
	timeout *time.Timer
	silence *silence // controls timeout
}

// newAttempt returns an attempt and its context, which is canceled after a silence of timeout.
func newAttempt[T any](ctx context.Context, timeout time.Duration) (*attempt[T], context.Context) {
	a := new(attempt[T])
	ctx, a.cancel = context.WithCancelCause(ctx)
	a.timeout = time.AfterFunc(timeout, func() {
		a.cancel(fmt.Errorf("%w for %v", errNoData, timeout))
	})
	a.silence = newSilence(timeout, a.timeout)
	return a, ctx
}

// end cancels the context of the attempt.
func (a *attempt[T]) end() {
	a.timeout.Stop()
	a.cancel(context.Canceled)
}

// hedgePolicy controls when hedge makes another call; see backoff.HedgeDelay and backoff.MaxAttempts.
type hedgePolicy struct {
	delay       time.Duration // how long to wait for a success before starting the next call
	maxAttempts int           // limits the calls of one request
}

// anyProgress reports whether one of the attempts has received entries of an event within the last d.
func anyProgress[T any](attempts map[*attempt[T]]context.Context, d time.Duration) bool {
	for a := range attempts {
		if a.silence.hasProgressed(d) {
			return true
		}
	}
	return false
}

// hedge makes a hedged request: one call, and another one each time that policy.delay has passed without a success, up
// to policy.maxAttempts calls. The second call is postponed once by policy.delay if the first one makes progress, so
// that a large list is not requested twice in vain. Each call is abandoned after a silence of timeout. Callers set
// policy.delay to half of timeout, so that at most two calls that make no progress are in flight at a time. hedge
// returns the first attempt that succeeds, with its context, and ends the others. If all calls in flight have failed,
// it returns the last error.
//
// Hedging prevents a call that hangs from delaying a change beyond backoff.NotificationDeadline: requests would still
// be sent to draining endpoints. The next call has its own connection, and does not wait for the result of the first
// call.
func hedge[T any](
	ctx context.Context, timeout time.Duration, policy hedgePolicy,
	call func(context.Context, *silence) (T, error),
) (*attempt[T], context.Context, error) {
	type result struct {
		attempt *attempt[T]
		value   T
		err     error
	}
	postponed := false
	results := make(chan result, policy.maxAttempts) // buffered, so that the goroutine of an attempt never blocks
	inFlight := map[*attempt[T]]context.Context{}
	defer func() {
		for a := range inFlight {
			a.end()
		}
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for started := 0; ; {
		select {
		case <-ctx.Done():
			return nil, nil, context.Cause(ctx)
		case <-next.C:
			if !postponed && anyProgress(inFlight, policy.delay) {
				postponed = true
				next.Reset(policy.delay)
				continue
			}
			a, attemptCtx := newAttempt[T](ctx, timeout)
			inFlight[a] = attemptCtx
			go func() {
				value, err := call(attemptCtx, a.silence)
				results <- result{a, value, err}
			}()
			started++
			if started < policy.maxAttempts {
				next.Reset(policy.delay)
			}
		case r := <-results:
			attemptCtx := inFlight[r.attempt]
			delete(inFlight, r.attempt)
			if r.attempt.value = r.value; r.err == nil {
				return r.attempt, attemptCtx, nil
			}
			r.attempt.end()
			if len(inFlight) == 0 {
				return nil, nil, r.err
			}
		}
	}
}
