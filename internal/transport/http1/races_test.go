package http1

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
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

// These tests cover races between two events on a connection to an endpoint; docs/design/crossings.md lists them.

// While an attempt waits for a dial, its client disconnects, its call ends, or its endpoint drains, is removed or
// restarts; then the connection is established. A request on it would run for a disconnected client, or be reset by a
// stopping endpoint. Nothing may be written. The connection must be retained if other attempts can use it, and no slot
// may be lost.
func TestNothingIsWrittenAfterALateDial(t *testing.T) {
	for name, c := range map[string]struct {
		event func(p *Pool, x *exchange, disconnected *atomic.Bool, addr string)
		want  balancer.Result
		open  int // connection slots in use after the attempt
	}{
		"client disconnects": {
			func(_ *Pool, _ *exchange, disconnected *atomic.Bool, _ string) { disconnected.Store(true) },
			balancer.NotSent,
			1,
		},
		"call has its result": {
			func(_ *Pool, x *exchange, _ *atomic.Bool, _ string) { x.CancelUnsent() },
			balancer.Cancelled,
			0,
		},
		"endpoint drains": {
			func(p *Pool, _ *exchange, _ *atomic.Bool, addr string) {
				p.Update(false, drainingEndpoints(activeEndpoints(addr)), time.Now())
			},
			balancer.NotSent,
			0,
		},
		"endpoint is removed": {
			func(p *Pool, _ *exchange, _ *atomic.Bool, _ string) { p.Update(true, nil, time.Now()) },
			balancer.NotSent,
			0,
		},
		"endpoint restarts": {
			func(p *Pool, _ *exchange, _ *atomic.Bool, addr string) {
				p.Update(true, restartedEndpoints(addr), time.Now())
			},
			balancer.NotSent,
			0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var bytes atomic.Int32
			accepted := make(chan bool, 1)
			addr := testutil.ServeRaw(t, func(_ int, _ net.Conn, r *bufio.Reader) {
				accepted <- true
				if _, err := r.ReadByte(); err == nil {
					bytes.Add(1)
				}
			})
			p := testPool()
			addEndpoint(t, p, addr)
			dialling, proceed := make(chan bool), make(chan bool)
			p.dialer.Control = func(string, string, syscall.RawConn) error {
				dialling <- true
				<-proceed
				return nil
			}
			var disconnected atomic.Bool
			call := &engine.Call{Disconnected: disconnected.Load, Payload: newPayload()}
			x := p.Attempt("s", call, testutil.WaitTimeout).(*exchange)
			done := make(chan engine.Outcome, 1)
			go func() { done <- run(x) }()
			testutil.Receive(t, dialling, "the dial")
			c.event(p, x, &disconnected, addr)
			close(proceed)
			wantResult(t, testutil.Receive(t, done, "the outcome"), c.want)
			p.mu.Lock()
			open := p.openConns
			p.mu.Unlock()
			if bytes.Load() > 0 || open != c.open {
				t.Errorf("data arrived on %d connections, want 0; %d slots are in use, want %d",
					bytes.Load(), open, c.open)
			}
		})
	}
}

// newPayload returns the payload of a call.
func newPayload() *httpmsg.Request {
	return &httpmsg.Request{Method: "POST", URI: "/pay/x", Header: http.Header{}, Body: []byte("b")}
}

// restartedEndpoints returns a list with endpoint "s" as a new process at the same address.
func restartedEndpoints(addr string) []engine.Endpoint {
	list := activeEndpoints(addr)
	list[0].StartedAtMS = 1
	return list
}

