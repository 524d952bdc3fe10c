package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

// runWithOperatorFile runs a sidecar with an operator's file until stop.
func runWithOperatorFile(t *testing.T, upstream, text string) (r *testSidecar, stop func()) {
	t.Helper()
	op, err := operator.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return run(t, parseConfig(t, fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, upstream)), op)
}

// With idempotency records requests that are not idempotent may have a key, and a repeat of one that may have run fails
// at once, also by the next daemon with the same directory.
func TestIdempotencyRecords(t *testing.T) {
	copies := make(chan bool, 100)
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if testutil.ReadRequest(r) != nil {
			copies <- true
			conn.Close() // it may have run
		}
	})
	text := fmt.Sprintf("[ledger]\ndir = %q\n[admin]\nlisten = \"127.0.0.1:0\"\n", t.TempDir())
	try := func(r *testSidecar, id string) (int, string) {
		req := r.request(t, "POST", "book", id, "x")
		req.Header.Set("Idempotency-Key", "same")
		resp, body := r.do(t, req)
		return resp.StatusCode, body
	}
	r, stop := runWithOperatorFile(t, addr, text)
	for i := range 3 {
		if status, body := try(r, fmt.Sprint(i)); status != 502 {
			t.Errorf("try %d: %d %s", i, status, body)
		}
	}
	if r.adminListener == nil {
		t.Error("no endpoint")
	}
	stop()
	r, stop = runWithOperatorFile(t, addr, text)
	defer stop()
	if status, body := try(r, "later"); status != 502 {
		t.Errorf("after a restart: %d %s", status, body)
	}
	if len(copies) != 1 {
		t.Errorf("%d copies were sent", len(copies))
	}
	go func() {
		_ = http.Serve(r.adminListener, r.sections())
	}()
	ask := func(method, path string) (int, string) {
		url := "http://" + r.adminListener.Addr().String() + path
		req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, body := r.do(t, req)
		return resp.StatusCode, body
	}
	get := func(path string) (int, string) { return ask("GET", path) }
	var state middleware.Status
	status, body := get("/ledger")
	err := json.Unmarshal([]byte(body), &state)
	if status != 200 || err != nil || state.Remembered != 1 || state.Failed != 1 || state.Store.Segments == 0 {
		t.Errorf("%d %v %s", status, err, body)
	}
	if _, body := get("/"); !strings.Contains(body, `"ledger"`) {
		t.Error(body)
	}
	// Of 1,024 descriptors 16 are reserved, 10 are the endpoint's, 4 + 64 the records', whose segments stay open.
	_, body = get("/bounds")
	if !strings.Contains(body, `"connections to upstreams"`) || !strings.Contains(body, `"limit": 465`) {
		t.Error(body)
	}
	if status, _ := get("/other"); status != 404 {
		t.Error(status)
	}
	if status, _ := ask("POST", "/ledger"); status != 405 {
		t.Errorf("POST: %d", status)
	}
}

// The idempotency records cannot be opened. A daemon that started all the same could bring about an effect twice, and
// one that fails and leaves its directory locked could not be started again: the error must name the key, and all that
// was open be released.
func TestIdempotencyRecordsCannotBeOpened(t *testing.T) {
	dir := t.TempDir()
	cfg := parseConfig(t, fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, testutil.UnusedAddr))
	tests := []struct{ name, text, want string }{
		{
			name: "retention too short",
			text: fmt.Sprintf("[ledger]\ndir = %q\nremember = \"30s\"", dir),
			want: "ledger.remember: must be at least 40s for the class book, got 30s",
		},
		{
			name: "no directory",
			text: "[ledger]\ndir = \"/dev/null/x\"",
			want: "ledger.dir",
		},
		{
			name: "address in use",
			text: fmt.Sprintf("[ledger]\ndir = %q\n[admin]\nlisten = \"127.0.0.1:%d\"", dir, portInUse(t)),
			want: "admin.listen",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			op, err := operator.Parse([]byte(test.text))
			if err != nil {
				t.Fatal(err)
			}
			_, err = build(t.Context(), cfg, op, discardLog)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: %v", test.text, err)
			}
		})
	}
	// The directory is not in use any more.
	r, stop := runWithOperatorFile(t, testutil.UnusedAddr, fmt.Sprintf("[ledger]\ndir = %q", dir))
	defer stop()
	op, _ := operator.Parse([]byte(fmt.Sprintf("[ledger]\ndir = %q", dir)))
	_, err := build(t.Context(), cfg, op, discardLog)
	if err == nil || !strings.Contains(err.Error(), "another process") || r.deduplicator == nil {
		t.Errorf("a second one: %v", err)
	}
}

// portInUse returns a port that is in use until the test ends.
func portInUse(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().(*net.TCPAddr).Port
}
