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

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTransport(t *testing.T, grace time.Duration) *Transport {
	t.Helper()
	tr := New(Config{Connect: 5 * time.Second, Grace: grace, LoadNames: []string{"queue", "inflight"},
		Dial: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}})
	t.Cleanup(tr.Shut)
	return tr
}

func listed(addr string, state balancer.EndpointState) []engine.Endpoint {
	return []engine.Endpoint{{ID: "s", Addr: addr, State: state}}
}

func call(ctx context.Context) *engine.Call {
	return &engine.Call{ID: "1", Payload: &Request{Context: ctx, Method: grpcnode.Do, Codec: "proto", Message: []byte("\n\x01x")}}
}

func run(x engine.Exchange) chan engine.Outcome {
	done := make(chan engine.Outcome, 1)
	go func() { done <- x.Run(nil) }()
	return done
}

// A stream that waits for room on the connection has been handed to grpc-go, and would be written whenever some comes.
// Guards against its going out after the member's grace: it ends then, and never ran.
func TestDrainWhileWaitingForRoom(t *testing.T) {
	var first atomic.Pointer[rawh2.Stream]
	var came atomic.Int32
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Whole && came.Add(1) == 1 {
			first.Store(s)
		}
	}, rawh2.MaxStreams(1))
	tr := newTransport(t, 100*time.Millisecond)
	tr.Update(true, listed(addr, balancer.Active), time.Now())
	one := tr.Attempt("s", call(t.Context()), testutil.Patience)
	oneDone := run(one)
	testutil.Until(t, "the first attempt", func() bool { return first.Load() != nil })
	other := tr.Attempt("s", call(t.Context()), testutil.Patience)
	otherDone := run(other)
	g := other.(*exchange).gate
	testutil.Until(t, "the second to be let through", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.passed
	})
	tr.Update(false, listed(addr, balancer.Draining), time.Now())
	if o := testutil.Receive(t, otherDone, "the second's end"); o.Result.MayHaveRun() {
		t.Errorf("result %d (%v)", o.Result, o.Err)
	}
	if first.Load().OK(nil); testutil.Receive(t, oneDone, "the first's answer").Result != balancer.OK {
		t.Error("what was out before the drain was not served")
	}
	if came.Load() != 1 {
		t.Errorf("%d attempts reached a member that drains", came.Load())
	}
}

