package grpcbalancer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
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

// No test leaves a goroutine behind: a plug-in that is closed has ended all of its own.
func TestMain(m *testing.M) {
	if os.Getenv(childDiscoveryEnv) != "" {
		runChild()
		return
	}
	goleak.VerifyTestMain(m)
}

// startTwoServers starts two endpoints that behave alike. Each complete request is counted and passed to serve, with the
// number of those that either has received before.
func startTwoServers(t *testing.T, serve func(s *rawh2.Stream, before int32)) (EndpointSource, *atomic.Int32) {
	t.Helper()
	received := new(atomic.Int32)
	var list []Endpoint
	for range 2 {
		list = append(list, Endpoint{Zone: "a", Addr: rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Complete {
				serve(s, received.Add(1)-1)
			}
		})})
	}
	return Static(list...), received
}

var okMessage = []byte("\n\x02ok") // StringValue{"ok"}

// retryServiceConfig is a service configuration that makes grpc-go wait and retry.
const retryServiceConfig = `{"methodConfig":[{"name":[{}],"waitForReady":true,"retryPolicy":
	{"maxAttempts":5,"initialBackoff":"0.001s","maxBackoff":"0.001s","backoffMultiplier":1,
	"retryableStatusCodes":["UNAVAILABLE"]}}]}`

// An attempt of a call that is not idempotent ends in each of the ways that gRPC has. Retried after one that may have
// run, its effect would come about twice: it is retried on another endpoint only where the outcome proves that it never
// ran.
func TestNonIdempotentCallIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for name, c := range map[string]struct {
		first   func(s *rawh2.Stream)
		retried bool
	}{
		"refused stream":          {(*rawh2.Stream).Refuse, true},
		"goaway below it":         {(*rawh2.Stream).GoAway, true},
		"not-run trailer":         {func(s *rawh2.Stream) { s.TrailersOnly("14", "x-not-run", "1") }, true},
		"breaks before the reply": {(*rawh2.Stream).Break, false},
		"reset":                   {(*rawh2.Stream).Reset, false},
		"unavailable":             {func(s *rawh2.Stream) { s.TrailersOnly("14") }, false},
		"resource exhausted":      {func(s *rawh2.Stream) { s.TrailersOnly("8") }, false},
		"not-run trailer of 0":    {func(s *rawh2.Stream) { s.TrailersOnly("14", "x-not-run", "0") }, false},
		"internal":                {func(s *rawh2.Stream) { s.TrailersOnly("13") }, false},
		"breaks in the reply":     {func(s *rawh2.Stream) { s.Header(); s.Break() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			endpoints, received := startTwoServers(t, func(s *rawh2.Stream, before int32) {
				if before == 0 {
					c.first(s)
				} else {
					s.OK(okMessage)
				}
			})
			p := start(t, testConfig(endpoints))
			text, err := invoke(t.Context(), p, book, "seat")
			if c.retried && (err != nil || text != "ok" || received.Load() != 2) {
				t.Errorf("%q, %v after %d attempts", text, err, received.Load())
			}
			_, rejected := Rejected(err)
			if !c.retried && (err == nil || rejected || received.Load() != 1) {
				t.Errorf("%v after %d attempts", err, received.Load())
			}
		})
	}
}

// A call whose streams are refused is retried by the balancer, and grpc-go's transparent retry is not among its
// attempts: each endpoint receives one.
func TestTransparentRetryIsDisabled(t *testing.T) {
	var mu sync.Mutex
	attempts := map[string]int{}
	var list []Endpoint
	for i := range 3 {
		list = append(list, Endpoint{Zone: "a", Addr: rawh2.Start(t, func(s *rawh2.Stream) {
			if s.Complete {
				mu.Lock()
				attempts[fmt.Sprint(i)]++
				mu.Unlock()
				s.Refuse()
			}
		})})
	}
	cfg := testConfig(Static(list...))
	// None of these options has an effect.
	cfg.DialOptions = append(
		cfg.DialOptions,
		grpc.WithDefaultServiceConfig(retryServiceConfig),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)),
	)
	p := start(t, cfg)
	_, err := invoke(t.Context(), p, book, "seat", grpc.WaitForReady(true))
	if _, ok := Rejected(err); !ok {
		t.Errorf("%v, want a rejection: nothing ran", err)
	}
	mu.Lock()
	defer mu.Unlock()
	for endpoint, n := range attempts {
		if n != 1 {
			t.Errorf("endpoint %s received %d attempts", endpoint, n)
		}
	}
	if len(attempts) != cfg.Settings.MaxAttempts {
		t.Errorf("%d endpoints received attempts, %d are allowed", len(attempts), cfg.Settings.MaxAttempts)
	}
}

