package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"hazelwing/internal/netpeek"
)

// conn is a connection to an upstream, with at most one request on it.
type conn struct {
	net.Conn
	process     process           // the process that it was opened to
	limited     *io.LimitedReader // limits the bytes of one response
	reader      *bufio.Reader     // reads from limited
	idleSince   time.Time         // zero: it has carried no request yet
	releaseSlot func()            // frees its slot among the open connections; may be called again

	stallTimeout time.Duration // how long a response that has begun may pause
	stallTimer   *time.Timer   // nil unless a response is being read
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
		Conn:         netConn,
		process:      to,
		releaseSlot:  sync.OnceFunc(releaseSlot),
		stallTimeout: p.dialer.Timeout,
	}
	c.limited = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.limited)
	return c, nil
}

// Read reads from the connection and restarts the stall timer, if there is one, when bytes have come.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.stallTimer != nil {
		c.stallTimer.Reset(c.stallTimeout)
	}
	return n, err
}

// Close closes the connection, and frees its slot once the descriptor is free.
func (c *conn) Close() error {
	defer c.releaseSlot()
	return c.Conn.Close()
}

// peek returns the state of an idle connection: it can be used if the upstream has neither sent anything on it nor
// closed it. This prevents a request from being written to a connection that the upstream closed, or that its crash
// reset: that request would count as reset.
func (c *conn) peek() netpeek.State {
	if c.reader.Buffered() > 0 {
		return netpeek.Readable
	}
	return netpeek.Peek(c.Conn)
}
