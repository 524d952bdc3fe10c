package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"hazelwing/internal/platform"
	"hazelwing/internal/testutil"
)

// startSilentDiscovery starts a discovery whose watches report no endpoints. calls receives the query of each call, and
// ends the query of each watch that has ended.
func startSilentDiscovery(t *testing.T) (addr string, calls, ends chan string) {
	t.Helper()
	calls, ends = make(chan string, 100), make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		if r.URL.RawQuery == "" {
			send(w, `{"seq":0,"whole":true,"hosts":[]}`)
			return
		}
		w.WriteHeader(http.StatusOK)
		send(w, "\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		ends <- r.URL.RawQuery
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), calls, ends
}

// SIGHUP reloads a changed configuration file of the platform. The watch moves to the new address at once. It starts
// from version 0, because versions of different discovery services are unrelated. An invalid file changes nothing, so
// that the sidecar keeps its list.
func TestReload(t *testing.T) {
	oldAddr, oldCalls, oldEnds := startSilentDiscovery(t)
	newAddr, newCalls, _ := startSilentDiscovery(t)
	r := startSidecar(t, oldAddr, testutil.UnusedAddr)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	signals := make(chan os.Signal)
	next := make(chan func() (*platform.Config, error), 1)
	r.reloads = reloads{
		signals: signals,
		load:    func() (*platform.Config, error) { return (<-next)() },
	}
	go r.runReloads(ctx)
	if q := testutil.Receive(t, oldCalls, "the first watch"); q != "watch=1&from=1" {
		t.Errorf("the first watch: got query %s, want watch=1&from=1", q)
	}
	next <- func() (*platform.Config, error) { return nil, errors.New("invalid file") }
	signals <- os.Interrupt
	next <- func() (*platform.Config, error) { return &platform.Config{Discovery: newAddr}, nil }
	signals <- os.Interrupt
	if q := testutil.Receive(t, newCalls, "the new watch"); q != "watch=1&from=0" {
		t.Errorf("the new watch: got query %s, want watch=1&from=0", q)
	}
	testutil.Receive(t, oldEnds, "the end of the old watch")
	if len(oldCalls) > 0 {
		t.Errorf("%d further calls to the old discovery, want none", len(oldCalls))
	}
}
