// Package http1 reaches members by HTTP/1.1, as the platform's protocol page describes.
package http1

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/netpeek"
)

// Exchanges with upstreams, and the connections for them. net/http's Transport would send a request again by itself
// when a reused connection breaks; here each exchange writes its request once, to one connection.

const (
	maxResponseHeadBytes       = 64 << 10         // of an answer
	minMaxResponseBytes        = 512 << 10        // what the body of an answer may be at least; more where there is memory
	idleShare                  = 0.75             // of the time after which the upstream closes them
	sweepInterval              = time.Second      // how often idle connections are looked through
	defaultUpstreamIdleTimeout = 10 * time.Second // where the settings give no time
	defaultConnectTimeout      = 250 * time.Millisecond
	defaultDrainGrace          = 250 * time.Millisecond
	defaultMaxConns            = 500
	// settleTime is how long a connection is left alone after an answer, for doubtTime after an upstream has sent something
	// unasked. Guards against a second answer that comes some milliseconds after the first: nothing in it tells that it is not
	// the next request's. Not always, since the further connections that it takes cost more than they spare where all
	// upstreams keep to the protocol.
	settleTime   = 30 * time.Millisecond
	settlePeriod = 10 * time.Second
)

// conn is a connection to an upstream, with at most one request on it.
type conn struct {
	net.Conn
	process     process
	limited     *io.LimitedReader // bounds what one answer may bring
	reader      *bufio.Reader
	idleSince   time.Time // idle since
	releaseSlot func()    // gives back its place among the open ones

	stallTimeout time.Duration // how long an answer that has begun may pause
	stallTimer   *time.Timer   // set while one comes
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.stallTimer != nil {
		c.stallTimer.Reset(c.stallTimeout)
	}
	return n, err
}

// process is an upstream's process as the list shows it: connections are to one of these.
type process struct {
	addr        string
	startedAtMS float64
}

// Close gives the place back once the descriptor is free.
func (c *conn) Close() error {
	defer c.releaseSlot()
	return c.Conn.Close()
}

// look says how an idle connection is: it can be used where the upstream has said nothing on it, and not closed it. Guards
// against connections that the upstream closed, or that its death reset: a request written there would count as reset.
func (c *conn) peek() netpeek.State {
	if c.reader.Buffered() > 0 {
		return netpeek.Readable
	}
	return netpeek.Peek(c.Conn)
}

// Pool is the transport: it holds the idle connections to all upstreams.
type Pool struct {
	dialer           net.Dialer
	maxIdle          time.Duration // how long a connection is kept
	settleTime       time.Duration // how long it is left alone after an answer, in times of doubt
	drainGrace       time.Duration // how long after news of its leaving an upstream is remembered
	maxConns         int           // open connections
	onConnLimit      func()        // tells that as many are open
	maxResponseBytes int64         // bytes of an answer's body

	mu          sync.Mutex
	openConns   int
	waiters     []chan struct{} // for a place among the open ones, longest first
	upstreams   map[string]*upstream
	settleUntil time.Time // until when upstreams may send what nobody asked for
}

// upstream is where an upstream listens, and the idle connections to it. The pool's lock guards it.
type upstream struct {
	id string
	process
	idle      []*conn   // the latest last
	removedAt time.Time // when it was told to drain or to be gone; zero: active
}

// Config says what a Pool may do. What is 0 has a default.
type Config struct {
	ConnectTimeout      time.Duration // for a connection to come up; 250 ms
	UpstreamIdleTimeout time.Duration // after which upstreams close idle connections; 10 s. They are kept for 3/4 of it
	DrainGrace          time.Duration // after which an upstream that was told to leave is forgotten; nothing is written to it meanwhile; 250 ms
	MaxConns            int           // connections open at a time; 500
	MaxResponseBytes    int64         // bytes that the body of an answer may have; 512 KiB, and never less
	OnConnLimit         func()        // is called, from any goroutine, when an exchange has to wait for a connection's place; may be nil
}

// New makes a Pool. Sweep closes what stands idle.
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
	return &Pool{onConnLimit: c.OnConnLimit, settleTime: settleTime, dialer: net.Dialer{Timeout: c.ConnectTimeout}, maxIdle: time.Duration(float64(c.UpstreamIdleTimeout) * idleShare), drainGrace: c.DrainGrace,
		maxConns: cmp.Or(c.MaxConns, defaultMaxConns), maxResponseBytes: max(c.MaxResponseBytes, minMaxResponseBytes), upstreams: map[string]*upstream{}}
}

// Sweep closes connections that have stood idle for long, until ctx ends, and then all that are idle.
func (p *Pool) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			for _, u := range p.upstreams {
				p.closeOldest(u, len(u.idle))
			}
			p.mu.Unlock()
			return
		case <-tick.C:
		}
		p.mu.Lock()
		for _, u := range p.upstreams {
			p.closeExpired(u, time.Now())
		}
		p.mu.Unlock()
	}
}

