package grpcbalancer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/grpcnode"
	"hazelwing/internal/emulator/rawh2"
	"hazelwing/internal/testutil"
)

func TestMain(m *testing.M) {
	if os.Getenv(pausedChild) != "" {
		pausedProcess()
		return
	}
	goleak.VerifyTestMain(m)
}

func ftoa(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// two are members that behave alike: each counts the whole requests that reach it, and answers as serve says, which
// knows how many came before to both.
func two(t *testing.T, serve func(s *rawh2.Stream, before int32), opts ...rawh2.Option) (Members, *atomic.Int32) {
	came := new(atomic.Int32)
	var list []Member
	for range 2 {
		list = append(list, Member{Zone: "a", Addr: rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Whole {
				serve(s, came.Add(1)-1)
			}
		}, opts...)})
	}
	return Static(list...), came
}

var okMessage = []byte("\n\x02ok") // StringValue{"ok"}

// What proves that a stream never ran lets an unsafe call go on to another member; what may have run does not, however
// much its status looks the same.
func TestUnsafeCallIsSentAgainOnlyWhereItNeverRan(t *testing.T) {
	for name, c := range map[string]struct {
		first func(s *rawh2.Stream)
		again bool
	}{
		"refused stream":              {(*rawh2.Stream).Refuse, true},
		"goaway below it":             {(*rawh2.Stream).GoAway, true},
		"turned away, with the proof": {func(s *rawh2.Stream) { s.Only("14", "x-not-run", "1") }, true},
		"dies before it answers":      {(*rawh2.Stream).Break, false},
		"reset":                       {(*rawh2.Stream).Reset, false},
		"unavailable":                 {func(s *rawh2.Stream) { s.Only("14") }, false},
		"exhausted":                   {func(s *rawh2.Stream) { s.Only("8") }, false},
		"turned away, says 0":         {func(s *rawh2.Stream) { s.Only("14", "x-not-run", "0") }, false},
		"internal":                    {func(s *rawh2.Stream) { s.Only("13") }, false},
		"breaks in the answer":        {func(s *rawh2.Stream) { s.Header(); s.Break() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			members, came := two(t, func(s *rawh2.Stream, before int32) {
				if before == 0 {
					c.first(s)
				} else {
					s.OK(okMessage)
				}
			})
			p := start(t, testConfig(members))
			text, err := ask(p, t.Context(), book, "seat")
			if c.again && (err != nil || text != "ok" || came.Load() != 2) {
				t.Errorf("%q, %v after %d copies", text, err, came.Load())
			}
			_, refusal := RefusedFor(err)
			if !c.again && (err == nil || refusal || came.Load() != 1) {
				t.Errorf("%v after %d copies", err, came.Load())
			}
		})
	}
}

// A safe call goes on whatever broke, and grpc-go's own transparent retry is not among its attempts: each member gets
// one copy, and the module decides on all.
func TestTransparentRetryIsDenied(t *testing.T) {
	var mu sync.Mutex
	copies := map[string]int{}
	var list []Member
	for i := range 3 {
		list = append(list, Member{Zone: "a", Addr: rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Whole {
				mu.Lock()
				copies[fmt.Sprint(i)]++
				mu.Unlock()
				s.Refuse()
			}
		})})
	}
	cfg := testConfig(Static(list...))
	// None of these has a say.
	cfg.Dial = append(cfg.Dial, grpc.WithDefaultServiceConfig(`{"methodConfig":[{"name":[{}],"waitForReady":true,"retryPolicy":
		{"maxAttempts":5,"initialBackoff":"0.001s","maxBackoff":"0.001s","backoffMultiplier":1,"retryableStatusCodes":["UNAVAILABLE"]}}]}`),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)))
	p := start(t, cfg)
	_, err := ask(p, t.Context(), book, "seat", grpc.WaitForReady(true))
	if _, ok := RefusedFor(err); !ok {
		t.Errorf("%v, want a refusal: nothing ran", err)
	}
	mu.Lock()
	defer mu.Unlock()
	for member, n := range copies {
		if n != 1 {
			t.Errorf("member %s got %d copies", member, n)
		}
	}
	if len(copies) != cfg.Settings.MaxAttempts {
		t.Errorf("%d members were tried, %d attempts are allowed", len(copies), cfg.Settings.MaxAttempts)
	}
}

