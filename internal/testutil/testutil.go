// Package testutil has helpers for the tests of several packages: TCP servers that respond byte by byte as a test
// specifies, waits with a time limit, golden files of encoded formats, and the table of bounds in docs/CAPACITY.md.
package testutil

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/portreserve"
)

// WaitTimeout limits a test's wait for an event that has to occur. It is long because the machine may be busy.
const WaitTimeout = 20 * time.Second

// OKResponse is a complete HTTP/1.1 response with the body "ok".
const OKResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// pollInterval is the time between two checks of a condition.
const pollInterval = 100 * time.Microsecond

// ReservePort returns a port that no other test and no other process uses until the test ends. See portreserve.Set.
func ReservePort(t testing.TB) uint16 {
	t.Helper()
	var set portreserve.Set
	t.Cleanup(set.Close)
	port, err := set.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// ReserveAddr returns an address of 127.0.0.1 with a reserved port. Connections to it are refused until the test or a
// process that it starts listens on it.
func ReserveAddr(t testing.TB) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", ReservePort(t))
}

// UnusedAddr is a loopback address on which nothing listens.
const UnusedAddr = "127.0.0.1:1"

// ServeRaw accepts TCP connections on loopback and calls serve for each in a new goroutine, with the number of the
// connection, which begins at 0. It returns the address of the listener. The listener and all connections are closed
// when the test ends, which ends the goroutines that read from them.
func ServeRaw(t testing.TB, serve func(number int, conn net.Conn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(number, conn, bufio.NewReader(conn))
		}
	}()
	return listener.Addr().String()
}

// ReadRequest reads a request with its complete body. It returns nil when the connection has ended or the request is
// malformed.
func ReadRequest(reader *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil
	}
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	return req
}

// Request returns a request as an application sends it to the daemon at the address url. A request of the class "pay"
// has an idempotency key.
func Request(t testing.TB, url, method, class, id, body string) *http.Request {
	t.Helper()
	target := url + "/" + class + "/a%2Fb?q=1"
	req, err := http.NewRequestWithContext(context.Background(), method, target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if body == "" {
		req.Body, req.ContentLength = nil, 0
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Class", class)
	req.Header.Set("X-Deadline-Ms", "15000")
	if class == "pay" {
		req.Header.Set("Idempotency-Key", "k"+id)
	}
	return req
}

// Do sends a request and returns the response and its complete body.
func Do(t testing.TB, client *http.Client, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// Receive returns the next value of a channel. It fails the test after WaitTimeout. what describes the value in the
// message.
func Receive[T any](t testing.TB, values <-chan T, what string) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out after %v waiting for %s", WaitTimeout, what)
		panic("unreachable")
	}
}

// Until polls a condition until it is true. It fails the test after WaitTimeout. what describes the condition in the
// message.
func Until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(WaitTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", WaitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// PlatformConfig is the format of a platform configuration file. Its arguments are the address of discovery and the
// address of the only endpoint of the initial list.
const PlatformConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"00000000000000ff",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"seq":1,"whole":true,` +
	`"hosts":[{"host":"s","dial":%q,"site":"a","class":"m","block":0,"health":"SERVING","share":1.0,"born_ms":0}]},
"settings":{"Balancers":1,"Zone":"a","Discovery":"ask","TickMs":5,
"Classes":[{"Name":"look","AimMs":2000,"DeadlineMs":20000,"LateShare":0.5,"Semantics":"retryable"},
{"Name":"book","AimMs":2000,"DeadlineMs":20000,"LateShare":0.5,"Semantics":"fragile"},
{"Name":"pay","AimMs":2000,"DeadlineMs":20000,"LateShare":0.5,"Semantics":"dedup","DedupWindowMs":5000}],
"Limits":{"Cancelling":true,"ConnIdleMs":15000,"ConnectTimeoutMs":1000,"SendCap":3,` +
	`"RetryAfter":true,"MaxRetryAfterMs":1500},
"Rules":{"ColdFrom":0.3,"WarmUpMs":8000,"FallMultiple":3,"FallMs":2000,"DrainGraceMs":250}}}`

// WriteFile writes a file in a directory and returns its path.
func WriteFile(t testing.TB, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
