package graphqlfront

import (
	"context"
	"crypto/sha256"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hazelwing/internal/graphql/plan"
)

// flights are parts of queries that others like them may wait for: the same body of the same class with the same headers,
// so that nobody gets what was made for somebody else.
type flights struct {
	mu   sync.Mutex
	list map[string]*flight
}

// flight is one of them. Where all who wait for it have left it ends, and nothing further is sent for it.
type flight struct {
	expires time.Time
	end     context.CancelFunc
	done    chan struct{} // closed when the two below are there
	outcome plan.Outcome
	nobody  bool // it ended since all had left

	mu      sync.Mutex
	waiters map[*waiter]bool
}

// waiter is one who waits; left looks whether his client has gone.
type waiter struct{ left func() bool }

// ticket is a waiter's place at a flight.
type ticket struct {
	*flight
	me *waiter
}

// lateBy is how much sooner than a part's own end one that it joins may give up. Guards against taking over the short
// patience of another client.
const lateBy = 50 * time.Millisecond

// answerBefore its own end a part that waits for another's answer gives up: its client is still to be told.
const answerBefore = 10 * time.Millisecond

// flightKey tells parts that are alike.
func flightKey(p *plan.Part, h http.Header) string {
	sum := sha256.New()
	add := func(text string) { sum.Write(append([]byte(text), 0)) }
	add(p.Class)
	add(string(p.Body))
	for _, name := range slices.Sorted(maps.Keys(h)) {
		add(name)
		for _, v := range h[name] {
			add(v)
		}
	}
	return string(sum.Sum(nil))
}

// join finds a flight to wait for, or begins one with run; nil: the one there is ends too soon. left is called from any goroutine.
// run gets a context that ends, and a left that holds, once all who wait have gone; it says whether it ended since then.
func (f *flights) join(key string, expires time.Time, left func() bool, run func(ctx context.Context, left func() bool) (plan.Outcome, bool)) (_ *ticket, shared bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	me := &waiter{left}
	if x := f.list[key]; x != nil {
		if x.expires.Before(expires.Add(-lateBy)) {
			return nil, false
		}
		if x.enter(me) {
			return &ticket{x, me}, true
		}
	}
	ctx, end := context.WithCancel(context.Background())
	x := &flight{expires: expires, end: end, done: make(chan struct{}), waiters: map[*waiter]bool{me: true}}
	f.list[key] = x
	go func() {
		defer end()
		x.outcome, x.nobody = run(ctx, x.left)
		f.mu.Lock()
		if f.list[key] == x {
			delete(f.list, key)
		}
		f.mu.Unlock()
		close(x.done)
	}()
	return &ticket{x, me}, false
}

// enter adds a waiter; false: all have left, and it is ending.
func (x *flight) enter(w *waiter) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.waiters) == 0 {
		return false
	}
	x.waiters[w] = true
	return true
}

// exit takes a waiter away, and ends the flight after the last one.
func (x *flight) exit(w *waiter) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if delete(x.waiters, w); len(x.waiters) == 0 {
		x.end()
	}
}

// left says that all who wait have gone.
func (x *flight) left() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for w := range x.waiters {
		if !w.left() {
			return false
		}
	}
	return true
}

// wait waits for its outcome, no longer than until expires or ctx ends. ok is not set where it ended since those had left who
// waited before: who is still there has to ask for himself.
func (x *ticket) wait(ctx context.Context, expires time.Time) (_ plan.Outcome, ok bool) {
	defer x.exit(x.me)
	timer := time.NewTimer(time.Until(expires.Add(-answerBefore)))
	defer timer.Stop()
	select {
	case <-x.done:
		return x.outcome, !x.nobody
	case <-timer.C:
	case <-ctx.Done():
	}
	return plan.Outcome{Kind: plan.OutcomeUnknown, Reason: "no node answered this in time"}, true
}
