package middleware

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/idempotency"
	"hazelwing/internal/store"
	"hazelwing/internal/testutil"
)

var testClasses = []balancer.Class{
	{
		Name:             "look",
		LatencyObjective: testutil.WaitTimeout,
		Deadline:         testutil.WaitTimeout,
	},
	{
		Name:             "book",
		LatencyObjective: testutil.WaitTimeout,
		Deadline:         testutil.WaitTimeout,
		Effect:           balancer.NonIdempotent,
	},
	{
		Name:              "pay",
		LatencyObjective:  testutil.WaitTimeout,
		Deadline:          testutil.WaitTimeout,
		Effect:            balancer.Keyed,
		IdempotencyScope:  balancer.ScopeZone,
		IdempotencyWindow: 6 * time.Second,
	},
}

// testEndpoints has one endpoint in each of four zones.
var testEndpoints = []engine.Endpoint{
	{ID: "a", Zone: "a"},
	{ID: "b", Zone: "b"},
	{ID: "c", Zone: "c"},
	{ID: "d", Zone: "d"},
}

// maxAttempts is the maximum number of attempts of a request.
const maxAttempts = 3

// fakeTransport passes attempts to the test, which determines their outcomes. It is also the engine's source of
// endpoints, and sends no update of them.
type fakeTransport struct{ sent chan *sentAttempt }

// sentAttempt is an attempt that the engine sent.
type sentAttempt struct {
	endpoint string
	call     *engine.Call
	outcome  chan engine.Outcome
	cancel   chan bool
}

// answer ends the attempt with a successful answer.
func (a *sentAttempt) answer() {
	a.outcome <- engine.Outcome{Result: balancer.OK, Final: true, Answer: a.endpoint}
}

func (f *fakeTransport) Update(bool, []engine.Endpoint, time.Time)   {}
func (f *fakeTransport) Probe(string, time.Duration) engine.Exchange { return nil }
func (f *fakeTransport) CloseIdle(string)                            {}
func (f *fakeTransport) Watch(int64, time.Duration, func(engine.EndpointUpdate)) context.CancelFunc {
	return func() {}
}

func (f *fakeTransport) Attempt(endpoint string, c *engine.Call, _ time.Duration) engine.Exchange {
	return &fakeExchange{
		transport: f,
		sentAttempt: &sentAttempt{
			endpoint: endpoint,
			call:     c,
			outcome:  make(chan engine.Outcome, 1),
			cancel:   make(chan bool, 9),
		},
	}
}

type fakeExchange struct {
	transport *fakeTransport
	*sentAttempt
}

func (e *fakeExchange) Run(func(any) bool) engine.Outcome {
	e.transport.sent <- e.sentAttempt
	select {
	case outcome := <-e.outcome:
		return outcome
	case <-e.cancel:
		return engine.Outcome{Result: balancer.Cancelled}
	}
}
func (e *fakeExchange) Cancel()       { e.cancel <- true }
func (e *fakeExchange) CancelUnsent() {}

// machine simulates the clocks of a machine, which continue across restarts of the program.
type machine struct {
	mu      sync.Mutex
	reading idempotency.Reading
}

func newMachine() *machine {
	return &machine{reading: idempotency.Reading{BootID: "x", Uptime: time.Hour, Wall: time.Now()}}
}

func (m *machine) clocks() idempotency.Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading
}

// advance moves the boot clock and wall time by the given durations.
func (m *machine) advance(uptime, wall time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading.Uptime += uptime
	m.reading.Wall = m.reading.Wall.Add(wall)
}

// program is one run of the program: an engine and a fake transport, with the middleware around the engine.
type program struct {
	t            *testing.T
	deduplicator *Deduplicator
	transport    *fakeTransport
	doer         Doer
	requests     int // number of requests sent so far
	stop         func()
	log          *strings.Builder
}

// startProgram starts the program on a machine with a disk. The program is stopped by p.stop, or at the end of the
// test. change, if not nil, changes the configuration.
func startProgram(t *testing.T, m *machine, fs store.FS, change func(*Config)) *program {
	t.Helper()
	p := &program{
		t:         t,
		transport: &fakeTransport{make(chan *sentAttempt, 2000)},
		log:       new(strings.Builder),
	}
	config := Config{
		Classes:    testClasses,
		Durability: DurabilityAlways,
		OnFailure:  RejectOnFailure,
		Retention:  10 * time.Minute,
		MaxEntries: 1000,
		RetryAfter: time.Second,
		FS:         fs,
		Clocks:     m.clocks,
		Logger:     slog.New(slog.NewTextHandler(p.log, nil)),
	}
	if change != nil {
		change(&config)
	}
	var err error
	if p.deduplicator, err = Open(config); err != nil {
		t.Fatal(err)
	}
	p.startEngine()
	t.Cleanup(p.stop)
	return p
}

func (p *program) startEngine() {
	p.t.Helper()
	e, err := engine.New(engine.Config{
		Settings: balancer.Settings{
			MustSubscribe: true,
			Tick:          time.Millisecond,
			MaxAttempts:   maxAttempts,
			Zone:          "a",
			Classes:       testClasses,
		},
		Seed:       1,
		Transport:  p.deduplicator.Transport(p.transport),
		Source:     p.transport,
		CachedList: engine.EndpointUpdate{Endpoints: testEndpoints},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() {
		e.Run(ctx)
		close(ended)
	}()
	p.doer = p.deduplicator.Doer(e)
	p.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
		if err := p.deduplicator.Close(); err != nil {
			p.t.Error(err)
		}
	})
}

// send sends a request of a class with a new request ID and the given idempotency key, and returns a channel with its
// result.
func (p *program) send(class, key string) chan engine.Result {
	p.requests++
	done := make(chan engine.Result, 1)
	c := &engine.Call{
		ID:             fmt.Sprint("id", p.requests, "-", time.Now().UnixNano()),
		Class:          class,
		IdempotencyKey: key,
		ExpiresAt:      time.Now().Add(testutil.WaitTimeout),
	}
	go func() { done <- p.doer.Do(context.Background(), c) }()
	return done
}

// sendDisconnecting sends a request of class "book" with the idempotency key "k". Calling disconnect disconnects its
// client.
func (p *program) sendDisconnecting() (done chan engine.Result, disconnect func()) {
	ctx, disconnect := context.WithCancel(p.t.Context())
	done = make(chan engine.Result, 1)
	c := &engine.Call{
		ID:             "1",
		Class:          "book",
		IdempotencyKey: "k",
		ExpiresAt:      time.Now().Add(testutil.WaitTimeout),
	}
	go func() { done <- p.doer.Do(ctx, c) }()
	return done, disconnect
}

// wantResult waits for the result of a request and checks its kind.
func (p *program) wantResult(done chan engine.Result, kind engine.ResultKind, what string) engine.Result {
	p.t.Helper()
	got := testutil.Receive(p.t, done, what)
	if got.Kind != kind {
		p.t.Errorf("%s: got result %+v, want kind %d", what, got, kind)
	}
	return got
}

// nextAttempt waits until an attempt is sent, and returns it.
func (p *program) nextAttempt() *sentAttempt {
	p.t.Helper()
	return testutil.Receive(p.t, p.transport.sent, "an attempt")
}
