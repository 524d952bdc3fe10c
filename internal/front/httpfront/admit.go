package httpfront

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"hazelwing/internal/netpeek"
)

// Admitting clients' connections. Every connection is accepted; where there are more than may be held, the one that
// has waited longest with no request open is closed. Guards against clients that connect and say nothing, or ask once
// and stay: a listener that stops accepting would leave newcomers with neither an answer nor a close.

// gate is the listener of the client side.
type gate struct {
	*net.TCPListener
	max      int
	reached  func()       // is called for each connection that comes when max are held
	accepted atomic.Int64 // when a connection last came, Unix nanoseconds

	mu   sync.Mutex
	held int
	// Connections with no request open, those that wait longest in front.
	strangers list.List // that never sent a good request
	known     list.List
}

// guest is a client's connection. The gate's lock guards it.
type guest struct {
	*net.TCPConn
	gate   *gate
	place  *list.Element // in queue; nil while a request is open
	queue  *list.List
	closed bool
}

func newGate(l net.Listener, limit int, reached func()) *gate {
	return &gate{TCPListener: l.(*net.TCPListener), max: limit, reached: reached}
}

// Accept returns the next connection that there is a place for.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.AcceptTCP()
		if err != nil {
			return nil, err
		}
		g.accepted.Store(time.Now().UnixNano())
		if g.full() {
			g.reached()
			runtime.Gosched() // who came before may have sent a good request: it is read first
		}
		if guest := g.admit(c); guest != nil {
			return guest, nil
		}
		c.Close() // all others have a request open
	}
}

func (g *gate) full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held >= g.max
}

// admit gives c a place, another's where need be, or returns nil.
func (g *gate) admit(c *net.TCPConn) *guest {
	n := &guest{TCPConn: c, gate: g}
	g.mu.Lock()
	if g.held >= g.max {
		e := g.strangers.Front()
		if e == nil {
			e = g.known.Front()
		}
		if e == nil {
			g.mu.Unlock()
			return nil
		}
		old := e.Value.(*guest)
		old.leave()
		defer old.TCPConn.Close()
	}
	g.held++
	n.wait(&g.strangers)
	g.mu.Unlock()
	return n
}

// wait puts a connection at a queue's end. The lock is held.
func (c *guest) wait(queue *list.List) { c.queue, c.place = queue, queue.PushBack(c) }

// takeOut takes it out of the queue it is in. The lock is held.
func (c *guest) takeOut() {
	if c.place != nil {
		c.queue.Remove(c.place)
		c.place = nil
	}
}

// leave gives its place back. The lock is held.
func (c *guest) leave() {
	if !c.closed {
		c.closed = true
		c.gate.held--
		c.takeOut()
	}
}

func (c *guest) Close() error {
	c.gate.mu.Lock()
	c.leave()
	c.gate.mu.Unlock()
	return c.TCPConn.Close()
}

// keptShare of the places is for connections that have sent a good request, before answers begin to close them.
const keptShare = 1.0 / 3

// crowded says that there are more such connections than should be kept between requests. Guards against clients that
// ask once and stay: all clients together may hold only so many, and those with something to ask could open no more.
func (c *guest) crowded() bool {
	if c == nil {
		return false
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return float64(c.gate.held-c.gate.strangers.Len()) > keptShare*float64(c.gate.max)
}

// opened says that a good request has come: until its answer is out the connection stays.
func (c *guest) opened() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	c.takeOut()
	c.gate.mu.Unlock()
}

// gone says that the client has closed its connection. Guards against work for nobody where this machine is behind: what
// a client sent waits in the kernel, unread, for longer than the client does, and net/http notices the close only once it
// is read.
func (c *guest) gone() bool { return c != nil && netpeek.At(c.TCPConn) == netpeek.Gone }

// answered says that the answer is out.
func (c *guest) answered() {
	c.gate.mu.Lock()
	if !c.closed && c.place == nil {
		c.wait(&c.gate.known)
	}
	c.gate.mu.Unlock()
}

// watch makes h keep the gate's connections: a request's context holds the one that it came on.
func (g *gate) watch(h *http.Server) {
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, guestKey{}, c)
	}
	h.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			c.(*guest).answered()
		}
	}
}

type guestKey struct{}

// guestOf is the connection that a request came on; nil where no gate holds it.
func guestOf(r *http.Request) *guest {
	c, _ := r.Context().Value(guestKey{}).(*guest)
	return c
}
