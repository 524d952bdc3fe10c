package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/httpmsg"
	"hazelwing/internal/netpeek"
	"hazelwing/internal/testutil"
)

// Where two events cross at a connection to an upstream: docs/design/crossings.md has the table.

// A client leaves, or a drain is told, while its attempt waits for a dial: the connection comes up, and nothing is written to
// it. It is kept where others may use it, and no place is lost.
func TestNothingIsWrittenAfterALateDial(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(p *Pool, x *exchange, left *atomic.Bool, addr string)
		want    balancer.Result
		open    int
	}{
		"its client left":   {func(_ *Pool, _ *exchange, left *atomic.Bool, _ string) { left.Store(true) }, balancer.NotSent, 1},
		"it has its answer": {func(_ *Pool, x *exchange, _ *atomic.Bool, _ string) { x.CancelUnsent() }, balancer.Cancelled, 0},
		"the upstream drains": {func(p *Pool, _ *exchange, _ *atomic.Bool, a string) {
			p.Update(false, drainingEndpoints(activeEndpoints(a)), time.Now())
		}, balancer.NotSent, 0},
		"it is gone": {func(p *Pool, _ *exchange, _ *atomic.Bool, _ string) { p.Update(true, nil, time.Now()) }, balancer.NotSent, 0},
		"another is there by now": {func(p *Pool, _ *exchange, _ *atomic.Bool, a string) {
			p.Update(true, restartedEndpoints(a), time.Now())
		}, balancer.NotSent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var bytes atomic.Int32
			accepted := make(chan bool, 1)
			addr := testutil.Raw(t, func(_ int, _ net.Conn, r *bufio.Reader) {
				accepted <- true
				if _, err := r.ReadByte(); err == nil {
					bytes.Add(1)
				}
			})
			p := testPool()
			knownUpstream(t, p, addr)
			dialling, up := make(chan bool), make(chan bool)
			p.dialer.Control = func(string, string, syscall.RawConn) error {
				dialling <- true
				<-up
				return nil
			}
			var left atomic.Bool
			call := &engine.Call{Disconnected: left.Load, Payload: &httpmsg.Request{Method: "POST", URI: "/pay/x", Header: http.Header{}, Body: []byte("b")}}
			x := p.Attempt("s", call, testutil.Patience).(*exchange)
			done := make(chan engine.Outcome, 1)
			go func() { done <- run(x) }()
			testutil.Receive(t, dialling, "the dial")
			c.happens(p, x, &left, addr)
			close(up)
			wantResult(t, testutil.Receive(t, done, "the outcome"), c.want)
			p.mu.Lock()
			open := p.openConns
			p.mu.Unlock()
			if bytes.Load() > 0 || open != c.open {
				t.Errorf("%d requests were begun, %d places are taken, want %d", bytes.Load(), open, c.open)
			}
		})
	}
}

// reborn lists upstream "s" as another process.
func restartedEndpoints(addr string) []engine.Endpoint {
	m := activeEndpoints(addr)
	m[0].StartedAtMS = 1
	return m
}

// The same for a place among the open connections: who waited for it hands it on.
func TestLateConnectionSlotIsPassedOn(t *testing.T) {
	came := make(chan net.Conn, 3)
	addr := testutil.Raw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for testutil.ReadRequest(r) != nil {
			came <- conn
		}
	})
	p := testPool()
	p.maxConns, p.dialer.Timeout = 1, testutil.Patience
	u := knownUpstream(t, p, addr)
	first := make(chan engine.Outcome, 1)
	go func() { first <- run(p.newExchange(u, testutil.Patience, testRequest("POST"))) }()
	conn := testutil.Receive(t, came, "the first request")
	waits := func(n int) {
		testutil.Until(t, "the waiting", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.waiters) == n
		})
	}
	var left atomic.Bool
	outcomes := make(chan engine.Outcome, 2)
	attempt := func(c *engine.Call) {
		c.Payload = &httpmsg.Request{Method: "POST", URI: "/pay/x", Header: http.Header{}, Body: []byte("b")}
		x := p.Attempt("s", c, testutil.Patience)
		go func() { outcomes <- x.Run(nil) }()
	}
	attempt(&engine.Call{Disconnected: left.Load})
	waits(1)
	attempt(new(engine.Call))
	waits(2)
	left.Store(true)
	io.WriteString(conn, testutil.OKAnswer)
	wantResult(t, testutil.Receive(t, first, "the first outcome"), balancer.OK)
	wantResult(t, testutil.Receive(t, outcomes, "the outcome of the one that left"), balancer.NotSent)
	io.WriteString(testutil.Receive(t, came, "the other's request"), testutil.OKAnswer)
	wantResult(t, testutil.Receive(t, outcomes, "the other's outcome"), balancer.OK)
	if len(came) > 0 {
		t.Error("the one that left was sent on")
	}
}

// A second answer that comes after the first is no answer to the next request. Where it has come the connection is not used
// again, and from then on connections are left alone for as long as one may still come.
func TestUnsolicitedResponseIsNotUsed(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	conns := make(chan net.Conn, 10)
	addr := testutil.Raw(t, func(n int, conn net.Conn, r *bufio.Reader) {
		for i := 0; testutil.ReadRequest(r) != nil; i++ {
			if n == 1 && i > 0 {
				io.WriteString(conn, second) // to the first request here, late, and taken for this one's if that was written here
			} else {
				io.WriteString(conn, testutil.OKAnswer)
			}
			conns <- conn
		}
	})
	p := testPool()
	p.settleTime = testutil.Patience
	u := knownUpstream(t, p, addr)
	ask := func() net.Conn {
		t.Helper()
		o := run(p.newExchange(u, testutil.Patience, testRequest("GET")))
		wantResult(t, o, balancer.OK)
		if got := string(o.Answer.(*httpmsg.Response).Body); got != "ok" {
			t.Errorf("a request got %q", got)
		}
		return testutil.Receive(t, conns, "the request")
	}
	first := ask()
	if ask() != first {
		t.Error("a second connection where nothing speaks for it")
	}
	io.WriteString(first, second)
	testutil.Until(t, "the second answer", func() bool { return u.idle[0].peek() == netpeek.Readable })
	next := ask()
	if next == first {
		t.Error("the connection that has spoken unasked is used again")
	}
	if ask() == next {
		t.Error("the next request followed at once where a second answer may come")
	}
	if len(u.idle) != 2 || p.openConns != 2 {
		t.Errorf("%d idle connections and %d places, want 2", len(u.idle), p.openConns)
	}
}
