package grpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	orcapb "github.com/cncf/xds/go/xds/data/orca/v3"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"hazelwing/balancer"
	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/grpcnode"
	"hazelwing/internal/emulator/rawh2"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// TestMain fails if a test leaves a goroutine running, because an exchange that never ends would occupy its stream
// indefinitely.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTransport(t *testing.T, grace time.Duration) *Transport {
	t.Helper()
	tr := New(Config{
		ConnectTimeout: 5 * time.Second,
		DrainGrace:     grace,
		LoadMetrics:    []string{"queue", "inflight"},
		DialOptions:    []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
	})
	t.Cleanup(tr.Close)
	return tr
}

// endpointList returns a list with one endpoint, "s".
func endpointList(addr string, state balancer.EndpointState) []engine.Endpoint {
	return []engine.Endpoint{{ID: "s", Addr: addr, State: state}}
}

// newCall returns a call with a unary request.
func newCall(ctx context.Context) *engine.Call {
	request := &Request{Context: ctx, Method: grpcnode.DoMethod, Codec: "proto", Message: []byte("\n\x01x")}
	return &engine.Call{ID: "1", Payload: request}
}

// run runs x in a goroutine and returns the channel that receives its outcome.
func run(x engine.Exchange) chan engine.Outcome {
	outcome := make(chan engine.Outcome, 1)
	go func() { outcome <- x.Run(nil) }()
	return outcome
}

// awaitOpened waits until the gate of x has allowed its stream.
func awaitOpened(t *testing.T, x engine.Exchange) {
	t.Helper()
	g := x.(*exchange).gate
	testutil.Until(t, "the stream to be allowed", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.opened
	})
}

// A stream that waits for capacity on the connection was already passed to grpc-go, which would write it as soon as
// there is capacity. After the drain grace of the endpoint it must not be written; it must end at that time, as an
// attempt that never ran.
func TestDrainWhileWaitingForStreamCapacity(t *testing.T) {
	var first atomic.Pointer[rawh2.Stream]
	var received atomic.Int32
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Complete && received.Add(1) == 1 {
			first.Store(s)
		}
	}, rawh2.MaxStreams(1))
	tr := newTransport(t, 100*time.Millisecond)
	tr.Update(true, endpointList(addr, balancer.Active), time.Now())
	firstOutcome := run(tr.Attempt("s", newCall(t.Context()), testutil.WaitTimeout))
	testutil.Until(t, "the first attempt", func() bool { return first.Load() != nil })
	second := tr.Attempt("s", newCall(t.Context()), testutil.WaitTimeout)
	secondOutcome := run(second)
	awaitOpened(t, second)
	tr.Update(false, endpointList(addr, balancer.Draining), time.Now())
	if o := testutil.Receive(t, secondOutcome, "the outcome of the second attempt"); o.Result.MayHaveRun() {
		t.Errorf("the second attempt: result %d, error %v; want a result that proves that the attempt never ran",
			o.Result, o.Err)
	}
	first.Load().OK(nil)
	if o := testutil.Receive(t, firstOutcome, "the outcome of the first attempt"); o.Result != balancer.OK {
		t.Errorf("the attempt in flight before the drain: result %d, error %v; want %d (OK)",
			o.Result, o.Err, balancer.OK)
	}
	if received.Load() != 1 {
		t.Errorf("the endpoint received %d attempts, want 1, the attempt from before the drain", received.Load())
	}
}

