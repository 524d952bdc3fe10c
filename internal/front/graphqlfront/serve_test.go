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

// runningFront is a Server that serves a listener on loopback.
type runningFront struct {
	server *Server
	addr   string
	stop   context.CancelFunc
	served chan error // receives the result of Serve
}

// startFront starts a front. It runs until stop is called or the test ends.
func startFront(t *testing.T, d Doer) *runningFront {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	front := &runningFront{
		server: newTestServer(t, d, func(c *Config) { c.Log = slog.New(slog.DiscardHandler) }),
		addr:   listener.Addr().String(),
		stop:   stop,
		served: make(chan error, 1),
	}
	go func() { front.served <- front.server.Serve(ctx, listener) }()
	return front
}

// startHangingFront starts a front whose calls get no result before their clients disconnect. Each call is sent to
// the channel calls when it begins, and to the channel aborted when its context ends.
func startHangingFront(t *testing.T) (front *runningFront, calls, aborted chan *engine.Call) {
	t.Helper()
	calls = make(chan *engine.Call, 10)
	aborted = make(chan *engine.Call, 10)
	front = startFront(t, contextDoer(func(ctx context.Context, c *engine.Call) engine.Result {
		calls <- c
		<-ctx.Done()
		aborted <- c
		return engine.Result{Kind: engine.Disconnected}
	}))
	return front, calls, aborted
}

// dial connects to the front. The connection is closed when the test ends.
func (f *runningFront) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may already have closed it
	return conn.(*net.TCPConn)
}

// write writes text to a connection.
func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

// post returns an HTTP request with the given document.
func post(document string) string {
	const header = "POST /graphql HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
	body := fmt.Sprintf(`{"query":%q}`, document)
	return fmt.Sprintf(header, len(body), body)
}

// contextDoer is a function that implements Doer.
type contextDoer func(ctx context.Context, c *engine.Call) engine.Result

func (d contextDoer) Do(ctx context.Context, c *engine.Call) engine.Result { return d(ctx, c) }

// A client closes only its sending half and can still read. It must not get a success, such as the empty 200 that
// net/http sends if a handler writes nothing.
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	calls := make(chan bool, 1)
	front := startFront(t, contextDoer(func(ctx context.Context, _ *engine.Call) engine.Result {
		calls <- true
		<-ctx.Done()
		return engine.Result{Kind: engine.Disconnected}
	}))
	conn := front.dial(t)
	write(t, conn, post("{a}"))
	testutil.Receive(t, calls, "the call")
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // the connection was closed without a response
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < 500 {
		t.Errorf("the client received status %s, want a 5xx status or a close", response.Status)
	}
}

// A request arrives after the stop, on a connection that was accepted before it. If the front called Shutdown, net/http
// would drop the request and close the connection. The request must be answered.
func TestRequestAfterStopIsAnswered(t *testing.T) {
	calls := make(chan bool, 2)
	release := make(chan bool)
	front := startFront(t, contextDoer(func(_ context.Context, c *engine.Call) engine.Result {
		calls <- true
		<-release
		return serveOnes(c)
	}))
	request := post("{a}")
	first := front.dial(t)
	later := front.dial(t)
	write(t, later, request[:10]) // the request has begun
	write(t, first, request)
	testutil.Receive(t, calls, "the first call")
	front.stop()
	testutil.Until(t, "the listener to close", func() bool {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", front.addr)
		if err == nil {
			_ = conn.Close() // the listener is still open; Until tries again
		}
		return err != nil
	})
	write(t, later, request[10:])
	close(release)
	for name, conn := range map[string]net.Conn{"first": first, "later": later} {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("reading the response to the %s request: %v", name, err)
			continue
		}
		if response.StatusCode != http.StatusOK || !response.Close {
			t.Errorf("the %s request: status %s, close %v; want 200 and a close", name, response.Status, response.Close)
		}
		_, _ = io.Copy(io.Discard, response.Body) // only the status matters
		_ = response.Body.Close()
	}
	if err := testutil.Receive(t, front.served, "the end of Serve"); err != nil {
		t.Error(err)
	}
}
