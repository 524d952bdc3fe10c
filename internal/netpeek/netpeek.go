// Package netpeek inspects TCP connections for unread data and for a close by the peer, without reading from them.
package netpeek

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as reported by the kernel.
type State int

// The states of a connection.
const (
	Idle     State = iota // open, without unread data
	Readable              // has unread data
	Closed                // closed or reset by the peer
)

// Peek returns the state of a TCP connection. It does not block, even while another goroutine waits in Read. It returns
// Closed for a connection that was closed on this side, and for one that is not a syscall.Conn, such as a TLS
// connection.
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
	// raw.Read would wait for a concurrent Read to finish; raw.Control does not wait. raw.Control fails only if c was
	// closed on this side.
	_ = raw.Control(func(fd uintptr) {
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

// PeerClosed reports whether the peer has closed or reset a TCP connection, even if unread data precedes the close. It
// also returns true if the peer has closed only its sending half, which cannot be distinguished from a full close, and
// in the other cases in which Peek returns Closed. It does not block.
//
// Guard: prevents a close that follows unread data from going unnoticed. A read or a peek would return the data first,
// and work for the disconnected peer would continue. This holds because PeerClosed queries the TCP state in the kernel,
// which changes as soon as the close arrives.
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
	_ = raw.Control(func(fd uintptr) { // fails only if c was closed on this side
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_SYN_RECV
	})
	return closed
}
