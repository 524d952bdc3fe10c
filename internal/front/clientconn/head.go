package clientconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"
)

// MaxHeaderBytes limits the head of a request. A higher value takes more memory for each connection.
const MaxHeaderBytes = 32 << 10

const (
	// maxHeadFields is the number of fields that a request's head may have. A higher value allows clients to take more
	// memory and processor time with each byte of a head, because each field takes an entry of several tables.
	maxHeadFields = 256
	// bytesPerField is the memory that a field of a head takes beside its text, in the request and in its copies.
	bytesPerField = 400
	// copiesOfHead is the number of copies of a head's text that are held until its request is answered: the parsed
	// one and the one that is sent to an endpoint.
	copiesOfHead = 2
	// freeHeadBytes is the memory that each head may take without a reservation. With a higher value, the memory of
	// many connections is higher; with a lower one, ordinary requests need reservations.
	freeHeadBytes = 8 << 10
	// headStep is the amount that is reserved for a head at a time.
	headStep = 8 << 10

	// lingerTime and lingerBytes limit how long, and how much of, the rest of a rejected head is read before its
	// connection is closed. A close with unread data would reset the connection, and discard the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// errHeadRejected means that a head has too many fields, or that there is no memory for it. errHeadNeedsMemory means
// that memory has to be reserved before more of a head is passed on.
var (
	errHeadRejected    = errors.New("request header fields too large")
	errHeadNeedsMemory = errors.New("head needs memory")
)

// headRejection is the answer to a request whose head is rejected before it is read to its end.
const headRejection = "HTTP/1.1 431 Request Header Fields Too Large\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"too many fields, or no memory for them\n"

// headScanner follows the head of a request as it arrives. It finds the end of the head and counts its fields.
type headScanner struct {
	size       int // bytes of the head so far
	fields     int // complete lines so far
	lineLength int // bytes of the present line
	startsCR   bool
	ended      bool
}

// scan follows the next bytes of the head, and returns how many of them belong to it. It stops after the end of the
// head and after a line with which there are too many.
func (s *headScanner) scan(data []byte) (n int) {
	for n < len(data) && !s.ended && s.fields <= maxHeadFields {
		line := data[n:]
		end := bytes.IndexByte(line, '\n')
		if end >= 0 {
			line = line[:end]
		}
		if s.lineLength == 0 && len(line) > 0 {
			s.startsCR = line[0] == '\r'
		}
		s.lineLength += len(line)
		n += len(line)
		if end < 0 {
			break
		}
		n++
		s.ended = s.lineLength == 0 || s.lineLength == 1 && s.startsCR
		s.fields++
		s.lineLength = 0
	}
	s.size += n
	return n
}

// memory returns the memory that the head takes until its request is answered.
func (s *headScanner) memory() int64 { return int64(s.size*copiesOfHead + s.fields*bytesPerField) }

// rejectHead answers a request whose head is rejected, reads some of its rest, and returns the error for net/http,
// which then closes the connection.
//
// Guard: prevents heads of very many short fields from taking many times their size: net/http stores each field in a
// table as it arrives, so that hundreds of clients that stop in the middle would take more than the process has. This
// holds because no byte behind the last allowed field reaches net/http.
func (c *Conn) rejectHead() error {
	c.listener.traceClose(c, "head rejected: too many fields, or no memory")
	end := time.Now().Add(lingerTime)
	_ = c.SetDeadline(end) // fails only on a closed connection
	if _, err := io.WriteString(c.TCPConn, headRejection); err == nil {
		_ = c.CloseWrite()                                                     // the client may have left
		_, _ = io.CopyN(io.Discard, readerOnly{c.TCPConn}, int64(lingerBytes)) // until the client has closed
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadRejected}
}

// readerOnly hides the methods of a connection other than Read.
type readerOnly struct{ io.Reader }
