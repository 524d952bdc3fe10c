// Package clientconn manages the connections of a front's clients: which of them stay open, and when a client has
// disconnected.
//
// Every connection is accepted. Where there are more than the limit, the one that has been idle for longest, with no
// request open, is closed. A listener that stopped accepting would leave new clients with neither a response nor a
// close, because of clients that connect and send nothing, or send one request and stay.
//
// A Listener uses at most as many descriptors as its limit on connections, one more while a new connection is
// admitted, and its own.
//
// What the package decides has a place each:
//
//   - Listener.evict and Conn.TooManyIdle (eviction.go): which connection makes room for a new one, and when responses
//     begin to close theirs
//   - Conn.fillReadAhead (readahead.go): how much is read ahead of a client whose request is open
//   - Conn.Disconnected (conn.go): whether a client has left
//   - Listener.CloseIdle and Conn.closeIfIdle (stop.go): which connections end at the stop
//   - Serving.Drain (serving.go): when a server that stops is closed
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
	awaitingFirst list.List // connections that have not sent a valid request yet
	awaitingNext  list.List // connections that have
	stopping      bool
	closed        bool
	drained       chan struct{} // closed once there are no connections and no more can come
}

// New wraps a listener of the network tcp. It has at most maxConns connections open; onLimit is called, from the
// goroutine that accepts, for each that is accepted while all of them are in use.
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
//
// Guard: prevents new clients from waiting without end where this process has no descriptor left, though its limit on
// connections says that it has: accept fails with EMFILE again and again. It holds as long as some connection is idle,
// because that is closed for the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			// Where others have used up the descriptors, an idle connection makes room for the new one. Without one,
			// net/http calls again by itself.
			if isOutOfDescriptors(err) && l.evict() {
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

// isOutOfDescriptors reports whether the process or the machine has no descriptor left.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
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
	c.enqueue(&l.awaitingFirst)
	return c
}

// release makes room for another connection. The lock is held.
func (l *Listener) release() {
	l.openConns--
	l.closeIfDrained()
}
