package grpcbalancer

import (
	"context"
	"errors"
	"net"
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

// What comes beside an answer reaches the application through its options, once, from the attempt that counts.
func TestCallOptions(t *testing.T) {
	members, _ := two(t, func(s *rawh2.Stream, before int32) {
		if before == 0 {
			s.Only("14", "x-not-run", "1", "who", "first")
			return
		}
		s.Header()
		s.Message(okMessage)
		s.End("0", "who", "second")
	})
	p := start(t, testConfig(members))
	for name, cc := range map[string]grpc.ClientConnInterface{"itself": p, "behind grpc.NewClient": dialled(t, p)} {
		var header, trailer metadata.MD
		var from peer.Peer
		finished := 0
		text, err := ask(cc, t.Context(), book, "seat", grpc.Header(&header), grpc.Trailer(&trailer), grpc.Peer(&from),
			grpc.OnFinish(func(err error) { finished++ }))
		if err != nil || text != "ok" {
			t.Fatalf("%s: %q, %v", name, text, err)
		}
		if header.Get("content-type") == nil || first(trailer, "who", "") != "second" || from.Addr == nil || finished != 1 {
			t.Errorf("%s: header %v, trailer %v, peer %v, finished %d times", name, header, trailer, from, finished)
		}
	}
}

// dialled is p behind grpc.NewClient, whose own interceptors run once a call.
func dialled(t *testing.T, p *Plugin) *grpc.ClientConn {
	t.Helper()
	var calls atomic.Int32
	cc, err := grpc.NewClient("passthrough:///nowhere", append(p.DialOptions(),
		grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
			calls.Add(1)
			return invoke(ctx, method, req, reply, cc, opts...)
		}))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cc.Close()
		if calls.Load() != 1 {
			t.Errorf("the application's interceptor ran %d times", calls.Load())
		}
	})
	return cc
}

// An answer of the application's, whatever its code, is the call's, and no other member is asked.
func TestApplicationAnswers(t *testing.T) {
	for _, code := range []codes.Code{codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition, codes.Aborted, codes.OutOfRange,
		codes.InvalidArgument, codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented} {
		members, came := two(t, func(s *rawh2.Stream, _ int32) {
			s.Only(ftoa(float64(code)), "grpc-message", "as it is")
		})
		p := start(t, testConfig(members))
		_, err := ask(p, t.Context(), look, "seat")
		if s := status.Convert(err); s.Code() != code || s.Message() != "as it is" || came.Load() != 1 {
			t.Errorf("%v: %v after %d copies", code, err, came.Load())
		}
	}
}

// A refusal says when to come back; it is one of two codes, and a failure is neither.
func TestRefusal(t *testing.T) {
	t.Run("nothing was sent", func(t *testing.T) {
		cfg := testConfig(Static(Member{Addr: testutil.NoAddr}))
		cfg.Settings.MaxAttempts = 1
		p := start(t, cfg)
		_, err := ask(p, t.Context(), book, "seat")
		wait, ok := RefusedFor(err)
		if !ok || wait != 1500*time.Millisecond || status.Code(err) != codes.Unavailable {
			t.Errorf("%v, come back in %v", err, wait)
		}
		var info *errdetails.RetryInfo
		for _, d := range status.Convert(err).Details() {
			info, _ = d.(*errdetails.RetryInfo)
		}
		if info.GetRetryDelay().AsDuration() != 1500*time.Millisecond {
			t.Errorf("RetryInfo %v", info)
		}
	})
	t.Run("after Close", func(t *testing.T) {
		p := start(t, testConfig(Static(Member{Addr: testutil.NoAddr})))
		p.Close()
		_, err := ask(p, t.Context(), book, "seat")
		if _, ok := RefusedFor(err); !ok || status.Code(err) != codes.ResourceExhausted {
			t.Errorf("%v", err)
		}
	})
	if _, ok := RefusedFor(errors.New("other")); ok {
		t.Error("any error is a refusal")
	}
	if _, ok := RefusedFor(nil); ok {
		t.Error("no error is a refusal")
	}
}

// A time that runs out is the client's own, or the class's where the context has none; both say what they are.
func TestDeadline(t *testing.T) {
	members, _ := two(t, func(*rawh2.Stream, int32) {}) // they never answer
	cfg := testConfig(members)
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyObjective, cfg.Settings.Classes[i].Deadline = 50*time.Millisecond, 100*time.Millisecond
	}
	p := start(t, cfg)
	begun := time.Now()
	if _, err := ask(p, t.Context(), book, "seat"); status.Code(err) != codes.DeadlineExceeded || time.Since(begun) > testutil.Patience/2 {
		t.Errorf("without a deadline: %v after %v", err, time.Since(begun))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, err := ask(p, ctx, book, "seat"); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("with one: %v", err)
	}
	<-ctx.Done()
	if _, err := ask(p, ctx, book, "seat"); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("after it: %v", err)
	}
}

