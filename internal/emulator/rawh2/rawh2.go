// Package rawh2 is a gRPC server that tests control at the level of HTTP/2 frames to cause faults at exact moments. It
// can refuse streams, send GOAWAY with a last stream ID below an open stream's ID, stop reading, or close the
// connection after it has read a complete request (RFC 9113; gRPC over HTTP/2).
package rawh2

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// headerTableBytes is the size in bytes of the table for header compression (RFC 7541, 4.2).
const headerTableBytes = 4096

// Server accepts connections until Close. For each stream it calls the function given to New once the headers have been
// read, and again after each DATA frame, in the goroutine of the connection.
type Server struct {
	listener   net.Listener
	serve      func(s *Stream)
	maxStreams uint32
	onReset    func(s *Stream)
	tasks      sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Option configures a server.
type Option func(*Server)

// MaxStreams sets the maximum number of concurrent streams that the server announces; 0: no limit is announced.
func MaxStreams(n uint32) Option { return func(s *Server) { s.maxStreams = n } }

// OnReset sets a function that is called when a client resets a stream, in the goroutine of the connection.
func OnReset(do func(s *Stream)) Option { return func(s *Server) { s.onReset = do } }

// New starts a server on loopback.
func New(serve func(*Stream), options ...Option) (*Server, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, serve: serve, conns: map[net.Conn]bool{}}
	for _, option := range options {
		option(s)
	}
	s.tasks.Go(s.accept)
	return s, nil
}

// Start starts a server that runs until the test ends, and returns its address.
func Start(t testing.TB, serve func(*Stream), options ...Option) string {
	t.Helper()
	s, err := New(serve, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr()
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server, closes all connections and waits for their goroutines.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		s.tasks.Go(func() { s.serveConn(conn) })
	}
}

// serveConn reads and handles the frames of a connection until it ends.
func (s *Server) serveConn(netConn net.Conn) {
	defer func() { _ = netConn.Close() }()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(netConn, preface); err != nil {
		return
	}
	c := newConn(netConn)
	var settings []http2.Setting
	if s.maxStreams > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: s.maxStreams})
	}
	c.write(func(f *http2.Framer) error { return f.WriteSettings(settings...) })
	streams := map[uint32]*Stream{}
	for {
		frame, err := c.framer.ReadFrame()
		if err != nil {
			return
		}
		s.handleFrame(c, streams, frame)
	}
}

// handleFrame responds to a frame that concerns the connection, or updates the stream of the frame and calls the
// server's function for it.
func (s *Server) handleFrame(c *conn, streams map[uint32]*Stream, frame http2.Frame) {
	switch frame := frame.(type) {
	case *http2.SettingsFrame:
		if !frame.IsAck() {
			c.write((*http2.Framer).WriteSettingsAck)
		}
	case *http2.PingFrame:
		if !frame.IsAck() {
			c.write(func(f *http2.Framer) error { return f.WritePing(true, frame.Data) })
		}
	case *http2.MetaHeadersFrame:
		stream := newStream(c, frame)
		streams[stream.ID] = stream
		s.serve(stream)
	case *http2.RSTStreamFrame:
		if stream := streams[frame.StreamID]; stream != nil && s.onReset != nil {
			s.onReset(stream)
		}
	case *http2.DataFrame:
		if stream := streams[frame.StreamID]; stream != nil {
			stream.Data = append(stream.Data, frame.Data()...)
			stream.Complete = frame.StreamEnded()
			s.serve(stream)
		}
	}
}

// conn is a connection. Only the goroutine that runs serveConn reads frames. Several goroutines write frames: serveConn
// acknowledges pings while a test writes to a stream. Therefore writeMu guards writes.
type conn struct {
	netConn net.Conn
	framer  *http2.Framer

	writeMu sync.Mutex // guards writes to framer
}

func newConn(netConn net.Conn) *conn {
	framer := http2.NewFramer(netConn, netConn)
	framer.ReadMetaHeaders = hpack.NewDecoder(headerTableBytes, nil)
	return &conn{netConn: netConn, framer: framer}
}

// write writes a frame with the function do. The error is ignored: a write fails only after the connection has ended,
// and then reads fail too.
func (c *conn) write(do func(f *http2.Framer) error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = do(c.framer)
}

func (c *conn) close() { _ = c.netConn.Close() }
