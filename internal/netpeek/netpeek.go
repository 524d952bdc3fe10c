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
	Silent State = iota // it is there, and has said nothing that was not read
	Spoke               // something waits to be read
	Gone                // it has closed, or broken the connection
)

// At looks at a TCP connection, at once, also while another goroutine waits to read from it.
func At(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Gone
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Gone
	}
	state := Gone
	raw.Control(func(fd uintptr) { // Read would wait for whoever reads
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Silent
		case err == nil && n > 0:
			state = Spoke
		}
	})
	return state
}

// Closed looks whether the other side has closed or broken a connection, also behind bytes that nobody has read yet. Half a
// close, of its sending alone, looks the same.
func Closed(c net.Conn) bool {
	switch At(c) {
	case Gone:
		return true
	case Silent:
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
