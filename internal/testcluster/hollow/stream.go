package hollow

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// trafficCounter counts the stream traffic of a member or of discovery, and the datagrams that it sends.
type trafficCounter struct {
	bytesWritten, bytesRead          atomic.Int64
	writes, reads                    atomic.Int64
	datagramsSent, datagramBytesSent atomic.Int64
}

func (t *trafficCounter) countRead(n int) {
	t.bytesRead.Add(int64(n))
	t.reads.Add(1)
}

func (t *trafficCounter) countWrite(n int) {
	t.bytesWritten.Add(int64(n))
	t.writes.Add(1)
}

// stream is the dialling side of a connection between two locations. It applies the cuts and delays of their link.
type stream struct {
	net.Conn
	links    *Links
	from, to Location
	counter  *trafficCounter
	// peerCounter is the counter of the accepting side; nil if that side counts its traffic itself.
	peerCounter *trafficCounter
	closed      chan struct{}
	once        sync.Once
	onClose     func()
}

// Read implements net.Conn.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if !s.links.waitOpen(s.from, s.to, s.closed) {
		return 0, net.ErrClosed
	}
	if n > 0 {
		s.counter.countRead(n)
		if s.peerCounter != nil {
			s.peerCounter.countWrite(n)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (s *stream) Write(b []byte) (int, error) {
	if !s.links.waitOpen(s.from, s.to, s.closed) {
		return 0, net.ErrClosed
	}
	n, err := s.Conn.Write(b)
	s.counter.countWrite(n)
	if s.peerCounter != nil {
		s.peerCounter.countRead(n)
	}
	return n, err
}

// Close implements net.Conn. The other side sees the close at once or, if the link is cut, once the link has been
// healed.
func (s *stream) Close() (err error) {
	s.once.Do(func() {
		close(s.closed)
		s.onClose()
		s.links.mu.Lock()
		defer s.links.mu.Unlock()
		if s.links.closing != nil && s.links.linkBetween(s.from, s.to).Cut {
			err = s.SetReadDeadline(time.Unix(1, 0)) // unblocks a pending Read
			s.links.closing[s] = true
			return
		}
		err = s.Conn.Close()
	})
	return err
}

// acceptedConn is the accepting side of a connection. It counts the traffic.
type acceptedConn struct {
	net.Conn
	counter *trafficCounter
	once    sync.Once
	onClose func()
}

// Read implements net.Conn.
func (c *acceptedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.counter.countRead(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *acceptedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.countWrite(n)
	return n, err
}

// Close implements net.Conn.
func (c *acceptedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}
