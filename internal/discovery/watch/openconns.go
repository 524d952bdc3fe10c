package watch

import (
	"context"
	"net"
	"sync"

	"hazelwing/internal/netpeek"
)

// openConns are the open connections of a Client. It is safe for concurrent use.
type openConns struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// trackedConn is a connection that removes itself from openConns when it is closed.
type trackedConn struct {
	net.Conn
	open *openConns
}

// track returns a function that opens connections with dial and adds them.
func (o *openConns) track(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{conn, o}
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.conns == nil {
			o.conns = map[*trackedConn]struct{}{}
		}
		o.conns[tracked] = struct{}{}
		return tracked, nil
	}
}

// haveUnreadData reports whether the kernel has data of a connection that was not read yet.
func (o *openConns) haveUnreadData() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for conn := range o.conns {
		if netpeek.Peek(conn.Conn) == netpeek.Readable {
			return true
		}
	}
	return false
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.open.mu.Lock()
	delete(c.open.conns, c)
	c.open.mu.Unlock()
	return c.Conn.Close()
}
