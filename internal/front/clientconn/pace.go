package clientconn

import (
	"runtime"
	"time"

	"golang.org/x/time/rate"

	"hazelwing/internal/netpeek"
)

// Limits on work for which no endpoint is asked: requests that the sidecar answers itself, and connections. Such work
// costs processor time only, so nothing else slows down a client that sends it at full speed.
const (
	// UnforwardedPerSecond is the number of requests per second, for each core, that all connections together may have
	// answered without an attempt. A higher value lets such requests take more processor time from the others; a lower
	// one delays the clients of an overloaded sidecar more between two rejections.
	UnforwardedPerSecond = 1000
	// unforwardedBurst is the number of such requests that are not delayed after a quiet time.
	unforwardedBurst = 64
	// ownUnforwardedPerSecond is the number of such requests per second that a connection may have without taking part
	// of UnforwardedPerSecond. It keeps an ordinary client, which is rejected now and then, from waiting behind clients
	// at full speed.
	ownUnforwardedPerSecond = 2
	// ownUnforwardedBurst is the number of such requests that a connection may have at once.
	ownUnforwardedBurst = 4
	// acceptedPerSecond is the number of connections per second, for each core, that are accepted. With a higher value,
	// clients that connect again and again take more processor time; with a lower one, new clients wait longer behind
	// them.
	acceptedPerSecond = 2000
	// closedPerAccepted is the number of connections that their clients have closed before they are accepted, and that
	// count as one accepted connection. A lower value empties a backlog of such connections later.
	closedPerAccepted = 32
)

// newUnforwardedLimiter returns the limiter of the requests that all connections may have answered without an attempt,
// on the given number of cores.
func newUnforwardedLimiter(cores float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(UnforwardedPerSecond*cores), unforwardedBurst)
}

// newAcceptLimiter returns the limiter of accepted connections. All clients may connect at once after a restart.
func newAcceptLimiter(cores float64, maxConns int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(acceptedPerSecond*cores), maxConns)
}

// pace returns when the next request of the connection may be read. It always yields the processor, so that a
// connection with more requests in its buffers does not keep it. After a request without an attempt it waits for the
// connection's share. A client that does not wait for its answers has none of its own.
//
// Guard: prevents clients that send at full speed from taking the processor, whose requests are answered without an
// attempt: each hand-over of another request between two goroutines would wait behind all of them, and its client would
// get its answer late or never. This holds because the goroutine that reads the connection waits here before it reads
// the next request.
func (c *Conn) pace() {
	runtime.Gosched()
	if c.forwarded {
		c.forwarded = false
		return
	}
	if c.ownLimiter == nil {
		c.ownLimiter = rate.NewLimiter(ownUnforwardedPerSecond, ownUnforwardedBurst)
	}
	if !c.isPipelining() && c.ownLimiter.Allow() {
		return
	}
	if delay := c.listener.unforwarded.Reserve().Delay(); delay > 0 {
		c.listener.onUnforwardedLimit()
		time.Sleep(delay)
	}
}

// isPipelining reports whether the client has sent more requests before it had its answers.
func (c *Conn) isPipelining() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return !c.readAhead.isEmpty() || netpeek.Peek(c.TCPConn) == netpeek.Readable
}

// Forwarded records that an endpoint was asked for the open request, so that the next one is not delayed.
func (c *Conn) Forwarded() {
	if c != nil {
		c.forwarded = true
	}
}

// paceAccept waits until another connection may be accepted, and yields the processor to the connections that were.
//
// Guard: prevents clients that connect again and again from taking the processor: a full backlog would start hundreds
// of goroutines at once, before which no other goroutine runs. This holds because connections are accepted one at a
// time, and only so many each second.
func (l *Listener) paceAccept() {
	if delay := l.accepted.Reserve().Delay(); delay > 0 {
		time.Sleep(delay)
	}
	runtime.Gosched()
}
