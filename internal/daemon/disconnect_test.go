package daemon

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

// The tests in this file disconnect a client while its request waits, as docs/design/crossings.md describes. They
// record the requests that arrive at the endpoint's socket. At the end, a second client sends a request. When the
// second client has its response, no request of the first client can still be in flight. The request of the first
// client has the ID "leaves", and that of the second client has the ID "stays".

// disconnects are the ways in which a client disconnects.
var disconnects = map[string]func(c *net.TCPConn){
	"FIN":   func(c *net.TCPConn) { c.Close() },
	"reset": func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	"FIN after more data": func(c *net.TCPConn) {
		send(c, "GET /look/more HTTP/1.1\r\n")
		c.Close()
	},
	"FIN after far more data": func(c *net.TCPConn) { // more data than the read-ahead and the kernel's buffer hold
		_, _ = c.Write(make([]byte, 512<<10))
		c.Close()
	},
}

// arrivals are the IDs of the requests that arrived at an endpoint's socket.
type arrivals struct {
	mu  sync.Mutex
	ids []string
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids = append(a.ids, id)
}

func (a *arrivals) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Join(a.ids, " ")
}

// sendRequest opens a connection and writes the request of the client that disconnects.
func (r *testSidecar) sendRequest(t *testing.T, method, class string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	body := ""
	if method == "POST" {
		body = "x"
	}
	if err := r.request(t, method, class, "leaves", body).Write(c); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// checkOtherClientIsServed sends a request as a second client, which stays connected, and checks that the response has
// status 200.
func (r *testSidecar) checkOtherClientIsServed(t *testing.T) {
	t.Helper()
	if resp, _ := r.do(t, r.request(t, "GET", "look", "stays", "")); resp.StatusCode != http.StatusOK {
		t.Errorf("the client that stays connected got %s, want 200", resp.Status)
	}
}

var disconnectRequests = []struct{ method, class string }{{"GET", "look"}, {"POST", "book"}, {"POST", "pay"}}

// forEachDisconnect runs a test for each way of disconnecting and each class.
func forEachDisconnect(t *testing.T, test func(t *testing.T, method, class string, disconnect func(*net.TCPConn))) {
	for name, disconnect := range disconnects {
		for _, a := range disconnectRequests {
			t.Run(name+" "+a.class, func(t *testing.T) {
				t.Parallel() // some of the tests wait for kernel timers
				test(t, a.method, a.class, disconnect)
			})
		}
	}
}

// waitForDisconnect waits until the kernel on the sidecar's side knows that the client has disconnected. From then on
// the sidecar can detect the disconnect.
func waitForDisconnect(t *testing.T, client net.Conn) {
	t.Helper()
	testutil.Until(t, "the client's disconnect", func() bool {
		return !kernelHasConn(t, client.RemoteAddr(), client.LocalAddr(), stateEstablished)
	})
}

// States of connections in /proc/net/tcp.
const (
	stateEstablished = "01"
	stateSynSent     = "02"
)

// kernelHasConn reports whether the kernel has a connection between two addresses in the given state. If from is nil,
// it matches any address.
func kernelHasConn(t *testing.T, from, to net.Addr, state string) bool {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	hex := func(a net.Addr) string { // the notation in /proc/net/tcp
		addr := a.(*net.TCPAddr)
		return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(addr.IP.To4()), addr.Port)
	}
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 3 && (from == nil || f[1] == hex(from)) && f[2] == hex(to) && f[3] == state {
			return true
		}
	}
	return false
}

// A request waits because the sidecar has no endpoint. The request's client disconnects, and then an endpoint is added.
// No attempt may start, because no client waits for the response.
func TestDisconnectBeforeThereIsAnEndpoint(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, method, class string, disconnect func(*net.TCPConn)) {
		var arrived arrivals
		addr := testutil.ServeRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for q := testutil.ReadRequest(r); q != nil; q = testutil.ReadRequest(r) {
				arrived.add(q.Header.Get("X-Request-Id"))
				send(c, testutil.OKResponse)
			}
		})
		d, err := emulator.NewDiscovery()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Close)
		r := startSidecar(t, d.Addr(), testutil.UnusedAddr, endpointEntry("s", testutil.UnusedAddr), "")
		c := r.sendRequest(t, method, class)
		disconnect(c)
		waitForDisconnect(t, c)
		d.Set(emulator.Endpoint{Name: "s", Address: addr, Zone: "a", Kind: "m", Health: "SERVING"})
		r.checkOtherClientIsServed(t)
		if got := arrived.String(); got != "stays" {
			t.Errorf("IDs of the requests that arrived: got %q, want \"stays\"", got)
		}
	})
}