// A dial that comes up late is not written to: neither after the call's result, nor after the member's grace, nor to
// another process.
func TestLateConnectionIsNotWritten(t *testing.T) {
	var left atomic.Bool
	for name, c := range map[string]func(tr *Transport, x engine.Exchange, addr string){
		"its client left": func(*Transport, engine.Exchange, string) { left.Store(true) },
		"answered":        func(_ *Transport, x engine.Exchange, _ string) { x.CancelUnsent() },
		"cancelled":       func(_ *Transport, x engine.Exchange, _ string) { x.Cancel() },
		"drained": func(tr *Transport, _ engine.Exchange, addr string) {
			tr.Update(false, listed(addr, balancer.Draining), time.Now().Add(-time.Second))
		},
		"gone": func(tr *Transport, _ engine.Exchange, _ string) { tr.Update(true, nil, time.Now().Add(-time.Second)) },
		"another process": func(tr *Transport, _ engine.Exchange, addr string) {
			tr.Update(false, []engine.Endpoint{{ID: "s", Addr: addr, StartedAtMS: 5}}, time.Now().Add(-time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var came atomic.Int32
			addr := rawh2.Start(t, func(*rawh2.Stream) { came.Add(1) })
			tr := newTransport(t, 100*time.Millisecond)
			tr.Update(true, listed(addr, balancer.Active), time.Now())
			left.Store(false)
			asked := call(t.Context())
			asked.Disconnected = left.Load
			x := tr.Attempt("s", asked, testutil.Patience)
			c(tr, x, addr)
			if o := testutil.Receive(t, run(x), "the outcome"); o.Result != balancer.NotSent {
				t.Errorf("result %d (%v)", o.Result, o.Err)
			}
			if came.Load() != 0 {
				t.Error("something was written")
			}
		})
	}
}

// An attempt that is asked for after the news, within the grace, is not written after it either.
func TestAttemptAfterTheDrain(t *testing.T) {
	var came atomic.Int32
	addr := rawh2.Start(t, func(*rawh2.Stream) { came.Add(1) })
	tr := newTransport(t, 100*time.Millisecond)
	tr.Update(true, listed(addr, balancer.Active), time.Now())
	tr.Update(false, listed(addr, balancer.Draining), time.Now().Add(-time.Second))
	o := testutil.Receive(t, run(tr.Attempt("s", call(t.Context()), testutil.Patience)), "the outcome")
	if o.Result != balancer.NotSent || came.Load() != 0 {
		t.Errorf("result %d (%v), %d written", o.Result, o.Err, came.Load())
	}
}

// Nothing is sent to who is not known, and the connections of who left are closed when what was out has ended.
func TestConnectionsFollowTheList(t *testing.T) {
	held := make(chan *rawh2.Stream, 1)
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Whole {
			held <- s
		}
	})
	tr := newTransport(t, time.Hour)
	if tr.Attempt("s", call(t.Context()), time.Second) != nil {
		t.Error("an attempt to nobody")
	}
	tr.Update(true, listed(addr, balancer.Active), time.Now())
	done := run(tr.Attempt("s", call(t.Context()), testutil.Patience))
	s := testutil.Receive(t, held, "the attempt")
	m := tr.members["s"]
	tr.Update(true, nil, time.Now())
	if m.cc == nil {
		t.Fatal("a connection with an attempt out was closed")
	}
	s.OK([]byte("\n\x01x"))
	if o := testutil.Receive(t, done, "the outcome"); o.Result != balancer.OK {
		t.Errorf("result %d (%v)", o.Result, o.Err)
	}
	tr.mu.Lock()
	if m.cc != nil {
		t.Error("the connection of one that left stays")
	}
	tr.mu.Unlock()
	// It comes back: a new connection is made. Close takes one that has nothing out.
	tr.Update(true, listed(addr, balancer.Active), time.Now())
	done = run(tr.Attempt("s", call(t.Context()), testutil.Patience))
	testutil.Receive(t, held, "another attempt").OK(nil)
	testutil.Receive(t, done, "the outcome")
	if tr.CloseIdle("s"); tr.members["s"].cc != nil {
		t.Error("an idle connection was not closed")
	}
}

// A member that refuses connections is known at once not to have run anything, also a second time: grpc-go would wait
// for its own back-off.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	tr := newTransport(t, time.Second)
	tr.Update(true, listed(addr, balancer.Active), time.Now())
	for i := range 3 {
		o := testutil.Receive(t, run(tr.Attempt("s", call(t.Context()), testutil.Patience)), "the outcome")
		if o.Result != balancer.ConnectFailed || o.Elapsed > 4*time.Second {
			t.Errorf("attempt %d: result %d (%v) after %v", i, o.Result, o.Err, o.Elapsed)
		}
	}
	if l, err = net.Listen("tcp", addr); err != nil {
		t.Skip("another process has the address by now")
	}
	n := emulator.NewNode(emulator.NodeConfig{Name: "n", Speed: 1}, time.Time{}, emulator.NewLedger())
	srv := grpcnode.New(n, map[string]emulator.Effect{"c": emulator.Safe})
	go srv.Serve(l)
	defer srv.Stop()
	ctx := metadata.AppendToOutgoingContext(t.Context(), "x-request-id", "1", "x-class", "c")
	if o := testutil.Receive(t, run(tr.Attempt("s", call(ctx), testutil.Patience)), "the outcome"); o.Result != balancer.OK {
		t.Errorf("once it listens: result %d (%v)", o.Result, o.Err)
	}
}

