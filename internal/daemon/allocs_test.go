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

// The front, the engine, the balancer and the transport together may make only a limited number of allocations for a
// request on open connections. Unlike a time, this number is the same on all machines. The client and the server of the
// test allocate nothing.
func TestAllocationsOfARequest(t *testing.T) {
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, _ *bufio.Reader) {
		answer, buf := []byte(testutil.OKResponse), make([]byte, 4096)
		for n := 0; ; {
			k, err := conn.Read(buf[n:])
			if err != nil {
				return
			}
			if n += k; bytes.HasSuffix(buf[:n], []byte("\r\n\r\n")) {
				_, _ = conn.Write(answer)
				n = 0
			}
		}
	})
	r := startSidecar(t, testutil.UnusedAddr, addr)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	request := []byte("GET /look/x HTTP/1.1\r\nHost: service.internal\r\n" +
		"X-Request-Id: 0000\r\nX-Class: look\r\nX-Deadline-Ms: 15000\r\n\r\n")
	buf := make([]byte, 4096)
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
	lowest := 0.0
	for range 3 { // the lowest count excludes occasional allocations of the runtime
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range requests {
			do()
		}
		runtime.ReadMemStats(&after)
		if n := float64(after.Mallocs-before.Mallocs) / requests; lowest == 0 || n < lowest {
			lowest = n
		}
	}
	t.Logf("%.1f allocations per request", lowest)
	testutil.CheckCapacityBound(t, "allocations a request", lowest, 0.06)
}
