package http1

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/testutil"
)

const responseWithoutLength = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\nbooked: seat 17"

// Guards against the loss of a response without a length that arrived whole: its request has run, so a booking must not
// be sent again, and its client would never get the result. It must be served in whatever pieces it arrives.
func TestResponseWithoutLengthIsServed(t *testing.T) {
	for cut := range len(responseWithoutLength) {
		addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if testutil.ReadRequest(r) != nil {
				write(conn, responseWithoutLength[:cut])
				write(conn, responseWithoutLength[cut:])
			}
			conn.Close()
		})
		p := testPool()
		e := addEndpoint(t, p, addr)
		o := run(p.newExchange(e, testutil.WaitTimeout, testRequest("POST")))
		wantResult(t, o, balancer.OK)
		if bodyOf(o) != "booked: seat 17" {
			t.Errorf("cut at byte %d: body %q, want \"booked: seat 17\"", cut, bodyOf(o))
		}
		if len(e.idle) != 0 || p.openConns != 0 {
			t.Errorf("cut at byte %d: %d idle and %d open connections, want 0 and 0", cut, len(e.idle), p.openConns)
		}
	}
}

// Guards against a truncated response that is served as if it were whole: a reset is not the end of a response without
// a length, at whatever byte it happens, not even after the last one.
func TestResponseWithoutLengthThatIsResetIsNotServed(t *testing.T) {
	for length := range len(responseWithoutLength) + 1 {
		addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if testutil.ReadRequest(r) != nil {
				write(conn, responseWithoutLength[:length])
			}
			_ = conn.(*net.TCPConn).SetLinger(0) // so that the close resets the connection
			conn.Close()
		})
		p := testPool()
		o := run(p.newExchange(addEndpoint(t, p, addr), testutil.WaitTimeout, testRequest("POST")))
		wantResult(t, o, balancer.Reset)
	}
}

// Guards against a truncated response that is served because the attempt's time was over before its end: the deadline
// that ends the read is not the end of a response without a length.
func TestResponseWithoutLengthThatTimesOutIsNotServed(t *testing.T) {
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		testutil.ReadRequest(r)
		write(conn, responseWithoutLength)
		for { // never pauses long enough to be abandoned
			if _, err := conn.Write([]byte(strings.Repeat(".", 10))); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	p := testPool()
	o := run(p.newExchange(addEndpoint(t, p, addr), 500*time.Millisecond, testRequest("POST")))
	wantResult(t, o, balancer.Timeout)
}
