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

// TestMain checks that the tests leak no goroutine: Plugin.Close has to end all goroutines of a plug-in. It also runs
// the child process of TestHostPausesDoNotEjectEndpoints.
func TestMain(m *testing.M) {
	if os.Getenv(childDiscoveryEnv) != "" {
		runChild()
		return
	}
	goleak.VerifyTestMain(m)
}

// startTwoServers starts two endpoints. It passes each complete request to serve, with the number of complete requests
// that the two endpoints received before. It returns the endpoints and a counter of the complete requests.
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

// An attempt of a call that is not idempotent fails in each way that gRPC allows. A retry could execute the call twice.
// The call must be retried on another endpoint only if the failure proves that the first attempt was not executed.
func TestNonIdempotentCallIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for name, c := range map[string]struct {
		first   func(s *rawh2.Stream)
		retried bool
	}{
		"REFUSED_STREAM":                 {(*rawh2.Stream).Refuse, true},
		"GOAWAY with a lower stream ID":  {(*rawh2.Stream).GoAway, true},
		"trailer x-not-run 1":            {func(s *rawh2.Stream) { s.TrailersOnly("14", "x-not-run", "1") }, true},
		"disconnect before the response": {(*rawh2.Stream).CloseConn, false},
		"stream reset":                   {(*rawh2.Stream).Reset, false},
		"UNAVAILABLE":                    {func(s *rawh2.Stream) { s.TrailersOnly("14") }, false},
		"RESOURCE_EXHAUSTED":             {func(s *rawh2.Stream) { s.TrailersOnly("8") }, false},
		"trailer x-not-run 0":            {func(s *rawh2.Stream) { s.TrailersOnly("14", "x-not-run", "0") }, false},
		"INTERNAL":                       {func(s *rawh2.Stream) { s.TrailersOnly("13") }, false},
		"disconnect in the response":     {func(s *rawh2.Stream) { s.Header(); s.CloseConn() }, false},
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
				t.Errorf("response %q, error %v after %d attempts; want \"ok\" after 2 attempts",
					text, err, received.Load())
			}
			_, rejected := Rejected(err)
			if !c.retried && (err == nil || rejected || received.Load() != 1) {
				t.Errorf("error %v after %d attempts, want a failure that is no rejection, after 1 attempt",
					err, received.Load())
			}
		})
	}
}

// A call whose streams are refused is retried by the balancer, but not by grpc-go's transparent retry: each endpoint
// receives one attempt.
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
	// None of these options has an effect: the balancer alone decides on retries and waiting.
	cfg.DialOptions = append(
		cfg.DialOptions,
		grpc.WithDefaultServiceConfig(retryServiceConfig),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)),
	)
	p := start(t, cfg)
	_, err := invoke(t.Context(), p, book, "seat", grpc.WaitForReady(true))
	if _, ok := Rejected(err); !ok {
		t.Errorf("error %v, want a rejection, because no attempt was executed", err)
	}
	mu.Lock()
	defer mu.Unlock()
	for endpoint, n := range attempts {
		if n != 1 {
			t.Errorf("endpoint %s received %d attempts, want one", endpoint, n)
		}
	}
	if len(attempts) != cfg.Settings.MaxAttempts {
		t.Errorf("%d endpoints received attempts, want %d", len(attempts), cfg.Settings.MaxAttempts)
	}
}

// An interceptor in Config.DialOptions retries a call that may have run. grpc-go's transparent retry also opens a
// second stream, but only after an attempt that was not executed. The interceptor's retry must not be treated as
// transparent, and must not be sent.
func TestRetryOfInterceptorIsNotSent(t *testing.T) {
	endpoints, received := startTwoServers(t, func(s *rawh2.Stream, before int32) {
		if before == 0 {
			s.CloseConn()
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
		t.Errorf("error %v after %d attempts and %d tries of the interceptor, "+
			"want a failure that is no rejection, after 1 attempt and 3 tries",
			err, received.Load(), tries)
	}
}

// A call is cancelled while its request is being written. The request is larger than the HTTP/2 flow-control windows,
// and the endpoint does not read it, so that the attempt would wait forever. The call must end with CANCELLED, its
// attempt must be reset, and it must not be retried.
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
	for i := range cfg.Settings.Classes { // the deadline does not expire within the test
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
		t.Errorf("call that was cancelled while its request was written: error %v, want CANCELLED", err)
	}
	testutil.Receive(t, resets, "the attempt's reset") // without a reset, the server would continue the attempt
	_ = p.Close()                                      // the error is always nil
	if len(headers) > 0 {
		t.Error("the cancelled call was retried, want no retry")
	}
}

// A stream breaks. After a message was delivered, the stream must not be retried, because a retry would give the
// application messages of two attempts. Before the first message, the stream is retried if the call's class allows
// that.
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
		"breaks after a message":     {sendOneThen((*rawh2.Stream).CloseConn), 1, []string{"ok"}, false},
		"is refused after a message": {sendOneThen((*rawh2.Stream).Refuse), 1, []string{"ok"}, false},
		"breaks before a message": {
			func(s *rawh2.Stream) { s.Header(); s.CloseConn() },
			2,
			[]string{"ok", "ok"},
			true,
		},
		"is refused":             {(*rawh2.Stream).Refuse, 2, []string{"ok", "ok"}, true},
		"ends without a message": {func(s *rawh2.Stream) { s.Header(); s.End("0") }, 1, nil, true},
		"not found":              {func(s *rawh2.Stream) { s.TrailersOnly("5") }, 1, nil, false},
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
				t.Errorf("got messages %q, error %v, %d attempts; want messages %q, an error: %v, %d attempts",
					got, err, received.Load(), c.want, !c.ok, c.attempts)
			}
			if _, rejected := Rejected(err); rejected {
				t.Errorf("error %v is a rejection, want none, because an attempt was executed", err)
			}
		})
	}
}

