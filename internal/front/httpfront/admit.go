package httpfront

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hazelwing/internal/httpmsg"
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
	stopping  bool
	closed    bool
	empty     chan struct{} // closed once no more connections can come and none is held
}

// guest is a client's connection. The gate's lock guards it, but for what is said otherwise.
type guest struct {
	*net.TCPConn
	gate   *gate
	raw    syscall.RawConn
	place  *list.Element // in queue; nil while a request is open
	queue  *list.List
	closed bool

	served bool // an answer of some kind was written on it

	reading sync.Mutex // guards these, and is taken after the gate's
	inHand  bool       // a request has come whole, and its answer is not begun
	spoke   bool       // something was read since the last answer was begun
	ahead   []byte     // what came while a request was in hand
}

// maxAhead bounds what a client may send while its request is in hand before it is no longer read: a request's size.
const maxAhead = maxHeader + httpmsg.MaxBody

// Read reads on while a request is in hand, and puts by what comes. Guards against clients that send more and leave:
// net/http's read in the background ends with the first byte, and the close behind it would go unnoticed.
func (c *guest) Read(b []byte) (n int, err error) {
	if n := c.putBy(b); n > 0 || len(b) == 0 {
		return n, nil
	}
	into := b
	fault := c.raw.Read(func(fd uintptr) bool {
		// What was taken from the kernel is known at once. Guards against closing a connection between the two (retire).
		c.reading.Lock()
		defer c.reading.Unlock()
		for {
			came, fault := syscall.Read(int(fd), into)
			switch {
			case fault == syscall.EINTR:
				continue
			case fault == syscall.EAGAIN:
				return false
			case fault != nil:
				err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", fault)}
				return true
			case came == 0:
				err = io.EOF
				return true
			}
			c.spoke = true
			if !c.inHand && len(c.ahead) == 0 {
				n = came // it is in b
				return true
			}
			c.ahead = append(c.ahead, into[:came]...)
			if n = c.take(b); n > 0 {
				return true
			}
			if len(into) < bodyStart {
				into = make([]byte, bodyStart)
			}
		}
	})
	if fault != nil {
		return 0, fault
	}
	return n, err
}

// putBy gives out what was put by.
func (c *guest) putBy(b []byte) int {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.take(b)
}

// take gives out what was put by, unless a request is in hand and more can be. The lock of reading is held.
func (c *guest) take(b []byte) int {
	if c.inHand && len(c.ahead) < maxAhead {
		return 0
	}
	n := copy(b, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

func newGate(l net.Listener, limit int, reached func()) *gate {
	return &gate{TCPListener: l.(*net.TCPListener), max: limit, reached: reached, empty: make(chan struct{})}
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
	raw, err := c.SyscallConn()
	if err != nil { // it is closed
		return nil
	}
	n := &guest{TCPConn: c, gate: g, raw: raw}
	g.mu.Lock()
	if g.held >= g.max {
		old := longest(&g.strangers)
		if old == nil && g.strangers.Len() > 0 {
			old = g.strangers.Front().Value.(*guest) // all have sent something, and perhaps never more
		}
		if old == nil {
			old = longest(&g.known)
		}
		if old == nil {
			g.mu.Unlock()
			return nil
		}
		old.leave()
		defer old.TCPConn.Close()
	}
	g.held++
	n.wait(&g.strangers)
	g.mu.Unlock()
	return n
}

// mostLooks bounds what a newcomer to a full gate costs.
const mostLooks = 8

// longest is the connection that has waited longest of those on which nothing has come. Guards against closing one whose next
// request is read already, or waits to be. The lock is held.
func longest(queue *list.List) *guest {
	looks := 0
	for e := queue.Front(); e != nil && looks < mostLooks; e = e.Next() {
		looks++
		if c := e.Value.(*guest); c.quiet() {
			return c
		}
	}
	return nil
}

// quiet says that nothing has come since the last answer.
func (c *guest) quiet() bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	return !c.spoke && netpeek.At(c.TCPConn) != netpeek.Spoke
}

// stop closes the connections that wait between two requests, and from then on each that would begin to, unless a request has
// come on it. Guards against closing them later, when a client whose request crosses that could no longer come again:
// newcomers are still let in.
func (g *gate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	for _, queue := range []*list.List{&g.known, &g.strangers} {
		for e := queue.Front(); e != nil; {
			c := e.Value.(*guest)
			e = e.Next()
			c.retire()
		}
	}
}

// noMore says that Accept will not be called again.
func (g *gate) noMore() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.ended()
}

// ended tells that the last connection has gone, once no more can come. The lock is held.
func (g *gate) ended() {
	if g.closed && g.held == 0 {
		close(g.empty)
	}
}

// retire closes a connection that waits after an answer, unless something has come on it since. The lock is held.
func (c *guest) retire() {
	if c.served && c.quiet() {
		c.leave()
		c.TCPConn.Close()
	}
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
		c.gate.ended()
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
	c.reading.Lock()
	c.inHand = true
	c.reading.Unlock()
	c.gate.mu.Lock()
	c.takeOut()
	c.gate.mu.Unlock()
}

// done says that an answer is about to be written: what is read from then on is of the next request.
func (c *guest) done() {
	if c != nil {
		c.reading.Lock()
		defer c.reading.Unlock()
		c.inHand, c.spoke = false, len(c.ahead) > 0
	}
}

// gone says that the client has closed its connection. Guards against work for nobody where this machine is behind: what
// a client sent waits in the kernel, unread, for longer than the client does, and net/http notices the close only once it
// is read.
func (c *guest) gone() bool { return c != nil && netpeek.Closed(c.TCPConn) }

// answered says that the answer is out.
func (c *guest) answered() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.served = true
	if !c.closed && c.place == nil {
		c.wait(&c.gate.known)
	}
	if !c.closed && c.gate.stopping {
		c.retire()
	}
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
