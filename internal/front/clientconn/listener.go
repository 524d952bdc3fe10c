// Package clientconn is the connections of a front's clients: which of them are held, and when a client has left.
//
// Every connection is accepted; where there are more than may be held, the one that has waited longest with no request open is
// closed. Guards against clients that connect and say nothing, or ask once and stay: a listener that stops accepting would leave
// newcomers with neither an answer nor a close.
//
// A Listener holds at most as many descriptors as it may hold connections, one more while a newcomer is looked at, and its own.
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
	onLimit       func()       // is called for each connection that comes when max are held
	lastAccepted  atomic.Int64 // when a connection last came, Unix nanoseconds
	readAheadPool atomic.Int64 // bytes that connections may still borrow for what they read ahead

	mu        sync.Mutex
	openConns int // descriptors: a connection counts until its own is free
	// Connections with no request open, those that wait longest in front.
	unproven list.List // that never sent a good request
	served   list.List
	stopping bool
	closed   bool
	drained  chan struct{} // closed once no more connections can come and none is held
}

const (
	// sharedAhead is what all connections of a listener together may read ahead beyond a request's size each, in bytes.
	sharedReadAhead = 8 << 20
	borrowStep      = 64 << 10 // is borrowed of it at a time
	// keptShare of the places is for connections that have sent a good request, before answers begin to close them.
	maxIdleShare = 1.0 / 3
	// mostLooks bounds what a newcomer to a full listener costs.
	maxEvictionChecks = 8
)

// New makes a Listener of a TCP listener. It holds at most limit connections; reached is called, from the goroutine that accepts,
// for each that comes when all places are taken.
func New(l net.Listener, limit int, reached func()) *Listener {
	n := &Listener{TCPListener: l.(*net.TCPListener), maxConns: limit, onLimit: reached, drained: make(chan struct{})}
	n.readAheadPool.Store(sharedReadAhead)
	return n
}

// lend takes a piece of the pool; false: there is none.
func (l *Listener) borrow() bool {
	if l.readAheadPool.Add(-borrowStep) < 0 {
		l.readAheadPool.Add(borrowStep)
		return false
	}
	return true
}

// Accept returns the next connection that there is a place for. One goroutine calls it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			// Guards against descriptors that others have taken: a connection that waits gives up its own. Where there is none
			// net/http tries again by itself.
			if (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)) && l.evict() {
				continue
			}
			return nil, err
		}
		l.lastAccepted.Store(time.Now().UnixNano())
		if l.isFull() {
			l.onLimit()
			runtime.Gosched() // who came before may have sent a good request: it is read first
		}
		if conn := l.admit(c); conn != nil {
			return conn, nil
		}
		c.Close() // all others have a request open
	}
}

// LastAccepted is when a connection last came.
func (l *Listener) LastAccepted() time.Time { return time.Unix(0, l.lastAccepted.Load()) }

func (l *Listener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns >= l.maxConns
}

// admit gives c a place, another's where need be, or returns nil.
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

// shed closes the connection that has waited longest; false: all have a request open.
func (l *Listener) evict() bool {
	l.mu.Lock()
	old := longestIdle(&l.unproven)
	if old == nil && l.unproven.Len() > 0 {
		old = l.unproven.Front().Value.(*Conn) // all have sent something, and perhaps never more
	}
	if old == nil {
		old = longestIdle(&l.served)
	}
	if old != nil {
		old.markClosed()
	}
	l.mu.Unlock()
	if old == nil {
		return false
	}
	old.closeSocket()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release()
	return true
}

// longest is the connection that has waited longest of those on which nothing has come. Guards against closing one whose next
// request is read already, or waits to be. The lock is held.
func longestIdle(queue *list.List) *Conn {
	looks := 0
	for e := queue.Front(); e != nil && looks < maxEvictionChecks; e = e.Next() {
		looks++
		if c := e.Value.(*Conn); c.isQuiet() {
			return c
		}
	}
	return nil
}

// CloseIdle closes the connections that wait between two requests, and from then on each that would begin to, unless a request has
// come on it. Guards against closing them later, when a client whose request crosses that could no longer come again:
// newcomers are still let in.
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

// NoMore says that Accept will not be called again.
func (l *Listener) AcceptDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeIfDrained()
}

// Empty is closed once no more connections can come and none is held.
func (l *Listener) Drained() <-chan struct{} { return l.drained }

// release gives a place back. The lock is held.
func (l *Listener) release() {
	l.openConns--
	l.closeIfDrained()
}

// ended tells that the last connection has gone, once no more can come. The lock is held.
func (l *Listener) closeIfDrained() {
	if l.closed && l.openConns == 0 {
		close(l.drained)
	}
}

// Attach makes h, which serves l, keep the connections: a request's context holds the one that it came on.
func (l *Listener) Attach(h *http.Server) {
	h.ConnContext = NewContext
	h.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			c.(*Conn).responseWritten()
		}
	}
}