// listenWithMinimalBacklog returns a listener with a backlog of one connection, the smallest that the kernel supports.
func listenWithMinimalBacklog(t *testing.T) *net.TCPListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	bound := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err := errors.Join(bound, syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// fillBacklog fills the backlog of l, so that no further connection is established before one is accepted.
func fillBacklog(t *testing.T, l net.Listener) {
	t.Helper()
	first, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { first.Close() })
}

// serve accepts connections in a goroutine, and answers each request.
func (a *arrivals) serve(l net.Listener) {
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go a.answer(c)
		}
	}()
}

// answer answers each request of a connection.
func (a *arrivals) answer(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for q := testutil.ReadRequest(reader); q != nil; q = testutil.ReadRequest(reader) {
		a.add(q.Header.Get("X-Request-Id"))
		send(c, testutil.OKResponse)
	}
}

// The backlog of an endpoint is full, so that the connection to the endpoint is established only after the client has
// disconnected. The request must not be written to this connection, because no client waits for the response.
func TestDisconnectWhileDialing(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, method, class string, disconnect func(*net.TCPConn)) {
		l := listenWithMinimalBacklog(t)
		fillBacklog(t, l)
		r := startSidecar(t, testutil.UnusedAddr, l.Addr().String(),
			`"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":20000`)
		c := r.sendRequest(t, method, class)
		waitForDial(t, l.Addr())
		disconnect(c)
		waitForDisconnect(t, c)
		var arrived arrivals
		arrived.serve(l)
		r.checkOtherClientIsServed(t)
		if got := arrived.String(); got != "stays" {
			t.Errorf("IDs of the requests that arrived: got %q, want \"stays\"", got)
		}
	})
}

// waitForDial waits until the kernel is establishing a connection to addr.
func waitForDial(t *testing.T, addr net.Addr) {
	t.Helper()
	testutil.Until(t, "the dial", func() bool { return isDialing(t, addr) })
}

// isDialing reports whether the kernel is establishing a connection to addr.
func isDialing(t *testing.T, addr net.Addr) bool {
	t.Helper()
	return kernelHasConn(t, nil, addr, stateSynSent)
}

// An endpoint rejects the first attempt before it runs, after the client has disconnected. There must be no retry,
// because no client waits for the response.
func TestDisconnectBeforeRetry(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, method, class string, disconnect func(*net.TCPConn)) {
		var arrived arrivals
		arrivedFirst, reject := make(chan bool), make(chan bool)
		serve := func(_ int, c net.Conn, r *bufio.Reader) {
			for q := testutil.ReadRequest(r); q != nil; q = testutil.ReadRequest(r) {
				id := q.Header.Get("X-Request-Id")
				if arrived.add(id); id == "leaves" {
					arrivedFirst <- true
					<-reject
					send(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
				} else {
					send(c, testutil.OKResponse)
				}
			}
		}
		one, other := testutil.ServeRaw(t, serve), testutil.ServeRaw(t, serve)
		entries := []string{endpointEntry("s0", one), endpointEntry("s1", other)}
		r := startSidecar(t, testutil.UnusedAddr, testutil.UnusedAddr, knownEndpoints(entries)...)
		c := r.sendRequest(t, method, class)
		testutil.Receive(t, arrivedFirst, "the first attempt")
		disconnect(c)
		waitForDisconnect(t, c)
		reject <- true
		r.checkOtherClientIsServed(t)
		if got := arrived.String(); got != "leaves stays" {
			t.Errorf("IDs of the requests that arrived: got %q, want \"leaves stays\"", got)
		}
	})
}

