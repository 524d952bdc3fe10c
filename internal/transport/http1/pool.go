// Package http1 carries out attempts and probes over HTTP/1.1, as the platform's protocol page describes.
//
// It keeps its own connections. net/http's Transport sends a request again by itself when a reused connection breaks;
// here each exchange writes its request once, to one connection.
package http1

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// Limits and defaults.
const (
	maxResponseHeadBytes = 64 << 10
	// minMaxResponseBytes is the lowest limit on the body of a response; it is higher where there is memory.
	minMaxResponseBytes = 512 << 10
	// idleShare is how long an idle connection is retained, as a share of the time after which the upstream closes it.
	idleShare = 0.75
	// sweepInterval is how often idle connections are checked for their age.
	sweepInterval = time.Second

	// The defaults apply where the settings give no value.
	defaultUpstreamIdleTimeout = 10 * time.Second
	defaultConnectTimeout      = 250 * time.Millisecond
	defaultDrainGrace          = 250 * time.Millisecond
	defaultMaxConns            = 500

	// settleTime is how long a connection is not reused after a response, during the settlePeriod after an upstream
	// has sent unsolicited data. This prevents a second response, which comes some milliseconds after the first, from
	// being taken for that of the next request: nothing in it shows that it is not. It does not apply at other times,
	// since the further connections that it takes cost more than they save where all upstreams follow the protocol.
	settleTime   = 30 * time.Millisecond
	settlePeriod = 10 * time.Second
)

// Pool is the transport of HTTP/1.1. It holds the idle connections to all upstreams. Its methods may be called from any
// goroutine.
type Pool struct {
	dialer           net.Dialer
	maxIdle          time.Duration // how long an idle connection is retained
	settleTime       time.Duration // how long a connection is not reused after a response, until settleUntil
	drainGrace       time.Duration // how long an upstream is remembered after it drained or was removed
	maxConns         int           // limit on openConns
	onConnLimit      func()        // called when an exchange has to wait for a connection slot
	maxResponseBytes int64         // limit on the body of a response

	mu          sync.Mutex
	openConns   int
	waiters     []chan struct{} // exchanges that wait for a connection slot, in order of arrival
	upstreams   map[string]*upstream
	settleUntil time.Time // until when upstreams are expected to send unsolicited data
}

// upstream is the address of an upstream and the idle connections to it. The pool's lock guards it.
type upstream struct {
	id string
	process
	idle      []*conn   // the most recently used last
	removedAt time.Time // when it was reported as draining or removed; zero while it is active
}

// process identifies a process of an upstream, as the endpoint list shows it. A connection belongs to one process.
type process struct {
	addr        string
	startedAtMS float64
}

// Config configures a Pool. A field that is zero has the default given.
type Config struct {
	// ConnectTimeout limits how long it takes to establish a connection, and how long a response that has begun may
	// pause; 250 ms.
	ConnectTimeout time.Duration
	// UpstreamIdleTimeout is how long upstreams keep idle connections open; 10 s. The pool retains them for 3/4 of it.
	UpstreamIdleTimeout time.Duration
	// DrainGrace is how long an upstream that drains or was removed is remembered; 250 ms. Nothing is written to it
	// meanwhile.
	DrainGrace time.Duration
	// MaxConns limits the open connections; 500.
	MaxConns int
	// MaxResponseBytes limits the body of a response; 512 KiB, and never less.
	MaxResponseBytes int64
	// OnConnLimit is called, from any goroutine, when an exchange has to wait for a connection slot; may be nil.
	OnConnLimit func()
}

// New returns a Pool. Run Sweep to have idle connections closed.
func New(c Config) *Pool {
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.UpstreamIdleTimeout <= 0 {
		c.UpstreamIdleTimeout = defaultUpstreamIdleTimeout
	}
	if c.DrainGrace <= 0 {
		c.DrainGrace = defaultDrainGrace
	}
	if c.OnConnLimit == nil {
		c.OnConnLimit = func() {}
	}
	return &Pool{
		dialer:           net.Dialer{Timeout: c.ConnectTimeout},
		maxIdle:          time.Duration(float64(c.UpstreamIdleTimeout) * idleShare),
		settleTime:       settleTime,
		drainGrace:       c.DrainGrace,
		maxConns:         cmp.Or(c.MaxConns, defaultMaxConns),
		onConnLimit:      c.OnConnLimit,
		maxResponseBytes: max(c.MaxResponseBytes, minMaxResponseBytes),
		upstreams:        map[string]*upstream{},
	}
}

