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

const (
	// maxEarlierExpiry is how much sooner than a part the flight that it joins may expire. This prevents a part from
	// taking over the shorter deadline of another client. A higher value coalesces more parts, of which more fail.
	maxEarlierExpiry = 50 * time.Millisecond
	// responseMargin is how long before its own expiry a part stops waiting for a flight: the client is yet to be
	// answered. A higher value gives up parts that would have come in time; a lower one answers more clients too late.
	responseMargin = 10 * time.Millisecond
)

// flightGroup executes identical parts of queries once. Unlike that of golang.org/x/sync/singleflight, a caller joins a
// flight only if that does not expire much sooner than itself, and any caller may leave.
type flightGroup struct {
	mu      sync.Mutex
	flights map[string]*flight // by flightKey
}

// flight is a part that is executed for all callers that wait for it. Its context ends when all of them have left.
type flight struct {
	expiresAt time.Time
	cancel    context.CancelFunc
	done      chan struct{} // closed when outcome and abandoned are set
	outcome   plan.Outcome
	abandoned bool // it ended because all callers had disconnected

	mu      sync.Mutex
	waiters map[*waiter]bool
}

// waiter is a caller that waits for a flight.
type waiter struct {
	disconnected func() bool // looks whether its client has disconnected; called from any goroutine
}

// joinedFlight is a flight together with a caller that has joined it.
type joinedFlight struct {
	*flight
	waiter *waiter
}

// runFunc executes a part. Its context ends, and abandoned returns true, when all callers have left. aborted says
// that it ended for that reason.
type runFunc func(ctx context.Context, abandoned func() bool) (outcome plan.Outcome, aborted bool)

// flightKey returns a key that identical parts have in common: they have the same class, the same body and the same
// headers, so that no client receives what was made for another one.
func flightKey(part *plan.Part, header http.Header) string {
	hash := sha256.New()
	add := func(text string) { hash.Write(append([]byte(text), 0)) }
	add(part.Class)
	add(string(part.Body))
	for _, name := range slices.Sorted(maps.Keys(header)) {
		add(name)
		for _, value := range header[name] {
			add(value)
		}
	}
	return string(hash.Sum(nil))
}

// join joins the flight with the given key, or starts one by run. It returns nil if there is a flight that expires too
// soon. isShared says that the flight was there.
func (g *flightGroup) join(
	key string, expiresAt time.Time, disconnected func() bool, run runFunc,
) (_ *joinedFlight, isShared bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &waiter{disconnected}
	if f := g.flights[key]; f != nil {
		if f.expiresAt.Before(expiresAt.Add(-maxEarlierExpiry)) {
			return nil, false
		}
		if f.add(w) {
			return &joinedFlight{f, w}, true
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &flight{
		expiresAt: expiresAt,
		cancel:    cancel,
		done:      make(chan struct{}),
		waiters:   map[*waiter]bool{w: true},
	}
	g.flights[key] = f
	go g.runFlight(ctx, key, f, run) // its callers wait for it, or cancel it when the last of them leaves
	return &joinedFlight{f, w}, false
}

// runFlight executes a flight and removes it from the group.
func (g *flightGroup) runFlight(ctx context.Context, key string, f *flight, run runFunc) {
	defer f.cancel()
	f.outcome, f.abandoned = run(ctx, f.isAbandoned)
	g.mu.Lock()
	if g.flights[key] == f {
		delete(g.flights, key)
	}
	g.mu.Unlock()
	close(f.done)
}

// add adds a waiter. It returns false if all others have left, and the flight is about to end.
func (f *flight) add(w *waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiters) == 0 {
		return false
	}
	f.waiters[w] = true
	return true
}

// remove removes a waiter, and cancels the flight after the last one.
func (f *flight) remove(w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, w)
	if len(f.waiters) == 0 {
		f.cancel()
	}
}

// isAbandoned decides whether a flight goes on: it does not once the clients of all waiters have disconnected.
//
// Guard: prevents a part that several clients share from being sent for nobody, and from being ended for one of them
// alone. It holds because the transport asks it right before the first byte, in place of the first client's own look.
func (f *flight) isAbandoned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for w := range f.waiters {
		if !w.disconnected() {
			return false
		}
	}
	return true
}

// wait waits for the outcome, until shortly before expiresAt or until ctx ends, and leaves the flight. It returns
// false if the flight ended because the callers before this one had disconnected: this one has to start again.
//
// Guard: prevents a client that joins a flight as all others disconnect from getting their end: an error for a query
// that nothing is wrong with. It holds because the flight itself notes why it ended.
func (j *joinedFlight) wait(ctx context.Context, expiresAt time.Time) (_ plan.Outcome, ok bool) {
	defer j.remove(j.waiter)
	timer := time.NewTimer(time.Until(expiresAt.Add(-responseMargin)))
	defer timer.Stop()
	select {
	case <-j.done:
		return j.outcome, !j.abandoned
	case <-timer.C:
	case <-ctx.Done():
	}
	return plan.Outcome{Kind: plan.OutcomeUnknown, Reason: noResponseInTime}, true
}
