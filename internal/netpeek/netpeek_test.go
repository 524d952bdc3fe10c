package netpeek

import (
	"net"
	"testing"

	"hazelwing/internal/testutil"
)

// connect returns the two ends of a TCP connection on loopback. They are closed when the test ends.
func connect(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialled, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// Peek must recognize each state, also while a goroutine waits in Read, and must not consume any data.
func TestPeek(t *testing.T) {
	local, peer := connect(t)
	read := make(chan byte, 1)
	start := make(chan bool)
	go func() {
		var b [1]byte
		<-start
		_, _ = local.Read(b[:]) // if the read fails, the byte is not "x"
		read <- b[0]
	}()
	if state := Peek(local); state != Idle {
		t.Errorf("state of a new connection: %d, want Idle", state)
	}
	write(t, peer, "xy")
	testutil.Until(t, "the written data", func() bool { return Peek(local) == Readable })
	close(start)
	if b := testutil.Receive(t, read, "the first byte"); b != 'x' || Peek(local) != Readable {
		t.Errorf("read %q, then the state is %d; want 'x' and Readable", b, Peek(local))
	}
	var rest [1]byte
	if _, err := local.Read(rest[:]); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = local.Read(make([]byte, 1)) }() // waits until the peer closes
	if state := Peek(local); state != Idle {
		t.Errorf("state while a goroutine waits in Read: %d, want Idle", state)
	}
	peer.Close()
	testutil.Until(t, "the close", func() bool { return Peek(local) == Closed })
	pipe, _ := net.Pipe()
	if state := Peek(pipe); state != Closed {
		t.Errorf("state of a net.Pipe, which has no file descriptor: %d, want Closed", state)
	}
}

// A peer sends data and closes the connection before the data is read. A read returns the data first, so the close
// would go unnoticed. PeerClosed must report it, and must not report a close that did not happen.
func TestPeerClosed(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		action func(*net.TCPConn) error
		closed bool
	}{
		"idle":           {"", func(*net.TCPConn) error { return nil }, false},
		"readable":       {"x", func(*net.TCPConn) error { return nil }, false},
		"FIN":            {"", (*net.TCPConn).Close, true},
		"half-closed":    {"", (*net.TCPConn).CloseWrite, true},
		"FIN after data": {"xyz", (*net.TCPConn).Close, true},
		"reset":          {"xyz", reset, true},
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := connect(t)
			write(t, peer, c.text)
			if c.text != "" {
				testutil.Until(t, "the data", func() bool { return Peek(local) == Readable })
			}
			if err := c.action(peer); err != nil {
				t.Fatal(err)
			}
			if c.closed {
				testutil.Until(t, "the close", func() bool { return PeerClosed(local) })
			} else if PeerClosed(local) {
				t.Error("the peer has not closed the connection: PeerClosed returned true, want false")
			}
		})
	}
}

func reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}