// Sweep closes connections that have been idle for too long, until ctx ends; then it closes all idle ones and returns.
func (p *Pool) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			for _, u := range p.upstreams {
				p.closeOldest(u, len(u.idle))
			}
			p.mu.Unlock()
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		for _, u := range p.upstreams {
			p.closeExpired(u, time.Now())
		}
		p.mu.Unlock()
	}
}

// closeExpired closes the connections to u that have been idle for too long. The lock is held.
func (p *Pool) closeExpired(u *upstream, now time.Time) {
	n := 0
	for n < len(u.idle) && now.Sub(u.idle[n].idleSince) >= p.maxIdle {
		n++
	}
	p.closeOldest(u, n)
}

// closeOldest closes the n idle connections of u that were used longest ago. The lock is held.
func (p *Pool) closeOldest(u *upstream, n int) {
	for _, c := range u.idle[:n] {
		_ = c.Conn.Close() // an idle connection has nothing left to lose
		p.releaseSlot()
	}
	u.idle = slices.Delete(u.idle, 0, n)
}

// find returns the upstream named id, or nil.
func (p *Pool) find(id string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstreams[id]
}

// CloseIdle closes the idle connections to the upstream named id.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[id]; u != nil {
		p.closeOldest(u, len(u.idle))
	}
}

// Update applies an endpoint update that was notified at notifiedAt; complete tells that entries are the complete list.
// An upstream that drains or is removed is remembered for the drain grace: attempts may be under way to it.
func (p *Pool) Update(complete bool, entries []engine.Endpoint, notifiedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := map[string]bool{}
	for _, entry := range entries {
		u := p.upstreams[entry.ID]
		if entry.State != balancer.Active {
			if u != nil {
				p.markRemoved(u, notifiedAt)
			}
			continue
		}
		active[entry.ID] = true
		if u == nil {
			u = &upstream{id: entry.ID}
			p.upstreams[entry.ID] = u
		}
		current := process{entry.Addr, entry.StartedAtMS}
		if u.process != current { // the idle connections belong to the former process
			p.closeOldest(u, len(u.idle))
			u.process = current
		}
		u.removedAt = time.Time{}
	}
	for id, u := range p.upstreams {
		if complete && !active[id] {
			p.markRemoved(u, notifiedAt)
		}
		if !u.removedAt.IsZero() && notifiedAt.Sub(u.removedAt) > p.drainGrace {
			delete(p.upstreams, id)
		}
	}
}

// markRemoved marks u as draining or removed since at. The lock is held.
func (p *Pool) markRemoved(u *upstream, at time.Time) {
	if u.removedAt.IsZero() {
		u.removedAt = at
	}
	p.closeOldest(u, len(u.idle))
}

// maySend reports whether a request may still be written to a connection to process to of u. It makes no use of the
// drain's grace: that counts from when the drain was written to us, and how long we took to read it is not known. This
// prevents a dial that completes late, at a process that was slow when the update came, from carrying a request.
func (p *Pool) maySend(u *upstream, to process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.process == to && u.removedAt.IsZero()
}

// noteUnsolicitedData records that data came on an idle connection.
func (p *Pool) noteUnsolicitedData() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleUntil = time.Now().Add(settlePeriod)
}

// get returns an idle connection to u, or a new one. The error is errConnLimit where there is no slot for one.
func (p *Pool) get(ctx context.Context, u *upstream) (*conn, error) {
	p.mu.Lock()
	to := u.process
	now := time.Now()
	p.closeExpired(u, now)
	for i, c := range slices.Backward(u.idle) {
		if now.After(p.settleUntil) || now.Sub(c.idleSince) >= p.settleTime {
			u.idle = slices.Delete(u.idle, i, i+1)
			p.mu.Unlock()
			return c, nil
		}
	}
	for _, other := range p.upstreams { // make room: an idle connection can be opened again
		if p.openConns >= p.maxConns && len(other.idle) > 0 {
			p.closeOldest(other, 1)
		}
	}
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	return p.dial(ctx, to)
}

// put makes a connection idle whose response was read to its end. It closes the connection instead where unread bytes
// are left on it, where u is no longer the process that it was opened to, or where others wait for its slot.
func (p *Pool) put(u *upstream, c *conn) {
	p.mu.Lock()
	current := u.removedAt.IsZero() && p.upstreams[u.id] == u && c.process == u.process
	if current && len(p.waiters) == 0 && c.reader.Buffered() == 0 {
		c.idleSince = time.Now()
		u.idle = append(u.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.Close() // the response has been read
}
