package clientconn

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"hazelwing/internal/netpeek"
)

// Conn is a client's connection. While a request is open it reads ahead what the client sends.
//
// The methods may be called from any goroutine. BeginRequest, BeginResponse, Disconnected and TooManyIdle do nothing
// on a nil Conn.
type Conn struct {
	*net.TCPConn
	listener *Listener
	raw      syscall.RawConn

	// The listener's lock guards these.
	element   *list.Element // in queue; nil while a request is open
	queue     *list.List    // the idle queue that it is in
	closed    bool
	hasServed bool // a response of some kind was written on it

	readMu      sync.Mutex // guards these; taken after the listener's lock
	requestOpen bool       // a complete request has been received, and its response has not begun
	received    bool       // something was received since the last response began
	readAhead   byteQueue  // what was received while a request was open
	borrowed    int        // bytes of the listener's pool that readAhead may use
	paused      bool       // no more may be read ahead: nothing is read until the response begins
}

// BeginRequest marks the start of a valid request: until its response is written the connection is not closed, and it
// is read ahead.
func (c *Conn) BeginRequest() {
	if c == nil {
		return
	}
	c.readMu.Lock()
	c.requestOpen = true
	c.readMu.Unlock()
	c.listener.mu.Lock()
	c.dequeue()
	c.listener.mu.Unlock()
}

// BeginResponse marks the start of a response: what is read from then on belongs to the next request.
func (c *Conn) BeginResponse() {
	if c == nil {
		return
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.requestOpen = false
	c.paused = false
	c.received = !c.readAhead.isEmpty()
}

// Disconnected decides whether the client has left: it has closed its connection, or its sending half, or reset it. It
// asks the kernel, and does not block; what the client has sent before its close is read ahead first.
//
// Guard: prevents work for nobody where this machine is slow: a close waits unread in the kernel for longer than a
// client waits, and one behind more than the kernel's buffers hold arrives only once there is room. It shows as an
// attempt that begins after its client has left. It holds, up to maxReadAhead, because this look reads ahead itself.
func (c *Conn) Disconnected() bool {
	if c == nil {
		return false
	}
	switch netpeek.Peek(c.TCPConn) {
	case netpeek.Closed:
		return true
	case netpeek.Idle:
		return false
	}
	// Control, because raw.Read would wait for a goroutine that reads. It fails only where c was closed on this side.
	_ = c.raw.Control(func(fd uintptr) {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		if c.requestOpen {
			_ = c.fillReadAhead(int(fd)) // PeerClosed sees an end or a reset
		}
	})
	return netpeek.PeerClosed(c.TCPConn)
}

// responseWritten marks the end of a response. It makes the connection idle; a listener that stops closes it.
func (c *Conn) responseWritten() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasServed = true
	if !c.closed && c.element == nil {
		c.enqueue(&c.listener.awaitingNext)
	}
	if !c.closed && c.listener.stopping {
		c.closeIfIdle()
	}
}

// enqueue puts the connection at the end of an idle queue. The listener's lock is held.
func (c *Conn) enqueue(queue *list.List) {
	c.queue = queue
	c.element = queue.PushBack(c)
}

// dequeue takes the connection out of its idle queue, if it is in one. The listener's lock is held.
func (c *Conn) dequeue() {
	if c.element != nil {
		c.queue.Remove(c.element)
		c.element = nil
	}
}

// markClosed reports whether the caller is the first, who has to close the socket and release the connection. The
// listener's lock is held.
func (c *Conn) markClosed() (first bool) {
	first = !c.closed
	c.closed = true
	c.dequeue()
	return first
}

// closeSocket closes the socket, and returns once the descriptor is free.
func (c *Conn) closeSocket() error {
	err := c.TCPConn.Close()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.releaseReadAhead()
	return err
}

// Close closes the connection, and makes room for another one once the descriptor is free.
//
// Guard: prevents more descriptors than the limit: room that is made before the close lets another connection be
// accepted beside this one, and accept fail with EMFILE. It holds because release comes after closeSocket.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	first := c.markClosed()
	c.listener.mu.Unlock()
	if !first {
		return nil
	}
	err := c.closeSocket()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.release()
	return err
}

type contextKey struct{}

// NewContext returns a context for the requests that come on c.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromRequest returns the connection that a request came on; nil if that is not a Conn.
func FromRequest(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}
