package rawh2

import (
	"bytes"
	"encoding/binary"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// messageHeaderBytes is the size of the header of a gRPC message: a compression flag and the length in four bytes.
const messageHeaderBytes = 5

// Stream is a stream that a client opened. The goroutine of the connection sets its fields; the methods may be called
// from any goroutine.
type Stream struct {
	ID        uint32
	Path      string
	RequestID string
	Data      []byte // content of the DATA frames read so far
	Complete  bool   // whether the last DATA frame has been read

	conn *conn
}

func newStream(c *conn, headers *http2.MetaHeadersFrame) *Stream {
	s := &Stream{ID: headers.StreamID, Path: headers.PseudoValue("path"), conn: c}
	for _, field := range headers.RegularFields() {
		if field.Name == "x-request-id" {
			s.RequestID = field.Value
		}
	}
	return s
}

// Refuse resets the stream with REFUSED_STREAM, which states that the request was not processed.
func (s *Stream) Refuse() { s.reset(http2.ErrCodeRefusedStream) }

// Reset resets the stream with INTERNAL_ERROR, which does not state whether the request was processed.
func (s *Stream) Reset() { s.reset(http2.ErrCodeInternal) }

func (s *Stream) reset(code http2.ErrCode) {
	s.conn.write(func(f *http2.Framer) error { return f.WriteRSTStream(s.ID, code) })
}

// GoAway sends GOAWAY with a last stream ID below this stream's ID, and closes the connection. The frame states that
// this stream and later ones are not processed.
func (s *Stream) GoAway() {
	s.conn.write(func(f *http2.Framer) error { return f.WriteGoAway(s.ID-1, http2.ErrCodeNo, nil) })
	s.conn.close()
}

// CloseConn closes the connection without sending a frame.
func (s *Stream) CloseConn() { s.conn.close() }

// Header sends the headers of a response.
func (s *Stream) Header() {
	s.writeHeaders(false, ":status", "200", "content-type", "application/grpc")
}

// Message sends a message of a response.
func (s *Stream) Message(data []byte) {
	header := make([]byte, messageHeaderBytes, messageHeaderBytes+len(data))
	binary.BigEndian.PutUint32(header[1:], uint32(len(data)))
	s.conn.write(func(f *http2.Framer) error { return f.WriteData(s.ID, false, append(header, data...)) })
}

// End sends the trailers of a response. pairs are names and values of further trailers.
func (s *Stream) End(status string, pairs ...string) {
	s.writeHeaders(true, append([]string{"grpc-status", status}, pairs...)...)
}

// TrailersOnly sends a response that consists of trailers only. pairs are names and values of further trailers.
func (s *Stream) TrailersOnly(status string, pairs ...string) {
	fields := []string{":status", "200", "content-type", "application/grpc", "grpc-status", status}
	s.writeHeaders(true, append(fields, pairs...)...)
}

// OK sends a complete response with one message.
func (s *Stream) OK(data []byte) {
	s.Header()
	s.Message(data)
	s.End("0")
}

// writeHeaders sends pairs of names and values in one HEADERS frame.
func (s *Stream) writeHeaders(endStream bool, pairs ...string) {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for i := 0; i < len(pairs); i += 2 {
		// A write to a bytes.Buffer does not fail.
		_ = encoder.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]})
	}
	headers := http2.HeadersFrameParam{
		StreamID:      s.ID,
		BlockFragment: block.Bytes(),
		EndHeaders:    true,
		EndStream:     endStream,
	}
	s.conn.write(func(f *http2.Framer) error { return f.WriteHeaders(headers) })
}
