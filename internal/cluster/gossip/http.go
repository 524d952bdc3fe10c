package gossip

import (
	"net"
	"net/http"
	"sync"
)

// httpServer serves HTTP on connections that the stream listener has accepted. It
// implements net.Listener, and its http.Server accepts these connections from it.
type httpServer struct {
	server    *http.Server
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu   sync.Mutex
	open int // number of connections that were offered and are not closed
}

func newHTTPServer(handler http.Handler) *httpServer {
	return &httpServer{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: httpReadHeaderTimeout,
			IdleTimeout:       httpIdleTimeout,
			MaxHeaderBytes:    httpMaxHeaderBytes,
		},
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
}

// serve serves requests until close is called.
func (s *httpServer) serve() {
	_ = s.server.Serve(s) // Serve always returns an error, which says that the listener is closed.
}

// close stops serving and closes all connections.
func (s *httpServer) close() {
	_ = s.Close()        // The error is always nil.
	_ = s.server.Close() // Requests in progress are aborted, so an error has no consequence.
}

// offer hands a connection over to the server. If MaxHTTPConns connections are open or the
// server is closed, it returns false, and the caller has to close the connection.
func (s *httpServer) offer(c *peekedConn) bool {
	s.mu.Lock()
	if s.open >= MaxHTTPConns {
		s.mu.Unlock()
		return false
	}
	s.open++
	s.mu.Unlock()
	c.onClose = sync.OnceFunc(func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	})
	select {
	case s.conns <- c:
		return true
	case <-s.closed:
		c.onClose()
		return false
	}
}

// Accept returns the next connection that was offered. The http.Server calls it.
func (s *httpServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed. It always returns nil.
func (s *httpServer) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// Addr returns an empty address, because the stream listener accepts the connections.
func (s *httpServer) Addr() net.Addr { return &net.TCPAddr{} }

// peekedConn is a connection whose first bytes have been read. Read returns them first.
type peekedConn struct {
	net.Conn
	head    []byte // bytes read from Conn and not yet returned by Read
	onClose func() // each call of Close calls onClose; may be nil
}

// Read returns the bytes in head first, and then reads from the connection.
func (c *peekedConn) Read(b []byte) (int, error) {
	if len(c.head) > 0 {
		n := copy(b, c.head)
		c.head = c.head[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// Close closes the connection and calls onClose, which decrements httpServer.open.
func (c *peekedConn) Close() error {
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}