// The engine has decided to retry, and the connection for the retry is established only after the client has
// disconnected. The retry must not be written, because no client waits for the response any more.
func TestDisconnectWhileRetryIsDialing(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, method, class string, disconnect func(*net.TCPConn)) {
		var arrived arrivals
		attempted, reject, idle := make(chan int, 2), make(chan bool), make(chan bool, 2)
		listeners := []*net.TCPListener{listenWithMinimalBacklog(t), listenWithMinimalBacklog(t)}
		for i, l := range listeners {
			go func() {
				c, err := l.Accept()
				if err != nil {
					idle <- true
					return
				}
				defer c.Close()
				arrived.add(testutil.ReadRequest(bufio.NewReader(c)).Header.Get("X-Request-Id"))
				attempted <- i
				<-reject
				l.Close() // prevents a retry at the same endpoint
				send(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}()
		}
		change := knownEndpoints([]string{
			endpointEntry("s0", listeners[0].Addr().String()),
			endpointEntry("s1", listeners[1].Addr().String()),
		})
		change = append(change, `"ConnectTimeoutMs":1000`, `"ConnectTimeoutMs":20000`)
		r := startSidecar(t, testutil.UnusedAddr, testutil.UnusedAddr, change...)
		c := r.sendRequest(t, method, class)
		other := listeners[1-testutil.Receive(t, attempted, "the first attempt")]
		_ = other.SetDeadline(time.Unix(1, 0))
		testutil.Receive(t, idle, "the end of Accept at the other listener")
		fillBacklog(t, other)
		reject <- true
		waitForDial(t, other.Addr())
		disconnect(c)
		waitForDisconnect(t, c)
		_ = other.SetDeadline(time.Time{})
		arrived.serve(other)
		testutil.Until(t, "the end of the dial", func() bool { return !isDialing(t, other.Addr()) })
		r.checkOtherClientIsServed(t)
		if got := arrived.String(); got != "leaves stays" {
			t.Errorf("IDs of the requests that arrived: got %q, want \"leaves stays\"", got)
		}
	})
}

// If the sidecar is slow, the request and the close of a client are both in the kernel's buffer before either is read.
// The sidecar reads the request first. It must detect the close before it sends the request, because no client waits
// for the response.
func TestDisconnectBeforeRequestIsRead(t *testing.T) {
	for name, disconnect := range disconnects {
		if strings.Contains(name, "far") {
			// This client sends more data than the kernel's buffer holds before it closes, so the close cannot be
			// detected before the data is read.
			continue
		}
		t.Run(name, func(t *testing.T) {
			var arrived arrivals
			addr := testutil.ServeRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for q := testutil.ReadRequest(r); q != nil; q = testutil.ReadRequest(r) {
					arrived.add(q.Header.Get("X-Request-Id"))
					send(c, testutil.OKResponse)
				}
			})
			cfg := config(t, testutil.UnusedAddr, addr)
			s, err := build(t.Context(), cfg, new(operator.Config), discardLog)
			if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", cfg.Listen)
			if err != nil {
				t.Fatal(err)
			}
			r := &testSidecar{
				sidecar: s,
				url:     "http://" + l.Addr().String(),
				client:  &http.Client{Transport: &http.Transport{}, Timeout: testutil.WaitTimeout},
			}
			for _, a := range disconnectRequests {
				c := r.sendRequest(t, a.method, a.class) // stays in the backlog, because the sidecar is not running yet
				disconnect(c)
				waitForDisconnect(t, c)
			}
			ctx, end := context.WithCancel(t.Context())
			var parts sync.WaitGroup
			parts.Go(func() { s.engine.Run(ctx) })
			parts.Go(func() { _ = s.front.Serve(ctx, l, 10, discardLog) })
			r.checkOtherClientIsServed(t)
			if got := arrived.String(); got != "stays" {
				t.Errorf("IDs of the requests that arrived: got %q, want \"stays\"", got)
			}
			r.client.CloseIdleConnections()
			end()
			parts.Wait()
		})
	}
}