// An interceptor among Config.DialOptions that retries by itself opens a second stream too, but that proves nothing:
// the call may have run. The retry must not be taken for a transparent one of grpc-go, and must not be sent.
func TestRetryOfInterceptorIsNotSent(t *testing.T) {
	endpoints, received := startTwoServers(t, func(s *rawh2.Stream, before int32) {
		if before == 0 {
			s.Break()
		} else {
			s.OK(okMessage)
		}
	})
	cfg := testConfig(endpoints)
	tries := 0
	retry := func(
		ctx context.Context, method string, request, response any,
		conn *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		var err error
		for range 3 {
			tries++
			if err = next(ctx, method, request, response, conn, opts...); err == nil {
				return nil
			}
		}
		return err
	}
	cfg.DialOptions = append(cfg.DialOptions, grpc.WithUnaryInterceptor(retry))
	p := start(t, cfg)
	_, err := invoke(t.Context(), p, book, "seat")
	if _, rejected := Rejected(err); err == nil || rejected || received.Load() != 1 || tries != 3 {
		t.Errorf("%v after %d attempts and %d tries", err, received.Load(), tries)
	}
}

// A call is cancelled while its request is being written: more than HTTP/2's windows allow, to an endpoint that reads
// nothing. An attempt that goes on would wait for good, and a retry run for nobody: the call must have its one result,
// must not be retried, and the attempt must end.
func TestCancelWhileWriting(t *testing.T) {
	headers, resets := make(chan bool, 10), make(chan bool, 10)
	var list []Endpoint
	for range 2 {
		list = append(list, Endpoint{Zone: "a", Addr: rawh2.Start(t, func(s *rawh2.Stream) {
			if len(s.Data) == 0 {
				headers <- true
			}
		}, rawh2.OnReset(func(*rawh2.Stream) { resets <- true }))})
	}
	cfg := testConfig(Static(list...))
	for i := range cfg.Settings.Classes { // does not expire within the test
		cfg.Settings.Classes[i].Deadline = 10 * testutil.WaitTimeout
	}
	p := start(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := invoke(ctx, p, book, strings.Repeat("x", 1<<20))
		done <- err
	}()
	testutil.Receive(t, headers, "the attempt")
	cancel()
	if err := testutil.Receive(t, done, "the result"); status.Code(err) != codes.Canceled {
		t.Errorf("%v", err)
	}
	testutil.Receive(t, resets, "the attempt's reset") // without it the server would go on
	_ = p.Close()                                      // always nil
	if len(headers) > 0 {
		t.Error("it was retried")
	}
}

// A stream breaks. Retried after a message was delivered, the application would get messages of two attempts: it must
// not be, since the message cannot be taken back. One that breaks before is retried if its class allows that.
func TestStreamIsRetriedOnlyBeforeItsFirstMessage(t *testing.T) {
	sendOneThen := func(end func(*rawh2.Stream)) func(*rawh2.Stream) {
		return func(s *rawh2.Stream) {
			s.Header()
			s.Message(okMessage)
			end(s)
		}
	}
	for name, c := range map[string]struct {
		first    func(s *rawh2.Stream)
		attempts int32
		want     []string
		ok       bool
	}{
		"breaks after a message":     {sendOneThen((*rawh2.Stream).Break), 1, []string{"ok"}, false},
		"is refused after a message": {sendOneThen((*rawh2.Stream).Refuse), 1, []string{"ok"}, false},
		"breaks before a message":    {func(s *rawh2.Stream) { s.Header(); s.Break() }, 2, []string{"ok", "ok"}, true},
		"is refused":                 {(*rawh2.Stream).Refuse, 2, []string{"ok", "ok"}, true},
		"ends without a message":     {func(s *rawh2.Stream) { s.Header(); s.End("0") }, 1, nil, true},
		"not found":                  {func(s *rawh2.Stream) { s.TrailersOnly("5") }, 1, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			endpoints, received := startTwoServers(t, func(s *rawh2.Stream, before int32) {
				if before == 0 {
					c.first(s)
					return
				}
				s.Header()
				s.Message(okMessage)
				s.Message(okMessage)
				s.End("0")
			})
			p := start(t, testConfig(endpoints))
			got, err := readStream(t.Context(), p, "abc")
			if fmt.Sprint(got) != fmt.Sprint(c.want) || (err == nil) != c.ok || received.Load() != c.attempts {
				t.Errorf("%q, %v after %d attempts", got, err, received.Load())
			}
			if _, rejected := Rejected(err); rejected {
				t.Errorf("%v is a rejection, which promises that nothing was done", err)
			}
		})
	}
}