// A connection becomes ready only after the client has disconnected, after the call has its result, after the drain
// grace of the endpoint, or after another process has replaced the endpoint's process. An attempt on this connection
// would run for a disconnected client or be reset, so nothing may be written.
func TestLateConnectionIsNotWrittenTo(t *testing.T) {
	var disconnected atomic.Bool
	for name, interrupt := range map[string]func(tr *Transport, x engine.Exchange, addr string){
		"client disconnected": func(*Transport, engine.Exchange, string) { disconnected.Store(true) },
		"answered":            func(_ *Transport, x engine.Exchange, _ string) { x.CancelUnsent() },
		"cancelled":           func(_ *Transport, x engine.Exchange, _ string) { x.Cancel() },
		"drained": func(tr *Transport, _ engine.Exchange, addr string) {
			tr.Update(false, endpointList(addr, balancer.Draining), time.Now().Add(-time.Second))
		},
		"removed": func(tr *Transport, _ engine.Exchange, _ string) {
			tr.Update(true, nil, time.Now().Add(-time.Second))
		},
		"another process": func(tr *Transport, _ engine.Exchange, addr string) {
			tr.Update(false, []engine.Endpoint{{ID: "s", Addr: addr, StartedAtMS: 5}}, time.Now().Add(-time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			addr := rawh2.Start(t, func(*rawh2.Stream) { received.Add(1) })
			tr := newTransport(t, 100*time.Millisecond)
			tr.Update(true, endpointList(addr, balancer.Active), time.Now())
			disconnected.Store(false)
			call := newCall(t.Context())
			call.Disconnected = disconnected.Load
			x := tr.Attempt("s", call, testutil.WaitTimeout)
			interrupt(tr, x, addr)
			if o := testutil.Receive(t, run(x), "the outcome"); o.Result != balancer.NotSent {
				t.Errorf("result %d, error %v; want result %d (NotSent)", o.Result, o.Err, balancer.NotSent)
			}
			if received.Load() != 0 {
				t.Errorf("the endpoint received headers or data %d times, want 0", received.Load())
			}
		})
	}
}

// An attempt is prepared after the notification of a drain, and starts only after the drain grace. A stopping endpoint
// would reset it, so it must not be written.
func TestAttemptAfterDrainIsNotWritten(t *testing.T) {
	var received atomic.Int32
	addr := rawh2.Start(t, func(*rawh2.Stream) { received.Add(1) })
	tr := newTransport(t, 100*time.Millisecond)
	tr.Update(true, endpointList(addr, balancer.Active), time.Now())
	tr.Update(false, endpointList(addr, balancer.Draining), time.Now().Add(-time.Second))
	o := testutil.Receive(t, run(tr.Attempt("s", newCall(t.Context()), testutil.WaitTimeout)), "the outcome")
	if o.Result != balancer.NotSent || received.Load() != 0 {
		t.Errorf("result %d, error %v, headers or data received %d times; want result %d (NotSent), 0 times",
			o.Result, o.Err, received.Load(), balancer.NotSent)
	}
}

// No attempt may be made to an unknown endpoint. The connection to a removed endpoint must be closed when its last
// exchange has ended.
func TestConnectionsFollowTheEndpointList(t *testing.T) {
	streams := make(chan *rawh2.Stream, 1)
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Complete {
			streams <- s
		}
	})
	tr := newTransport(t, time.Hour)
	if tr.Attempt("s", newCall(t.Context()), time.Second) != nil {
		t.Error("Attempt returned an exchange with an unknown endpoint, want nil")
	}
	tr.Update(true, endpointList(addr, balancer.Active), time.Now())
	outcome := run(tr.Attempt("s", newCall(t.Context()), testutil.WaitTimeout))
	s := testutil.Receive(t, streams, "the attempt")
	e := tr.endpoints["s"]
	tr.Update(true, nil, time.Now())
	if e.conn == nil {
		t.Fatal("the connection to a removed endpoint was closed while an attempt was in flight")
	}
	s.OK([]byte("\n\x01x"))
	if o := testutil.Receive(t, outcome, "the outcome"); o.Result != balancer.OK {
		t.Errorf("result %d, error %v; want result %d (OK)", o.Result, o.Err, balancer.OK)
	}
	tr.mu.Lock()
	if e.conn != nil {
		t.Error("the connection to a removed endpoint was not closed after its last attempt")
	}
	tr.mu.Unlock()

	// The endpoint is listed again, so a new connection is made. CloseIdle must close it when no exchange is in flight.
	tr.Update(true, endpointList(addr, balancer.Active), time.Now())
	outcome = run(tr.Attempt("s", newCall(t.Context()), testutil.WaitTimeout))
	testutil.Receive(t, streams, "the next attempt").OK(nil)
	testutil.Receive(t, outcome, "the outcome")
	tr.CloseIdle("s")
	if tr.endpoints["s"].conn != nil {
		t.Error("CloseIdle did not close an idle connection")
	}
}

