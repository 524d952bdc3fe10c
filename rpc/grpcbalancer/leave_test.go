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

// leaveAllowance is the time after a client's leaving within which an attempt may still begin: its leaving and the room for its
// stream may cross (docs/design/crossings.md). A message may not follow even then.
const leaveAllowance = 100 * time.Millisecond

// arrival is a stream as the server saw it.
type arrival struct {
	stream  *rawh2.Stream
	id      string
	at      time.Time // of its headers
	message bool      // any of its message has come
}

// server notes streams as their headers and messages come, and answers all but those that it is to keep.
type server struct {
	addr string
	keep string
	kept chan *rawh2.Stream

	mu       sync.Mutex
	arrivals []arrival
}

func startServer(t *testing.T, keep string, opts ...rawh2.Option) *server {
	t.Helper()
	s := &server{keep: keep, kept: make(chan *rawh2.Stream, 10)}
	s.addr = rawh2.Start(t, func(st *rawh2.Stream) {
		s.note(st)
		switch {
		case st.Whole && st.RequestID == s.keep:
			s.kept <- st
		case st.Whole:
			st.OK(okMessage)
		}
	}, opts...)
	return s
}

// note is told of a stream's headers, and of each frame of its message.
func (s *server) note(st *rawh2.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.arrivals, func(a arrival) bool { return a.stream == st })
	if i < 0 {
		s.arrivals = append(s.arrivals, arrival{stream: st, id: st.RequestID, at: time.Now()})
		return
	}
	s.arrivals[i].message = true
}

// came returns what came of a call.
func (s *server) came(id string) (list []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.id == id {
			list = append(list, a)
		}
	}
	return list
}

// goroutines returns the stacks of all goroutines that are in a function, by a part of its name.
func goroutines(function string) (stacks []string) {
	all := make([]byte, 4<<20)
	all = all[:runtime.Stack(all, true)]
	for stack := range strings.SplitSeq(string(all), "\n\n") {
		if strings.Contains(stack, function+"(") {
			stacks = append(stacks, stack)
		}
	}
	return stacks
}

// waitsForRoom says whether grpc-go holds back a stream until there is room for it on its connection.
func waitsForRoom() bool {
	return slices.ContainsFunc(goroutines("transport.(*http2Client).NewStream"), func(stack string) bool {
		header, _, _ := strings.Cut(stack, "\n")
		return strings.Contains(header, "[select") // not runnable: it stands in the select
	})
}

// waitingCredentials are a call's own: they say when they are asked, and wait to be let.
type waitingCredentials struct{ asked, let chan bool }

func (c waitingCredentials) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	c.asked <- true
	<-c.let
	return nil, nil
}
func (waitingCredentials) RequireTransportSecurity() bool { return false }

var _ credentials.PerRPCCredentials = waitingCredentials{}

// wait is something that a call waits for.
type wait struct {
	cfg     Config
	servers []*server
	opts    []grpc.CallOption
	before  func(p *Plugin) // what is made first; may be nil
	waits   func(p *Plugin) // returns once the call waits
	ends    func()          // ends the wait
	sent    int             // attempts before its context ended
	crosses bool            // the wait's end and the leaving may cross: an attempt without a message may begin in the allowance
}

