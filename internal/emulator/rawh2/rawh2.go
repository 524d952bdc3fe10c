// Package rawh2 is a gRPC server written frame by frame, for what a well-behaved one never does: it refuses streams,
// says GOAWAY below a stream that is open, reads nothing, or breaks when it has read all (RFC 9113; gRPC over HTTP/2).
package rawh2

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// Server accepts connections until Close. Serve is called for each stream once its headers are here, in the goroutine
// of its connection, and again for each message (DATA frame) of it.
type Server struct {
	l     net.Listener
	serve func(s *Stream)
	limit uint32
	reset func(s *Stream)

	mu    sync.Mutex
	conns map[net.Conn]bool
	all   sync.WaitGroup
}

// Option changes a server.
type Option func(*Server)

// MaxStreams is what the server allows at a time on a connection.
func MaxStreams(n uint32) Option { return func(s *Server) { s.limit = n } }

// OnReset is called when a client resets a stream, in the goroutine of its connection.
func OnReset(do func(s *Stream)) Option { return func(s *Server) { s.reset = do } }

// New starts one on loopback.
func New(serve func(*Stream), opts ...Option) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{l: l, serve: serve, conns: map[net.Conn]bool{}}
	for _, o := range opts {
		o(s)
	}
	s.all.Go(s.accept)
	return s, nil
}

// Start starts one until the test ends, and returns where it listens.
func Start(t testing.TB, serve func(*Stream), opts ...Option) string {
	t.Helper()
	s, err := New(serve, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr()
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Close ends it, and all connections.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.all.Go(func() { s.conn(c) })
	}
}

func (s *Server) conn(c net.Conn) {
	defer c.Close()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c, preface); err != nil {
		return
	}
	w := &writer{Framer: http2.NewFramer(c, c), c: c}
	f := w.Framer // reads are this goroutine's alone
	f.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	var settings []http2.Setting
	if s.limit > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: s.limit})
	}
	w.write(func() { f.WriteSettings(settings...) })
	streams := map[uint32]*Stream{}
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		switch v := frame.(type) {
		case *http2.SettingsFrame:
			if !v.IsAck() {
				w.write(func() { f.WriteSettingsAck() })
			}
		case *http2.PingFrame:
			if !v.IsAck() {
				w.write(func() { f.WritePing(true, v.Data) })
			}
		case *http2.MetaHeadersFrame:
			st := &Stream{ID: v.StreamID, w: w, Path: v.PseudoValue("path")}
			for _, h := range v.RegularFields() {
				if h.Name == "x-request-id" {
					st.RequestID = h.Value
				}
			}
			streams[st.ID] = st
			s.serve(st)
		case *http2.RSTStreamFrame:
			if st := streams[v.StreamID]; st != nil && s.reset != nil {
				s.reset(st)
			}
		case *http2.DataFrame:
			if st := streams[v.StreamID]; st != nil {
				st.Data = append(st.Data, v.Data()...)
				st.Whole = v.StreamEnded()
				s.serve(st)
			}
		}
	}
}

// Stream is one of a client's.
type Stream struct {
	ID        uint32
	Path      string
	RequestID string
	Data      []byte // of its DATA frames so far
	Whole     bool   // its last one has come

	w *writer
}

// writer lets any goroutine write frames: the connection's own answers pings while tests answer streams.
type writer struct {
	*http2.Framer
	c  net.Conn
	mu sync.Mutex
}

func (w *writer) write(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// Refuse resets the stream with REFUSED_STREAM: none of it was processed.
func (s *Stream) Refuse() { s.reset(http2.ErrCodeRefusedStream) }

// Reset resets it with INTERNAL_ERROR: that says nothing.
func (s *Stream) Reset() { s.reset(http2.ErrCodeInternal) }

func (s *Stream) reset(code http2.ErrCode) { s.w.write(func() { s.w.WriteRSTStream(s.ID, code) }) }

// GoAway says that no stream from this one on was or will be processed, and closes the connection.
func (s *Stream) GoAway() {
	s.w.write(func() { s.w.WriteGoAway(s.ID-1, http2.ErrCodeNo, nil) })
	s.w.c.Close()
}

// Break ends the connection without a word.
func (s *Stream) Break() { s.w.c.Close() }

// Header begins the answer.
func (s *Stream) Header() {
	s.headers(false, ":status", "200", "content-type", "application/grpc")
}

// Message sends a message.
func (s *Stream) Message(data []byte) {
	head := make([]byte, 5, 5+len(data))
	binary.BigEndian.PutUint32(head[1:], uint32(len(data)))
	s.w.write(func() { s.w.WriteData(s.ID, false, append(head, data...)) })
}

// End sends the trailers; more are pairs of names and values.
func (s *Stream) End(status string, more ...string) {
	s.headers(true, append([]string{"grpc-status", status}, more...)...)
}

// Only answers with trailers alone.
func (s *Stream) Only(status string, more ...string) {
	s.headers(true, append([]string{":status", "200", "content-type", "application/grpc", "grpc-status", status}, more...)...)
}

// OK answers whole.
func (s *Stream) OK(data []byte) {
	s.Header()
	s.Message(data)
	s.End("0")
}

func (s *Stream) headers(end bool, pairs ...string) {
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for i := 0; i < len(pairs); i += 2 {
		enc.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]})
	}
	s.w.write(func() {
		s.w.WriteHeaders(http2.HeadersFrameParam{StreamID: s.ID, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: end})
	})
}
