package grpcbalancer

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"hazelwing/balancer"
	"hazelwing/internal/emulator/rawh2"
	"hazelwing/internal/testutil"
)

// Call options for the header, the trailer and the peer are set from the attempt whose response is the call's result,
// and OnFinish is called once.
func TestCallOptionsAreSetByTheFinalAttempt(t *testing.T) {
	endpoints, _ := startTwoServers(t, func(s *rawh2.Stream, before int32) {
		if before == 0 {
			s.TrailersOnly("14", "x-not-run", "1", "who", "first")
			return
		}
		s.Header()
		s.Message(okMessage)
		s.End("0", "who", "second")
	})
	p := start(t, testConfig(endpoints))
	for name, conn := range map[string]grpc.ClientConnInterface{
		"the plug-in":                 p,
		"a ClientConn in front of it": newClientConn(t, p),
	} {
		var header, trailer metadata.MD
		var from peer.Peer
		finished := 0
		text, err := invoke(t.Context(), conn, book, "seat", grpc.Header(&header), grpc.Trailer(&trailer),
			grpc.Peer(&from), grpc.OnFinish(func(error) { finished++ }))
		if err != nil || text != "ok" {
			t.Fatalf("%s: response %q, error %v; want the response \"ok\"", name, text, err)
		}
		if header.Get("content-type") == nil || firstValue(trailer, "who", "") != "second" || from.Addr == nil ||
			finished != 1 {
			t.Errorf("%s: header %v, trailer %v, peer %v, OnFinish called %d times; "+
				"want a content-type, who=second, a peer address and one call", name, header, trailer, from, finished)
		}
	}
}

// newClientConn returns a connection whose calls go through p. At the end of the test, it checks that the connection's
// own interceptor has run once, for the only call.
func newClientConn(t *testing.T, p *Plugin) *grpc.ClientConn {
	t.Helper()
	var calls atomic.Int32
	intercept := func(
		ctx context.Context, method string, request, response any,
		conn *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		calls.Add(1)
		return next(ctx, method, request, response, conn, opts...)
	}
	options := append(p.DialOptions(), grpc.WithUnaryInterceptor(intercept))
	conn, err := grpc.NewClient("passthrough:///nowhere", options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		if calls.Load() != 1 {
			t.Errorf("the application's interceptor ran %d times for one call, want once", calls.Load())
		}
	})
	return conn
}

// A status with which the application on a server responds is the call's result, and the call is not retried.
func TestApplicationStatusIsTheResult(t *testing.T) {
	for _, code := range []codes.Code{
		codes.NotFound,
		codes.AlreadyExists,
		codes.FailedPrecondition,
		codes.Aborted,
		codes.OutOfRange,
		codes.InvalidArgument,
		codes.PermissionDenied,
		codes.Unauthenticated,
		codes.Unimplemented,
	} {
		endpoints, received := startTwoServers(t, func(s *rawh2.Stream, _ int32) {
			s.TrailersOnly(strconv.Itoa(int(code)), "grpc-message", "as it is")
		})
		p := start(t, testConfig(endpoints))
		_, err := invoke(t.Context(), p, look, "seat")
		if s := status.Convert(err); s.Code() != code || s.Message() != "as it is" || received.Load() != 1 {
			t.Errorf("status %v: error %v after %d attempts, want this status after one", code, err, received.Load())
		}
	}
}

