package clientconn

import (
	"io"
	"net"
	"testing"

	"hazelwing/internal/testutil"
)

// A client connects while the listener is full. If the listener closed a connection on which a request has begun to
// arrive, that request would be lost, whether its first bytes were read or not. The listener must close an idle
// connection instead.
func TestFullListenerKeepsConnectionsThatBeganARequest(t *testing.T) {
	for name, read := range map[string]bool{"read": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer tcp.Close()
			listener := New(tcp, 2, func() {})
			var clients []net.Conn
			var conns []*Conn
			connect := func() {
				c, err := net.Dial("tcp", tcp.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer t.Cleanup(func() { c.Close() })
				server, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				clients, conns = append(clients, c), append(conns, server.(*Conn))
			}
			connect()
			connect()
			for _, c := range conns { // each connection has had one response
				c.BeginRequest()
				c.BeginResponse()
				c.responseWritten()
			}
			if _, err := io.WriteString(clients[0], "G"); err != nil {
				t.Fatal(err)
			}
			testutil.Until(t, "the first byte of the request", func() bool { return !conns[0].hasNoInput() })
			if read {
				if _, err := conns[0].Read(make([]byte, 10)); err != nil {
					t.Fatal(err)
				}
			}
			connect()
			if conns[0].closed || !conns[1].closed {
				t.Errorf("connection with a request: closed %v, want false; idle connection: closed %v, want true",
					conns[0].closed, conns[1].closed)
			}
		})
	}
}
