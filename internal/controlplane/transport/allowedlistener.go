package transport

import (
	"net"
	"net/netip"

	"go4.org/netipx"
)

// allowedListener closes connections from networks that are not allowed before it reads any data from them.
type allowedListener struct {
	net.Listener
	allowed *netipx.IPSet
}

// Accept returns the next connection from an allowed network.
func (l *allowedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		remote, _ := netip.ParseAddrPort(conn.RemoteAddr().String()) // after an error, remote is in no network
		if l.allowed.Contains(remote.Addr().Unmap()) {
			return conn, nil
		}
		_ = conn.Close()
	}
}
