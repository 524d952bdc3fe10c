// Package clientconn manages the connections of a front's clients: which of them stay open, and when a client has
// disconnected.
//
// Every connection is accepted. Where there are more than the limit, the one that has been idle for longest, with no
// request open, is closed. A listener that stopped accepting would leave new clients with neither a response nor a
// close, because of clients that connect and send nothing, or send one request and stay.
//
// A Listener uses at most as many descriptors as its limit on connections, one more while a new connection is
// admitted, and its own.
package clientconn

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener accepts clients' connections, as Conns.
type Listener struct {
	*net.TCPListener
	maxConns      int
	onLimit       func()       // called for each connection that is accepted while maxConns are open
	lastAccepted  atomic.Int64 // when a connection was last accepted, Unix nanoseconds
	readAheadPool atomic.Int64 // bytes that connections may still borrow for what they read ahead

	mu        sync.Mutex
	openConns int // a connection counts until its descriptor is free
	// The idle connections, those that have been idle for longest first.
	unproven list.List // have not sent a valid request yet
	served   list.List
	stopping bool
	closed   bool
	drained  chan struct{} // closed once there are no connections and no more can come
}

const (
	// sharedReadAhead is what all connections of a listener together may read ahead beyond one request's size each, in
	// bytes.
	sharedReadAhead = 8 << 20
	// borrowStep is how much of it a connection borrows at a time, in bytes.
	borrowStep = 64 << 10
	// maxIdleShare is the share of the limit that connections which have sent a valid request may reach before
	// responses begin to close them.
	maxIdleShare = 1.0 / 3
	// maxEvictionChecks limits the cost of a new connection where the limit is reached.
	maxEvictionChecks = 8
)

// New wraps a TCP listener. It has at most maxConns connections open; onLimit is called, from the goroutine that
// accepts, for each that is accepted while all of them are in use.
func New(l net.Listener, maxConns int, onLimit func()) *Listener {
	listener := &Listener{
		TCPListener: l.(*net.TCPListener),
		maxConns:    maxConns,
		onLimit:     onLimit,
		drained:     make(chan struct{}),
	}
	listener.readAheadPool.Store(sharedReadAhead)
	return listener
}

// attach makes h, which serves l, report to the connections: a request's context has the one that it came on.
func (l *Listener) attach(h *http.Server) {
	h.ConnContext = NewContext
	h.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			c.(*Conn).responseWritten()
		}
	}
}

// Accept returns the next connection that there is room for. It is called from one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			// Where others have used up the descriptors, an idle connection makes room for the new one. Without one,
			// net/http calls again by itself.
			outOfDescriptors := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
			if outOfDescriptors && l.evict() {
				continue
			}
			return nil, err
		}
		l.lastAccepted.Store(time.Now().UnixNano())
		if l.isFull() {
			l.onLimit()
			runtime.Gosched() // earlier clients may have sent a valid request: that is read first
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close() // all others have a request open
	}
}

// LastAccepted returns when a connection was last accepted.
func (l *Listener) LastAccepted() time.Time { return time.Unix(0, l.lastAccepted.Load()) }

func (l *Listener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns >= l.maxConns
}

// admit makes a Conn of a new connection, and evicts another one if there is no room. It returns nil if none can be
// evicted.
func (l *Listener) admit(tcp *net.TCPConn) *Conn {
	raw, err := tcp.SyscallConn()
	if err != nil { // it is closed
		return nil
	}
	if l.isFull() && !l.evict() {
		return nil
	}
	c := &Conn{TCPConn: tcp, listener: l, raw: raw}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns++
	c.enqueue(&l.unproven)
	return c
}

// evict closes the connection that has been idle for longest, and reports whether there was one.
func (l *Listener) evict() bool {
	l.mu.Lock()
	oldest := longestIdle(&l.unproven)
	if oldest == nil && l.unproven.Len() > 0 {
		oldest = l.unproven.Front().Value.(*Conn) // all have sent something, and may never send more
	}
	if oldest == nil {
		oldest = longestIdle(&l.served)
	}
	if oldest != nil {
		oldest.markClosed()
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.closeSocket() // it has no request open
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release()
	return true
}

// longestIdle returns the connection that has been idle for longest among the first ones of a queue, or nil. It skips
// those that received something: this prevents closing a connection whose next request was read already, or is about
// to be. The lock is held.
func longestIdle(queue *list.List) *Conn {
	checks := 0
	for e := queue.Front(); e != nil && checks < maxEvictionChecks; e = e.Next() {
		checks++
		if c := e.Value.(*Conn); c.isQuiet() {
			return c
		}
	}
	return nil
}

// borrow takes borrowStep bytes from the pool, and reports whether they were there.
func (l *Listener) borrow() bool {
	if l.readAheadPool.Add(-borrowStep) < 0 {
		l.readAheadPool.Add(borrowStep)
		return false
	}
	return true
}

// CloseIdle closes the connections that wait between two requests, and from then on each that would begin to, unless a
// request has begun to arrive on it. Closed later, a client whose request crosses the close could not connect again:
// new connections are still accepted now.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	for _, queue := range []*list.List{&l.served, &l.unproven} {
		for e := queue.Front(); e != nil; {
			c := e.Value.(*Conn)
			e = e.Next()
			c.closeIfIdle()
		}
	}
}

// acceptDone tells that Accept will not be called again.
func (l *Listener) acceptDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeIfDrained()
}

// release makes room for another connection. The lock is held.
func (l *Listener) release() {
	l.openConns--
	l.closeIfDrained()
}

// closeIfDrained closes the channel drained after the last connection, once no more can come. The lock is held.
func (l *Listener) closeIfDrained() {
	if l.closed && l.openConns == 0 {
		close(l.drained)
	}
}
