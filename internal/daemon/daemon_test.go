package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// The sidecar forwards requests and responses unchanged, except for hop-by-hop headers. Other headers that it dropped
// or added could break applications.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for q := testutil.ReadRequest(r); q != nil; q = testutil.ReadRequest(r) {
			seen <- q
			send(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x-seat\r\nKeep-Alive: 1\r\nContent-Length: 4\r\n\r\nseat")
		}
	})
	r := startSidecar(t, testutil.UnusedAddr, addr)
	for i, c := range []struct{ method, class, body string }{
		{"GET", "look", ""},
		{"POST", "book", "b\x00dy"},
		{"POST", "pay", "card"},
	} {
		id := strconv.Itoa(i)
		req := r.request(t, c.method, c.class, id, c.body)
		req.Header.Set("X-Other", "kept")
		req.Header.Set("Te", "trailers")
		resp, body := r.do(t, req)
		if resp.StatusCode != 200 || body != "seat" ||
			resp.Header.Get("Content-Type") != "text/x-seat" || resp.Header.Get("Keep-Alive") != "" {
			t.Errorf("class %s: response to the client: got status %s, body %q, header %v; "+
				"want 200, \"seat\", the endpoint's Content-Type and no Keep-Alive",
				c.class, resp.Status, body, resp.Header)
		}
		q := testutil.Receive(t, seen, "the request")
		got, _ := io.ReadAll(q.Body)
		left, _ := strconv.Atoi(q.Header.Get("X-Deadline-Ms"))
		if q.Method != c.method || q.RequestURI != "/"+c.class+"/a%2Fb?q=1" || string(got) != c.body ||
			q.Header.Get("X-Request-Id") != id ||
			q.Header.Get("Idempotency-Key") != req.Header.Get("Idempotency-Key") ||
			q.Header.Get("X-Other") != "kept" || q.Header.Get("Te") != "" || left <= 0 || left > 15000 {
			t.Errorf("class %s: request to the endpoint: got %s %s, body %q, header %v; "+
				"want the client's request without Te, and X-Deadline-Ms from 1 to 15000",
				c.class, q.Method, q.RequestURI, got, q.Header)
		}
	}
}

// A 503 response of an endpoint does not say whether the request ran. If the request is not idempotent, the sidecar
// must not forward the 503 response: the client would take it for a rejection and repeat a request that must not run
// twice.
func TestUnsafeRequestThatMayHaveRunFails(t *testing.T) {
	for name, reply := range map[string]string{
		"503":   "HTTP/1.1 503 Hm\r\nContent-Length: 0\r\n\r\n",
		"reset": "",
	} {
		t.Run(name, func(t *testing.T) {
			attempts := make(chan bool, 100)
			addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for testutil.ReadRequest(r) != nil {
					attempts <- true
					send(conn, reply)
					if reply == "" {
						conn.Close()
					}
				}
			})
			r := startSidecar(t, testutil.UnusedAddr, addr)
			resp, _ := r.do(t, r.request(t, "POST", "book", "1", "x"))
			if resp.StatusCode < 500 || resp.StatusCode == 503 || len(attempts) != 1 {
				t.Errorf("got %s after %d attempts, want a 5xx other than 503 after 1 attempt",
					resp.Status, len(attempts))
			}
		})
	}
}

// An invalid request of a client must be sent only once, and the client must get the endpoint's response. If the
// sidecar retried it, each endpoint would reject it and be counted as failing.
func TestClientErrorIsNotRetried(t *testing.T) {
	var attempts atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		attempts.Add(1)
		http.Error(w, "no such seat", http.StatusNotFound)
	}))
	defer upstream.Close()
	r := startSidecar(t, testutil.UnusedAddr, upstream.Listener.Addr().String())
	resp, body := r.do(t, r.request(t, "GET", "look", "1", ""))
	if resp.StatusCode != 404 || body != "no such seat\n" || attempts.Load() != 1 {
		t.Errorf("got %s %q after %d attempts, want 404 with \"no such seat\" after 1 attempt",
			resp.Status, body, attempts.Load())
	}
}

// A request that was rejected before it ran is retried, even if it must not run twice.
func TestRejectedRequestIsRetried(t *testing.T) {
	addr := testutil.ServeRaw(t, func(n int, conn net.Conn, r *bufio.Reader) {
		for i := 0; testutil.ReadRequest(r) != nil; i++ {
			if n == 0 && i == 0 {
				send(conn, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			} else {
				send(conn, testutil.OKResponse)
			}
		}
	})
	r := startSidecar(t, testutil.UnusedAddr, addr)
	if resp, body := r.do(t, r.request(t, "POST", "book", "1", "x")); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s %q, want 200 with \"ok\"", resp.Status, body)
	}
}

// A request with the ID of another request in flight must be rejected at once. If the sidecar mixed up the two
// requests, one of them would get no response.
func TestRequestIDInFlightIsRejected(t *testing.T) {
	arrived, release := make(chan bool, 1), make(chan bool)
	answer := sync.OnceFunc(func() { close(release) })
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-release
	}))
	defer upstream.Close()
	defer answer()
	r := startSidecar(t, testutil.UnusedAddr, upstream.Listener.Addr().String())
	status := make(chan int, 1)
	go func() {
		if resp, err := r.client.Do(r.request(t, "POST", "book", "1", "x")); err == nil {
			resp.Body.Close()
			status <- resp.StatusCode
		}
	}()
	testutil.Receive(t, arrived, "the first request")
	if resp, _ := r.do(t, r.request(t, "POST", "book", "1", "x")); resp.StatusCode != 400 {
		t.Errorf("second request: got %s, want 400", resp.Status)
	}
	answer()
	if got := testutil.Receive(t, status, "the response to the first request"); got != 200 {
		t.Errorf("first request: got %d, want 200", got)
	}
}

// The list of discovery replaces the initial list. The first call to discovery fails, so the sidecar must call again,
// also in the mode in which an agent pushes the list.
func TestFollowsDiscovery(t *testing.T) {
	for _, mode := range []string{"ask", "push"} {
		t.Run(mode, func(t *testing.T) { followsDiscovery(t, mode) })
	}
}

func followsDiscovery(t *testing.T, mode string) {
	var calls atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { send(w, "new") }))
	defer upstream.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		entry := endpointEntry("s", upstream.Listener.Addr().String())
		send(w, `{"seq":2,"whole":true,"hosts":[`+entry+"]}\n")
	}))
	defer discovery.Close()
	r := startSidecar(t, discovery.Listener.Addr().String(), testutil.UnusedAddr, `"ask"`, strconv.Quote(mode))
	// The initial address refuses connections. The sidecar rejects requests until the list replaces this address, and
	// the client repeats rejected requests.
	started := time.Now()
	for n := 0; ; n++ {
		resp, body := r.do(t, r.request(t, "GET", "look", strconv.Itoa(n), ""))
		if resp.StatusCode == 200 && body == "new" {
			break
		}
		if time.Since(started) > testutil.WaitTimeout {
			t.Fatalf("got %s %q after %v, want 200 with \"new\"", resp.Status, body, testutil.WaitTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
