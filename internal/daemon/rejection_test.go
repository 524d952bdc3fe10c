package daemon

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"hazelwing/internal/testutil"
)

// keyedEndpoint runs requests and records their keys. It answers some, resets the connection after others, and turns
// others away unrun, at random.
type keyedEndpoint struct {
	mu  sync.Mutex
	rng *rand.Rand
	ran map[string]int // number of runs, by class and key
}

func (e *keyedEndpoint) serve(_ int, conn net.Conn, r *bufio.Reader) {
	for req := testutil.ReadRequest(r); req != nil; req = testutil.ReadRequest(r) {
		e.mu.Lock()
		fate := e.rng.IntN(3)
		if fate > 0 {
			e.ran[req.Header.Get("X-Class")+" "+req.Header.Get("Idempotency-Key")]++
		}
		e.mu.Unlock()
		switch fate {
		case 0:
			send(conn, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case 1:
			conn.Close()
			return
		default:
			send(conn, testutil.OKResponse)
		}
	}
}

func (e *keyedEndpoint) runs(effect string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[effect]
}

// Guards against a client that is told that a retry is harmless although its request has run. With idempotency records,
// few keys are used again and again under new request IDs; some clients close their sending half right behind the
// request and read the answer.
func TestRejectionsAreHarmless(t *testing.T) {
	for seed := range uint64(4) {
		e := &keyedEndpoint{rng: rand.New(rand.NewPCG(seed, 1)), ran: map[string]int{}}
		addr := testutil.ServeRaw(t, e.serve)
		r, stop := runWithOperatorFile(t, addr, fmt.Sprintf("[ledger]\ndir = %q\n", t.TempDir()))
		rng := rand.New(rand.NewPCG(seed, 2))
		for n := range 60 {
			key := fmt.Sprint("k", rng.IntN(12))
			effect := "book " + key
			halfClose := rng.IntN(3) == 0
			status := r.sendBooking(t, fmt.Sprint(n), key, halfClose)
			if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
				continue
			}
			if runs := e.runs(effect); runs > 0 {
				t.Errorf("seed %d: request %d with the key %s, sending half closed %v: got %d, but it has run %d times",
					seed, n, key, halfClose, status, runs)
			}
		}
		stop()
		for n := range 12 {
			if effect := fmt.Sprint("book k", n); e.runs(effect) > 1 {
				t.Errorf("seed %d: %s has run %d times, want at most once", seed, effect, e.runs(effect))
			}
		}
	}
}

// sendBooking sends a request of the class book on a connection of its own, and returns the status of the answer. With
// halfClose, it closes the sending half right behind the request.
func (r *testSidecar) sendBooking(t *testing.T, id, key string, halfClose bool) int {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	req := r.request(t, "POST", "book", id, "x")
	req.Header.Set("Idempotency-Key", key)
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
	if halfClose {
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		t.Fatalf("request %s: %v", id, err)
	}
	resp.Body.Close()
	return resp.StatusCode
}