// A client disconnects while its attempt waits for a connection slot, and the slot is granted at the same time. The
// slot must be passed to the next waiting exchange; otherwise the pool would have one usable connection less from then
// on.
func TestLateConnectionSlotIsPassedOn(t *testing.T) {
	received := make(chan net.Conn, 3)
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for testutil.ReadRequest(r) != nil {
			received <- conn
		}
	})
	p := testPool()
	p.maxConns, p.dialer.Timeout = 1, testutil.WaitTimeout
	e := addEndpoint(t, p, addr)
	first := make(chan engine.Outcome, 1)
	go func() { first <- run(p.newExchange(e, testutil.WaitTimeout, testRequest("POST"))) }()
	conn := testutil.Receive(t, received, "the first request")
	untilWaiters := func(n int) {
		t.Helper()
		testutil.Until(t, "the expected number of waiting exchanges", func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.waiters) == n
		})
	}
	var disconnected atomic.Bool
	outcomes := make(chan engine.Outcome, 2)
	attempt := func(c *engine.Call) {
		c.Payload = newPayload()
		x := p.Attempt("s", c, testutil.WaitTimeout)
		go func() { outcomes <- x.Run(nil) }()
	}
	attempt(&engine.Call{Disconnected: disconnected.Load})
	untilWaiters(1)
	attempt(new(engine.Call))
	untilWaiters(2)
	disconnected.Store(true)
	write(conn, testutil.OKResponse)
	wantResult(t, testutil.Receive(t, first, "the first outcome"), balancer.OK)
	wantResult(t, testutil.Receive(t, outcomes, "the outcome for the disconnected client"), balancer.NotSent)
	write(testutil.Receive(t, received, "the request of the other client"), testutil.OKResponse)
	wantResult(t, testutil.Receive(t, outcomes, "the outcome for the other client"), balancer.OK)
	if len(received) > 0 {
		t.Error("the request of the disconnected client was sent")
	}
}

// An endpoint sends a second response some milliseconds after the first. On a reused connection it would be mistaken
// for the answer to the next request, and a client would get another client's answer. The connection on which it
// arrived must not be reused. No connection may be reused until reuseDelay after its last response.
func TestUnsolicitedResponseIsNotUsed(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	const delay = 50 * time.Millisecond
	conns := make(chan net.Conn, 10)
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		var respondedAt time.Time
		for testutil.ReadRequest(r) != nil {
			if pause := time.Since(respondedAt); pause < delay {
				t.Errorf("a request arrived %v after the response before it, want at least %v", pause, delay)
			}
			respondedAt = time.Now()
			write(conn, testutil.OKResponse)
			conns <- conn
		}
	})
	p := testPool()
	p.reuseDelay = delay
	e := addEndpoint(t, p, addr)
	request := func() net.Conn {
		t.Helper()
		o := run(p.newExchange(e, testutil.WaitTimeout, testRequest("GET")))
		wantResult(t, o, balancer.OK)
		if got := bodyOf(o); got != "ok" {
			t.Errorf("a request got the body %q, want \"ok\"", got)
		}
		return testutil.Receive(t, conns, "the request")
	}
	first := request()
	if request() != first {
		t.Error("the second request used a new connection although no unsolicited data had arrived")
	}
	write(first, second)
	testutil.Until(t, "the second response", func() bool { return e.idle[0].peek() == netpeek.Readable })
	next := request()
	if next == first {
		t.Error("the connection with unsolicited data was reused")
	}
	if request() != next {
		t.Error("a request used a new connection although no unsolicited data had arrived on the one before")
	}
	if len(e.idle) != 1 || p.openConns != 1 {
		t.Errorf("%d idle connections and %d slots in use, want 1 and 1", len(e.idle), p.openConns)
	}
}

// Guards against a client that gets another client's answer: an endpoint sends a second copy of each answer 5 to 20 ms
// after it, unless a further request had arrived 4 ms before, which is the round trip of its link. Requests come at
// random times. Each must get the answer that was made for it, from the first one on.
func TestLateSecondResponseIsNotUsed(t *testing.T) {
	const pools, callers = 12, 4
	var all sync.WaitGroup
	for pool := range pools { // each has seen no unsolicited response before
		p := testPool()
		p.reuseDelay = 5 * maxCopyDelay // so that a busy machine does not delay a copy beyond it
		e := addEndpoint(t, p, endpointWithLateCopies(t))
		for caller := range callers {
			all.Go(func() { sendAndCheckAnswers(t, p, e, pool*callers+caller) })
		}
	}
	all.Wait()
}

