package watch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// Calls beside calls that hang.

// errSilent is why a call was given up.
var errSilent = errors.New("nothing came")

// try is one call. Where it has brought what it was made for, its context goes on, and late ends it unless that is reset or
// stopped.
type try[T any] struct {
	value  T
	ctx    context.Context
	cancel context.CancelCauseFunc
	late   *time.Timer
}

func (t *try[T]) end() {
	t.late.Stop()
	t.cancel(context.Canceled)
}

// race makes a call, and another beside it each time that half of silence has brought nothing, up to most. Each is given up
// after silence, so that two are out at a time. It returns the first that brings something and ends the others, or, once none
// is out any more, why the last failed.
func race[T any](ctx context.Context, silence time.Duration, most int, call func(context.Context) (T, error)) (*try[T], error) {
	type result struct {
		*try[T]
		value T
		err   error
	}
	results := make(chan result, most) // nobody waits to tell
	tries := map[*try[T]]bool{}        // that are out
	defer func() {
		for t := range tries {
			t.end()
		}
	}()
	next := time.NewTimer(0)
	defer next.Stop()
	for begun := 0; ; {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-next.C:
			t := new(try[T])
			t.ctx, t.cancel = context.WithCancelCause(ctx)
			t.late = time.AfterFunc(silence, func() { t.cancel(fmt.Errorf("%w for %v", errSilent, silence)) })
			tries[t] = true
			go func() {
				v, err := call(t.ctx)
				results <- result{t, v, err}
			}()
			if begun++; begun < most {
				next.Reset(silence / 2)
			}
		case r := <-results:
			delete(tries, r.try)
			if r.err == nil {
				r.try.value = r.value
				return r.try, nil
			}
			r.end()
			if len(tries) == 0 {
				return nil, r.err
			}
		}
	}
}

// reached says that discovery could be reached, though what was asked of it failed: it answered, or broke the connection off.
func reached(err error) bool {
	var dial *net.OpError
	return !errors.Is(err, errSilent) && !(errors.As(err, &dial) && dial.Op == "dial")
}
