package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"hazelwing/internal/budget"
)

// phase says to which part of a request the next bytes of a connection belong.
type phase int

const (
	// head: the bytes belong to the head of the next request. They are passed on up to its end.
	head phase = iota
	// body: the bytes belong to the body of the request. They are passed on up to its end.
	body
	// requestOpen: the request has arrived and its response has not begun. The bytes are read ahead.
	requestOpen
)

// unknownLength is the length of a body that does not end after a known number of bytes.
const unknownLength = -1

// BeginBody records the length of the open request's body, or a negative number if it is not known. The handler of a
// request must call it first.
func (c *Conn) BeginBody(length int64) {
	if c == nil || length == 0 {
		return
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.phase = body
	c.bodyLeft = max(length, unknownLength)
}

// Read returns the data that was read ahead, and then data from the socket, but no data beyond the end of the head or
// the body that arrives. While a request is open, it blocks and reads ahead instead of returning data.
//
// Guard: prevents a disconnect that follows further data from going unnoticed. The background read of net/http would
// return with the first byte of that data, and work for a disconnected client would continue. This holds because Read
// stores the data itself, and returns during a request only at the end of the stream, on an error, or when the
// read-ahead limit is reached.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for {
		n, err := c.readOnce(b)
		switch {
		case n > 0 || errors.Is(err, io.EOF):
			return n, err
		case errors.Is(err, errHeadNeedsMemory) && c.reserveHead():
		case errors.Is(err, errHeadNeedsMemory) || errors.Is(err, errHeadRejected):
			return 0, c.rejectHead()
		default:
			return 0, err
		}
	}
}

// readOnce returns the data that was read ahead, or waits for data from the socket. It allocates nothing, since it is
// called several times for each request.
func (c *Conn) readOnce(b []byte) (int, error) {
	if n, err := c.readBuffered(b); n > 0 || err != nil {
		return n, err
	}
	c.read.buffer = b
	err := c.raw.Read(c.read.step)
	n, readErr := c.read.n, c.read.err
	c.read.buffer, c.read.n, c.read.err = nil, 0, nil
	switch {
	case err != nil:
		return 0, err
	case n > 0:
		return n, nil
	}
	return 0, readErr
}

// socketRead is the state of a read from the socket. Only the goroutine that calls Read uses it.
type socketRead struct {
	step   func(fd uintptr) (done bool) // reads once; an argument of syscall.RawConn.Read
	buffer []byte
	n      int
	err    error
}

// newSocketRead returns the state of c's reads.
func newSocketRead(c *Conn) *socketRead {
	r := new(socketRead)
	r.step = func(fd uintptr) (done bool) {
		r.n, r.err = c.readSocket(int(fd), r.buffer)
		return r.n > 0 || !errors.Is(r.err, syscall.EAGAIN)
	}
	return r
}

// readError returns the error of Read for the error of a system call: EAGAIN and io.EOF stay as they are.
func (c *Conn) readError(err error) error {
	if err == nil || errors.Is(err, syscall.EAGAIN) || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{
		Op:     "read",
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    os.NewSyscallError("read", err),
	}
}

// readSocket reads the available data from the socket, and fills b with the data that Read may return. While a request
// is open, it reads ahead. The error is nil if b has received data, EAGAIN if there is no data for b yet, io.EOF at the
// end of the stream, and errHeadRejected or errHeadNeedsMemory if the head is not passed on.
//
// Guard: prevents closeIfIdle from closing a connection after data was read from the socket and before it is recorded
// in c.received: the client of a request that has begun to arrive would get a reset. This holds because readMu is held
// until the data is recorded.
func (c *Conn) readSocket(fd int, b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if n, err := c.takeBuffered(b); n > 0 || err != nil {
		return n, err
	}
	switch c.phase {
	case body:
		n, err := c.readBody(fd, b)
		return n, c.readError(err)
	case head:
		if err := c.readHead(fd); err != nil {
			return 0, c.readError(err)
		}
	case requestOpen:
		if err := c.fillReadAhead(fd); !c.paused {
			return 0, c.readError(err)
		}
	}
	n, err := c.takeBuffered(b)
	if n == 0 && err == nil {
		err = syscall.EAGAIN
	}
	return n, err
}

