package watch

import (
	"context"
	"fmt"
	"time"
)

// attempt is one call of a hedged request. The context of an attempt that has succeeded stays open, and timeout ends
// it unless it is reset or stopped.
type attempt[T any] struct {
	value   T
	cancel  context.CancelCauseFunc
	timeout *time.Timer
}

// newAttempt returns an attempt and its context, which ends after timeout.
func newAttempt[T any](ctx context.Context, timeout time.Duration) (*attempt[T], context.Context) {
	a := new(attempt[T])
	ctx, a.cancel = context.WithCancelCause(ctx)
	a.timeout = time.AfterFunc(timeout, func() {
		a.cancel(fmt.Errorf("%w for %v", errNoData, timeout))
	})
	return a, ctx
}

// end ends the context of the attempt.
func (a *attempt[T]) end() {
	a.timeout.Stop()
	a.cancel(context.Canceled)
}

// hedge makes a call, and another one beside it each time that half of timeout has passed without a result, up to
// maxAttempts calls. Each is abandoned after timeout, so that at most two are in flight at a time. It returns the
// first attempt that succeeds with its context, and ends the others. Once none is in flight any more, it returns the
// error of the last.
func hedge[T any](
	ctx context.Context, timeout time.Duration, maxAttempts int, call func(context.Context) (T, error),
) (*attempt[T], context.Context, error) {
	type result struct {
		attempt *attempt[T]
		value   T
		err     error
	}
	results := make(chan result, maxAttempts) // the goroutine of an attempt never blocks
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
			a, attemptCtx := newAttempt[T](ctx, timeout)
			inFlight[a] = attemptCtx
			go func() {
				value, err := call(attemptCtx)
				results <- result{a, value, err}
			}()
			started++
			if started < maxAttempts {
				next.Reset(timeout / 2)
			}
		case r := <-results:
			attemptCtx := inFlight[r.attempt]
			delete(inFlight, r.attempt)
			if r.err == nil {
				r.attempt.value = r.value
				return r.attempt, attemptCtx, nil
			}
			r.attempt.end()
			if len(inFlight) == 0 {
				return nil, nil, r.err
			}
		}
	}
}