// A call that cannot be made says why, names the field, and goes to no member.
func TestBadCalls(t *testing.T) {
	members, came := two(t, func(s *rawh2.Stream, _ int32) { s.OK(okMessage) })
	p := start(t, testConfig(members))
	for name, c := range map[string]struct {
		method string
		md     []string
		opts   []grpc.CallOption
		want   string
	}{
		"no class":       {"/other.Service/Do", nil, nil, "no class"},
		"unknown class":  {look, []string{"x-class", "nothing"}, nil, `"nothing"`},
		"keyed, no key":  {pay, nil, nil, "idempotency-key"},
		"hint":           {look, []string{"x-cost-hint", "much"}, nil, "x-cost-hint"},
		"a hint below 0": {look, []string{"x-cost-hint", "-1"}, nil, "x-cost-hint"},
		"too long":       {look, nil, []grpc.CallOption{grpc.MaxCallSendMsgSize(2)}, "2 at most"},
		"content":        {look, nil, []grpc.CallOption{grpc.CallContentSubtype("odd")}, "odd"},
	} {
		ctx := metadata.AppendToOutgoingContext(t.Context(), c.md...)
		if _, err := ask(p, ctx, c.method, "seat", c.opts...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		} else if _, refusal := RefusedFor(err); refusal {
			t.Errorf("%s: %v says that trying again helps", name, err)
		}
	}
	if _, err := p.NewStream(t.Context(), &grpc.StreamDesc{ClientStreams: true}, follow); status.Code(err) != codes.Unimplemented {
		t.Errorf("a stream of the client's: %v", err)
	}
	if came.Load() != 0 {
		t.Errorf("%d went on", came.Load())
	}
}

// Metadata goes on unchanged, and all attempts of a call carry the same id, the application's where it gives one.
func TestOneIDForAllAttempts(t *testing.T) {
	ids := make(chan string, 10)
	members, _ := two(t, func(s *rawh2.Stream, before int32) {
		ids <- s.RequestID
		if before%2 == 0 {
			s.Refuse()
		} else {
			s.OK(okMessage)
		}
	})
	p := start(t, testConfig(members))
	for _, own := range []string{"", "mine"} {
		ctx := t.Context()
		if own != "" {
			ctx = metadata.AppendToOutgoingContext(ctx, "x-request-id", own)
		}
		if _, err := ask(p, ctx, book, "seat"); err != nil {
			t.Fatal(err)
		}
		a, b := <-ids, <-ids
		if a == "" || a != b || own != "" && a != own {
			t.Errorf("ids %q and %q, the application's is %q", a, b, own)
		}
	}
}

// A configuration that cannot be used names its field.
func TestBadConfig(t *testing.T) {
	good := func() Config { return testConfig(Static(Member{Addr: "127.0.0.1:1"})) }
	for want, change := range map[string]func(*Config){
		"Members":     func(c *Config) { c.Members = Members{} },
		"no address":  func(c *Config) { c.Members = Static(Member{ID: "x"}) },
		"no scheme":   func(c *Config) { c.Members = Resolver("here") },
		"no resolver": func(c *Config) { c.Members = Resolver("nothing:///here") },
		"DrainGrace":  func(c *Config) { c.DrainGrace = time.Second },
		"MaxCalls":    func(c *Config) { c.MaxCalls = -1 },
		`class "odd"`: func(c *Config) { c.Methods = map[string]Method{"": {Class: "odd"}} },
		`"/a"`:        func(c *Config) { c.Methods = map[string]Method{"/a": {Class: "look"}} },
		"Settings: setting": func(c *Config) {
			c.Settings.Classes = append([]balancer.Class{}, c.Settings.Classes...)
			c.Settings.Classes[0].Deadline = -1
		},
	} {
		cfg := good()
		change(&cfg)
		p, err := New(cfg)
		if err == nil {
			p.Close()
		}
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), "hazelgrpc: Config.") {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
	c := good()
	c.Methods = map[string]Method{"/a.B/": {Class: "look"}, "/a.B/C": {Class: "book"}, "": {Class: "pay"}}
	p := start(t, c)
	for method, want := range map[string]string{"/a.B/C": "book", "/a.B/D": "look", "/x.Y/Z": "pay"} {
		if got := p.method(method).Class; got != want {
			t.Errorf("%s is %s, want %s", method, got, want)
		}
	}
}

// A member whose connection does not come up is left for another one, and the call goes on in time.
func TestMemberIsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	up := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Whole {
			s.OK(okMessage)
		}
	})
	p := start(t, testConfig(Static(Member{Addr: l.Addr().String(), Zone: "a"}, Member{Addr: up, Zone: "a"})))
	for range 5 {
		if _, err := ask(p, t.Context(), book, "seat"); err != nil {
			t.Error(err)
		}
	}
}
