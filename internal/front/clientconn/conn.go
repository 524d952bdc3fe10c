package clientconn

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"hazelwing/internal/budget"
	"hazelwing/internal/netpeek"
)

// Conn is a client's connection. While a request is open, it reads ahead: it stores data that the client sends after
// the request, so that a disconnect after that data is noticed.
//
// The methods may be called from any goroutine, except Forwarded, which the handler of a request calls. On a nil Conn,
// the methods for handlers do nothing, Reserve returns true, and Disconnected, MayHaveLeft and TooManyIdle return
// false.
type Conn struct {
	*net.TCPConn
	listener *Listener
	raw      syscall.RawConn
	read     *socketRead

	// Only the goroutine that serves the connection uses the fields of this group.
	forwarded  bool          // an endpoint was asked for the latest request
	ownLimiter *rate.Limiter // requests without an attempt; nil until there is one

	// The fields of this group are guarded by the listener's mutex.
	element   *list.Element // position in queue; nil during a request and its response, and once closed
	queue     *list.List    // idle queue that holds the connection
	closed    bool
	hasServed bool // at least one response was written

	request  *budget.Reservation // memory of the latest request; nil if it needs none
	response *budget.Reservation // memory of the latest response; nil if it needs none

	writingSince atomic.Int64 // when the present part of a response began to be written, in Unix nanoseconds; 0: none

	readMu       sync.Mutex // guards the fields of this group; acquired after the listener's mutex
	phase        phase
	bodyLeft     int64       // bytes of the body that are still to be passed on, or unknownLength
	head         headScanner // the part of the head that was passed on
	headReserved int64       // memory that is reserved for the head
	lastReadAt   time.Time   // when data of the head or the body was last read
	received     bool        // data was received after the last response began, or was read ahead before that
	readAhead    byteQueue   // data received and not passed on
	borrowed     int64       // memory of the listener's account that readAhead has
	paused       bool        // the read-ahead limit was reached: Read returns data although a request is open
}

// BeginRequest marks the start of a valid request. Data that the client sends is read ahead until the response begins.
// The connection is not evicted until the response is written.
func (c *Conn) BeginRequest() {
	if c == nil {
		return
	}
	c.readMu.Lock()
	c.phase = requestOpen
	c.readMu.Unlock()
	c.listener.mu.Lock()
	c.dequeue()
	c.listener.mu.Unlock()
}

// BeginResponse marks the start of a response. Data that is read from then on belongs to the next request.
func (c *Conn) BeginResponse() {
	if c == nil {
		return
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.phase != body { // otherwise net/http reads the rest of the body after the response
		c.beginHead()
	}
	c.paused = false
	c.received = !c.readAhead.isEmpty()
}

// beginHead records that the next bytes belong to the head of the next request. The caller holds readMu.
func (c *Conn) beginHead() {
	c.phase = head
	c.head = headScanner{}
	c.headReserved = 0
}

// Disconnected reports whether the client has disconnected, that is, whether it has closed or reset its connection or
// closed its sending half. It reads ahead unread data and then queries the kernel. It does not block.
//
// Guard: prevents work for a client that has already disconnected, when this machine is slow. A close may stay unread
// in the kernel for longer than clients wait, and a close that follows more data than the kernel buffers does not
// arrive until that data is read. The symptom is an attempt that starts after its client has disconnected. This holds
// because Disconnected itself reads ahead, up to the limit of fillReadAhead.
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
	// raw.Read would wait for a concurrent Read to finish; raw.Control does not. raw.Control fails only if c was closed
	// on this side.
	_ = c.raw.Control(func(fd uintptr) {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		if c.phase == requestOpen {
			_ = c.fillReadAhead(int(fd)) // PeerClosed below detects a close or a reset
		}
	})
	return netpeek.PeerClosed(c.TCPConn)
}

// responseWritten marks the end of a response. The connection becomes idle; if the listener is stopping, the connection
// is closed unless its next request has begun to arrive.
func (c *Conn) responseWritten() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasServed = true
	c.releaseMemory()
	c.readMu.Lock()
	if c.phase != head {
		c.beginHead()
	}
	c.readMu.Unlock()
	if !c.closed && c.element == nil {
		c.enqueue(&c.listener.awaitingNext)
	}
	if !c.closed && c.listener.stopping {
		c.closeIfIdle()
	}
}

// enqueue appends the connection to an idle queue. The caller holds the listener's mutex.
func (c *Conn) enqueue(queue *list.List) {
	c.queue = queue
	c.element = queue.PushBack(c)
}

// dequeue removes the connection from its idle queue, if it is in one. The caller holds the listener's mutex.
func (c *Conn) dequeue() {
	if c.element != nil {
		c.queue.Remove(c.element)
		c.element = nil
	}
}

// markClosed marks the connection as closed, and reports whether this is the first call. Only the first caller closes
// the socket and releases the connection. The caller holds the listener's mutex.
func (c *Conn) markClosed() (first bool) {
	first = !c.closed
	c.closed = true
	c.dequeue()
	return first
}

// closeSocket closes the socket, and returns when the file descriptor is free.
func (c *Conn) closeSocket() error {
	err := c.TCPConn.Close()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.releaseReadAhead()
	return err
}

// Close closes the connection. It frees the connection's place under the limit after the file descriptor is free.
//
// Guard: prevents the use of more file descriptors than the limit allows. If the place were freed before the socket is
// closed, another connection could be accepted in between, and accept could fail with EMFILE. This holds because
// release is called after closeSocket.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	first := c.markClosed()
	c.listener.mu.Unlock()
	if !first {
		return nil
	}
	c.listener.traceClose(c, "closed by the client, or after its last response or a timeout")
	err := c.closeSocket()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.release(c)
	return err
}

type contextKey struct{}

// NewContext returns a context for the requests that are received on c.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromRequest returns the connection on which a request was received, or nil if it is not a Conn.
func FromRequest(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}
