package daemon

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/operator"
	"hazelwing/internal/testutil"
)

// withOperator starts a daemon with an operator's file, and returns it with what the file's parts show.
func runWithOperatorFile(t *testing.T, upstream, text string) (r *testSidecar, stop func()) {
	t.Helper()
	op, err := operator.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return run(t, parseConfig(t, fmt.Sprintf(testutil.Config, testutil.NoAddr, upstream)), op)
}

// With the ledger unsafe requests may bring a key, and a repeat of what may have run is failed at once, also by the
// next daemon on the same directory.
func TestLedger(t *testing.T) {
	copies := make(chan bool, 100)
	addr := testutil.Raw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
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
	go func() { // what the endpoint shows
		http.Serve(r.adminListener, r.sections())
	}()
	get := func(path string) (int, string) {
		resp, err := r.client.Get("http://" + r.adminListener.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	var state middleware.Status
	status, body := get("/ledger")
	if err := json.Unmarshal([]byte(body), &state); status != 200 || err != nil || state.Remembered != 1 || state.Failed != 1 || state.Store.Segments == 0 {
		t.Errorf("%d %v %s", status, err, body)
	}
	if _, body := get("/"); !strings.Contains(body, `"ledger"`) {
		t.Error(body)
	}
	// Of 1,024 descriptors 16 are kept back, 10 are the endpoint's, 4 + 64 the ledger's, whose segments stay open.
	if _, body := get("/bounds"); !strings.Contains(body, `"connections to upstreams"`) || !strings.Contains(body, `"limit": 465`) {
		t.Error(body)
	}
	if status, _ := get("/other"); status != 404 {
		t.Error(status)
	}
	if resp, err := r.client.Post("http://"+r.adminListener.Addr().String()+"/ledger", "", nil); err != nil || resp.StatusCode != 405 {
		t.Errorf("%v, %v", resp, err)
	}
}

// What cannot be started with is an error that names the key, and lets all else go again.
func TestLedgerCannotStart(t *testing.T) {
	dir := t.TempDir()
	cfg := parseConfig(t, fmt.Sprintf(testutil.Config, testutil.NoAddr, testutil.NoAddr))
	for text, want := range map[string]string{
		fmt.Sprintf("[ledger]\ndir = %q\nremember = \"30s\"", dir):                          "ledger.remember: 30s is too short for the class book, which needs 40s",
		"[ledger]\ndir = \"/dev/null/x\"":                                                   "ledger.dir",
		fmt.Sprintf("[ledger]\ndir = %q\n[admin]\nlisten = \"127.0.0.1:%d\"", dir, busy(t)): "admin.listen",
	} {
		op, err := operator.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := build(t.Context(), cfg, op, discardLog); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	r, stop := runWithOperatorFile(t, testutil.NoAddr, fmt.Sprintf("[ledger]\ndir = %q", dir)) // nobody holds it any more
	defer stop()
	op, _ := operator.Parse([]byte(fmt.Sprintf("[ledger]\ndir = %q", dir)))
	if _, err := build(t.Context(), cfg, op, discardLog); err == nil || !strings.Contains(err.Error(), "another process") || r.deduplicator == nil {
		t.Errorf("a second one: %v", err)
	}
}

// busy is a port that is taken until the test ends.
func busy(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().(*net.TCPAddr).Port
}
