package http1

import (
	"context"
	"slices"
	"time"

	"hazelwing/internal/netpeek"
)

// idleShare is how long an idle connection is retained, as a share of the time after which the endpoint closes it. A
// higher value saves connections; closer to 1 more requests cross the endpoint's close, and count as reset.
const idleShare = 0.75

const (
	// reuseDelay is how long a connection is not reused after a response, during reuseDelayPeriod. This prevents a
	// second response, which comes some milliseconds after the first, from being taken for that of the next request:
	// nothing in it shows that it is not. A higher value takes more connections. It does not apply at other times,
	// because these connections cost more than they save where all endpoints follow the protocol.
	reuseDelay = 30 * time.Millisecond
	// reuseDelayPeriod is how long reuseDelay applies after an endpoint has sent unsolicited data. With a higher value
	// more connections are opened after each; with a lower one more responses may be taken for others.
	reuseDelayPeriod = 10 * time.Second
)

// get decides which connection to e a request is written to: the idle one that was used last, unless it has been idle
// for maxIdle, or for less than reuseDelay during reuseDelayPeriod; otherwise a new one. Where the limit is reached,
// the connection of some endpoint that has been idle longest is closed for it: it can be opened again. The error is
// errConnLimit where there is no slot.
func (p *Pool) get(ctx context.Context, e *endpoint) (*conn, error) {
	p.mu.Lock()
	to := e.process
	now := time.Now()
	p.closeExpired(e, now)
	for i, c := range slices.Backward(e.idle) {
		if now.After(p.reuseDelayedUntil) || now.Sub(c.idleSince) >= p.reuseDelay {
			e.idle = slices.Delete(e.idle, i, i+1)
			p.mu.Unlock()
			return c, nil
		}
	}
	for _, other := range p.endpoints {
		if p.openConns >= p.maxConns && len(other.idle) > 0 {
			p.closeOldest(other, 1)
		}
	}
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	return p.dial(ctx, to)
}

// put decides whether a connection is retained whose response was read to its end. It is closed where unread bytes are
// left on it, where e is no longer the process that it was opened to, or where others wait for its slot.
//
// Guard: prevents a request from going to a process that has been replaced, or from being answered by bytes of another
// response. A client would get another's answer. It holds because get returns only what put has retained.
func (p *Pool) put(e *endpoint, c *conn) {
	p.mu.Lock()
	current := e.removedAt.IsZero() && p.endpoints[e.id] == e && c.process == e.process
	if current && len(p.waiters) == 0 && c.reader.Buffered() == 0 {
		c.idleSince = time.Now()
		e.idle = append(e.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.Close() // the response has been read
}

// recordUnsolicitedData records that data came on an idle connection: a reuseDelayPeriod begins.
//
// Guard: prevents a second response, which comes after the next request's first byte, from being taken for that one's:
// a client would get another's answer. It holds from the first such response on that is seen, for responses that come
// within reuseDelay; nothing in a response ties it to its request.
func (p *Pool) recordUnsolicitedData() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDelayedUntil = time.Now().Add(reuseDelayPeriod)
}

// closeExpired closes the connections to e that have been idle for too long. The lock is held.
func (p *Pool) closeExpired(e *endpoint, now time.Time) {
	n := 0
	for n < len(e.idle) && now.Sub(e.idle[n].idleSince) >= p.maxIdle {
		n++
	}
	p.closeOldest(e, n)
}

// peek returns the state of an idle connection: it can be used if the endpoint has neither sent anything on it nor
// closed it.
//
// Guard: prevents a request from being written to a connection that the endpoint has closed, or its crash reset: it
// would count as reset, and a request that is not idempotent would fail though it never ran. It holds, but for a close
// that is under way, because prepare asks right before the write.
func (c *conn) peek() netpeek.State {
	if c.reader.Buffered() > 0 {
		return netpeek.Readable
	}
	return netpeek.Peek(c.Conn)
}
