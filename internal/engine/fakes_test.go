package engine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

// fakeNetwork is a Transport and a Source whose exchanges and watches are controlled by the test.
type fakeNetwork struct {
	mu          sync.Mutex
	endpoints   map[string]Endpoint
	updateCount int
	attempts    chan *fakeExchange
	watches     chan *fakeWatch
}

type fakeExchange struct {
	endpoint        string
	call            *Call
	begin           chan any     // makes Run begin a stream
	accepted        chan bool    // result of begin
	outcome         chan Outcome // makes Run return
	cancelled       chan bool
	cancelledUnsent chan bool
	mayReturn       chan bool // if not nil, Run waits for it after Cancel
}

type fakeWatch struct {
	version    int64
	notify     func(EndpointUpdate)
	contextErr func() error // returns an error once the watch is closed
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		endpoints: map[string]Endpoint{},
		attempts:  make(chan *fakeExchange, 1000),
		watches:   make(chan *fakeWatch, 100),
	}
}

func (f *fakeNetwork) Update(_ bool, endpoints []Endpoint, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateCount++
	for _, endpoint := range endpoints {
		f.endpoints[endpoint.ID] = endpoint
	}
}

func (f *fakeNetwork) Attempt(endpoint string, c *Call, _ time.Duration) Exchange {
	x := &fakeExchange{
		endpoint:        endpoint,
		call:            c,
		begin:           make(chan any),
		accepted:        make(chan bool, 1),
		outcome:         make(chan Outcome, 1),
		cancelled:       make(chan bool, 10),
		cancelledUnsent: make(chan bool, 10),
	}
	f.attempts <- x
	return x
}

func (f *fakeNetwork) Probe(string, time.Duration) Exchange { return nil }

func (f *fakeNetwork) CloseIdle(string) {}

func (x *fakeExchange) Run(begin func(any) bool) Outcome {
	for {
		select {
		case answer := <-x.begin:
			x.accepted <- begin(answer)
		case outcome := <-x.outcome:
			return outcome
		case <-x.cancelled:
			if x.mayReturn != nil {
				<-x.mayReturn
			}
			return Outcome{Result: balancer.Cancelled}
		}
	}
}

func (x *fakeExchange) Cancel() { x.cancelled <- true }

func (x *fakeExchange) CancelUnsent() { x.cancelledUnsent <- true }

func (f *fakeNetwork) Watch(version int64, _ time.Duration, notify func(EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	f.watches <- &fakeWatch{version: version, notify: notify, contextErr: ctx.Err}
	return stop
}

func testSettings() balancer.Settings {
	const timeout = testutil.WaitTimeout
	return balancer.Settings{
		MustSubscribe: true,
		Tick:          time.Millisecond,
		MaxAttempts:   3,
		Hedging:       true,
		Cancellation:  true,
		RetryAfter:    true,
		MaxRetryAfter: time.Second,
		Classes: []balancer.Class{
			{Name: "look", LatencyObjective: timeout, Deadline: timeout},
			{Name: "book", LatencyObjective: timeout, Deadline: timeout, Effect: balancer.NonIdempotent},
			{Name: "follow", LatencyObjective: timeout, Deadline: timeout, Stream: true},
		},
	}
}

// testEndpoints returns n active endpoints with the IDs m0, m1 and so on.
func testEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("m%d", i), Zone: "a"})
	}
	return list
}

// drainingEndpoint returns the endpoint m0 of testEndpoints, in the state Draining.
func drainingEndpoint() []Endpoint {
	list := testEndpoints(1)
	list[0].State = balancer.Draining
	return list
}

// newEngine returns an engine that is not running yet.
func newEngine(t *testing.T, f *fakeNetwork, settings balancer.Settings, endpoints int) *Engine {
	t.Helper()
	e, err := New(Config{
		Settings:   settings,
		Seed:       1,
		Transport:  f,
		Source:     f,
		CachedList: EndpointUpdate{Version: 7, Endpoints: testEndpoints(endpoints)},
		MaxCalls:   100,
	})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// newSteppedEngine returns an engine whose events the test handles instead of Run.
func newSteppedEngine(t *testing.T, f *fakeNetwork, settings balancer.Settings, endpoints int) *Engine {
	t.Helper()
	e := newEngine(t, f, settings, endpoints)
	e.publishCachedList() // the Balancer subscribes to later changes
	return e
}

// runEngine runs e until the test ends, or until the returned function is called.
func runEngine(t *testing.T, e *Engine) context.CancelFunc {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	go e.Run(ctx)
	t.Cleanup(func() {
		stop()
		testutil.Receive(t, e.closed, "the engine to return")
	})
	return stop
}

func newTestCall(id, class string) *Call {
	return &Call{
		ID:            id,
		Class:         class,
		ExpiresAt:     time.Now().Add(testutil.WaitTimeout),
		result:        make(chan Result, 1),
		streamAttempt: noAttempt,
	}
}

// startCall calls Do in its own goroutine and returns a channel that receives the result.
func startCall(ctx context.Context, e *Engine, c *Call) chan Result {
	results := make(chan Result, 1)
	go func() { results <- e.Do(ctx, c) }()
	return results
}
