package watch

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// objectReader splits the body of a watch into JSON objects. An object may occupy one line or several, and may arrive
// in parts or together with other objects. objectReader finds the end of an object by counting braces and brackets
// outside strings; line ends within an object do not matter. If it read one object per line, a watch of a service
// that indents its lists would fail at the first line, and no change would arrive. All fields but partial are used by
// one goroutine at a time.
type objectReader struct {
	partial atomic.Bool // an object has begun and is not complete; may be read by any goroutine

	reader *bufio.Reader
	// onEntries receives the entries of an object that is not complete as they arrive; see entryList.take. It may be
	// nil.
	onEntries func(entries, header []byte) error

	onBegin func() // called when the first byte of an object is read; may be nil

	object  []byte // part of the present object that has arrived, without the entries that onEntries has received
	length  int    // length of the part of the present object that has arrived
	entries entryList
	// beganAt is when the first byte of the present object was read; it remains valid until the next object begins.
	beganAt time.Time

	depth         int  // nesting depth of braces and brackets in the present object
	inString      bool // the next byte belongs to a string
	escaped       bool // the previous byte is a backslash in a string
	lineHasObject bool // an object began or ended on the present line
}

// readBufferSize is the maximum number of bytes that are read at a time. With a higher value, the entries of an object
// are passed on in fewer and larger parts.
const readBufferSize = 256 << 10

func newObjectReader(body io.Reader) *objectReader {
	return &objectReader{reader: bufio.NewReaderSize(body, readBufferSize)}
}

// next returns the text of the next object, which is valid until the next call, or nil for an empty line between two
// objects.
//
// An object is returned as soon as its last brace has arrived. This prevents a change from being delayed until the next
// line arrives, which may be the next empty line: draining endpoints would be used in the meantime.
func (o *objectReader) next() ([]byte, error) {
	o.object = o.object[:0]
	o.length = 0
	o.entries = entryList{}
	for {
		_, err := o.reader.Peek(1)
		if err != nil {
			return nil, o.readError(err)
		}
		piece, _ := o.reader.Peek(o.reader.Buffered()) // cannot fail, because these bytes are buffered
		emptyLine, err := o.consume(piece)
		switch {
		case err != nil:
			return nil, err
		case emptyLine:
			return nil, nil
		case len(o.object) > 0 && o.depth == 0:
			return o.object, nil
		}
		if err := o.passEntries(); err != nil {
			return nil, err
		}
	}
}

// passEntries passes the entries that have arrived of an object which is not complete to onEntries.
func (o *objectReader) passEntries() error {
	if o.onEntries == nil {
		return nil
	}
	entries, header := o.entries.take(&o.object)
	if entries == nil {
		return nil
	}
	return o.onEntries(entries, header)
}

// readError returns the error for a failed read. It replaces io.EOF by errMalformedEvent within an object, and by
// errWatchEnded elsewhere.
func (o *objectReader) readError(err error) error {
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case o.depth > 0:
		return fmt.Errorf("%w: the response ended after %d bytes of an object", errMalformedEvent, o.length)
	}
	return errWatchEnded
}

// consume processes the bytes of piece up to the end of an object or of an empty line, and discards them from the
// reader. emptyLine reports whether they end an empty line.
func (o *objectReader) consume(piece []byte) (emptyLine bool, err error) {
	n, emptyLine, err := o.skipBetween(piece)
	if err == nil && !emptyLine {
		length := o.objectLength(piece[n:])
		o.object = append(o.object, piece[n:n+length]...)
		o.length += length
		n += length
		if o.length > maxEventBytes {
			err = fmt.Errorf("%w: the object is longer than %d bytes", errMalformedEvent, maxEventBytes)
		}
	}
	_, _ = o.reader.Discard(n) // cannot fail, because these bytes are buffered
	o.partial.Store(o.depth > 0)
	return emptyLine, err
}

// skipBetween returns the number of bytes at the start of piece that lie between two objects. emptyLine reports whether
// they end an empty line.
func (o *objectReader) skipBetween(piece []byte) (n int, emptyLine bool, err error) {
	if o.depth > 0 {
		return 0, false, nil
	}
	for n, c := range piece {
		switch c {
		case ' ', '\t', '\r':
		case '\n':
			if !o.lineHasObject {
				return n + 1, true, nil
			}
			o.lineHasObject = false
		case '{':
			o.lineHasObject = true
			o.beganAt = time.Now()
			if o.onBegin != nil {
				o.onBegin()
			}
			return n, false, nil
		default:
			return n, false, fmt.Errorf("%w: found %q, want the '{' of an object", errMalformedEvent, c)
		}
	}
	return len(piece), false, nil
}

// objectLength returns the number of bytes of piece that belong to the present object, which may begin with piece.
func (o *objectReader) objectLength(piece []byte) int {
	for n, c := range piece {
		o.scan(c, len(o.object)+n)
		if o.depth == 0 {
			return n + 1
		}
	}
	return len(piece)
}

// scan updates the state for one byte of an object, which has the given offset in o.object. It does not check the
// syntax of the object.
func (o *objectReader) scan(c byte, offset int) {
	switch {
	case o.escaped:
		o.escaped = false
	case o.inString:
		o.escaped = c == '\\'
		o.inString = c != '"'
	case c == '"':
		o.inString = true
	case c == '{', c == '[':
		o.depth++
		o.entries.scanned(c, offset, o.depth)
	case c == '}', c == ']':
		o.depth--
		o.entries.scanned(c, offset, o.depth)
	}
}
