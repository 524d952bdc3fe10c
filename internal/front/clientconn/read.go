package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"hazelwing/internal/httpmsg"
)

// MaxHeaderBytes is the limit on the header of a request.
const MaxHeaderBytes = 32 << 10

// Limits on what a client may send ahead while its request is open. Beyond them its connection is not read until the
// response begins.
const (
	// minReadAhead is for each connection: the size of one request.
	minReadAhead = MaxHeaderBytes + httpmsg.MaxBodyBytes
	// maxReadAhead applies as long as there is something in the pool that all connections of a listener share.
	maxReadAhead = minReadAhead + 14*borrowStep
	// chunkSize is how much is read at a time, in bytes.
	chunkSize = 32 << 10
)

// Read returns what was read ahead, and then what the kernel has. While a request is open, it blocks and reads ahead.
func (c *Conn) Read(b []byte) (int, error) {
	if n := c.readBuffered(b); n > 0 || len(b) == 0 {
		return n, nil
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		n, readErr = c.readSocket(int(fd), b)
		return n > 0 || !errors.Is(readErr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case n > 0 || errors.Is(readErr, io.EOF):
		return n, readErr
	}
	return 0, &net.OpError{
		Op:     "read",
		Net:    "tcp",
		Source: c.LocalAddr(),
		Addr:   c.RemoteAddr(),
		Err:    os.NewSyscallError("read", readErr),
	}
}

// readSocket reads what the kernel has, ahead while a request is open, and fills b with what may be returned. The
// error is nil if there is something; it is EAGAIN if there is nothing to return yet, and io.EOF at the end.
func (c *Conn) readSocket(fd int, b []byte) (int, error) {
	// The lock is held until what was taken from the kernel is recorded. This prevents closeIfIdle from closing a
	// connection between the two.
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if n := c.takeBuffered(b); n > 0 {
		return n, nil
	}
	if c.requestOpen {
		err := c.fillReadAhead(fd)
		if n := c.takeBuffered(b); n > 0 {
			return n, nil
		}
		return 0, err
	}
	n, err := readAvailable(fd, b)
	if n > 0 {
		c.received = true
	}
	return n, err
}

// readAvailable reads what the kernel has; at the end the error is io.EOF.
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

// fillReadAhead reads ahead until the kernel has no more, or no more may be read ahead: the error is EAGAIN then.
// readMu is held.
func (c *Conn) fillReadAhead(fd int) error {
	for {
		space := c.readAhead.free()
		if len(space) == 0 {
			if !c.reserveChunk() {
				return syscall.EAGAIN
			}
			space = c.readAhead.grow()
		}
		n, err := readAvailable(fd, space)
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

// reserveChunk reports whether another chunk may be read ahead, and pauses reading if not. readMu is held.
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

// releaseReadAhead discards what was read ahead, and returns what was borrowed. readMu is held.
func (c *Conn) releaseReadAhead() {
	c.readAhead.release()
	c.listener.readAheadPool.Add(int64(c.borrowed))
	c.borrowed = 0
}

// readBuffered moves to b what was read ahead, as takeBuffered does.
func (c *Conn) readBuffered(b []byte) int {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.takeBuffered(b)
}

// takeBuffered moves to b what was read ahead, unless a request is open and more may be read ahead. readMu is held.
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
