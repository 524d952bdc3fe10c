package daemon

import (
	"bufio"
	"bytes"
	"net"
	"runtime"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// What a request on kept connections makes the sidecar allocate, front, engine, decisions and transport, is counted,
// not timed: the same on any machine. Client and server allocate nothing.
func TestAllocationsOfARequest(t *testing.T) {
	addr := testutil.Raw(t, func(_ int, conn net.Conn, _ *bufio.Reader) {
		answer, buf := []byte(testutil.OKAnswer), make([]byte, 4096)
		for n := 0; ; {
			k, err := conn.Read(buf[n:])
			if err != nil {
				return
			}
			if n += k; bytes.HasSuffix(buf[:n], []byte("\r\n\r\n")) {
				conn.Write(answer)
				n = 0
			}
		}
	})
	r := startSidecar(t, testutil.NoAddr, addr)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	request, buf := []byte("GET /look/x HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: 0000\r\nX-Class: look\r\nX-Deadline-Ms: 15000\r\n\r\n"), make([]byte, 4096)
	id := bytes.Index(request, []byte("0000"))
	number := 0
	do := func() {
		for i, n := id+3, number; i >= id; i, n = i-1, n/10 {
			request[i] = byte('0' + n%10)
		}
		number++
		if _, err := c.Write(request); err != nil {
			t.Fatal(err)
		}
		for n := 0; !bytes.HasSuffix(buf[:n], []byte("\r\n\r\nok")); {
			k, err := c.Read(buf[n:])
			if err != nil {
				t.Fatal(err, string(buf[:n]))
			}
			n += k
		}
	}
	const requests = 500
	for range requests {
		do()
	}
	least := 0.0
	for range 3 { // what the runtime does beside, now and then, is no request's
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range requests {
			do()
		}
		runtime.ReadMemStats(&after)
		if n := float64(after.Mallocs-before.Mallocs) / requests; least == 0 || n < least {
			least = n
		}
	}
	t.Logf("%.1f allocations a request", least)
	testutil.HoldToPage(t, "allocations a request", least, 0.06)
}
