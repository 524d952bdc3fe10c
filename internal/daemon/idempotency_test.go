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

// runWithOperatorFile runs a sidecar with the given text of an operator's file until stop is called.
func runWithOperatorFile(t *testing.T, upstream, text string) (r *testSidecar, stop func()) {
	t.Helper()
	op, err := operator.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return run(t, parseConfig(t, fmt.Sprintf(testutil.PlatformConfig, testutil.UnusedAddr, upstream)), op)
}

// With idempotency records, clients may send keys with requests that are not idempotent. A repetition of a request that
// may have run fails at once. It also fails at a later daemon that uses the same directory.
func TestIdempotencyRecords(t *testing.T) {
	attempts := make(chan bool, 100)
	addr := testutil.ServeRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if testutil.ReadRequest(r) != nil {
			attempts <- true
			conn.Close() // the request may have run
		}
	})
	text := fmt.Sprintf("[ledger]\ndir = %q\n[admin]\nlisten = \"127.0.0.1:0\"\n", t.TempDir())
	sendBooking := func(r *testSidecar, id string) (int, string) {
		req := r.request(t, "POST", "book", id, "x")
		req.Header.Set("Idempotency-Key", "same")
		resp, body := r.do(t, req)
		return resp.StatusCode, body
	}
	r, stop := runWithOperatorFile(t, addr, text)
	for i := range 3 {
		if status, body := sendBooking(r, fmt.Sprint(i)); status != 502 {
			t.Errorf("request %d: got %d %s, want 502", i, status, body)
		}
	}
	if r.adminListener == nil {
		t.Error("admin endpoint: got no listener, want one")
	}
	stop()
	r, stop = runWithOperatorFile(t, addr, text)
	defer stop()
	if status, body := sendBooking(r, "later"); status != 502 {
		t.Errorf("request after a restart: got %d %s, want 502", status, body)
	}
	if len(attempts) != 1 {
		t.Errorf("%d attempts reached the endpoint, want 1", len(attempts))
	}
	go func() {
		_ = http.Serve(r.adminListener, r.sections())
	}()
	query := func(method, path string) (int, string) {
		url := "http://" + r.adminListener.Addr().String() + path
		req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, body := r.do(t, req)
		return resp.StatusCode, body
	}
	get := func(path string) (int, string) { return query("GET", path) }
	var state middleware.Status
	status, body := get("/ledger")
	err := json.Unmarshal([]byte(body), &state)
	if status != 200 || err != nil || state.Remembered != 1 || state.Failed != 1 || state.Store.Segments == 0 {
		t.Errorf("GET /ledger: got %d, error %v, %s; want 200 with one failed record in a segment", status, err, body)
	}
	if _, body := get("/"); !strings.Contains(body, `"ledger"`) {
		t.Errorf("GET /: got %s, want the section ledger", body)
	}
	// Of 1,024 descriptors, 16 are always reserved, 10 are for the admin endpoint, and 4 + 64 for the idempotency
	// records, whose segments stay open. Half of the remaining 930 are for connections to upstreams.
	_, body = get("/bounds")
	if !strings.Contains(body, `"connections to upstreams"`) || !strings.Contains(body, `"limit": 465`) {
		t.Errorf("GET /bounds: got %s, want the limit 465 for connections to upstreams", body)
	}
	if status, _ := get("/other"); status != 404 {
		t.Errorf("GET /other: got %d, want 404", status)
	}
	if status, _ := query("POST", "/ledger"); status != 405 {
		t.Errorf("POST /ledger: got %d, want 405", status)
	}
}

// A daemon that cannot open its idempotency records must not start, because it could repeat a request that has already
// run. The error must name the key in the operator's file. The failed start must release everything that it had opened,
// because a daemon that leaves its directory locked cannot be started again.
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
				t.Errorf("%s: got error %v, want one with %q", test.text, err, test.want)
			}
		})
	}
	// The failed starts have released the directory.
	r, stop := runWithOperatorFile(t, testutil.UnusedAddr, fmt.Sprintf("[ledger]\ndir = %q", dir))
	defer stop()
	op, _ := operator.Parse([]byte(fmt.Sprintf("[ledger]\ndir = %q", dir)))
	_, err := build(t.Context(), cfg, op, discardLog)
	if err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("a second daemon with the same directory: got error %v, want one with \"another process\"", err)
	}
	if r.deduplicator == nil {
		t.Error("the first daemon has no idempotency records, want records")
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
