package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
	"hazelwing/internal/testutil"
)

var discardLog = slog.New(slog.DiscardHandler)

// testSidecar is a running sidecar on loopback, with a client for it.
type testSidecar struct {
	*sidecar
	url    string
	client *http.Client
}

// parseConfig loads the platform's configuration from a text.
func parseConfig(t *testing.T, text string) *platform.Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := platform.Load(func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// config returns the configuration of testutil.PlatformConfig with changes. change has pairs of old and new text.
func config(t *testing.T, discovery, upstream string, change ...string) *platform.Config {
	t.Helper()
	original := fmt.Sprintf(testutil.PlatformConfig, discovery, upstream)
	return parseConfig(t, strings.NewReplacer(change...).Replace(original))
}

// startSidecar runs a sidecar until the test ends. change is passed to config.
func startSidecar(t *testing.T, discovery, upstream string, change ...string) *testSidecar {
	t.Helper()
	r, stop := run(t, config(t, discovery, upstream, change...), new(operator.Config))
	t.Cleanup(stop)
	return r
}

// run builds a sidecar, and runs its engine, its merged source and the platform's front until stop is called. The other
// components do not run.
func run(t *testing.T, cfg *platform.Config, op *operator.Config) (r *testSidecar, stop func()) {
	t.Helper()
	s, err := build(t.Context(), cfg, op, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	r = &testSidecar{
		sidecar: s,
		url:     "http://" + listener.Addr().String(),
		client:  &http.Client{Transport: &http.Transport{}, Timeout: testutil.WaitTimeout},
	}
	ran := make(chan struct{})
	go func() {
		var parts sync.WaitGroup
		if s.endpoints != nil {
			parts.Go(func() { s.endpoints.Run(ctx) })
		}
		s.engine.Run(ctx)
		parts.Wait()
		close(ran)
	}()
	go func() { _ = s.front.Serve(ctx, listener, s.maxClientConns, discardLog) }()
	return r, func() {
		r.client.CloseIdleConnections()
		end()
		<-ran
		if err := s.close(); err != nil {
			t.Error(err)
		}
	}
}

func (r *testSidecar) request(t *testing.T, method, class, id, body string) *http.Request {
	t.Helper()
	return testutil.Request(t, r.url, method, class, id, body)
}

// reply is a response without its body.
type reply struct {
	StatusCode int
	Status     string
	Header     http.Header
}

// do sends a request and returns its reply and body.
func (r *testSidecar) do(t *testing.T, req *http.Request) (reply, string) {
	t.Helper()
	resp, body := testutil.Do(t, r.client, req) //nolint:bodyclose // Do reads the body and closes it
	return reply{StatusCode: resp.StatusCode, Status: resp.Status, Header: resp.Header}, body
}

// send writes text. It ignores errors, because some tests close the connection on the other side.
func send(w io.Writer, text string) {
	_, _ = io.WriteString(w, text)
}
