package graphqlfront

import (
	"context"
	"io"
	"net"
	"testing"

	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// disconnects are the ways in which a client disconnects. Write errors are ignored, because the front may already have
// closed the connection.
var disconnects = map[string]func(t *testing.T, conn *net.TCPConn){
	"FIN": func(t *testing.T, conn *net.TCPConn) {
		t.Helper()
		closeConn(t, conn)
	},
	"reset": func(t *testing.T, conn *net.TCPConn) {
		t.Helper()
		if err := conn.SetLinger(0); err != nil {
			t.Fatal(err)
		}
		closeConn(t, conn)
	},
	"FIN after more data": func(t *testing.T, conn *net.TCPConn) {
		t.Helper()
		_, _ = io.WriteString(conn, "POST /gra")
		closeConn(t, conn)
	},
	"FIN after much more data": func(t *testing.T, conn *net.TCPConn) {
		t.Helper()
		_, _ = conn.Write(make([]byte, 512<<10))
		closeConn(t, conn)
	},
}

// A client disconnects while parts of its request are in flight. A part that waits for a connection would be sent
// although no client waits for it. The call of each part must notice the disconnect.
func TestDisconnectIsNoticedByEachPart(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			front, calls, aborted := startHangingFront(t)
			conn := front.dial(t)
			write(t, conn, post("{a b s}"))
			for range 3 {
				if call := testutil.Receive(t, calls, "a call"); call.Disconnected() {
					t.Error("the call reports a disconnect while the client is connected")
				}
			}
			disconnect(t, conn)
			for range 3 {
				if call := testutil.Receive(t, aborted, "a call's end"); !call.Disconnected() {
					t.Error("the call does not report that its client has disconnected")
				}
			}
		})
	}
}

// A client disconnects during the first of two mutations. The event that reports the disconnect may be queued behind
// others, so the second mutation could start and have an effect that no client learns of. The front must check the
// connection itself and not start the second mutation.
func TestNoMutationAfterDisconnect(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			calls := make(chan *engine.Call, 10)
			release := make(chan bool)
			front := startFront(t, contextDoer(func(_ context.Context, c *engine.Call) engine.Result {
				calls <- c
				<-release // the call is served although its client has disconnected
				return serveOnes(c)
			}))
			conn := front.dial(t)
			write(t, conn, post(`mutation {one: n two: n}`))
			call := testutil.Receive(t, calls, "the first mutation")
			disconnect(t, conn)
			testutil.Until(t, "the disconnect", call.Disconnected)
			close(release)
			front.stop()
			if err := testutil.Receive(t, front.served, "the end of Serve"); err != nil {
				t.Error(err)
			}
			if len(calls) > 0 {
				t.Error("the second mutation was started")
			}
		})
	}
}