// A probe asks grpc.health.v1, and brings what the member says that it holds.
func TestProbe(t *testing.T) {
	n := emulator.NewNode(emulator.NodeConfig{Name: "n", Speed: 1}, time.Time{}, emulator.NewLedger())
	n.Pause(time.Hour)
	defer n.Die()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpcnode.New(n, nil)
	go srv.Serve(l)
	defer srv.Stop()
	for range 3 {
		go n.Do(t.Context(), emulator.Job{ID: "x", Work: time.Hour})
	}
	testutil.Until(t, "the jobs", func() bool { return n.Held() == 3 })
	tr := newTransport(t, time.Second)
	tr.Update(true, listed(l.Addr().String(), balancer.Active), time.Now())
	o := testutil.Receive(t, run(tr.Probe("s", testutil.Patience)), "the probe")
	if o.Result != balancer.OK || o.Load != (balancer.LoadReport{Reported: true, InFlight: 3}) {
		t.Errorf("%+v", o)
	}
}

// A server without grpc.health.v1 says nothing, and a member that does not serve is not taken to.
func TestProbeOfOthers(t *testing.T) {
	for status, want := range map[string]balancer.Result{"12": balancer.NotSent, "14": balancer.ServerError} {
		addr := rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Whole {
				s.Only(status)
			}
		})
		tr := newTransport(t, time.Second)
		tr.Update(true, listed(addr, balancer.Active), time.Now())
		if o := testutil.Receive(t, run(tr.Probe("s", testutil.Patience)), "the probe"); o.Result != want || o.Load.Reported {
			t.Errorf("status %s: %+v", status, o)
		}
	}
}

func TestLoadReport(t *testing.T) {
	tr := newTransport(t, time.Second)
	report := func(named map[string]float64) string {
		b, err := proto.Marshal(&orcapb.OrcaLoadReport{NamedMetrics: named})
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	for _, c := range []struct {
		values []string
		want   balancer.LoadReport
	}{
		{[]string{report(map[string]float64{"queue": 3, "inflight": 5, "other": 9})}, balancer.LoadReport{Reported: true, InFlight: 5}},
		{[]string{report(map[string]float64{"queue": 0})}, balancer.LoadReport{Reported: true}},
		{[]string{report(map[string]float64{"other": 9})}, balancer.LoadReport{}},
		{[]string{report(map[string]float64{"queue": -1})}, balancer.LoadReport{}},
		{[]string{report(map[string]float64{"queue": 1e300})}, balancer.LoadReport{}},
		{[]string{"\xff\xff"}, balancer.LoadReport{}},
		{[]string{report(map[string]float64{"queue": 3}), report(map[string]float64{"queue": 4})}, balancer.LoadReport{}},
		{nil, balancer.LoadReport{}},
	} {
		if got := tr.load(metadata.MD{orcaTrailer: c.values}); got != c.want {
			t.Errorf("%q: %+v, want %+v", c.values, got, c.want)
		}
	}
}

// The status of a stream that the server has not ended is grpc-go's own, and blames the connection: not the server's
// answer, and above all not one that is the client's.
func TestOwnWordsAreNoAnswer(t *testing.T) {
	for name, end := range map[string]func(*rawh2.Stream){
		"broken": (*rawh2.Stream).Break,
		"reset":  (*rawh2.Stream).Reset,
		"an answer that cannot be read": func(s *rawh2.Stream) {
			s.Header()
			s.Message([]byte("\xff\xff"))
			s.Break()
		},
	} {
		addr := rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Whole {
				end(s)
			}
		})
		tr := newTransport(t, time.Second)
		tr.Update(true, listed(addr, balancer.Active), time.Now())
		if o := testutil.Receive(t, run(tr.Attempt("s", call(t.Context()), testutil.Patience)), "the outcome"); o.Result != balancer.Reset || o.Final {
			t.Errorf("%s: result %d, final %v (%v)", name, o.Result, o.Final, o.Err)
		}
	}
}