var waits = map[string]func(t *testing.T) *wait{
	"for a member": func(t *testing.T) *wait {
		s := startServer(t, "")
		b := manual.NewBuilderWithScheme("fleet")
		return &wait{cfg: testConfig(Resolver("fleet:///booking", b)), servers: []*server{s},
			waits: func(p *Plugin) { // what comes later has been taken, and given up
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				if _, err := ask(p, ctx, look, "later"); err == nil {
					t.Error("a call was answered by nobody")
				}
			},
			ends: func() { b.UpdateState(resolver.State{Addresses: []resolver.Address{{Addr: s.addr}}}) }}
	},
	"for a connection": func(t *testing.T) *wait {
		s := startServer(t, "")
		dials, let := make(chan bool, 10), make(chan bool)
		cfg := testConfig(Static(Member{Addr: s.addr}))
		cfg.Dial = append(cfg.Dial, grpc.WithContextDialer(func(_ context.Context, addr string) (net.Conn, error) {
			dials <- true
			<-let
			return net.Dial("tcp", addr)
		}))
		return &wait{cfg: cfg, servers: []*server{s}, waits: func(*Plugin) { testutil.Receive(t, dials, "the dial") }, ends: func() { close(let) }}
	},
	"for its credentials": func(t *testing.T) *wait {
		s := startServer(t, "")
		c := waitingCredentials{make(chan bool, 1), make(chan bool)}
		return &wait{cfg: testConfig(Static(Member{Addr: s.addr})), servers: []*server{s}, opts: []grpc.CallOption{grpc.PerRPCCredentials(c)},
			waits: func(*Plugin) { testutil.Receive(t, c.asked, "the credentials' turn") }, ends: func() { close(c.let) }}
	},
	// A call that waits for room is told that its client has left, and begins nothing after the allowance.
	"for room on the connection": func(t *testing.T) *wait {
		w, held := waitForRoom(t)
		w.ends = func() {
			time.Sleep(leaveAllowance)
			held().OK(okMessage)
		}
		return w
	},
	"for room that comes as it leaves": func(t *testing.T) *wait {
		w, held := waitForRoom(t)
		w.ends, w.crosses = func() { held().OK(okMessage) }, true
		return w
	},
	// It leaves between its credentials and grpc-go's look for room: whichever is first.
	"for its turn at a connection without room": func(t *testing.T) *wait {
		w, held := waitForRoom(t)
		c := waitingCredentials{make(chan bool, 1), make(chan bool)}
		close(c.let)
		w.opts = []grpc.CallOption{grpc.PerRPCCredentials(c)}
		w.waits = func(*Plugin) { testutil.Receive(t, c.asked, "its turn") }
		w.ends, w.crosses = func() { held().OK(okMessage) }, true
		return w
	},
	"for its retry": func(t *testing.T) *wait {
		one, other := startServer(t, "leaves"), startServer(t, "leaves")
		var held *rawh2.Stream
		return &wait{cfg: testConfig(Static(Member{Addr: one.addr}, Member{Addr: other.addr})), servers: []*server{one, other}, sent: 1,
			waits: func(*Plugin) {
				select {
				case held = <-one.kept:
				case held = <-other.kept:
				case <-time.After(testutil.Patience):
					t.Fatal("waited in vain for the first attempt")
				}
			},
			ends: func() { held.Only("14", "x-not-run", "1") }}
	},
}

// waitForRoom makes the wait for room on a connection, but for its end: answering the stream that keeps the room.
func waitForRoom(t *testing.T) (w *wait, held func() *rawh2.Stream) {
	s := startServer(t, "keeps", rawh2.MaxStreams(1))
	var keeps *rawh2.Stream
	return &wait{cfg: testConfig(Static(Member{Addr: s.addr})), servers: []*server{s},
		before: func(p *Plugin) {
			go ask(p, named(t.Context(), "keeps"), look, "x")
			keeps = testutil.Receive(t, s.kept, "the call that keeps the room")
		},
		waits: func(*Plugin) { testutil.Until(t, "the stream to wait for room", waitsForRoom) },
	}, func() *rawh2.Stream { return keeps }
}

func named(ctx context.Context, id string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, idKey, id)
}

// A call whose context was cancelled while it waited for anything is not sent on, first or again: its stream is not opened. Only
// where room for the stream comes in the moment of the leaving may it be, within the allowance, and no message follows.
func TestCancelledCallIsNotSent(t *testing.T) {
	for name, makeWait := range waits {
		for kind, do := range map[string]func(p *Plugin, ctx context.Context, opts ...grpc.CallOption) error{
			"unary": func(p *Plugin, ctx context.Context, opts ...grpc.CallOption) error {
				_, err := ask(p, ctx, book, "seat", opts...)
				return err
			},
			"stream": func(p *Plugin, ctx context.Context, opts ...grpc.CallOption) error {
				_, err := read(p, ctx, "abc", opts...)
				return err
			},
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				w := makeWait(t)
				p := start(t, w.cfg)
				if w.before != nil {
					w.before(p)
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- do(p, named(ctx, "leaves"), w.opts...) }()
				w.waits(p)
				left := time.Now()
				cancel()
				if err := testutil.Receive(t, done, "the result"); status.Code(err) != codes.Canceled {
					t.Errorf("%v", err)
				}
				w.ends()
				testutil.Until(t, "its attempts to end", func() bool { return len(goroutines("grpc.(*exchange).Run")) == 0 })
				// What was written before this call's stream has come when it is answered.
				if _, err := ask(p, named(t.Context(), "stays"), look, "x"); err != nil {
					t.Errorf("the call that stays: %v", err)
				}
				w.check(t, left)
			})
		}
	}
}

// check looks at what came of the call whose client left.
func (w *wait) check(t *testing.T, left time.Time) {
	t.Helper()
	opened, messages, crossed := 0, 0, 0
	for _, s := range w.servers {
		for _, a := range s.came("leaves") {
			opened++
			if a.message {
				messages++
			} else if w.crosses && a.at.Sub(left) <= leaveAllowance {
				crossed++
			}
		}
	}
	if opened-crossed != w.sent {
		t.Errorf("%d attempts were begun, %d of them after it had left", opened, opened-w.sent)
	}
	if messages != w.sent {
		t.Errorf("%d messages were sent, %d of them after it had left", messages, messages-w.sent)
	}
}