// A rejection has the code UNAVAILABLE or RESOURCE_EXHAUSTED, and a RetryInfo if the settings allow it. Other errors
// are not rejections.
func TestRejection(t *testing.T) {
	t.Run("no connection", func(t *testing.T) {
		cfg := testConfig(Static(Endpoint{Addr: testutil.UnusedAddr}))
		cfg.Settings.MaxAttempts = 1
		p := start(t, cfg)
		_, err := invoke(t.Context(), p, book, "seat")
		retryAfter, ok := Rejected(err)
		if !ok || retryAfter != 1500*time.Millisecond || status.Code(err) != codes.Unavailable {
			t.Errorf("error %v, retry after %v; want UNAVAILABLE, retry after 1.5s", err, retryAfter)
		}
		var info *errdetails.RetryInfo
		for _, d := range status.Convert(err).Details() {
			info, _ = d.(*errdetails.RetryInfo)
		}
		if info.GetRetryDelay().AsDuration() != 1500*time.Millisecond {
			t.Errorf("RetryInfo %v, want a delay of 1.5s", info)
		}
	})
	t.Run("after Close", func(t *testing.T) {
		p := start(t, testConfig(Static(Endpoint{Addr: testutil.UnusedAddr})))
		_ = p.Close() // the error is always nil
		_, err := invoke(t.Context(), p, book, "seat")
		if _, ok := Rejected(err); !ok || status.Code(err) != codes.ResourceExhausted {
			t.Errorf("error %v, want a rejection with RESOURCE_EXHAUSTED", err)
		}
	})
	if _, ok := Rejected(errors.New("other")); ok {
		t.Error("Rejected returns true for an error without a status, want false")
	}
	if _, ok := Rejected(nil); ok {
		t.Error("Rejected returns true for nil, want false")
	}
}

// A call ends with DEADLINE_EXCEEDED at the context's deadline, or at the deadline of its class if the context has no
// deadline.
func TestDeadlineOfContextOrClass(t *testing.T) {
	endpoints, _ := startTwoServers(t, func(*rawh2.Stream, int32) {}) // the servers never respond
	cfg := testConfig(endpoints)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective = 50 * time.Millisecond
		cfg.Settings.Classes[i].Deadline = 100 * time.Millisecond
	}
	p := start(t, cfg)
	startedAt := time.Now()
	_, err := invoke(t.Context(), p, book, "seat")
	if status.Code(err) != codes.DeadlineExceeded || time.Since(startedAt) > testutil.WaitTimeout/2 {
		t.Errorf("context without a deadline: error %v after %v, want DEADLINE_EXCEEDED after 100ms",
			err, time.Since(startedAt))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, err := invoke(ctx, p, book, "seat"); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("context with a deadline: error %v, want DEADLINE_EXCEEDED", err)
	}
	<-ctx.Done()
	if _, err := invoke(ctx, p, book, "seat"); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("context after its deadline: error %v, want DEADLINE_EXCEEDED", err)
	}
}

// An invalid call is not sent, and its error names the invalid value. The error is not a rejection, because a retry
// would fail in the same way.
func TestInvalidCallsAreNotSent(t *testing.T) {
	endpoints, received := startTwoServers(t, func(s *rawh2.Stream, _ int32) { s.OK(okMessage) })
	p := start(t, testConfig(endpoints))
	for name, c := range map[string]struct {
		method string
		md     []string
		opts   []grpc.CallOption
		want   string
	}{
		"no class":                {"/other.Service/Do", nil, nil, "no class"},
		"unknown class":           {look, []string{"x-class", "nothing"}, nil, `"nothing"`},
		"no idempotency key":      {pay, nil, nil, "idempotency-key"},
		"expected work":           {look, []string{"x-cost-hint", "much"}, nil, "x-cost-hint"},
		"negative expected work":  {look, []string{"x-cost-hint", "-1"}, nil, "x-cost-hint"},
		"message too long":        {look, nil, []grpc.CallOption{grpc.MaxCallSendMsgSize(2)}, "2 at most"},
		"unknown content subtype": {look, nil, []grpc.CallOption{grpc.CallContentSubtype("odd")}, "odd"},
	} {
		ctx := metadata.AppendToOutgoingContext(t.Context(), c.md...)
		if _, err := invoke(ctx, p, c.method, "seat", c.opts...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		} else if _, rejected := Rejected(err); rejected {
			t.Errorf("%s: error %v is a rejection, which clients retry; want no rejection", name, err)
		}
	}
	_, err := p.NewStream(t.Context(), &grpc.StreamDesc{ClientStreams: true}, follow)
	if status.Code(err) != codes.Unimplemented {
		t.Errorf("client-streaming call: error %v, want UNIMPLEMENTED", err)
	}
	if received.Load() != 0 {
		t.Errorf("%d invalid calls were sent, want none", received.Load())
	}
}

