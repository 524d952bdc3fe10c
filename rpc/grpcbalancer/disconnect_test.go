package grpcbalancer

import (
	"context"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/resolver/manual"
	"google.golang.org/grpc/status"

	"hazelwing/internal/emulator/rawh2"
	"hazelwing/internal/testutil"
)

// disconnectAllowance is the time after a client's disconnect within which the stream of an attempt may still be
// opened: the connection can get capacity for the stream at the same moment as the client disconnects
// (docs/design/crossings.md). Even then, no message may be sent on the stream.
const disconnectAllowance = 100 * time.Millisecond

// streamRecord is a stream as a server received it.
type streamRecord struct {
	stream     *rawh2.Stream
	requestID  string
	openedAt   time.Time // when the stream's headers were received
	hasMessage bool      // whether a part of the stream's message was received
}

// recordingServer is a server that records all streams. It responds to all complete requests except those with one
// request ID, whose streams it passes to the test.
type recordingServer struct {
	addr    string
	holdID  string             // request ID of the streams that are passed to the test
	holding chan *rawh2.Stream // the streams that are passed to the test

	mu      sync.Mutex
	records []streamRecord
}

func startRecordingServer(t *testing.T, holdID string, opts ...rawh2.Option) *recordingServer {
	t.Helper()
	s := &recordingServer{holdID: holdID, holding: make(chan *rawh2.Stream, 10)}
	s.addr = rawh2.Start(t, func(stream *rawh2.Stream) {
		s.record(stream)
		switch {
		case stream.Complete && stream.RequestID == s.holdID:
			s.holding <- stream
		case stream.Complete:
			stream.OK(okMessage)
		}
	}, opts...)
	return s
}

// record is called for the headers of a stream, and then for each frame of its message. The first call adds the stream;
// further calls record that a part of the message was received.
func (s *recordingServer) record(stream *rawh2.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.records, func(r streamRecord) bool { return r.stream == stream })
	if i < 0 {
		s.records = append(s.records, streamRecord{stream: stream, requestID: stream.RequestID, openedAt: time.Now()})
		return
	}
	s.records[i].hasMessage = true
}

// recordsOf returns the recorded streams with a request ID.
func (s *recordingServer) recordsOf(requestID string) (list []streamRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if r.requestID == requestID {
			list = append(list, r)
		}
	}
	return list
}

// goroutinesIn returns the stacks of all goroutines that have a function on their stack. The name of the function may
// be given without the leading directories of its package path.
func goroutinesIn(function string) (stacks []string) {
	all := make([]byte, 4<<20)
	all = all[:runtime.Stack(all, true)]
	for stack := range strings.SplitSeq(string(all), "\n\n") {
		if strings.Contains(stack, function+"(") {
			stacks = append(stacks, stack)
		}
	}
	return stacks
}

// streamWaitsForCapacity reports whether a goroutine in grpc-go is blocked until its connection has capacity for a new
// stream.
func streamWaitsForCapacity() bool {
	return slices.ContainsFunc(goroutinesIn("transport.(*http2Client).NewStream"), func(stack string) bool {
		header, _, _ := strings.Cut(stack, "\n")
		return strings.Contains(header, "[select") // the goroutine is blocked in the select, not runnable
	})
}

// blockingCredentials are per-call credentials. GetRequestMetadata notifies the test on the channel asked, and returns
// when the test sends on the channel release or closes it.
type blockingCredentials struct{ asked, release chan bool }

func (c blockingCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	c.asked <- true
	<-c.release
	return nil, nil
}
func (blockingCredentials) RequireTransportSecurity() bool { return false }

var _ credentials.PerRPCCredentials = blockingCredentials{}

// waitCase is a case of TestCancelledCallIsNotSent: a condition that a call waits for while its client disconnects.
type waitCase struct {
	cfg            Config
	servers        []*recordingServer
	opts           []grpc.CallOption
	prepare        func(p *Plugin) // called before the call is made; may be nil
	awaitBlocked   func(p *Plugin) // returns when the call is blocked
	unblock        func()          // ends the wait, after the disconnect
	attemptsBefore int             // number of attempts before the disconnect
	// mayOpenStream is true if the wait may end at the same time as the client disconnects. A stream may then be opened
	// within disconnectAllowance, but without a message.
	mayOpenStream bool
}

