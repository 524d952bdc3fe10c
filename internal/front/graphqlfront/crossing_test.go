package graphqlfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// serving is a front on loopback.
type serving struct {
	addr  string
	stop  context.CancelFunc
	ended chan error
}

func serve(t *testing.T, d Doer) *serving { return serveWith(t, d, new(*Server)) }

// serveWith sets at to the front.
func serveWith(t *testing.T, d Doer, at **Server) *serving {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(t, nil, func(c *Config) { c.Doer, c.Log = d, slog.New(slog.DiscardHandler) })
	*at = s
	ctx, stop := context.WithCancel(t.Context())
	f := &serving{addr: l.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() { f.ended <- s.Serve(ctx, l) }()
	return f
}

func (f *serving) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

const body = `{"query":"{a}"}`

var asking = fmt.Sprintf("POST /graphql HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)

// contextDoer is an engine that a function stands in for.
type contextDoer func(ctx context.Context, c *engine.Call) engine.Result

func (d contextDoer) Do(ctx context.Context, c *engine.Call) engine.Result { return d(ctx, c) }

// A client that closes its sending half alone can still read: it gets no success that nobody made. Guards against the empty
// 200 that net/http sends where a handler writes nothing.
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	calls := make(chan bool, 1)
	f := serve(t, contextDoer(func(ctx context.Context, c *engine.Call) engine.Result {
		calls <- true
		<-ctx.Done()
		return engine.Result{Kind: engine.Disconnected}
	}))
	conn := f.dial(t)
	io.WriteString(conn, asking)
	testutil.Receive(t, calls, "the call")
	conn.CloseWrite()
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode < 500 {
		t.Errorf("it got %s", resp.Status)
	}
}

// What is asked after the stop on a connection that stayed open is answered: it was accepted.
func TestStopAnswersWhatComesLater(t *testing.T) {
	calls, release := make(chan bool, 2), make(chan bool)
	f := serve(t, contextDoer(func(_ context.Context, c *engine.Call) engine.Result {
		calls <- true
		<-release
		return served(c)
	}))
	first, later := f.dial(t), f.dial(t)
	io.WriteString(later, asking[:10]) // has begun
	io.WriteString(first, asking)
	testutil.Receive(t, calls, "the first call")
	f.stop()
	testutil.Until(t, "the listener's end", func() bool {
		c, err := net.Dial("tcp", f.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	io.WriteString(later, asking[10:])
	close(release)
	for name, conn := range map[string]net.Conn{"first": first, "later": later} {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("the %s one: %v", name, err)
			continue
		}
		if resp.StatusCode != 200 || !resp.Close {
			t.Errorf("the %s one: %s, close %v", name, resp.Status, resp.Close)
		}
		io.Copy(io.Discard, resp.Body)
	}
	if err := testutil.Receive(t, f.ended, "the end"); err != nil {
		t.Error(err)
	}
}
