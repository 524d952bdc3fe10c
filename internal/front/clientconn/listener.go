// Package clientconn manages the connections of a front's clients. It decides which connections stay open, and detects
// when clients disconnect.
//
// Every connection is accepted. If the number of connections exceeds the limit, an idle connection is closed, or the
// new one if none can be closed. If the listener stopped accepting instead, clients that connect and send nothing, or
// send one request and stay connected, would leave new clients with neither a response nor a close.
//
// A Listener uses at most two file descriptors more than its connection limit: its own, and the one of a connection
// that is being admitted.
//
// The main decisions are made in these functions:
//
//   - Listener.evict and Conn.TooManyIdle (eviction.go): which connection is closed for a new one, and when responses
//     close their connections
//   - Conn.fillReadAhead (readahead.go): how much data is read ahead from a client with an open request
//   - Conn.takeHead (read.go): which heads are rejected before they are read to their end
//   - Conn.Reserve and Listener.closeStalled (memory.go): who gets memory, and who loses it
//   - Conn.pace and Listener.paceAccept (pace.go): how often a client gets the processor without an attempt
//   - Conn.Disconnected (conn.go) and Conn.MayHaveLeft (readahead.go): whether a client has disconnected
//   - Listener.CloseIdle and Conn.closeIfIdle (stop.go): which connections are closed when the listener stops
//   - Serving.Drain (serving.go): when a stopping server is closed
package clientconn

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"hazelwing/internal/budget"
	"hazelwing/internal/netpeek"
)

// Listener accepts clients' connections and returns them as Conns.
type Listener struct {
	*net.TCPListener
	maxConns      int
	log           *slog.Logger    // gets a debug line for each closed connection
	tracesCloses  func() bool     // each closed connection is logged
	onLimit       func()          // called for each connection that is accepted while maxConns connections are open
	lastAccepted  atomic.Int64    // time of the last accepted connection, in Unix nanoseconds
	memory        *budget.Account // memory that connections hold
	onMemoryLimit func()          // called when a connection gets no memory, or is closed for others that need it

	unforwarded        *rate.Limiter // requests that are answered without an attempt, of all connections
	onUnforwardedLimit func()        // called when a connection has to wait for unforwarded
	accepted           *rate.Limiter // accepted connections
	closedEarly        int           // connections that were closed before they were accepted; used by Accept only

	mu               sync.Mutex
	conns            map[*Conn]struct{} // open connections
	noneStalledUntil time.Time          // no search for a connection without progress before this time
	openConns        int                // a connection counts until its file descriptor is free
	// Queues of idle connections. The connection that has been idle for longest is first.
	awaitingFirst list.List // connections that have not sent a valid request yet
	awaitingNext  list.List // connections that have sent a valid request and were answered
	stopping      bool
	closed        bool
	drained       chan struct{} // closed when no connection is open and no more can be accepted
}

// New wraps a TCP listener. At most maxConns connections are open at a time. onLimit is called, from the goroutine that
// calls Accept, for each connection that is accepted while maxConns connections are open.
func New(l net.Listener, maxConns int, onLimit func()) *Listener {
	listener := &Listener{
		TCPListener: l.(*net.TCPListener),
		log:         slog.New(slog.DiscardHandler),

		tracesCloses: func() bool { return false },
		maxConns:     maxConns,
		onLimit:      onLimit,
		drained:      make(chan struct{}),

		onUnforwardedLimit: func() {},

		memory:        budget.NewAccount(defaultMemory),
		onMemoryLimit: func() {},
		conns:         map[*Conn]struct{}{},
	}
	listener.SetCores(1)
	return listener
}

// SetCores sets the number of cores, or the share of one, that the process has. It must be called before Serve.
func (l *Listener) SetCores(cores float64) {
	l.unforwarded = newUnforwardedLimiter(cores)
	l.accepted = newAcceptLimiter(cores, l.maxConns)
}

// OnUnforwardedLimit sets a function that is called, from any goroutine, when a connection has to wait because too many
// requests are answered without an attempt. It must be called before Serve.
func (l *Listener) OnUnforwardedLimit(f func()) { l.onUnforwardedLimit = f }

// SetLog makes the listener log each connection that is closed, with the reason, at debug level. It must be called
// before Serve.
func (l *Listener) SetLog(log *slog.Logger) {
	l.log = log.With("component", "front")
	l.tracesCloses = func() bool { return log.Enabled(context.Background(), slog.LevelDebug) }
}

// traceClose logs that a client's connection is closed, at debug level.
func (l *Listener) traceClose(c net.Conn, reason string) {
	if l.tracesCloses() {
		l.log.Debug("client connection closed", "client", c.RemoteAddr().String(), "reason", reason)
	}
}

// attach configures h, which serves l, to pass each request its connection in the request's context, and to tell the
// connection when a response was written.
func (l *Listener) attach(h *http.Server) {
	h.ConnContext = NewContext
	h.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			conn := c.(*Conn)
			conn.responseWritten()
			conn.pace()
		}
	}
}

// Accept returns the next connection, and evicts an idle one if the limit is reached. If none can be evicted, the new
// connection is closed. Accept must be called from one goroutine.
//
// Guard: prevents new clients from waiting indefinitely if the process has no file descriptor left although the
// connection limit is not reached; accept would fail with EMFILE repeatedly. This holds as long as a connection can be
// evicted, because its close frees a descriptor.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			// If the file descriptors are used up and an idle connection can be closed, accept is called again at once.
			// If none can be closed, net/http calls Accept again after a delay.
			if isOutOfDescriptors(err) && l.evict() {
				continue
			}
			return nil, err
		}
		l.lastAccepted.Store(time.Now().UnixNano())
		if netpeek.Peek(tcp) == netpeek.Closed { // the client has sent nothing and left
			_ = tcp.Close()
			if l.closedEarly++; l.closedEarly%closedPerAccepted == 0 {
				l.paceAccept()
			}
			continue
		}
		l.paceAccept()
		if l.isFull() {
			l.onLimit()
			runtime.Gosched() // lets other goroutines read requests, whose connections are then not evicted
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
		l.traceClose(tcp, "connection limit, none could be evicted")
		_ = tcp.Close() // no connection could be evicted for it
	}
}

// isOutOfDescriptors reports whether err means that the process or the machine has no file descriptor left.
func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// LastAccepted returns the time at which a connection was last accepted.
func (l *Listener) LastAccepted() time.Time { return time.Unix(0, l.lastAccepted.Load()) }

func (l *Listener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns >= l.maxConns
}

// admit returns a Conn for a new connection, and evicts another connection if the limit is reached. It returns nil if
// none can be evicted.
func (l *Listener) admit(tcp *net.TCPConn) *Conn {
	raw, err := tcp.SyscallConn()
	if err != nil { // never happens: tcp is valid
		return nil
	}
	if l.isFull() && !l.evict() {
		return nil
	}
	c := &Conn{TCPConn: tcp, listener: l, raw: raw}
	c.read = newSocketRead(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns++
	l.conns[c] = struct{}{}
	c.enqueue(&l.awaitingFirst)
	return c
}

// release removes a closed connection from the open connections, and ends its hold on memory. The caller holds l.mu.
func (l *Listener) release(c *Conn) {
	c.releaseMemory()
	delete(l.conns, c)
	l.openConns--
	l.closeIfDrained()
}