// All attempts of a call have the same request ID. If the application sets a request ID, the attempts have this ID.
func TestAttemptsHaveTheSameRequestID(t *testing.T) {
	ids := make(chan string, 10)
	endpoints, _ := startTwoServers(t, func(s *rawh2.Stream, before int32) {
		ids <- s.RequestID
		if before%2 == 0 {
			s.Refuse()
		} else {
			s.OK(okMessage)
		}
	})
	p := start(t, testConfig(endpoints))
	for _, own := range []string{"", "mine"} {
		ctx := t.Context()
		if own != "" {
			ctx = metadata.AppendToOutgoingContext(ctx, "x-request-id", own)
		}
		if _, err := invoke(ctx, p, book, "seat"); err != nil {
			t.Fatal(err)
		}
		a, b := <-ids, <-ids
		if a == "" || a != b || own != "" && a != own {
			t.Errorf("the attempts have the request IDs %q and %q, want equal ones, not empty; the application set %q",
				a, b, own)
		}
	}
}

// The error for an invalid configuration names the field. The most specific entry of Config.Methods applies to a
// method.
func TestConfigIsValidated(t *testing.T) {
	valid := func() Config { return testConfig(Static(Endpoint{Addr: "127.0.0.1:1"})) }
	for want, change := range map[string]func(*Config){
		"Endpoints":   func(c *Config) { c.Endpoints = EndpointSource{} },
		"no address":  func(c *Config) { c.Endpoints = Static(Endpoint{ID: "x"}) },
		"no scheme":   func(c *Config) { c.Endpoints = Resolver("here") },
		"no resolver": func(c *Config) { c.Endpoints = Resolver("nothing:///here") },
		"DrainGrace":  func(c *Config) { c.DrainGrace = time.Second },
		"MaxCalls":    func(c *Config) { c.MaxCalls = -1 },
		`class "odd"`: func(c *Config) { c.Methods = map[string]Method{"": {Class: "odd"}} },
		`"/a"`:        func(c *Config) { c.Methods = map[string]Method{"/a": {Class: "look"}} },
		"Settings: setting": func(c *Config) {
			c.Settings.Classes = append([]balancer.Class{}, c.Settings.Classes...)
			c.Settings.Classes[0].Deadline = -1
		},
	} {
		cfg := valid()
		change(&cfg)
		p, err := New(cfg)
		if err == nil {
			_ = p.Close() // the error is always nil
		}
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "hazelgrpc: Config.") {
			t.Errorf("error %v, want one with %q and the prefix \"hazelgrpc: Config.\"", err, want)
		}
	}
	c := valid()
	c.Methods = map[string]Method{"/a.B/": {Class: "look"}, "/a.B/C": {Class: "book"}, "": {Class: "pay"}}
	p := start(t, c)
	for method, want := range map[string]string{"/a.B/C": "book", "/a.B/D": "look", "/x.Y/Z": "pay"} {
		if got := p.method(method).Class; got != want {
			t.Errorf("method %s has class %s, want %s", method, got, want)
		}
	}
}

// The connection to one of two endpoints cannot be established. If an attempt waited for the connection until the
// deadline, the call would fail. It must be retried on the other endpoint.
func TestUnreachableEndpointIsAvoided(t *testing.T) {
	refused := testutil.ReserveAddr(t)
	up := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Complete {
			s.OK(okMessage)
		}
	})
	p := start(t, testConfig(Static(
		Endpoint{Addr: refused, Zone: "a"},
		Endpoint{Addr: up, Zone: "a"},
	)))
	for range 5 {
		if _, err := invoke(t.Context(), p, book, "seat"); err != nil {
			t.Errorf("call with one reachable endpoint: error %v, want none", err)
		}
	}
}
