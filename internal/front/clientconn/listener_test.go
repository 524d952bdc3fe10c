package clientconn

import (
	"io"
	"net"
	"testing"

	"hazelwing/internal/testutil"
)

// A full listener closes none on which a request has begun, read or not, as long as others wait in silence.
func TestFullListenerKeepsConnectionsThatBeganARequest(t *testing.T) {
	for name, read := range map[string]bool{"read": true, "not read": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			listener := New(l, 2, func() {})
			var clients []net.Conn
			var conns []*Conn
			come := func() {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer t.Cleanup(func() { c.Close() })
				here, err := listener.Accept()
				if err != nil {
					t.Fatal(err)
				}
				clients, conns = append(clients, c), append(conns, here.(*Conn))
			}
			come()
			come()
			for _, c := range conns { // each has been served once
				c.BeginRequest()
				c.BeginResponse()
				c.responseWritten()
			}
			io.WriteString(clients[0], "G")
			testutil.Until(t, "the byte", func() bool { return !conns[0].isQuiet() })
			if read {
				conns[0].Read(make([]byte, 10))
			}
			come()
			if conns[0].closed || !conns[1].closed {
				t.Errorf("closed: the one that has begun %v, the silent one %v", conns[0].closed, conns[1].closed)
			}
		})
	}
}
