package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// conn is a connection to an endpoint, with at most one request on it.
type conn struct {
	net.Conn
	process       process           // the process that it was opened to
	limitedReader *io.LimitedReader // limits the bytes of one response
	reader        *bufio.Reader     // reads from limited
	idleSince     time.Time         // zero: it has carried no request yet
	releaseSlot   func()            // frees its slot among the open connections; may be called again

	responsePauseTimeout time.Duration // limit on a pause of a response that has begun
	responsePauseTimer   *time.Timer   // nil unless a response is being read
}

// dial opens a connection to a process, for which a slot was acquired.
func (p *Pool) dial(ctx context.Context, to process) (*conn, error) {
	releaseSlot := func() {
		p.mu.Lock()
		p.releaseSlot()
		p.mu.Unlock()
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		releaseSlot()
		return nil, err
	}
	c := &conn{
		Conn:                 netConn,
		process:              to,
		releaseSlot:          sync.OnceFunc(releaseSlot),
		responsePauseTimeout: p.dialer.Timeout,
	}
	c.limitedReader = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.limitedReader)
	return c, nil
}

// Read reads from the connection and restarts the stall timer, if there is one, when bytes have come.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.responsePauseTimer != nil {
		c.responsePauseTimer.Reset(c.responsePauseTimeout)
	}
	return n, err
}

// Close closes the connection, and frees its slot once the descriptor is free.
//
// Guard: prevents more descriptors than the limit: a slot that is freed before the close lets another connection be
// dialled beside this one, and a dial fail with EMFILE. It holds because the slot is released after the close.
func (c *conn) Close() error {
	defer c.releaseSlot()
	return c.Conn.Close()
}
