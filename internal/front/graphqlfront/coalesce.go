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
	// maxEarlierExpiry limits how much earlier a flight may expire than a part that joins it. This prevents a part from
	// being bound by the much shorter deadline of another client. With a higher value, more parts are coalesced, but
	// more of them fail.
	maxEarlierExpiry = 50 * time.Millisecond
	// responseMargin is the time between the end of a part's wait for a flight and the part's expiry. The client is
	// answered in this time. With a higher value, parts are given up that would have been answered in time; with a
	// lower one, more clients are answered too late.
	responseMargin = 10 * time.Millisecond
)

// flightGroup executes identical parts of queries once. It differs from golang.org/x/sync/singleflight in that a caller
// joins a flight only if the flight does not expire much earlier than the caller, and that every caller can leave.
type flightGroup struct {
	mu      sync.Mutex
	flights map[string]*flight // by flightKey
}

// flight is the execution of a part for all callers that wait for it. Its context ends when all of them have left.
type flight struct {
	expiresAt time.Time
	cancel    context.CancelFunc
	done      chan struct{} // closed when outcome and abandoned are set
	outcome   plan.Outcome
	abandoned bool // ended because the clients of all callers had disconnected

	mu      sync.Mutex
	waiters map[*waiter]bool
}

// waiter is a caller that waits for a flight.
type waiter struct {
	disconnected func() bool // reports whether the caller's client has disconnected; called from any goroutine
}

// joinedFlight is a flight together with one of the callers that have joined it.
type joinedFlight struct {
	*flight
	waiter *waiter
}

// runFunc executes a part. ctx ends when all callers have left; abandoned reports whether the clients of all callers
// have disconnected. aborted reports whether the execution ended because these clients had disconnected.
type runFunc func(ctx context.Context, abandoned func() bool) (outcome plan.Outcome, aborted bool)

// flightKey returns a key that is equal for identical parts, that is, for parts with the same class, body and forwarded
// headers. Host is not among these headers. Because the key includes the headers, no client receives a result that was
// made for another client.
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

// join joins the flight with the given key, or starts one with run. It returns nil if the flight with this key expires
// too early. isShared reports whether the flight already existed.
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
	go g.runFlight(ctx, key, f, run) // ends when run returns; ctx is cancelled when the last caller leaves
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

// add adds a waiter. It returns false if all other waiters have left, so that the flight is about to end.
func (f *flight) add(w *waiter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiters) == 0 {
		return false
	}
	f.waiters[w] = true
	return true
}

// remove removes a waiter. If it was the last one, the flight is cancelled.
func (f *flight) remove(w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, w)
	if len(f.waiters) == 0 {
		f.cancel()
	}
}

// isAbandoned reports whether the clients of all waiters have disconnected. A flight must end then.
//
// Guard: prevents a part that several clients share from being sent after all of them have disconnected, and from being
// ended when only one of them has disconnected. This holds because the transport calls isAbandoned, instead of checking
// the first client alone, immediately before it writes the first byte.
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

// wait waits for the outcome until shortly before expiresAt or until ctx ends, and leaves the flight. It returns false
// if the flight ended because the earlier callers had disconnected; the caller then has to start again.
//
// Guard: prevents a client that joins a flight just as all others disconnect from receiving their result, which would
// be an error for a valid query. This holds because the flight records why it ended.
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
