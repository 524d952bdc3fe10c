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
	maxHead      = 64 << 10         // of an answer
	leastAnswer  = 512 << 10        // what the body of an answer may be at least; more where there is memory
	idleShare    = 0.75             // of the time after which the upstream closes them
	sweepEvery   = time.Second      // how often idle connections are looked through
	defaultIdle  = 10 * time.Second // where the settings give no time
	defaultDial  = 250 * time.Millisecond
	defaultGrace = 250 * time.Millisecond
	defaultConns = 500
	// settleTime is how long a connection is left alone after an answer, for doubtTime after an upstream has sent something
	// unasked. Guards against a second answer that comes some milliseconds after the first: nothing in it tells that it is not
	// the next request's. Not always, since the further connections that it takes cost more than they spare where all
	// upstreams keep to the protocol.
	settleTime = 30 * time.Millisecond
	doubtTime  = 10 * time.Second
)

// conn is a connection to an upstream, with at most one request on it.
type conn struct {
	net.Conn
	to    process
	limit *io.LimitedReader // bounds what one answer may bring
	r     *bufio.Reader
	since time.Time // idle since
	slot  func()    // gives back its place among the open ones

	stall time.Duration // how long an answer that has begun may pause
	late  *time.Timer   // set while one comes
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.late != nil {
		c.late.Reset(c.stall)
	}
	return n, err
}

// process is an upstream's process as the list shows it: connections are to one of these.
type process struct {
	addr   string
	bornMS float64
}

// Close gives the place back once the descriptor is free.
func (c *conn) Close() error {
	defer c.slot()
	return c.Conn.Close()
}

// look says how an idle connection is: it can be used where the upstream has said nothing on it, and not closed it. Guards
// against connections that the upstream closed, or that its death reset: a request written there would count as reset.
func (c *conn) look() netpeek.State {
	if c.r.Buffered() > 0 {
		return netpeek.Spoke
	}
	return netpeek.At(c.Conn)
}

// Pool is the transport: it holds the idle connections to all upstreams.
type Pool struct {
	dial   net.Dialer
	idle   time.Duration // how long a connection is kept
	settle time.Duration // how long it is left alone after an answer, in times of doubt
	grace  time.Duration // how long after news of its leaving an upstream is remembered
	max    int           // open connections
	full   func()        // tells that as many are open
	body   int64         // bytes of an answer's body

	mu      sync.Mutex
	open    int
	waiting []chan struct{} // for a place among the open ones, longest first
	ups     map[string]*upstream
	doubt   time.Time // until when upstreams may send what nobody asked for
}

// upstream is where an upstream listens, and the idle connections to it. The pool's lock guards it.
type upstream struct {
	id string
	process
	idle []*conn   // the latest last
	left time.Time // when it was told to drain or to be gone; zero: active
}

// Config says what a Pool may do. What is 0 has a default.
type Config struct {
	Connect time.Duration // for a connection to come up; 250 ms
	Idle    time.Duration // after which upstreams close idle connections; 10 s. They are kept for 3/4 of it
	Grace   time.Duration // after which an upstream that was told to leave is forgotten; nothing is written to it meanwhile; 250 ms
	Conns   int           // connections open at a time; 500
	Answer  int64         // bytes that the body of an answer may have; 512 KiB, and never less
	Full    func()        // is called, from any goroutine, when an exchange has to wait for a connection's place; may be nil
}

// New makes a Pool. Sweep closes what stands idle.
func New(c Config) *Pool {
	if c.Connect <= 0 {
		c.Connect = defaultDial
	}
	if c.Idle <= 0 {
		c.Idle = defaultIdle
	}
	if c.Grace <= 0 {
		c.Grace = defaultGrace
	}
	if c.Full == nil {
		c.Full = func() {}
	}
	return &Pool{full: c.Full, settle: settleTime, dial: net.Dialer{Timeout: c.Connect}, idle: time.Duration(float64(c.Idle) * idleShare), grace: c.Grace,
		max: cmp.Or(c.Conns, defaultConns), body: max(c.Answer, leastAnswer), ups: map[string]*upstream{}}
}

// Sweep closes connections that have stood idle for long, until ctx ends, and then all that are idle.
func (p *Pool) Sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			for _, u := range p.ups {
				p.drop(u, len(u.idle))
			}
			p.mu.Unlock()
			return
		case <-tick.C:
		}
		p.mu.Lock()
		for _, u := range p.ups {
			p.dropOld(u, time.Now())
		}
		p.mu.Unlock()
	}
}

// dropOld closes the connections to u that have stood idle for long. The lock is held.
func (p *Pool) dropOld(u *upstream, now time.Time) {
	n := 0
	for n < len(u.idle) && now.Sub(u.idle[n].since) >= p.idle {
		n++
	}
	p.drop(u, n)
}

