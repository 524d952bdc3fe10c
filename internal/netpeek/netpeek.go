// Package netpeek looks at what a connection's other side has sent, without taking it.
package netpeek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what can be seen of the other side.
type State int

// The states.
const (
	Idle     State = iota // it is there, and has said nothing that was not read
	Readable              // something waits to be read
	Closed                // it has closed, or broken the connection
)

// At looks at a TCP connection, at once, also while another goroutine waits to read from it.
func Peek(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	raw.Control(func(fd uintptr) { // Read would wait for whoever reads
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	return state
}

// Closed looks whether the other side has closed or broken a connection, also behind bytes that nobody has read yet. Half a
// close, of its sending alone, looks the same.
func PeerClosed(c net.Conn) bool {
	switch Peek(c) {
	case Closed:
		return true
	case Idle:
		return false
	}
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_SYN_RECV
	})
	return closed
}
