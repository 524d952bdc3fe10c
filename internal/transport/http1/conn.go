package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// conn is a connection to an endpoint. It carries at most one request at a time.
type conn struct {
	net.Conn
	process       process           // process that the connection was opened to
	limitedReader *io.LimitedReader // limits the bytes of one response
	reader        *bufio.Reader     // reads from limitedReader
	idleSince     time.Time         // when the connection was last returned to the pool; zero if never
	respondedAt   time.Time         // when the last response was read to its end; zero if there was none
	reuseTimer    *time.Timer       // expires at the end of reuseDelay; nil until an exchange has waited for that
	releaseSlot   func()            // frees the connection's slot; further calls have no effect

	responsePauseTimeout time.Duration // longest pause within a response
	responsePauseTimer   *time.Timer   // expires after responsePauseTimeout; nil unless a response is being read
}

// dial opens a connection to a process. The caller has acquired a slot for it; if dialling fails, dial releases the
// slot.
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

// Read reads from the connection. If it receives data while a response is being read, it restarts responsePauseTimer.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.responsePauseTimer != nil {
		c.responsePauseTimer.Reset(c.responsePauseTimeout)
	}
	return n, err
}

// Close closes the connection. It frees the connection's slot after the file descriptor is free.
//
// Guard: prevents the use of more file descriptors than the limit allows. If the slot were released before the close,
// another connection could be opened in between, and its dial could fail with EMFILE. This holds because the slot is
// released after the close.
func (c *conn) Close() error {
	defer c.releaseSlot()
	return c.Conn.Close()
}