// An interceptor below the plug-in that retries by itself opens a second stream, too, but proves nothing: the call has
// run. Guards against taking it for grpc-go's transparent retry, and against what it would send.
func TestRetryingInterceptorProvesNothing(t *testing.T) {
	members, came := two(t, func(s *rawh2.Stream, before int32) {
		if before == 0 {
			s.Break()
		} else {
			s.OK(okMessage)
		}
	})
	cfg := testConfig(members)
	tries := 0
	cfg.Dial = append(cfg.Dial, grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		var err error
		for range 3 {
			tries++
			if err = invoke(ctx, method, req, reply, cc, opts...); err == nil {
				return nil
			}
		}
		return err
	}))
	p := start(t, cfg)
	_, err := ask(p, t.Context(), book, "seat")
	if _, refusal := RefusedFor(err); err == nil || refusal || came.Load() != 1 || tries != 3 {
		t.Errorf("%v after %d copies and %d tries", err, came.Load(), tries)
	}
}

// The application leaves while its request is being written: more than the windows let through, to a member that reads
// nothing. It gets its one result, nothing is sent elsewhere, and the attempt ends.
func TestCancelWhileWriting(t *testing.T) {
	headers, resets := make(chan bool, 10), make(chan bool, 10)
	var list []Member
	for range 2 {
		list = append(list, Member{Zone: "a", Addr: rawh2.Start(t, func(s *rawh2.Stream) {
			if len(s.Data) == 0 {
				headers <- true
			}
		}, rawh2.OnReset(func(*rawh2.Stream) { resets <- true }))})
	}
	cfg := testConfig(Static(list...))
	for i := range cfg.Settings.Classes { // nothing else ends the attempt within the test
		cfg.Settings.Classes[i].Deadline = 10 * testutil.Patience
	}
	p := start(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := ask(p, ctx, book, strings.Repeat("x", 1<<20))
		done <- err
	}()
	testutil.Receive(t, headers, "the attempt")
	cancel()
	if err := testutil.Receive(t, done, "the result"); status.Code(err) != codes.Canceled {
		t.Errorf("%v", err)
	}
	testutil.Receive(t, resets, "the attempt's end") // else the server goes on for nobody
	p.Close()
	if len(headers) > 0 {
		t.Error("it was sent again")
	}
}

// A stream that has delivered a message breaks: what the application has cannot be taken back, and nothing is tried
// again; one that breaks before is, where it may be.
func TestBrokenStream(t *testing.T) {
	for name, c := range map[string]struct {
		first  func(s *rawh2.Stream)
		copies int32
		want   []string
		ok     bool
	}{
		"after a message": {func(s *rawh2.Stream) { s.Header(); s.Message(okMessage); s.Break() }, 1, []string{"ok"}, false},
		"reset after one": {func(s *rawh2.Stream) { s.Header(); s.Message(okMessage); s.Refuse() }, 1, []string{"ok"}, false},
		"before any":      {func(s *rawh2.Stream) { s.Header(); s.Break() }, 2, []string{"ok", "ok"}, true},
		"refused":         {(*rawh2.Stream).Refuse, 2, []string{"ok", "ok"}, true},
		"none at all":     {func(s *rawh2.Stream) { s.Header(); s.End("0") }, 1, nil, true},
		"not found":       {func(s *rawh2.Stream) { s.Only("5") }, 1, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			members, came := two(t, func(s *rawh2.Stream, before int32) {
				if before == 0 {
					c.first(s)
					return
				}
				s.Header()
				s.Message(okMessage)
				s.Message(okMessage)
				s.End("0")
			})
			p := start(t, testConfig(members))
			got, err := read(p, t.Context(), "abc")
			if fmt.Sprint(got) != fmt.Sprint(c.want) || (err == nil) != c.ok || came.Load() != c.copies {
				t.Errorf("%q, %v after %d copies", got, err, came.Load())
			}
			if _, refusal := RefusedFor(err); refusal {
				t.Errorf("%v promises that nothing was done", err)
			}
		})
	}
}

