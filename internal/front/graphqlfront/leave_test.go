package graphqlfront

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/engine"
	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/testutil"
)

// leavings are the ways in which a client leaves.
var leavings = map[string]func(c *net.TCPConn){
	"FIN":                 func(c *net.TCPConn) { c.Close() },
	"reset":               func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"FIN behind more":     func(c *net.TCPConn) { io.WriteString(c, "POST /gra"); c.Close() },
	"FIN behind far more": func(c *net.TCPConn) { c.Write(make([]byte, 512<<10)); c.Close() },
}

func post(query string) string {
	body := fmt.Sprintf(`{"query":%q}`, query)
	return fmt.Sprintf("POST /graphql HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A client that leaves while parts of its request are in hand is noticed, and each of them tells so: none that waits is sent.
func TestLeavingIsNoticedByEachPart(t *testing.T) {
	for name, leave := range leavings {
		t.Run(name, func(t *testing.T) {
			calls, left := make(chan *engine.Call, 10), make(chan *engine.Call, 10)
			f := serve(t, contextDoer(func(ctx context.Context, c *engine.Call) engine.Result {
				calls <- c
				<-ctx.Done()
				left <- c
				return engine.Result{Kind: engine.Disconnected}
			}))
			conn := f.dial(t)
			io.WriteString(conn, post("{a b s}"))
			for range 3 {
				if c := testutil.Receive(t, calls, "a part"); c.Disconnected() {
					t.Error("it has left before it did")
				}
			}
			leave(conn)
			for range 3 {
				if c := testutil.Receive(t, left, "the leaving"); !c.Disconnected() {
					t.Error("the call does not tell that its client left")
				}
			}
		})
	}
}

// Of mutations, which go one after the other, none is begun for a client that left during the one before, whatever the event that
// tells of its leaving waits behind: the connection is looked at.
func TestNoMutationAfterTheLeaving(t *testing.T) {
	for name, leave := range leavings {
		t.Run(name, func(t *testing.T) {
			calls, release := make(chan *engine.Call, 10), make(chan bool)
			f := serve(t, contextDoer(func(_ context.Context, c *engine.Call) engine.Result {
				calls <- c
				<-release // it is answered, though its client has left
				return served(c)
			}))
			conn := f.dial(t)
			io.WriteString(conn, post(`mutation {one: n two: n}`))
			c := testutil.Receive(t, calls, "the first mutation")
			leave(conn)
			testutil.Until(t, "the leaving", c.Disconnected)
			close(release)
			f.stop()
			if err := testutil.Receive(t, f.ended, "the front's end"); err != nil {
				t.Error(err)
			}
			if len(calls) > 0 {
				t.Error("the second one was begun")
			}
		})
	}
}

// A part that several share goes on while one of them is there, and not for nobody.
func TestSharedPartEndsWithTheLastToLeave(t *testing.T) {
	calls, left := make(chan *engine.Call, 10), make(chan *engine.Call, 10)
	var s *Server
	f := serveWith(t, contextDoer(func(ctx context.Context, c *engine.Call) engine.Result {
		calls <- c
		<-ctx.Done()
		left <- c
		return engine.Result{Kind: engine.Disconnected}
	}), &s)
	first, second := f.dial(t), f.dial(t)
	io.WriteString(first, post("{s}"))
	c := testutil.Receive(t, calls, "the part")
	io.WriteString(second, strings.Replace(post("{s}"), "Host: h", "Host: h\r\nX-Deadline-Ms: 30000", 1)) // not longer than the first
	testutil.Until(t, "the second to share it", func() bool { return s.State().Shared == 1 })
	first.Close()
	testutil.Until(t, "the first one's end", func() bool { return s.flights.waiting() == 1 })
	if len(left) > 0 || c.Disconnected() {
		t.Error("it ended with the first")
	}
	second.Close()
	if testutil.Receive(t, left, "the leaving") != c || !c.Disconnected() {
		t.Error("the call does not tell that all have left")
	}
	if len(calls) > 0 {
		t.Error("it was begun anew for nobody")
	}
}

// waiting is how many wait, over all flights.
func (f *flights) waiting() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.list {
		x.mu.Lock()
		n += len(x.waiters)
		x.mu.Unlock()
	}
	return n
}

// Who joins in the instant in which all others have left does not take over their end: he asks anew.
func TestJoiningWhatEndsForNobody(t *testing.T) {
	f := flights{list: map[string]*flight{}}
	end := time.Now().Add(testutil.WaitTimeout)
	here, gone := func() bool { return false }, func() bool { return true }
	looked, let := make(chan bool), make(chan bool)
	_, _ = f.join("k", end, gone, func(_ context.Context, left func() bool) (plan.Outcome, bool) {
		nobody := left()
		looked <- true
		<-let
		return plan.Outcome{Kind: plan.OutcomeUnknown}, nobody
	})
	<-looked
	x, shared := f.join("k", end, here, nil)
	close(let)
	if _, ok := x.wait(t.Context(), end); ok || !shared {
		t.Errorf("it has the end of others for its own: shared %v, an outcome %v", shared, ok)
	}
	anew, shared := f.join("k", end, here, func(context.Context, func() bool) (plan.Outcome, bool) { return plan.Outcome{Reason: "anew"}, false })
	if o, ok := anew.wait(t.Context(), end); shared || !ok || !strings.Contains(o.Reason, "anew") {
		t.Errorf("%+v", o)
	}
}
