package httpfront

import (
	"bufio"
	"context"
	"errors"
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

// These tests cover races between two events on a client's connection; docs/design/crossings.md lists them. Each test
// forces the critical order: it waits for the first event before it triggers the second.

// readAhead is the number of bytes that each connection may always read ahead: the maximum size of a request.
const readAhead = clientconn.MaxHeaderBytes + httpmsg.MaxBodyBytes

// disconnects are the ways in which a client disconnects.
var disconnects = map[string]func(t *testing.T, c *net.TCPConn){
	"FIN": func(_ *testing.T, c *net.TCPConn) { c.Close() },
	"reset": func(_ *testing.T, c *net.TCPConn) {
		_ = c.SetLinger(0) // fails only on a closed connection
		c.Close()
	},
	"FIN after more data": func(t *testing.T, c *net.TCPConn) {
		if _, err := io.WriteString(c, "GET /look/more HTTP/1.1\r\n"); err != nil {
			t.Error(err)
		}
		c.Close()
	},
	"FIN after much more data": func(t *testing.T, c *net.TCPConn) {
		if _, err := c.Write(make([]byte, readAhead/2)); err != nil {
			t.Error(err)
		}
		c.Close()
	},
	"FIN after more data than is read ahead at once": func(t *testing.T, c *net.TCPConn) {
		if _, err := c.Write(make([]byte, 6*readAhead)); err != nil {
			t.Error(err)
		}
		c.Close()
	},
}

// A client disconnects while its request is open, by FIN or reset, or after unread data. If this goes unnoticed, the
// request may be retried although no client waits for it. The request's context must end.
func TestDisconnectIsNoticed(t *testing.T) {
	for name, disconnect := range disconnects {
		for _, class := range []string{"look", "book"} {
			t.Run(name+" "+class, func(t *testing.T) {
				d := startFakeEngine(t)
				conn := d.dial(t).(*net.TCPConn)
				method, body := "GET", ""
				if class == "book" {
					method, body = "POST", "seat"
				}
				send(t, conn, d.request(t, method, class, "1", body))
				c := testutil.Receive(t, d.calls, "the call")
				disconnect(t, conn)
				if ended := testutil.Receive(t, d.disconnected, "the disconnect"); ended != c {
					t.Errorf("the context of call %+v ended, want the context of call %+v to end", ended, c)
				}
				if !c.Disconnected() {
					t.Error("the call does not report that its client disconnected")
				}
			})
		}
	}
}

// A client sends further requests before the response to an earlier one. The front reads them ahead in order to notice
// a disconnect. They must not be lost: each must be served in turn.
func TestPipelinedRequestsAreServed(t *testing.T) {
	d := startFakeEngine(t)
	conn := d.dial(t)
	r := bufio.NewReader(conn)
	send(t, conn, d.request(t, "GET", "look", "1", ""))
	testutil.Receive(t, d.calls, "the first call")
	send(t, conn, d.request(t, "POST", "book", "2", "seat"))
	send(t, conn, d.request(t, "GET", "look", "3", ""))
	for i := range 3 {
		if i > 0 {
			testutil.Receive(t, d.calls, "the next call")
		}
		d.results <- servedResult("ok")
		got, err := readReply(r)
		if err != nil {
			t.Fatal(err)
		}
		if got.status != 200 || got.body != "ok" {
			t.Errorf("response %d: %+v, want status 200 and body \"ok\"", i, got)
		}
	}
}

// A client that closes only its sending half can still read. It must not get a success, such as the empty 200 that
// net/http sends if a handler writes nothing.
func TestHalfClosedClientGetsNoSuccess(t *testing.T) {
	d := startFakeEngine(t)
	conn := d.dial(t).(*net.TCPConn)
	send(t, conn, d.request(t, "POST", "book", "1", "seat"))
	testutil.Receive(t, d.calls, "the call")
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	testutil.Receive(t, d.disconnected, "the disconnect")
	got, err := readReply(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusGatewayTimeout || !got.close {
		t.Errorf("status %d, close %v, want 504 and a close", got.status, got.close)
	}
}

// The program stops while connections are idle after a response. If they were closed together with the listener, a
// client whose request is written during the close could not reconnect, and its request would be lost. Idle connections
// must be closed immediately, while new ones are still accepted. Connections on which a request has begun to arrive
// must stay open.
func TestStopClosesIdleConnectionsAndAcceptsNewOnes(t *testing.T) {
	received := make(chan bool, 10)
	r := startFront(t, func(context.Context, *engine.Call) engine.Result {
		received <- true
		return servedResult("ok")
	}, 100)
	request := func(conn net.Conn, id string) *bufio.Reader {
		t.Helper()
		reader := bufio.NewReader(conn)
		send(t, conn, r.request(t, "GET", "look", id, ""))
		if got, err := readReply(reader); err != nil || got.status != 200 {
			t.Fatalf("response %+v, error %v; want status 200", got, err)
		}
		testutil.Receive(t, received, "the call")
		return reader
	}
	idle, busy := r.dial(t), r.dial(t)
	fromIdle, fromBusy := request(idle, "1"), request(busy, "2")
	sendText(t, busy, "G") // the next request begins to arrive
	r.stop()
	if _, err := fromIdle.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read from the idle connection: error %v, want EOF", err)
	}
	request(r.dial(t), "3")
	sendText(t, busy, "ET /look/x HTTP/1.1\r\nHost: h\r\n")
	sendText(t, busy, "X-Request-Id: 4\r\nX-Class: look\r\nX-Deadline-Ms: 1000\r\n\r\n")
	got, err := readReply(fromBusy)
	if err != nil || got.status != 200 || !got.close {
		t.Errorf("connection with a request: response %+v, error %v; want status 200 and a close", got, err)
	}
}

// The program stops while endpoints hang. Requests that are open at SIGKILL are reset, and their clients do not learn
// the outcome. Open requests must be cancelled and answered before the earliest SIGKILL, whatever their deadlines.
// Requests that arrive after the cancellation must be rejected immediately.
func TestStopAnswersHangingRequests(t *testing.T) {
	for name, deadline := range map[string]time.Duration{
		"short deadlines": 300 * time.Millisecond,
		"long deadlines":  time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // this test waits in real time
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			calls := make(chan bool, 10)
			s := New(doerFunc(func(ctx context.Context, _ *engine.Call) engine.Result {
				calls <- true
				<-ctx.Done() // the endpoint hangs
				return engine.Result{Kind: engine.Disconnected}
			}), []balancer.Class{{Name: "look", Deadline: deadline}})
			ctx, stop := context.WithCancel(t.Context())
			served := make(chan error, 1)
			r := &testFront{url: "http://" + l.Addr().String()}
			go func() { served <- s.Serve(ctx, l, 100, slog.New(slog.DiscardHandler)) }()
			first, second := r.dial(t), r.dial(t)
			send(t, first, r.request(t, "GET", "look", "1", ""))
			testutil.Receive(t, calls, "the call")
			sendText(t, second, "GET") // keeps the connection open
			stop()
			start := time.Now()
			got, err := readReply(bufio.NewReader(first))
			kill := killGrace + min(deadline, maxKillDelay)
			if err != nil || got.status != http.StatusGatewayTimeout || time.Since(start) > kill {
				t.Errorf("response %+v, error %v after %v; want 504 before %v", got, err, time.Since(start), kill)
			}
			if deadline < maxKillDelay { // otherwise headerTimeout ends the incomplete request first
				sendText(t, second, " /look/x HTTP/1.1\r\nHost: h\r\n")
				sendText(t, second, "X-Request-Id: 2\r\nX-Class: look\r\nX-Deadline-Ms: 300\r\n\r\n")
				got, err := readReply(bufio.NewReader(second))
				if err != nil || got.status != http.StatusServiceUnavailable || len(calls) > 0 {
					t.Errorf("later request: response %+v, error %v, %d calls; want 503 and 0 calls",
						got, err, len(calls))
				}
			}
			second.Close()
			if err := testutil.Receive(t, served, "the end of Serve"); err != nil {
				t.Error(err)
			}
		})
	}
}
