package httpfront

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/clientconn"
	"hazelwing/internal/httpmsg"
	"hazelwing/internal/testutil"
)

// Where two events cross at the client's side: docs/design/crossings.md has the table. Each test brings the bad order about by
// waiting for the one event before it lets the other happen.

// readAhead is what each client's connection may read ahead whatever others do: a request's size.
const readAhead = clientconn.MaxHeaderBytes + httpmsg.MaxBodyBytes

// ways are those in which a client leaves.
var disconnects = map[string]func(t *testing.T, c *net.TCPConn){
	"FIN": func(_ *testing.T, c *net.TCPConn) { c.Close() },
	"reset": func(_ *testing.T, c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	},
	"FIN behind more": func(t *testing.T, c *net.TCPConn) {
		if _, err := io.WriteString(c, "GET /look/more HTTP/1.1\r\n"); err != nil {
			t.Error(err)
		}
		c.Close()
	},
	"FIN behind much more": func(t *testing.T, c *net.TCPConn) {
		if _, err := c.Write(make([]byte, readAhead/2)); err != nil {
			t.Error(err)
		}
		c.Close()
	},
	"FIN behind far more than is read ahead at once": func(t *testing.T, c *net.TCPConn) {
		if _, err := c.Write(make([]byte, 6*readAhead)); err != nil {
			t.Error(err)
		}
		c.Close()
	},
}

// A client that leaves while its request is in hand is noticed, also behind bytes that nobody reads.
func TestDisconnectIsNoticed(t *testing.T) {
	for name, leave := range disconnects {
		for _, class := range []string{"look", "book"} {
			t.Run(name+" "+class, func(t *testing.T) {
				d := startFakeEngine(t)
				conn := d.dial(t).(*net.TCPConn)
				method, body := "GET", ""
				if class == "book" {
					method, body = "POST", "seat"
				}
				d.request(t, method, class, "1", body).Write(conn)
				c := testutil.Receive(t, d.calls, "the call")
				leave(t, conn)
				if testutil.Receive(t, d.disconnected, "the leaving") != c || !c.Disconnected() {
					t.Error("the call does not tell that its client left")
				}
			})
		}
	}
}

// What a client sends ahead of its turn is not lost with the reading on.
func TestPipelinedRequestsAreServed(t *testing.T) {
	d := startFakeEngine(t)
	conn := d.dial(t)
	r := bufio.NewReader(conn)
	d.request(t, "GET", "look", "1", "").Write(conn)
	testutil.Receive(t, d.calls, "the first call")
	d.request(t, "POST", "book", "2", "seat").Write(conn)
	d.request(t, "GET", "look", "3", "").Write(conn)
	for i := range 3 {
		if i > 0 {
			testutil.Receive(t, d.calls, "the next call")
		}
		d.results <- servedResult("ok")
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(body) != "ok" || err != nil {
			t.Errorf("answer %d: %s %q %v", i, resp.Status, body, err)
		}
	}
}

// A client that closes its sending half alone can still read: what it gets must be no success. Guards against the empty 200
// that net/http sends where a handler writes nothing.
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	d := startFakeEngine(t)
	conn := d.dial(t).(*net.TCPConn)
	d.request(t, "POST", "book", "1", "seat").Write(conn)
	testutil.Receive(t, d.calls, "the call")
	conn.CloseWrite()
	testutil.Receive(t, d.disconnected, "the leaving")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusGatewayTimeout || !resp.Close {
		t.Errorf("%s, close %v, want 504 and an end", resp.Status, resp.Close)
	}
}

// At the stop what waits between two requests is closed at once, while a client whose request crosses that can come again;
// what has begun to send is not closed, and newcomers are let in.
func TestStopClosesIdleConnectionsAndAcceptsNewOnes(t *testing.T) {
	heard := make(chan bool, 10)
	r := startFront(t, func(context.Context, *engine.Call) engine.Result {
		heard <- true
		return servedResult("ok")
	}, 100)
	ask := func(conn net.Conn, id string) *bufio.Reader {
		b := bufio.NewReader(conn)
		r.request(t, "GET", "look", id, "").Write(conn)
		if resp, err := http.ReadResponse(b, nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		} else {
			io.Copy(io.Discard, resp.Body)
		}
		testutil.Receive(t, heard, "the call")
		return b
	}
	idle, busy := r.dial(t), r.dial(t)
	fromIdle, fromBusy := ask(idle, "1"), ask(busy, "2")
	io.WriteString(busy, "G") // its next request has begun: it is read, or waits to be
	r.stop()
	if _, err := fromIdle.ReadByte(); err != io.EOF {
		t.Errorf("the connection that waited: %v, want its end", err)
	}
	ask(r.dial(t), "3")
	io.WriteString(busy, "ET /look/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 4\r\nX-Class: look\r\nX-Deadline-Ms: 1000\r\n\r\n")
	resp, err := http.ReadResponse(fromBusy, nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the one that had begun: %+v, %v", resp, err)
	}
}

// What hangs is answered before SIGKILL may come, whatever its deadline; and what comes later still is refused at once.
func TestStopAnswersHangingRequests(t *testing.T) {
	for name, longest := range map[string]time.Duration{"short deadlines": 300 * time.Millisecond, "long ones": time.Minute} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // it waits in real time
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			calls := make(chan bool, 10)
			s := New(doerFunc(func(ctx context.Context, _ *engine.Call) engine.Result {
				calls <- true
				<-ctx.Done() // its upstream hangs
				return engine.Result{Kind: engine.Disconnected}
			}), []balancer.Class{{Name: "look", Deadline: longest}})
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			r := &testFront{url: "http://" + l.Addr().String()}
			go func() { ended <- s.Serve(ctx, l, 100, slog.New(slog.DiscardHandler)) }()
			first, second := r.dial(t), r.dial(t)
			r.request(t, "GET", "look", "1", "").Write(first)
			testutil.Receive(t, calls, "the call")
			io.WriteString(second, "GET") // keeps its connection open
			stop()
			begun := time.Now()
			resp, err := http.ReadResponse(bufio.NewReader(first), nil)
			kill := killGrace + min(longest, maxKillDelay)
			if err != nil || resp.StatusCode != http.StatusGatewayTimeout || time.Since(begun) > kill {
				t.Errorf("%+v, %v after %v, want 504 before %v", resp, err, time.Since(begun), kill)
			}
			if longest < maxKillDelay { // the half request is given up by its own time otherwise
				io.WriteString(second, " /look/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 2\r\nX-Class: look\r\nX-Deadline-Ms: 300\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(second), nil)
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(calls) > 0 {
					t.Errorf("the later one: %+v, %v, %d calls", resp, err, len(calls))
				}
			}
			second.Close()
			if err := testutil.Receive(t, ended, "the end"); err != nil {
				t.Error(err)
			}
		})
	}
}
