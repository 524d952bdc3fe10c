package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

// A client of GraphQL leaves when two parts of its request have a connection and two wait for theirs to come up:
// these are not sent when they do.
func TestLeavesWhilePartsWait(t *testing.T) {
	for name, leave := range disconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // it waits for the kernel's clock
			schema := filepath.Join(t.TempDir(), "s.graphql")
			if err := os.WriteFile(schema, []byte("type Query { a: Int b: Int c: Int d: Int }"), 0o600); err != nil {
				t.Fatal(err)
			}
			text := fmt.Sprintf("[graphql]\nlisten = \"127.0.0.1:0\"\nschema = %q\n", schema)
			for i, f := range []string{"a", "b", "c", "d"} { // deadlines of their own make them parts of their own
				text += fmt.Sprintf("[graphql.field.\"Query.%s\"]\nclass = \"look\"\ndeadline = \"%ds\"\n", f, 9-i)
			}
			op, err := operator.Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			l := narrow(t) // one connection is accepted, one more comes up
			r, stop := run(t, config(t, testutil.NoAddr, l.Addr().String(), `"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":20000`), op)
			defer stop()
			x := r.additionalFronts[0]
			go x.serve(t.Context(), x.listener)
			conn, err := net.Dial("tcp", x.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			const body = `{"query":"{a b c d}"}`
			fmt.Fprintf(conn, "POST /graphql HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			var parts atomic.Int32
			serve := func(c net.Conn, came chan bool) {
				defer c.Close()
				from := bufio.NewReader(c)
				for q := testutil.ReadRequest(from); q != nil; q = testutil.ReadRequest(from) {
					if q.Header.Get("X-Request-Id") == "stays" {
						io.WriteString(c, testutil.OKAnswer)
						continue
					}
					if parts.Add(1); came != nil {
						came <- true
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
			dialling(t, l.Addr())
			leave(conn.(*net.TCPConn))
			leftAt(t, conn)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serve(c, nil)
				}
			}()
			testutil.Until(t, "the end of the dials", func() bool { return !isDialling(t, l.Addr()) })
			r.stays(t)
			if n := parts.Load(); n > 2 {
				t.Errorf("%d parts were sent, 2 at most before the client left", n)
			}
		})
	}
}
