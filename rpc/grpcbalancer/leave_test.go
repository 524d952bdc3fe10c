package grpcbalancer

import (
	"context"
	"net"
	"slices"
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

// server notes the ids of streams as their headers come, and answers all but those that it is to keep.
type server struct {
	addr string
	keep string
	kept chan *rawh2.Stream

	mu  sync.Mutex
	ids []string
}

func startServer(t *testing.T, keep string, opts ...rawh2.Option) *server {
	t.Helper()
	s := &server{keep: keep, kept: make(chan *rawh2.Stream, 10)}
	s.addr = rawh2.Start(t, func(st *rawh2.Stream) {
		switch {
		case !st.Whole && len(st.Data) == 0:
			s.mu.Lock()
			s.ids = append(s.ids, st.RequestID)
			s.mu.Unlock()
		case st.Whole && st.RequestID == s.keep:
			s.kept <- st
		case st.Whole:
			st.OK(okMessage)
		}
	}, opts...)
	return s
}

func (s *server) came() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ids)
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
	"for room on the connection": func(t *testing.T) *wait {
		s := startServer(t, "keeps", rawh2.MaxStreams(1))
		c := waitingCredentials{make(chan bool, 1), make(chan bool)}
		close(c.let)
		var held *rawh2.Stream
		return &wait{cfg: testConfig(Static(Member{Addr: s.addr})), servers: []*server{s}, opts: []grpc.CallOption{grpc.PerRPCCredentials(c)},
			before: func(p *Plugin) {
				go ask(p, named(t.Context(), "keeps"), look, "x")
				held = testutil.Receive(t, s.kept, "the call that keeps the room")
			},
			waits: func(*Plugin) { testutil.Receive(t, c.asked, "its turn") }, ends: func() { held.OK(okMessage) }}
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

func named(ctx context.Context, id string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, idKey, id)
}

// A call whose context was cancelled while it waited for anything is not sent on, first or again: its stream is not opened.
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
				cancel()
				if err := testutil.Receive(t, done, "the result"); status.Code(err) != codes.Canceled {
					t.Errorf("%v", err)
				}
				w.ends()
				if _, err := ask(p, named(t.Context(), "stays"), look, "x"); err != nil {
					t.Errorf("the call that stays: %v", err)
				}
				sent := 0
				for _, s := range w.servers {
					for _, id := range s.came() {
						if id == "leaves" {
							sent++
						}
					}
				}
				if sent != w.sent {
					t.Errorf("%d attempts were begun, %d of them after it had left", sent, sent-w.sent)
				}
			})
		}
	}
}