// Times of TestLateSecondResponseIsNotUsed.
const (
	copyDelayStep = 5 * time.Millisecond
	copyDelays    = 4                 // the copies come after 1 to copyDelays times copyDelayStep
	maxCopyDelay  = 8 * copyDelayStep // on a busy machine; no copy is sent later
	linkRoundTrip = 4 * time.Millisecond
)

// endpointWithLateCopies starts an endpoint that answers each request with its ID, and then sends the answer again.
func endpointWithLateCopies(t *testing.T) (addr string) {
	return testutil.ServeRaw(t, func(connNumber int, conn net.Conn, r *bufio.Reader) {
		for number := connNumber; ; number++ {
			req := testutil.ReadRequest(r)
			if req == nil {
				return
			}
			id := req.Header.Get("X-Request-Id")
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			respondedAt := time.Now()
			write(conn, response)
			time.Sleep(time.Duration(1+number%copyDelays)*copyDelayStep - linkRoundTrip)
			if netpeek.Peek(conn) == netpeek.Idle && r.Buffered() == 0 {
				time.Sleep(linkRoundTrip)
				if time.Since(respondedAt) < maxCopyDelay {
					write(conn, response)
				}
			}
		}
	})
}

// sendAndCheckAnswers sends requests one after the other, at random times, and checks that each gets its own answer.
func sendAndCheckAnswers(t *testing.T, p *Pool, e *endpoint, caller int) {
	const requests = 6
	rng := rand.New(rand.NewPCG(uint64(caller), 0))
	for n := range requests {
		time.Sleep(time.Duration(rng.Int64N(int64(copyDelays * copyDelayStep))))
		id := fmt.Sprintf("%d-%d", caller, n)
		request := &httpmsg.Request{Method: "GET", URI: "/look/x", Header: http.Header{"X-Request-Id": {id}}}
		build := func(timeLeft time.Duration) *http.Request { return forwardedRequest(request, timeLeft) }
		o := run(p.newExchange(e, testutil.WaitTimeout, build))
		if o.Result != balancer.OK || bodyOf(o) != id {
			t.Errorf("request %s: result %v, answer %+v; want the answer %q", id, o.Result, o.Answer, id)
		}
	}
}

// A client disconnects while its request waits for the end of a reuseDelay. The connection must be retained, and not
// lose its slot, and nothing may be written.
func TestCancelledWaitForReuseKeepsTheConnection(t *testing.T) {
	received := make(chan bool, 2)
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for testutil.ReadRequest(r) != nil {
			received <- true
			write(conn, testutil.OKResponse)
		}
	})
	p := testPool()
	p.reuseDelay = testutil.WaitTimeout
	e := addEndpoint(t, p, addr)
	wantResult(t, run(p.newExchange(e, testutil.WaitTimeout, testRequest("POST"))), balancer.OK)
	testutil.Receive(t, received, "the first request")
	x := p.newExchange(e, testutil.WaitTimeout, testRequest("POST"))
	done := make(chan engine.Outcome, 1)
	go func() { done <- run(x) }()
	testutil.Until(t, "the second exchange to take the connection", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(e.idle) == 0
	})
	x.CancelUnsent()
	wantResult(t, testutil.Receive(t, done, "the outcome"), balancer.Cancelled)
	// An attempt that times out in this wait is not the endpoint's failure.
	wantResult(t, run(p.newExchange(e, 20*time.Millisecond, testRequest("POST"))), balancer.NotSent)
	if len(e.idle) != 1 || p.openConns != 1 || len(received) != 0 {
		t.Errorf("%d idle connections, %d slots in use, %d requests sent; want 1, 1 and 0",
			len(e.idle), p.openConns, len(received))
	}
}