// drop closes the n oldest idle connections of u. The lock is held.
func (p *Pool) drop(u *upstream, n int) {
	for _, c := range u.idle[:n] {
		c.Conn.Close()
		p.release()
	}
	u.idle = slices.Delete(u.idle, 0, n)
}

// release gives a place among the open connections back, or on to who waits for one. The lock is held.
func (p *Pool) release() {
	if len(p.waiting) == 0 {
		p.open--
		return
	}
	close(p.waiting[0])
	p.waiting = slices.Delete(p.waiting, 0, 1)
}

// place waits for a place among the open connections, but not for longer than a connection may take to come up.
// Guards against bursts that use up all attempts of a request in a moment. The lock is held, and given back.
func (p *Pool) place(ctx context.Context) error {
	if p.open < p.max {
		p.open++
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.waiting = append(p.waiting, turn)
	p.mu.Unlock()
	p.full()
	ctx, cancel := context.WithTimeout(ctx, p.dial.Timeout)
	defer cancel()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, turn); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	} else {
		p.release() // it came at the last moment
	}
	return errFull
}

// find returns the upstream named id, or nil.
func (p *Pool) find(id string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ups[id]
}

// Close closes the idle connections to the upstream named id.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.ups[id]; u != nil {
		p.drop(u, len(u.idle))
	}
}

// Update follows the list. An upstream that drains or is gone is not forgotten: attempts may be on their way to it.
func (p *Pool) Update(whole bool, entries []engine.Endpoint, told time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active := map[string]bool{}
	for _, m := range entries {
		u := p.ups[m.ID]
		if m.State != balancer.Active {
			if u != nil {
				p.leave(u, told)
			}
			continue
		}
		active[m.ID] = true
		if u == nil {
			u = &upstream{id: m.ID}
			p.ups[m.ID] = u
		}
		if now := (process{m.Addr, m.StartedAtMS}); u.process != now { // the connections are the old one's
			p.drop(u, len(u.idle))
			u.process = now
		}
		u.left = time.Time{}
	}
	for id, u := range p.ups {
		if whole && !active[id] {
			p.leave(u, told)
		}
		if !u.left.IsZero() && told.Sub(u.left) > p.grace {
			delete(p.ups, id)
		}
	}
}

// leave marks u as draining or gone since told. The lock is held.
func (p *Pool) leave(u *upstream, told time.Time) {
	if u.left.IsZero() {
		u.left = told
	}
	p.drop(u, len(u.idle))
}

// maySend says whether a request may still be written to a connection to u's process. Nothing of the drain's grace is used:
// it counts from when the drain was written to us, and how long we took to read that is not known. Guards against a dial that
// comes up late at a process that was behind when the news came.
func (p *Pool) maySend(u *upstream, to process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.process == to && u.left.IsZero()
}

// spoke notes that something came on an idle connection, unasked.
func (p *Pool) spoke() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubt = time.Now().Add(doubtTime)
}

// errFull says that this sidecar holds as many connections as it may.
var errFull = errors.New("too many connections open")

// get returns an idle connection to u, or a new one.
func (p *Pool) get(ctx context.Context, u *upstream) (*conn, error) {
	p.mu.Lock()
	to := u.process
	now := time.Now()
	p.dropOld(u, now)
	for i, c := range slices.Backward(u.idle) {
		if now.After(p.doubt) || now.Sub(c.since) >= p.settle {
			u.idle = slices.Delete(u.idle, i, i+1)
			p.mu.Unlock()
			return c, nil
		}
	}
	for _, o := range p.ups { // make room: an idle connection can be opened again
		if p.open >= p.max && len(o.idle) > 0 {
			p.drop(o, 1)
		}
	}
	if err := p.place(ctx); err != nil {
		return nil, err
	}
	slot := func() {
		p.mu.Lock()
		p.release()
		p.mu.Unlock()
	}
	nc, err := p.dial.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		slot()
		return nil, err
	}
	c := &conn{Conn: nc, to: to, slot: sync.OnceFunc(slot), stall: p.dial.Timeout}
	c.limit = &io.LimitedReader{R: c}
	c.r = bufio.NewReader(c.limit)
	return c, nil
}

// put keeps a connection whose answer was read to its end, unless something is left on it, or u is another process by
// now than the one it was opened to, or others wait for its place.
func (p *Pool) put(u *upstream, c *conn) {
	p.mu.Lock()
	if u.left.IsZero() && p.ups[u.id] == u && c.to == u.process && len(p.waiting) == 0 && c.r.Buffered() == 0 {
		c.since = time.Now()
		u.idle = append(u.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Close()
}
