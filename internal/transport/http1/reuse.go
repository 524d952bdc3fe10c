package http1

import (
	"context"
	"errors"
	"slices"
	"time"

	"hazelwing/internal/netpeek"
)

// idleShare is the time for which an idle connection is retained, as a share of the time after which the endpoint
// closes it. A higher value saves new connections; the closer it is to 1, the more requests are written just as the
// endpoint closes the connection, and count as reset.
const idleShare = 0.75

// reuseDelay is the minimum time between a response and the next request on its connection. It prevents a second
// response, sent some milliseconds after the first, from being mistaken for the answer to the next request, because a
// response does not identify its request. With a higher value, requests wait longer for a connection, or more
// connections are needed.
const reuseDelay = 30 * time.Millisecond

// errReuseDelay means that an exchange ended while it waited for the end of a reuseDelay.
var errReuseDelay = errors.New("ended while no connection could be reused yet")

// get returns the connection to e that a request is written to: the most recently used one whose reuseDelay is over, or
// else the one whose reuseDelay ends next, for which it waits, or else a new one. It closes connections that have been
// idle for maxIdle or longer. If the connection limit is reached, it closes the longest idle connection of some
// endpoint for the new one. It returns errConnLimit if there is no slot.
//
// Guard: prevents a second response that arrives after the first byte of the next request from being mistaken for the
// answer to that request: a client would get another client's answer. This holds for second responses that arrive
// within reuseDelay, because prepare then finds unread data on the connection and closes it. Later ones cannot be
// detected if the connection is in use, because a response does not identify its request.
func (p *Pool) get(ctx context.Context, e *endpoint) (*conn, error) {
	p.mu.Lock()
	to := e.process
	now := time.Now()
	p.closeExpired(e, now)
	if len(e.idle) > 0 {
		c := takeIdle(e, now.Add(-p.reuseDelay))
		p.mu.Unlock()
		return c, p.awaitReuseDelay(ctx, e, c)
	}
	for _, other := range p.endpoints {
		if p.openConns >= p.maxConns && len(other.idle) > 0 {
			p.closeOldest(other, 1, "connection limit")
		}
	}
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	return p.dial(ctx, to)
}

// takeIdle removes a connection from e.idle, which is not empty, and returns it: the most recently used one with a
// response before the given time, or else the one with the earliest response. The caller holds p.mu.
func takeIdle(e *endpoint, respondedBefore time.Time) *conn {
	taken := 0
	for i, c := range slices.Backward(e.idle) {
		if c.respondedAt.Before(respondedBefore) {
			taken = i
			break
		}
		if c.respondedAt.Before(e.idle[taken].respondedAt) {
			taken = i
		}
	}
	c := e.idle[taken]
	e.idle = slices.Delete(e.idle, taken, taken+1)
	return c
}

// awaitReuseDelay waits until reuseDelay has passed since the last response on c. If ctx ends before, it returns c to
// the pool, and an error.
func (p *Pool) awaitReuseDelay(ctx context.Context, e *endpoint, c *conn) error {
	wait := time.Until(c.respondedAt.Add(p.reuseDelay))
	if wait <= 0 {
		return nil
	}
	if c.reuseTimer == nil {
		c.reuseTimer = time.NewTimer(wait)
	} else {
		c.reuseTimer.Reset(wait)
	}
	select {
	case <-c.reuseTimer.C:
		return nil
	case <-ctx.Done():
		c.reuseTimer.Stop()
		p.put(e, c)
		return errReuseDelay
	}
}

// put stores an idle connection in the pool: its response was read to its end, or no request was written to it. It
// closes the connection instead if unread bytes remain, if e is draining, removed or no longer the process that the
// connection was opened to, or if other exchanges wait for its slot.
//
// Guard: prevents a request from being sent to a process that was replaced, and from being answered by the bytes of
// another response, so that a client would get another client's answer. This holds because get returns only new
// connections and connections that put has retained.
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
	p.traceClose(e.id, "not reusable")
	_ = c.Close() // it carries no request
}

// closeExpired closes the connections to e that have been idle for too long. The caller holds p.mu.
func (p *Pool) closeExpired(e *endpoint, now time.Time) {
	n := 0
	for n < len(e.idle) && now.Sub(e.idle[n].idleSince) >= p.maxIdle {
		n++
	}
	p.closeOldest(e, n, "idle for too long")
}

// peek returns the state of an idle connection. The connection can be used if it is netpeek.Idle, that is, if the
// endpoint has neither sent data on it nor closed it.
//
// Guard: prevents a request from being written to a connection that the endpoint has closed or that was reset because
// the endpoint crashed. Such a request would count as reset, and a non-idempotent one would fail although it never ran.
// This holds, except for a close that is in transit, because prepare calls peek immediately before the write.
func (c *conn) peek() netpeek.State {
	if c.reader.Buffered() > 0 {
		return netpeek.Readable
	}
	return netpeek.Peek(c.Conn)
}