var waitCases = map[string]func(t *testing.T) *waitCase{
	"for an endpoint":                         waitForEndpoint,
	"for a connection":                        waitForConnection,
	"for its credentials":                     waitForCredentials,
	"for stream capacity":                     waitForStreamCapacity,
	"for stream capacity, freed at once":      waitForCrossingStreamCapacity,
	"for its check of the connection's limit": waitForStreamLimitCheck,
	"for its retry":                           waitForRetry,
}

func waitForEndpoint(t *testing.T) *waitCase {
	s := startRecordingServer(t, "")
	b := manual.NewBuilderWithScheme("fleet")
	return &waitCase{
		cfg:     testConfig(Resolver("fleet:///booking", b)),
		servers: []*recordingServer{s},
		awaitBlocked: func(p *Plugin) { // the call is blocked when a later call has ended at its deadline
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if _, err := invoke(ctx, p, look, "later"); err == nil {
				t.Error("call before the balancer has an endpoint: got a response, want an error")
			}
		},
		unblock: func() { b.UpdateState(resolver.State{Addresses: []resolver.Address{{Addr: s.addr}}}) },
	}
}

func waitForConnection(t *testing.T) *waitCase {
	s := startRecordingServer(t, "")
	dials, release := make(chan bool, 10), make(chan bool)
	cfg := testConfig(Static(Endpoint{Addr: s.addr}))
	dial := func(_ context.Context, addr string) (net.Conn, error) {
		dials <- true
		<-release
		return net.Dial("tcp", addr)
	}
	cfg.DialOptions = append(cfg.DialOptions, grpc.WithContextDialer(dial))
	return &waitCase{
		cfg:          cfg,
		servers:      []*recordingServer{s},
		awaitBlocked: func(*Plugin) { testutil.Receive(t, dials, "the dial") },
		unblock:      func() { close(release) },
	}
}

func waitForCredentials(t *testing.T) *waitCase {
	s := startRecordingServer(t, "")
	c := blockingCredentials{make(chan bool, 1), make(chan bool)}
	return &waitCase{
		cfg:          testConfig(Static(Endpoint{Addr: s.addr})),
		servers:      []*recordingServer{s},
		opts:         []grpc.CallOption{grpc.PerRPCCredentials(c)},
		awaitBlocked: func(*Plugin) { testutil.Receive(t, c.asked, "the call of the credentials") },
		unblock:      func() { close(c.release) },
	}
}

// waitForStreamCapacity returns the case of a call that waits for stream capacity on the connection. The capacity
// becomes free only after disconnectAllowance, and no stream may be opened then.
func waitForStreamCapacity(t *testing.T) *waitCase {
	w, held := newCapacityWait(t)
	w.unblock = func() {
		time.Sleep(disconnectAllowance)
		held().OK(okMessage)
	}
	return w
}

// waitForCrossingStreamCapacity returns the case of a call that waits for stream capacity. The capacity becomes free at
// about the same time as the client disconnects.
func waitForCrossingStreamCapacity(t *testing.T) *waitCase {
	w, held := newCapacityWait(t)
	w.unblock, w.mayOpenStream = func() { held().OK(okMessage) }, true
	return w
}

// waitForStreamLimitCheck returns the case of a client that disconnects after grpc-go has asked for the call's
// credentials. The order of the disconnect and of grpc-go's check for stream capacity is not determined.
func waitForStreamLimitCheck(t *testing.T) *waitCase {
	w, held := newCapacityWait(t)
	c := blockingCredentials{make(chan bool, 1), make(chan bool)}
	close(c.release)
	w.opts = []grpc.CallOption{grpc.PerRPCCredentials(c)}
	w.awaitBlocked = func(*Plugin) { testutil.Receive(t, c.asked, "the call of the credentials") }
	w.unblock, w.mayOpenStream = func() { held().OK(okMessage) }, true
	return w
}

