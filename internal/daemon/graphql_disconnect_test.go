package daemon

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

// A GraphQL client disconnects when two parts of its request have a connection and two are still dialing. The two
// dialing parts must not be sent: they would run although no client waits for their result.
func TestGraphQLDisconnectWhilePartsAreDialing(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // the test waits for kernel timers
			schema := filepath.Join(t.TempDir(), "s.graphql")
			if err := os.WriteFile(schema, []byte("type Query { a: Int b: Int c: Int d: Int }"), 0o600); err != nil {
				t.Fatal(err)
			}
			text := fmt.Sprintf("[graphql]\nlisten = \"127.0.0.1:0\"\nschema = %q\n", schema)
			for i, f := range []string{"a", "b", "c", "d"} { // fields with different deadlines become different parts
				text += fmt.Sprintf("[graphql.field.\"Query.%s\"]\nclass = \"look\"\ndeadline = \"%ds\"\n", f, 9-i)
			}
			op, err := operator.Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			l := listenWithMinimalBacklog(t) // one connection is accepted, one more is established
			cfg := config(t, testutil.UnusedAddr, l.Addr().String(),
				`"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":20000`)
			r, stop := run(t, cfg, op)
			defer stop()
			front := r.additionalFronts[0]
			go func() { _ = front.serve(t.Context(), front.listener) }()
			conn, err := net.Dial("tcp", front.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			const body = `{"query":"{a b c d}"}`
			send(conn, fmt.Sprintf("POST /graphql HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"+
				"Content-Length: %d\r\n\r\n%s", len(body), body))
			var parts atomic.Int32
			serve := func(c net.Conn, arrived chan bool) {
				defer c.Close()
				reader := bufio.NewReader(c)
				for q := testutil.ReadRequest(reader); q != nil; q = testutil.ReadRequest(reader) {
					if q.Header.Get("X-Request-Id") == "stays" {
						send(c, testutil.OKResponse)
						continue
					}
					if parts.Add(1); arrived != nil {
						arrived <- true
					}
				}
			}
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			first := make(chan bool, 1)
			go serve(c, first)
			testutil.Receive(t, first, "the first part")
			waitForDial(t, l.Addr())
			disconnect(conn.(*net.TCPConn))
			waitForDisconnect(t, conn)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serve(c, nil)
				}
			}()
			testutil.Until(t, "the end of the dials", func() bool { return !isDialing(t, l.Addr()) })
			r.checkOtherClientIsServed(t)
			if n := parts.Load(); n > 2 {
				t.Errorf("%d parts were sent, want at most the 2 that had a connection when the client disconnected", n)
			}
		})
	}
}
