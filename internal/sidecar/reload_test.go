package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"hazelwing/balancer"
)

// watched is a discovery whose watches say nothing; it tells what was asked and when a watch ended.
func watched(t *testing.T) (addr string, calls, ends chan string) {
	t.Helper()
	calls, ends = make(chan string, 100), make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		w.WriteHeader(http.StatusOK)
		io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		ends <- r.URL.RawQuery
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), calls, ends
}

// A new configuration moves the watch at once, and with the whole list; one that cannot be used changes nothing.
func TestReload(t *testing.T) {
	oldAddr, oldCalls, oldEnds := watched(t)
	newAddr, newCalls, _ := watched(t)
	r := startSidecar(t, oldAddr, noDiscovery)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	signals := make(chan os.Signal)
	next := make(chan func() (*Config, error), 1)
	go r.loop.reloads(ctx, signals, func() (*Config, error) { return (<-next)() })
	if q := receive(t, oldCalls, "the first watch"); q != "watch=1&from=1" {
		t.Errorf("asked %s", q)
	}
	next <- func() (*Config, error) { return nil, errors.New("unusable") }
	signals <- os.Interrupt
	next <- func() (*Config, error) { return &Config{Discovery: newAddr}, nil }
	signals <- os.Interrupt
	if q := receive(t, newCalls, "the new watch"); q != "watch=1&from=0" {
		t.Errorf("asked %s", q)
	}
	receive(t, oldEnds, "the old watch's end")
	if len(oldCalls) > 0 {
		t.Error("the old discovery was asked again")
	}
}

// Guards against the module's wait after failures, which belongs to the old address.
func TestReloadDuringBackOff(t *testing.T) {
	addr, calls, _ := watched(t)
	l := idleLoop(t)
	for range 10 {
		l.news(news{watch: l.watch, kind: balancer.Failed})
		l.subscribe()
	}
	l.event(moved{addr})
	receive(t, calls, "the new watch")
	begun := time.Now()
	n := receive(t, l.lists, "the first news")
	l.news(n)
	if time.Since(begun) > patience/2 || l.watch == nil || n.watch != l.watch {
		t.Error("the new watch was not followed")
	}
}

// At the start the variable names discovery, after a new configuration the file does.
func TestReloadedFileGoesBeforeVariables(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"RELAY_CONFIG": path, "RELAY_DISCOVERY": "127.0.0.1:9"}
	getenv := func(name string) string { return env[name] }
	if err := os.WriteFile(path, fmt.Appendf(nil, testConfig, "127.0.0.1:2", "127.0.0.1:3"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, load := range map[string]func(func(string) string) (*Config, error){"127.0.0.1:9": Load, "127.0.0.1:2": Reload} {
		if cfg, err := load(getenv); err != nil || cfg.Discovery != want {
			t.Errorf("%+v, %v, want %s", cfg, err, want)
		}
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Reload(getenv); err == nil {
		t.Error("half a file was taken")
	}
}
