package watch

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// A watch's objects, out of the bytes that its connection brings. Each stands on a line of its own as a rule, but lists may
// come indented, over many lines and in pieces, and several may come together.

// errOdd is why bytes can be no object of a watch: the same would come again.
var errOdd = errors.New("a line of the watch")

// objects reads a watch. One goroutine calls it.
type objects struct {
	partly atomic.Bool // an object has begun, and has not ended; any goroutine may look

	r    *bufio.Reader
	text []byte // of the object that has begun; at most longestLine bytes

	depth   int  // of braces and brackets
	quoted  bool // inside a string
	escaped bool // behind a backslash there
	begun   bool // something stood on this line
}

func newObjects(body io.Reader) *objects { return &objects{r: bufio.NewReader(body)} }

// next returns the next object's text, which is good until the next call, or nil for an empty line between two. It returns
// an object with its last brace: what follows the object may take its time.
func (o *objects) next() ([]byte, error) {
	o.text = o.text[:0]
	for {
		if _, err := o.r.Peek(1); err != nil {
			switch {
			case err != io.EOF:
				return nil, err
			case o.depth > 0:
				return nil, fmt.Errorf("%w ends in the middle", errOdd)
			}
			return nil, errors.New("the watch ended")
		}
		piece, _ := o.r.Peek(o.r.Buffered())
		n, empty, err := o.between(piece)
		if err == nil && !empty {
			inside := o.inside(piece[n:])
			o.text = append(o.text, piece[n:n+inside]...)
			n += inside
			if len(o.text) > longestLine {
				err = fmt.Errorf("%w is longer than %d bytes", errOdd, longestLine)
			}
		}
		o.r.Discard(n)
		o.partly.Store(o.depth > 0)
		switch {
		case err != nil:
			return nil, err
		case empty:
			return nil, nil
		case len(o.text) > 0 && o.depth == 0:
			return o.text, nil
		}
	}
}

// between passes over what stands between two objects, and returns how much that is; empty says that it is an empty line.
func (o *objects) between(piece []byte) (n int, empty bool, err error) {
	if o.depth > 0 {
		return 0, false, nil
	}
	for n, c := range piece {
		switch c {
		case ' ', '\t', '\r':
		case '\n':
			if !o.begun {
				return n + 1, true, nil
			}
			o.begun = false
		case '{':
			o.begun = true
			return n, false, nil
		default:
			return n, false, fmt.Errorf("%w: %q is not the beginning of an object", errOdd, c)
		}
	}
	return len(piece), false, nil
}

// inside returns how much of piece belongs to the object that has begun, or begins with it.
func (o *objects) inside(piece []byte) int {
	for n, c := range piece {
		if o.take(c); o.depth == 0 {
			return n + 1
		}
	}
	return len(piece)
}

// take follows where an object ends. Whether it is a good one is not its matter.
func (o *objects) take(c byte) {
	switch {
	case o.escaped:
		o.escaped = false
	case o.quoted:
		o.escaped, o.quoted = c == '\\', c != '"'
	case c == '"':
		o.quoted = true
	case c == '{', c == '[':
		o.depth++
	case c == '}', c == ']':
		o.depth--
	}
}