// A message that cannot be decoded ends the stream on both sides: the server must not go on with a stream that nobody
// reads.
func TestUndecodableMessageEndsTheStream(t *testing.T) {
	resets := make(chan bool, 10)
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Complete {
			s.Header()
			s.Message(okMessage)
			s.Message([]byte{0xff}) // no message of any kind
		}
	}, rawh2.OnReset(func(*rawh2.Stream) { resets <- true }))
	p := start(t, testConfig(Static(Endpoint{Addr: addr, Zone: "a"})))
	got, err := readStream(t.Context(), p, "abc")
	if status.Code(err) != codes.Internal || len(got) != 1 {
		t.Errorf("%q, %v", got, err)
	}
	testutil.Receive(t, resets, "the stream's reset")
}

// An application waits in RecvMsg for a stream whose call it never started. Nothing would end the wait: it must end
// with the stream's context.
func TestStreamWithoutRequestEndsWithItsContext(t *testing.T) {
	p := start(t, testConfig(Static(Endpoint{Addr: testutil.UnusedAddr})))
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

// readStream makes a server-streaming call with a string and returns the messages up to the stream's end.
func readStream(
	ctx context.Context, conn grpc.ClientConnInterface, text string, opts ...grpc.CallOption,
) (got []string, err error) {
	s, err := conn.NewStream(ctx, &grpcnode.FollowDesc, follow, opts...)
	if err != nil {
		return nil, err
	}
	if err := s.SendMsg(wrapperspb.String(text)); err != nil {
		return nil, err
	}
	if err := s.CloseSend(); err != nil {
		return nil, err
	}
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

// Two plug-ins run in one process, and one is closed under load. Shared state would take the other down with it, or
// leave calls without an end: each call of the closed one must have one result, and the other continue to serve.
func TestCloseUnderLoadDoesNotAffectAnotherPlugin(t *testing.T) {
	traffic := emulator.Generate(1, 100, time.Second)
	f := newGRPCFleet(t, emulator.MixedNodes(4), traffic)
	cfg := Config{
		Settings:    bookingSettings(traffic),
		Endpoints:   Watch(f.Discovery.Addr()),
		DialOptions: insecureDialOptions(),
		Seed:        1,
	}
	one := start(t, cfg)
	cfg.Settings.MaxAttempts, cfg.Settings.Hedging, cfg.Seed = 2, false, 2
	other := start(t, cfg)
	half := len(traffic.Requests) / 2
	var closed atomic.Bool
	var afterClose atomic.Int32  // calls of the closed plug-in after Close
	var otherServed atomic.Int32 // calls after Close that the other served
	run := func(p *Plugin, name string) *emulator.Report {
		do := func(ctx context.Context, n int, c emulator.TrafficClass, r emulator.Request) emulator.Outcome {
			if name == "one" && n == half {
				_ = one.Close() // always nil
				closed.Store(true)
			}
			wasClosed := closed.Load()
			_, err := invoke(outgoingContext(ctx, fmt.Sprint(name, n), c, r), p, grpcnode.DoMethod, "x")
			kind := outcomeOf(err)
			switch {
			case wasClosed && name == "one":
				if afterClose.Add(1); kind != emulator.Rejected {
					t.Errorf("a call after Close: %v", err)
				}
			case wasClosed && kind == emulator.Served:
				otherServed.Add(1)
			}
			return kind
		}
		return emulator.Replay(t.Context(), traffic, 10*time.Second, do)
	}
	reports := make(chan *emulator.Report, 1)
	go func() { reports <- run(one, "one") }()
	second := run(other, "other")
	first := testutil.Receive(t, reports, "the report of the closed one")
	n := len(traffic.Requests)
	if first.Sent != n || second.Sent != n || first.Unanswered+second.Unanswered > 0 || afterClose.Load() == 0 {
		t.Errorf("%v; the other: %v; %d calls after Close", first, second, afterClose.Load())
	}
	if otherServed.Load() == 0 {
		t.Error("the other one served nothing after the first was closed")
	}
	if broken := f.Rules.Violations(); len(broken) > 0 {
		t.Error(broken)
	}
}
