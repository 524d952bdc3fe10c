package clientconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// MaxHeaderBytes limits the header of a request. A higher value takes more memory for each connection, also for
// read-ahead.
const MaxHeaderBytes = 32 << 10

// Read returns the data that was read ahead, and then data from the socket. While a request is open, it blocks and
// reads ahead instead of returning data.
//
// Guard: prevents a disconnect that follows further data from going unnoticed. The background read of net/http would
// return with the first byte of that data, and work for a disconnected client would continue. This holds because Read
// stores the data itself, and returns during a request only at the end of the stream, on an error, or when the
// read-ahead limit is reached.
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

// readSocket reads the available data from the socket, and fills b with the data that Read may return. While a request
// is open, it reads ahead. The error is nil if b has received data, EAGAIN if there is no data for b yet, and io.EOF at
// the end of the stream.
//
// Guard: prevents closeIfIdle from closing a connection after data was read from the socket and before it is recorded
// in c.received: the client of a request that has begun to arrive would get a reset. This holds because readMu is held
// until the data is recorded.
func (c *Conn) readSocket(fd int, b []byte) (int, error) {
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