// A message that cannot be decoded ends the stream, which must also be reset: otherwise the server would continue to
// send messages that nobody reads.
func TestUndecodableMessageEndsTheStream(t *testing.T) {
	resets := make(chan bool, 10)
	addr := rawh2.Start(t, func(s *rawh2.Stream) {
		if s.Complete {
			s.Header()
			s.Message(okMessage)
			s.Message([]byte{0xff}) // cannot be decoded as any message
		}
	}, rawh2.OnReset(func(*rawh2.Stream) { resets <- true }))
	p := start(t, testConfig(Static(Endpoint{Addr: addr, Zone: "a"})))
	got, err := readStream(t.Context(), p, "abc")
	if status.Code(err) != codes.Internal || len(got) != 1 {
		t.Errorf("messages %q, error %v; want one message and INTERNAL", got, err)
	}
	testutil.Receive(t, resets, "the stream's reset")
}

// An application calls RecvMsg on a stream for which it has not called SendMsg and CloseSend. Such a stream gets no
// result, so RecvMsg must return when the stream's context ends.
func TestStreamWithoutRequestEndsWithItsContext(t *testing.T) {
	p := start(t, testConfig(Static(Endpoint{Addr: testutil.UnusedAddr})))
	ctx, cancel := context.WithCancel(t.Context())
	s, err := p.NewStream(ctx, &grpcnode.FollowDesc, follow)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := s.RecvMsg(new(wrapperspb.StringValue)); status.Code(err) != codes.Canceled {
		t.Errorf("RecvMsg after the cancellation: error %v, want CANCELLED", err)
	}
}

// readStream makes a server-streaming call with a string as the request and returns the messages up to the end of the
// stream.
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

// Two plug-ins run in one process, and one of them is closed under load. If they shared state, Close could stop the
// other one or leave calls without a result. Each call of the closed plug-in must have one result, and the other
// plug-in must continue to serve calls.
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
	var otherServed atomic.Int32 // calls that the other plug-in served after Close
	run := func(p *Plugin, name string) *emulator.Report {
		do := func(ctx context.Context, n int, c emulator.TrafficClass, r emulator.Request) emulator.Outcome {
			if name == "one" && n == half {
				_ = one.Close() // the error is always nil
				closed.Store(true)
			}
			wasClosed := closed.Load()
			_, err := invoke(outgoingContext(ctx, fmt.Sprint(name, n), c, r), p, grpcnode.DoMethod, "x")
			outcome := outcomeOf(err)
			switch {
			case wasClosed && name == "one":
				if afterClose.Add(1); outcome != emulator.Rejected {
					t.Errorf("call after Close: error %v, want a rejection", err)
				}
			case wasClosed && outcome == emulator.Served:
				otherServed.Add(1)
			}
			return outcome
		}
		return emulator.Replay(t.Context(), traffic, 10*time.Second, do)
	}
	reports := make(chan *emulator.Report, 1)
	go func() { reports <- run(one, "one") }()
	second := run(other, "other")
	first := testutil.Receive(t, reports, "the report of the closed plug-in")
	n := len(traffic.Requests)
	if first.Sent != n || second.Sent != n || first.Unanswered+second.Unanswered > 0 || afterClose.Load() == 0 {
		t.Errorf("closed plug-in: %v; other plug-in: %v; want %d results each and no unanswered request; "+
			"%d calls after Close, want at least one", first, second, n, afterClose.Load())
	}
	if otherServed.Load() == 0 {
		t.Error("the other plug-in served no call after the first was closed, want at least one")
	}
	if violations := f.Rules.Violations(); len(violations) > 0 {
		t.Errorf("violations %v, want none", violations)
	}
}