// A message that cannot be read ends the stream for both sides: guards against one that goes on for nobody.
func TestUnreadableMessage(t *testing.T) {
	resets := make(chan bool, 10)
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Whole {
			s.Header()
			s.Message(okMessage)
			s.Message([]byte{0xff}) // no message of any kind
		}
	}, rawh2.OnReset(func(*rawh2.Stream) { resets <- true }))
	p := start(t, testConfig(Static(Member{Addr: addr, Zone: "a"})))
	got, err := read(p, t.Context(), "abc")
	if status.Code(err) != codes.Internal || len(got) != 1 {
		t.Errorf("%q, %v", got, err)
	}
	testutil.Receive(t, resets, "the stream's end")
}

// Waiting for a stream that was never made ends with its context.
func TestStreamWithoutRequest(t *testing.T) {
	p := start(t, testConfig(Static(Member{Addr: testutil.NoAddr})))
	ctx, cancel := context.WithCancel(t.Context())
	s, err := p.NewStream(ctx, &grpcnode.FollowDesc, follow)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := s.RecvMsg(new(wrapperspb.StringValue)); status.Code(err) != codes.Canceled {
		t.Error(err)
	}
}

// read makes a streaming call and reads it to its end.
func read(p grpc.ClientConnInterface, ctx context.Context, text string, opts ...grpc.CallOption) (got []string, err error) {
	s, err := p.NewStream(ctx, &grpcnode.FollowDesc, follow, opts...)
	if err != nil {
		return nil, err
	}
	if err := s.SendMsg(wrapperspb.String(text)); err != nil {
		return nil, err
	}
	s.CloseSend()
	for {
		var m wrapperspb.StringValue
		if err := s.RecvMsg(&m); err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return got, err
		}
		got = append(got, m.Value)
	}
}

// Two plug-ins in one process share nothing: one is closed under load, and every call of it ends with one result while
// the other serves on.
func TestOneOfTwoIsClosedUnderLoad(t *testing.T) {
	traffic := emulator.Generate(1, 100, time.Second)
	f := grpcFleet(t, emulator.MixedNodes(4), traffic)
	cfg := Config{Settings: bookingSettings(traffic), Members: Watch(f.Discovery.Addr()), Dial: testConfig(Members{}).Dial, Seed: 1}
	one := start(t, cfg)
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging, cfg.Seed = 2, false, 2
	other := start(t, cfg)
	half := len(traffic.Requests) / 2
	var closed, afterClose, otherAfter atomic.Int32
	run := func(p *Plugin, name string) *emulator.Report {
		return emulator.Replay(t.Context(), traffic, 10*time.Second, func(ctx context.Context, n int, c emulator.TrafficClass, r emulator.Request) emulator.Kind {
			if name == "one" && n == half {
				one.Close()
				closed.Add(1)
			}
			was := closed.Load() > 0
			_, err := ask(p, outgoing(ctx, fmt.Sprint(name, n), c, r), grpcnode.Do, "x")
			kind := kindOf(err)
			switch {
			case was && name == "one":
				if afterClose.Add(1); kind != emulator.Refused {
					t.Errorf("a call after Close: %v", err)
				}
			case was && kind == emulator.Served:
				otherAfter.Add(1)
			}
			return kind
		})
	}
	reports := make(chan *emulator.Report, 1)
	go func() { reports <- run(one, "one") }()
	second := run(other, "other")
	first := testutil.Receive(t, reports, "the closed one's calls")
	if n := len(traffic.Requests); first.Asked != n || second.Asked != n || first.Unanswered+second.Unanswered > 0 || afterClose.Load() == 0 {
		t.Errorf("%v; the other: %v; %d calls after Close", first, second, afterClose.Load())
	}
	if otherAfter.Load() == 0 {
		t.Error("the other one served nothing after the first was closed")
	}
	if broken := f.Ledger.Broken(); len(broken) > 0 {
		t.Error(broken)
	}
}
