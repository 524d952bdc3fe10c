package http1

import (
	"context"
	"slices"
	"time"

	"hazelwing/internal/netpeek"
)

// idleShare is the time for which an idle connection is retained, as a share of the time after which the endpoint
// closes it. A higher value saves new connections; the closer it is to 1, the more requests are written just as the
// endpoint closes the connection, and count as reset.
const idleShare = 0.75

const (
	// reuseDelay is the minimum time between a response and the reuse of its connection, during reuseDelayPeriod. It
	// prevents a second response, sent some milliseconds after the first, from being mistaken for the answer to the
	// next request, because a response does not identify its request. With a higher value, more connections are needed.
	// The delay does not apply at other times, because if all endpoints follow the protocol, the additional connections
	// cost more than the delay saves.
	reuseDelay = 30 * time.Millisecond
	// reuseDelayPeriod is the time for which reuseDelay applies after an endpoint has sent unsolicited data. With a
	// higher value, more connections are opened after each such event; with a lower one, more responses may be mistaken
	// for answers to other requests.
	reuseDelayPeriod = 10 * time.Second
)

// get returns the connection to e that a request is written to: the most recently used idle connection, or a new one.
// It closes connections that have been idle for maxIdle or longer. Until reuseDelayedUntil, it ignores connections that
// have been idle for less than reuseDelay. If the connection limit is reached, it closes the longest idle connection of
// some endpoint for the new one. It returns errConnLimit if there is no slot.
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
			p.closeOldest(other, 1, "connection limit")
		}
	}
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	return p.dial(ctx, to)
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

// recordUnsolicitedData starts a reuseDelayPeriod after data has arrived on an idle connection.
//
// Guard: prevents a second response that arrives after the first byte of the next request from being mistaken for the
// answer to that request: a client would get another client's answer. This holds after the first unsolicited response
// was detected, for responses that arrive within reuseDelay. Other second responses cannot be detected, because a
// response does not identify its request.
func (p *Pool) recordUnsolicitedData() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDelayedUntil = time.Now().Add(reuseDelayPeriod)
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