func waitForRetry(t *testing.T) *waitCase {
	one, other := startRecordingServer(t, "disconnects"), startRecordingServer(t, "disconnects")
	var held *rawh2.Stream
	return &waitCase{
		cfg:            testConfig(Static(Endpoint{Addr: one.addr}, Endpoint{Addr: other.addr})),
		servers:        []*recordingServer{one, other},
		attemptsBefore: 1,
		awaitBlocked: func(*Plugin) {
			select {
			case held = <-one.holding:
			case held = <-other.holding:
			case <-time.After(testutil.WaitTimeout):
				t.Fatalf("no server received the first attempt within %v", testutil.WaitTimeout)
			}
		},
		unblock: func() { held.TrailersOnly("14", "x-not-run", "1") },
	}
}

// newCapacityWait returns a waitCase without unblock, for a call that waits for stream capacity on a connection. held
// returns the stream that takes all the capacity; a response on it frees the capacity.
func newCapacityWait(t *testing.T) (w *waitCase, held func() *rawh2.Stream) {
	t.Helper()
	s := startRecordingServer(t, "holds", rawh2.MaxStreams(1))
	var stream *rawh2.Stream
	w = &waitCase{
		cfg:     testConfig(Static(Endpoint{Addr: s.addr})),
		servers: []*recordingServer{s},
		prepare: func(p *Plugin) {
			go func() {
				// This call only takes the capacity; its result is not part of the test.
				_, _ = invoke(withRequestID(t.Context(), "holds"), p, look, "x")
			}()
			stream = testutil.Receive(t, s.holding, "the call that takes the capacity")
		},
		awaitBlocked: func(*Plugin) { testutil.Until(t, "the stream to wait for capacity", streamWaitsForCapacity) },
	}
	return w, func() *rawh2.Stream { return stream }
}

func withRequestID(ctx context.Context, id string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, requestIDKey, id)
}

// A call is cancelled while it waits for an endpoint, a connection, its credentials, stream capacity or a retry. If it
// were sent after that, an endpoint would execute it for a client that has disconnected, so its stream must not be
// opened. There is one exception: if the stream gets capacity in the moment of the cancellation, it may be opened
// within disconnectAllowance, but no message may follow.
func TestCancelledCallIsNotSent(t *testing.T) {
	for name, newCase := range waitCases {
		for kind, do := range map[string]func(ctx context.Context, p *Plugin, opts ...grpc.CallOption) error{
			"unary": func(ctx context.Context, p *Plugin, opts ...grpc.CallOption) error {
				_, err := invoke(ctx, p, book, "seat", opts...)
				return err
			},
			"stream": func(ctx context.Context, p *Plugin, opts ...grpc.CallOption) error {
				_, err := readStream(ctx, p, "abc", opts...)
				return err
			},
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				w := newCase(t)
				p := start(t, w.cfg)
				if w.prepare != nil {
					w.prepare(p)
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- do(withRequestID(ctx, "disconnects"), p, w.opts...) }()
				w.awaitBlocked(p)
				cancelledAt := time.Now()
				cancel()
				if err := testutil.Receive(t, done, "the result"); status.Code(err) != codes.Canceled {
					t.Errorf("cancelled call: error %v, want CANCELLED", err)
				}
				w.unblock()
				testutil.Until(t, "the attempts of the cancelled call to end", func() bool {
					return len(goroutinesIn("grpc.(*exchange).Run")) == 0
				})
				// When this call is served, the server has received everything that was written before it.
				if _, err := invoke(withRequestID(t.Context(), "connected"), p, look, "x"); err != nil {
					t.Errorf("call of a client that stays connected: error %v, want none", err)
				}
				w.check(t, cancelledAt)
			})
		}
	}
}

// check checks the streams and messages that the servers received for the call whose client disconnected.
func (w *waitCase) check(t *testing.T, disconnectedAt time.Time) {
	t.Helper()
	opened, messages, crossed := 0, 0, 0
	for _, s := range w.servers {
		for _, r := range s.recordsOf("disconnects") {
			opened++
			if r.hasMessage {
				messages++
			} else if w.mayOpenStream && r.openedAt.Sub(disconnectedAt) <= disconnectAllowance {
				crossed++
			}
		}
	}
	if opened-crossed != w.attemptsBefore {
		t.Errorf("%d streams were opened, %d of them without a message and within the allowance after the disconnect; "+
			"want %d besides these, all before the disconnect", opened, crossed, w.attemptsBefore)
	}
	if messages != w.attemptsBefore {
		t.Errorf("%d messages were sent, want %d, all before the disconnect", messages, w.attemptsBefore)
	}
}