// An attempt to an endpoint that refuses connections must fail immediately with the result ConnectFailed, also if an
// earlier attempt has failed: grpc-go by itself would wait for its backoff first.
func TestRefusedConnectionFailsAtOnce(t *testing.T) {
	addr := testutil.ReserveAddr(t)
	tr := newTransport(t, time.Second)
	tr.Update(true, endpointList(addr, balancer.Active), time.Now())
	for i := range 3 {
		o := testutil.Receive(t, run(tr.Attempt("s", newCall(t.Context()), testutil.WaitTimeout)), "the outcome")
		if o.Result != balancer.ConnectFailed || o.Elapsed > 4*time.Second {
			t.Errorf("attempt %d: result %d, error %v after %v; want result %d (ConnectFailed) within 4 s",
				i, o.Result, o.Err, o.Elapsed, balancer.ConnectFailed)
		}
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	n := emulator.NewNode(emulator.NodeConfig{Name: "n", Speed: 1}, time.Time{}, emulator.NewRuleChecker())
	srv := grpcnode.New(n, map[string]emulator.Effect{"c": emulator.Idempotent})
	go func() { _ = srv.Serve(l) }() // returns when Stop is called
	defer srv.Stop()
	ctx := metadata.AppendToOutgoingContext(t.Context(), "x-request-id", "1", "x-class", "c")
	o := testutil.Receive(t, run(tr.Attempt("s", newCall(ctx), testutil.WaitTimeout)), "the outcome")
	if o.Result != balancer.OK {
		t.Errorf("after the endpoint listens again: result %d, error %v; want result %d (OK)",
			o.Result, o.Err, balancer.OK)
	}
}

// A probe must call grpc.health.v1 and return the number of requests in flight that the endpoint reports.
func TestProbeReturnsTheLoadReport(t *testing.T) {
	n := emulator.NewNode(emulator.NodeConfig{Name: "n", Speed: 1}, time.Time{}, emulator.NewRuleChecker())
	n.Pause(time.Hour)
	defer n.Die()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpcnode.New(n, nil)
	go func() { _ = srv.Serve(l) }() // returns when Stop is called
	defer srv.Stop()
	for range 3 {
		go n.Do(t.Context(), emulator.Job{ID: "x", Work: time.Hour})
	}
	testutil.Until(t, "the jobs", func() bool { return n.InFlight() == 3 })
	tr := newTransport(t, time.Second)
	tr.Update(true, endpointList(l.Addr().String(), balancer.Active), time.Now())
	o := testutil.Receive(t, run(tr.Probe("s", testutil.WaitTimeout)), "the outcome of the probe")
	if o.Result != balancer.OK || o.Load != (balancer.LoadReport{Reported: true, InFlight: 3}) {
		t.Errorf("outcome %+v, want result %d (OK) and 3 requests in flight", o, balancer.OK)
	}
}

// A probe of a server without grpc.health.v1, which answers UNIMPLEMENTED, gives no evidence about the endpoint.
// UNAVAILABLE must count against the endpoint.
func TestFailedProbe(t *testing.T) {
	for status, want := range map[string]balancer.Result{"12": balancer.NotSent, "14": balancer.ServerError} {
		addr := rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Complete {
				s.TrailersOnly(status)
			}
		})
		tr := newTransport(t, time.Second)
		tr.Update(true, endpointList(addr, balancer.Active), time.Now())
		o := testutil.Receive(t, run(tr.Probe("s", testutil.WaitTimeout)), "the outcome of the probe")
		if o.Result != want || o.Load.Reported {
			t.Errorf("status %s: outcome %+v, want result %d and no load report", status, o, want)
		}
	}
}

// The load must be the largest of the configured metrics. A report without these metrics, or with a corrupt value, must
// be treated as missing: otherwise an endpoint whose load is unknown would look idle.
func TestLoadReport(t *testing.T) {
	tr := newTransport(t, time.Second)
	report := func(metrics map[string]float64) string {
		encoded, err := proto.Marshal(&orcapb.OrcaLoadReport{NamedMetrics: metrics})
		if err != nil {
			t.Fatal(err)
		}
		return string(encoded)
	}
	for _, c := range []struct {
		name   string
		values []string
		want   balancer.LoadReport
	}{
		{
			name:   "largest of the metrics",
			values: []string{report(map[string]float64{"queue": 3, "inflight": 5, "other": 9})},
			want:   balancer.LoadReport{Reported: true, InFlight: 5},
		},
		{
			name:   "zero",
			values: []string{report(map[string]float64{"queue": 0})},
			want:   balancer.LoadReport{Reported: true},
		},
		{
			name:   "other metrics only",
			values: []string{report(map[string]float64{"other": 9})},
		},
		{
			name:   "negative",
			values: []string{report(map[string]float64{"queue": -1})},
		},
		{
			name:   "above the maximum",
			values: []string{report(map[string]float64{"queue": 1e300})},
		},
		{
			name:   "not a report",
			values: []string{"\xff\xff"},
		},
		{
			name:   "two reports",
			values: []string{report(map[string]float64{"queue": 3}), report(map[string]float64{"queue": 4})},
		},
		{
			name: "none",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := tr.loadReport(metadata.MD{orcaTrailer: c.values}); got != c.want {
				t.Errorf("trailer %q: got %+v, want %+v", c.values, got, c.want)
			}
		})
	}
}

// If a stream is reset or its connection breaks before the server has sent a status, grpc-go generates the status of
// the stream. Such a status must not count as a response of the server, and in particular not as a final one.
func TestLocallyGeneratedStatusIsNotAResponse(t *testing.T) {
	for name, end := range map[string]func(*rawh2.Stream){
		"broken": (*rawh2.Stream).CloseConn,
		"reset":  (*rawh2.Stream).Reset,
		"broken after an invalid message": func(s *rawh2.Stream) {
			s.Header()
			s.Message([]byte("\xff\xff"))
			s.CloseConn()
		},
	} {
		addr := rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Complete {
				end(s)
			}
		})
		tr := newTransport(t, time.Second)
		tr.Update(true, endpointList(addr, balancer.Active), time.Now())
		o := testutil.Receive(t, run(tr.Attempt("s", newCall(t.Context()), testutil.WaitTimeout)), "the outcome")
		if o.Result != balancer.Reset || o.Final {
			t.Errorf("%s: result %d, final %v, error %v; want result %d (Reset), final false",
				name, o.Result, o.Final, o.Err, balancer.Reset)
		}
	}
}