// dropOld closes the connections to u that have stood idle for long. The lock is held.
func (p *Pool) closeExpired(u *upstream, now time.Time) {
	n := 0
	for n < len(u.idle) && now.Sub(u.idle[n].idleSince) >= p.maxIdle {
		n++
	}
	p.closeOldest(u, n)
}

// drop closes the n oldest idle connections of u. The lock is held.
func (p *Pool) closeOldest(u *upstream, n int) {
	for _, c := range u.idle[:n] {
		c.Conn.Close()
		p.releaseSlot()
	}
	u.idle = slices.Delete(u.idle, 0, n)
}

// release gives a place among the open connections back, or on to who waits for one. The lock is held.
func (p *Pool) releaseSlot() {
	if len(p.waiters) == 0 {
		p.openConns--
		return
	}
	close(p.waiters[0])
	p.waiters = slices.Delete(p.waiters, 0, 1)
}

// place waits for a place among the open connections, but not for longer than a connection may take to come up.
// Guards against bursts that use up all attempts of a request in a moment. The lock is held, and given back.
func (p *Pool) acquireSlot(ctx context.Context) error {
	if p.openConns < p.maxConns {
		p.openConns++
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.waiters = append(p.waiters, turn)
	p.mu.Unlock()
	p.onConnLimit()
	ctx, cancel := context.WithTimeout(ctx, p.dialer.Timeout)
	defer cancel()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, turn); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	} else {
		p.releaseSlot() // it came at the last moment
	}
	return errConnLimit
}

// find returns the upstream named id, or nil.
func (p *Pool) find(id string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstreams[id]
}

// Close closes the idle connections to the upstream named id.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[id]; u != nil {
		p.closeOldest(u, len(u.idle))
	}
}

// Update follows the list. An upstream that drains or is gone is not forgotten: attempts may be on their way to it.
func (p *Pool) Update(whole bool, entries []engine.Endpoint, told time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := map[string]bool{}
	for _, m := range entries {
		u := p.upstreams[m.ID]
		if m.State != balancer.Active {
			if u != nil {
				p.markRemoved(u, told)
			}
			continue
		}
		active[m.ID] = true
		if u == nil {
			u = &upstream{id: m.ID}
			p.upstreams[m.ID] = u
		}
		if now := (process{m.Addr, m.StartedAtMS}); u.process != now { // the connections are the old one's
			p.closeOldest(u, len(u.idle))
			u.process = now
		}
		u.removedAt = time.Time{}
	}
	for id, u := range p.upstreams {
		if whole && !active[id] {
			p.markRemoved(u, told)
		}
		if !u.removedAt.IsZero() && told.Sub(u.removedAt) > p.drainGrace {
			delete(p.upstreams, id)
		}
	}
}

// leave marks u as draining or gone since told. The lock is held.
func (p *Pool) markRemoved(u *upstream, told time.Time) {
	if u.removedAt.IsZero() {
		u.removedAt = told
	}
	p.closeOldest(u, len(u.idle))
}

// maySend says whether a request may still be written to a connection to u's process. Nothing of the drain's grace is used:
// it counts from when the drain was written to us, and how long we took to read that is not known. Guards against a dial that
// comes up late at a process that was behind when the news came.
func (p *Pool) maySend(u *upstream, to process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.process == to && u.removedAt.IsZero()
}

// spoke notes that something came on an idle connection, unasked.
func (p *Pool) noteUnsolicitedData() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleUntil = time.Now().Add(settlePeriod)
}

// errFull says that this sidecar holds as many connections as it may.
var errConnLimit = errors.New("too many connections open")

// get returns an idle connection to u, or a new one.
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
	for _, o := range p.upstreams { // make room: an idle connection can be opened again
		if p.openConns >= p.maxConns && len(o.idle) > 0 {
			p.closeOldest(o, 1)
		}
	}
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	slot := func() {
		p.mu.Lock()
		p.releaseSlot()
		p.mu.Unlock()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		slot()
		return nil, err
	}
	c := &conn{Conn: nc, process: to, releaseSlot: sync.OnceFunc(slot), stallTimeout: p.dialer.Timeout}
	c.limited = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.limited)
	return c, nil
}

// put keeps a connection whose answer was read to its end, unless something is left on it, or u is another process by
// now than the one it was opened to, or others wait for its place.
func (p *Pool) put(u *upstream, c *conn) {
	p.mu.Lock()
	if u.removedAt.IsZero() && p.upstreams[u.id] == u && c.process == u.process && len(p.waiters) == 0 && c.reader.Buffered() == 0 {
		c.idleSince = time.Now()
		u.idle = append(u.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}
