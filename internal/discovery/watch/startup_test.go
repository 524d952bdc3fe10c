package watch

import (
	"context"
	"flag"
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

// noTransport is a transport that sends nothing.
type noTransport struct{}

func (noTransport) Attempt(string, *engine.Call, time.Duration) engine.Exchange { return nil }
func (noTransport) Probe(string, time.Duration) engine.Exchange                 { return nil }
func (noTransport) CloseIdle(string)                                            {}

// listRecorder is a transport that records when the complete list of the discovery service arrives.
type listRecorder struct {
	noTransport
	cachedSeen bool         // the cached list, which comes first, has arrived
	arrivedAt  atomic.Int64 // Unix nanoseconds
	arrived    atomic.Bool
	endpoints  atomic.Int64
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
	sidecars = flag.Int("sidecars", 40, "number of sidecars that TestAllSidecarsStartAtOnce starts")
	perCall  = flag.Duration("percall", 25*time.Millisecond, "service time of a call at the discovery service")
	patience = flag.Duration("patience", 250*time.Millisecond, "how long a call may be queued there")
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

// callRate tracks the most calls that a discovery service received in a second.
type callRate struct {
	service     *emulator.Discovery
	secondStart time.Time
	callsBefore int
	max         int
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

// Forty sidecars start at once, beside a discovery service that handles 40 calls a second and rejects those that would
// be queued for more than a quarter of a second. All have its list in the end, and none calls more often than its
// backoff allows: 0.45 s at least from start to start, or less once if the first call was rejected late.
func TestAllSidecarsStartAtOnce(t *testing.T) {
	service, err := emulator.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	for _, name := range []string{"a", "b", "c"} {
		service.Set(emulator.Endpoint{Name: name, Address: "127.0.0.1:1", Health: "SERVING"})
	}
	service.Limit(*perCall, *patience)
	startedAt := time.Now()
	recorders := make([]*listRecorder, *sidecars)
	startSidecars(t, service.Addr(), recorders)

	var delays []time.Duration
	rate := &callRate{service: service, secondStart: startedAt}
	for i, recorder := range recorders {
		testutil.Until(t, "the list at each sidecar", func() bool {
			rate.sample()
			return recorder.arrived.Load()
		})
		if n := recorder.endpoints.Load(); n != 3 {
			t.Errorf("sidecar %d has %d endpoints", i, n)
		}
		delays = append(delays, time.Duration(recorder.arrivedAt.Load()-startedAt.UnixNano()))
	}
	slices.Sort(delays)
	calls, rejected := service.Calls()
	last := delays[len(delays)-1]
	late := len(delays) - sort.Search(len(delays), func(i int) bool { return delays[i] > 6*time.Second })
	t.Logf("%d calls, %d in a second at most, %d rejected; the list after p50 %v, p90 %v, at most %v; %d after 6 s",
		calls, max(rate.max, calls-rate.callsBefore), rejected, delays[len(delays)/2].Round(time.Millisecond),
		delays[len(delays)*9/10].Round(time.Millisecond), last.Round(time.Millisecond), late)
	if rejected == 0 {
		t.Error("no call was rejected: this tests nothing")
	}
	if maxCalls := *sidecars * (2 + int(last/(450*time.Millisecond))); calls > maxCalls {
		t.Errorf("%d calls in %v, %d at most", calls, last, maxCalls)
	}
}
