package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// backlogSource is a Source with a backlog that the test sets.
type backlogSource struct {
	*fakeNetwork
	backlog atomic.Bool
	checks  atomic.Int64
}

func (s *backlogSource) HasBacklog() bool {
	s.checks.Add(1)
	return s.backlog.Load()
}

// startedExchange records when its Run was called, and succeeds.
type startedExchange struct{ started chan time.Time }

func (x *startedExchange) Run(func(any) bool) Outcome {
	x.started <- time.Now()
	return Outcome{Final: true}
}

func (x *startedExchange) Cancel() {}

func (x *startedExchange) CancelUnsent() {}

// backlogTransport is a Transport whose exchanges record when they start.
type backlogTransport struct {
	*fakeNetwork
	started chan time.Time
}

func (b *backlogTransport) Attempt(string, *Call, time.Duration) Exchange {
	return &startedExchange{b.started}
}

// startBacklogEngine runs an engine with two endpoints.
func startBacklogEngine(t *testing.T) (*Engine, *backlogSource, chan time.Time) {
	t.Helper()
	source := &backlogSource{fakeNetwork: newFakeNetwork()}
	transport := &backlogTransport{fakeNetwork: source.fakeNetwork, started: make(chan time.Time, 10)}
	e, err := New(Config{
		Settings: testSettings(), Transport: transport, Source: source,
		CachedList: EndpointUpdate{Version: 7, Endpoints: testEndpoints(2)},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { e.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
	testutil.Receive(t, source.watches, "the watch")
	return e, source, transport.started
}

// An overloaded process sent requests to draining endpoints while the update that reported the drains waited for the
// processor. An attempt must wait until the updates that have arrived are applied.
func TestAttemptsWaitForArrivedUpdates(t *testing.T) {
	const backlogPeriod = maxBacklogWait / 2
	e, source, started := startBacklogEngine(t)
	source.backlog.Store(true)
	begin := time.Now()
	time.AfterFunc(backlogPeriod, func() { source.backlog.Store(false) })
	if r := e.Do(t.Context(), newTestCall("1", "look")); r.Kind != Served {
		t.Fatalf("result %+v, want Served", r)
	}
	if waited := (<-started).Sub(begin); waited < backlogPeriod-backlogPollInterval {
		t.Errorf("the attempt started after %v, want it to wait for %v", waited, backlogPeriod)
	}
}

// A backlog that does not end must delay attempts by at most maxBacklogWait, and must not delay the next ones again.
func TestWaitForUpdatesIsLimited(t *testing.T) {
	const slack = 150 * time.Millisecond // for a busy machine
	e, source, started := startBacklogEngine(t)
	source.backlog.Store(true)
	begin := time.Now()
	e.Do(t.Context(), newTestCall("1", "look"))
	if waited := (<-started).Sub(begin); waited < maxBacklogWait || waited > maxBacklogWait+slack {
		t.Errorf("the first attempt started after %v, want %v", waited, maxBacklogWait)
	}
	checks := source.checks.Load()
	e.Do(t.Context(), newTestCall("2", "look"))
	if source.checks.Load() != checks {
		t.Error("the second attempt waited for the backlog, want it to start at once")
	}
}

// Updates that were delivered and wait in the engine's queue are part of the backlog. Applied ones are not, whichever
// kind they have.
func TestQueuedUpdatesAreBacklog(t *testing.T) {
	f := newFakeNetwork()
	e := newSteppedEngine(t, f, testSettings(), 2)
	w := testutil.Receive(t, f.watches, "the watch")
	partial := partialUpdate(testEndpoints(1)[0])
	updates := []EndpointUpdate{
		{Kind: balancer.Delta, Version: 8},
		partial,
		partial,
		{Kind: balancer.CompleteList, Version: 9},
		{Kind: balancer.WatchFailed, Version: 9},
	}
	for _, update := range updates {
		w.notify(update)
	}
	if !e.hasBacklog() {
		t.Error("no backlog with updates in the queue, want one")
	}
	for range len(updates) - 1 { // the two partial updates take one step
		e.step(nil)
	}
	if e.hasBacklog() {
		t.Errorf("a backlog of %d updates is left, want none", e.updatesInFlight.Load())
	}
}
