package netpeek

import (
	"net"
	"testing"

	"hazelwing/internal/testutil"
)

// Each state is told, also while somebody waits to read, and nothing is taken.
func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	there, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	here, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	read := make(chan byte, 1)
	first := make(chan bool)
	go func() {
		var b [1]byte
		<-first
		here.Read(b[:])
		read <- b[0]
	}()
	if Peek(here) != Idle {
		t.Error("not silent")
	}
	there.Write([]byte("xy"))
	testutil.Until(t, "what was written", func() bool { return Peek(here) == Readable })
	close(first)
	if b := testutil.Receive(t, read, "a byte"); b != 'x' || Peek(here) != Readable {
		t.Errorf("%c was read", b)
	}
	var rest [1]byte
	here.Read(rest[:])
	go func() { here.Read(make([]byte, 1)) }() // waits
	if Peek(here) != Idle {
		t.Error("not silent while somebody waits")
	}
	there.Close()
	testutil.Until(t, "the close", func() bool { return Peek(here) == Closed })
	one, _ := net.Pipe()
	if Peek(one) != Closed {
		t.Error("what has no descriptor")
	}
}

// A close is seen behind what nobody has read, and only where there is one.
func TestPeerClosed(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		end   func(*net.TCPConn)
		close bool
	}{
		"silent":          {"", func(*net.TCPConn) {}, false},
		"spoke":           {"x", func(*net.TCPConn) {}, false},
		"FIN":             {"", func(c *net.TCPConn) { c.Close() }, true},
		"half of it":      {"", func(c *net.TCPConn) { c.CloseWrite() }, true},
		"FIN behind text": {"xyz", func(c *net.TCPConn) { c.Close() }, true},
		"reset":           {"xyz", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			there, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer there.Close()
			here, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer here.Close()
			there.Write([]byte(c.text))
			if c.text != "" {
				testutil.Until(t, "the text", func() bool { return Peek(here) == Readable })
			}
			c.end(there.(*net.TCPConn))
			if c.close {
				testutil.Until(t, "the close", func() bool { return PeerClosed(here) })
			} else if PeerClosed(here) {
				t.Error("closed")
			}
		})
	}
}
