package clientconn

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"

	"hazelwing/internal/httpmsg"
	"hazelwing/internal/netpeek"
)

// Conn is a client's connection. It reads ahead: while a request is in hand, what comes is read and put by. Guards against
// clients that send more and leave: net/http's read in the background ends with the first byte, and the close behind it would
// go unnoticed; behind more than the kernel holds, the kernel would not even hear of it.
//
// The methods may be called from any goroutine. Those of a nil Conn do nothing.
type Conn struct {
	*net.TCPConn
	listener *Listener
	raw      syscall.RawConn

	// The listener's lock guards these.
	element   *list.Element // in queue; nil while a request is open
	queue     *list.List
	closed    bool
	hasServed bool // an answer of some kind was written on it

	readMu      sync.Mutex // guards these, and is taken after the listener's
	requestOpen bool       // a request has come whole, and its answer is not begun
	received    bool       // something was read since the last answer was begun
	readAhead   byteQueue  // what came while a request was in hand
	borrowed    int        // bytes of the listener's pool that ahead may use
	paused      bool       // no more can be put by: nothing is read until the answer is begun
}

// What a client may send while its request is in hand before it is no longer read: a request's size, and up to mostAhead in all
// as long as there is something in the pool that all clients of a listener share.
const (
	minReadAhead = MaxHeaderBytes + httpmsg.MaxBodyBytes
	maxReadAhead = minReadAhead + 14*borrowStep
	chunkSize    = 32 << 10 // is read at a time
)

// MaxHeader is what a request's header may have, in bytes.
const MaxHeaderBytes = 32 << 10

// Read reads ahead while a request is in hand.
func (c *Conn) Read(b []byte) (n int, err error) {
	if n := c.readBuffered(b); n > 0 || len(b) == 0 {
		return n, nil
	}
	fault := c.raw.Read(func(fd uintptr) bool {
		// What was taken from the kernel is known at once. Guards against closing a connection between the two (retire).
		c.readMu.Lock()
		defer c.readMu.Unlock()
		if n = c.takeBuffered(b); n > 0 {
			return true
		}
		var fault error
		if c.requestOpen {
			fault = c.fillReadAhead(int(fd))
			n = c.takeBuffered(b)
		} else if n, fault = readSome(int(fd), b); n > 0 {
			c.received = true
		}
		switch {
		case n > 0:
			return true
		case fault == syscall.EAGAIN:
			return false
		case fault == io.EOF:
			err = io.EOF
		default:
			err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", fault)}
		}
		return true
	})
	if fault != nil {
		return 0, fault
	}
	return n, err
}

// readSome reads what is there; at the other side's end the error is io.EOF.
func readSome(fd int, b []byte) (int, error) {
	for {
		switch n, err := syscall.Read(fd, b); {
		case err == syscall.EINTR:
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// readAhead puts by what the kernel has, until it has no more or no more can be put by. The lock of reading is held.
func (c *Conn) fillReadAhead(fd int) error {
	for {
		into := c.readAhead.free()
		if len(into) == 0 {
			if !c.reserveChunk() {
				return syscall.EAGAIN
			}
			into = c.readAhead.grow()
		}
		n, err := readSome(fd, into)
		if err != nil {
			if c.readAhead.isEmpty() {
				c.releaseReadAhead()
			}
			return err
		}
		c.readAhead.end += n
		c.received = true
	}
}

// hasRoom says whether another step can be put by. The lock of reading is held.
func (c *Conn) reserveChunk() bool {
	for c.readAhead.size()+chunkSize > minReadAhead+c.borrowed {
		if minReadAhead+c.borrowed == maxReadAhead || !c.listener.borrow() {
			c.paused = true
			return false
		}
		c.borrowed += borrowStep
	}
	return true
}

// giveBack lets go what is put by, and returns what was borrowed. The lock of reading is held.
func (c *Conn) releaseReadAhead() {
	c.readAhead.release()
	c.listener.readAheadPool.Add(int64(c.borrowed))
	c.borrowed = 0
}

// putBy gives out what was put by.
func (c *Conn) readBuffered(b []byte) int {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.takeBuffered(b)
}

// take gives out what was put by, unless a request is in hand and more can be. The lock of reading is held.
func (c *Conn) takeBuffered(b []byte) int {
	if c.requestOpen && !c.paused {
		return 0
	}
	n := c.readAhead.read(b)
	if n > 0 && c.readAhead.isEmpty() {
		c.releaseReadAhead()
	}
	return n
}

// quiet says that nothing has come since the last answer.
func (c *Conn) isQuiet() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return !c.received && netpeek.Peek(c.TCPConn) != netpeek.Readable
}

// Begin says that a good request has come: until its answer is out the connection stays, and it is read ahead.
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

// Done says that an answer is about to be written: what is read from then on is of the next request.
func (c *Conn) BeginResponse() {
	if c != nil {
		c.readMu.Lock()
		defer c.readMu.Unlock()
		c.requestOpen, c.paused, c.received = false, false, !c.readAhead.isEmpty()
	}
}

// Gone says that the client has closed its connection. It looks at the kernel's side, and does not block: what the client has
// sent before its close is put by first. Guards against work for nobody where this machine is behind: what a client sent waits in
// the kernel, unread, for longer than the client does, and a close behind more than that comes only once there is room.
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
	c.raw.Control(func(fd uintptr) { // Read would wait for whoever reads
		c.readMu.Lock()
		defer c.readMu.Unlock()
		if c.requestOpen {
			c.fillReadAhead(int(fd))
		}
	})
	return netpeek.PeerClosed(c.TCPConn)
}

// Crowded says that there are more connections between requests than should be kept. Guards against clients that ask once and
// stay: all clients together may hold only so many, and those with something to ask could open no more.
func (c *Conn) TooManyIdle() bool {
	if c == nil {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return float64(c.listener.openConns-c.listener.unproven.Len()) > maxIdleShare*float64(c.listener.maxConns)
}

// answered says that the answer is out.
func (c *Conn) responseWritten() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.hasServed = true
	if !c.closed && c.element == nil {
		c.enqueue(&c.listener.served)
	}
	if !c.closed && c.listener.stopping {
		c.closeIfIdle()
	}
}

// retire closes a connection that waits after an answer, unless something has come on it since. The listener's lock is held.
func (c *Conn) closeIfIdle() {
	if c.hasServed && c.isQuiet() && c.markClosed() {
		c.closeSocket()
		c.listener.release()
	}
}

// wait puts a connection at a queue's end. The listener's lock is held.
func (c *Conn) enqueue(queue *list.List) { c.queue, c.element = queue, queue.PushBack(c) }

// takeOut takes it out of the queue it is in. The listener's lock is held.
func (c *Conn) dequeue() {
	if c.element != nil {
		c.queue.Remove(c.element)
		c.element = nil
	}
}

// leave is called once before the close: from then on nobody else closes it. The listener's lock is held.
func (c *Conn) markClosed() (first bool) {
	first = !c.closed
	c.closed = true
	c.dequeue()
	return first
}

// shut closes it, and returns once the descriptor is free.
func (c *Conn) closeSocket() error {
	err := c.TCPConn.Close()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.releaseReadAhead()
	return err
}

// Close closes the connection, and gives its place back once the descriptor is free.
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

// With is ctx for a request that came on c.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Of is the connection that a request came on; nil where it came on no Conn.
func FromRequest(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}