// readBody reads data of the request's body into b. The caller holds readMu.
func (c *Conn) readBody(fd int, b []byte) (int, error) {
	if c.bodyLeft >= 0 {
		b = b[:min(int64(len(b)), c.bodyLeft)]
	}
	n, err := readAvailable(fd, b)
	if n > 0 {
		c.received = true
		c.lastReadAt = time.Now()
		c.bodyRead(n)
	}
	return n, err
}

// bodyRead records that n bytes of the body were passed on. After the last one, the request is open. The caller holds
// readMu.
func (c *Conn) bodyRead(n int) {
	if c.bodyLeft < 0 {
		return
	}
	if c.bodyLeft -= int64(n); c.bodyLeft == 0 {
		c.phase = requestOpen
	}
}

// readHead reads data that begins with the head of a request, or a part of it, into the empty read-ahead queue. The
// caller holds readMu.
func (c *Conn) readHead(fd int) error {
	n, err := readAvailable(fd, c.readAhead.grow())
	if n == 0 {
		c.releaseReadAhead()
		return err
	}
	c.readAhead.end += n
	c.received = true
	c.lastReadAt = time.Now()
	return nil
}

// readAvailable reads the available data from the socket. The error is EAGAIN if there is none, and io.EOF at the end
// of the stream.
func readAvailable(fd int, b []byte) (int, error) {
	for {
		switch n, err := syscall.Read(fd, b); {
		case errors.Is(err, syscall.EINTR):
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// readBuffered acquires readMu and calls takeBuffered.
func (c *Conn) readBuffered(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.takeBuffered(b)
}

// reserveHead reserves memory for the next part of a head, and reports whether there was any.
func (c *Conn) reserveHead() bool {
	if !c.Reserve(headStep) {
		return false
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.headReserved += headStep
	return true
}

// takeBuffered moves read-ahead data to b and returns its length: data of the head up to its end, or of the body up to
// its end. It moves nothing while a request is open, unless the read-ahead limit was reached. The caller holds readMu.
func (c *Conn) takeBuffered(b []byte) (int, error) {
	if c.readAhead.isEmpty() || c.phase == requestOpen && !c.paused {
		return 0, nil
	}
	switch c.phase {
	case head:
		data := c.readAhead.first()
		return c.takeHead(b, data[:min(len(data), len(b))])
	case body:
		if c.bodyLeft >= 0 {
			b = b[:min(int64(len(b)), c.bodyLeft)]
		}
	}
	n := c.readAhead.read(b)
	if c.phase == body {
		c.bodyRead(n)
	}
	if c.readAhead.isEmpty() {
		c.releaseReadAhead()
	}
	return n, nil
}

// takeHead moves data of the head to b. It moves nothing if the head is rejected or needs memory. The caller holds
// readMu.
func (c *Conn) takeHead(b, data []byte) (int, error) {
	next := c.head
	n := next.scan(data)
	if next.fields > maxHeadFields {
		return 0, errHeadRejected
	}
	if next.memory() > freeHeadBytes+c.headReserved {
		return 0, errHeadNeedsMemory
	}
	c.head = next
	c.readAhead.read(b[:n])
	if c.readAhead.isEmpty() {
		c.releaseReadAhead()
	}
	if c.head.ended {
		c.head = headScanner{}
		c.phase = requestOpen
	}
	return n, nil
}

// releaseReadAhead discards the data that was read ahead, and returns its memory. The caller holds readMu.
func (c *Conn) releaseReadAhead() {
	c.readAhead.release()
	c.listener.memory.Release(budget.ReadAhead, c.borrowed)
	c.borrowed = 0
}
