package watch

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/emulator"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// noTransport is a transport that sends no requests.
type noTransport struct{}

func (noTransport) Attempt(string, *engine.Call, time.Duration) engine.Exchange { return nil }
func (noTransport) Probe(string, time.Duration) engine.Exchange                 { return nil }
func (noTransport) CloseIdle(string)                                            {}

// listRecorder is a transport that records when the complete list of the discovery service arrives.
type listRecorder struct {
	noTransport
	cachedSeen bool         // the cached list, which always arrives first, has arrived
	arrivedAt  atomic.Int64 // time at which the list arrived, in Unix nanoseconds
	arrived    atomic.Bool  // the list has arrived
	endpoints  atomic.Int64 // number of endpoints in the list
}

func (l *listRecorder) Update(complete bool, endpoints []engine.Endpoint, _ time.Time) {
	if complete && l.cachedSeen {
		l.arrivedAt.CompareAndSwap(0, time.Now().UnixNano())
		l.arrived.Store(true)
		l.endpoints.Store(int64(len(endpoints)))
	}
	l.cachedSeen = true
}

var (
	sidecars     = flag.Int("sidecars", 40, "number of sidecars that TestAllSidecarsStartAtOnce starts")
	serviceTime  = flag.Duration("percall", 25*time.Millisecond, "service time of a call at the discovery service")
	maxQueueTime = flag.Duration("patience", 250*time.Millisecond,
		"time for which the discovery service queues a call before it rejects the call")
)

// startSidecars runs an engine for each recorder until the test ends.
func startSidecars(t *testing.T, discoveryAddr string, recorders []*listRecorder) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	t.Cleanup(stop)
	for i := range recorders {
		recorders[i] = new(listRecorder)
		e, err := engine.New(engine.Config{
			Transport: recorders[i],
			Source:    NewClient(discoveryAddr, true, slog.New(slog.DiscardHandler)),
			Seed:      uint64(i),
			Settings: balancer.Settings{
				MustSubscribe: true,
				Balancers:     len(recorders),
				Classes:       []balancer.Class{{Name: "c", Deadline: time.Second}},
			},
			CachedList: engine.EndpointUpdate{
				Version:   0,
				Endpoints: []engine.Endpoint{{ID: "a", Addr: "127.0.0.1:1"}},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { e.Run(ctx) })
	}
}

// callRate tracks the maximum number of calls per second that a discovery service receives.
type callRate struct {
	service     *emulator.Discovery
	secondStart time.Time
	callsBefore int // number of calls before secondStart
	max         int // maximum number of calls in a second
}

func (c *callRate) sample() {
	now := time.Now()
	if now.Sub(c.secondStart) < time.Second {
		return
	}
	calls, _ := c.service.Calls()
	c.max = max(c.max, calls-c.callsBefore)
	c.callsBefore, c.secondStart = calls, now
}

// Forty sidecars start at once. Their discovery service handles 40 calls per second, and rejects calls that it would
// have to queue for more than 250 ms. All sidecars must receive the list, and together they may not call more often
// than their backoffs allow: there are at least 0.45 s between the starts of two calls of a sidecar, except once if the
// first call was rejected late.
func TestAllSidecarsStartAtOnce(t *testing.T) {
	service, err := emulator.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	for _, name := range []string{"a", "b", "c"} {
		service.Set(emulator.Endpoint{Name: name, Address: "127.0.0.1:1", Health: "SERVING"})
	}
	service.Limit(*serviceTime, *maxQueueTime)
	startedAt := time.Now()
	recorders := make([]*listRecorder, *sidecars)
	startSidecars(t, service.Addr(), recorders)

	var delays []time.Duration
	rate := &callRate{service: service, secondStart: startedAt}
	for i, recorder := range recorders {
		testutil.Until(t, fmt.Sprintf("the list at sidecar %d", i), func() bool {
			rate.sample()
			return recorder.arrived.Load()
		})
		if n := recorder.endpoints.Load(); n != 3 {
			t.Errorf("sidecar %d has %d endpoints, want 3", i, n)
		}
		delays = append(delays, time.Duration(recorder.arrivedAt.Load()-startedAt.UnixNano()))
	}
	slices.Sort(delays)
	calls, rejected := service.Calls()
	last := delays[len(delays)-1]
	late := len(delays) - sort.Search(len(delays), func(i int) bool { return delays[i] > 6*time.Second })
	t.Logf("%d calls, at most %d per second, %d rejected; time to the list: p50 %v, p90 %v, maximum %v, %d above 6 s",
		calls, max(rate.max, calls-rate.callsBefore), rejected, delays[len(delays)/2].Round(time.Millisecond),
		delays[len(delays)*9/10].Round(time.Millisecond), last.Round(time.Millisecond), late)
	if rejected == 0 {
		t.Errorf("the setup did not overload the service, which rejected none of %d calls, want at least one", calls)
	}
	if maxCalls := *sidecars * (2 + int(last/(450*time.Millisecond))); calls > maxCalls {
		t.Errorf("the service received %d calls in %v, want at most %d", calls, last, maxCalls)
	}
}
