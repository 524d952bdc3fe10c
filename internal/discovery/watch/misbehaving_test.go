package watch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// listedEndpoints is a transport that sends no requests, and records the endpoints that are listed.
type listedEndpoints struct {
	noTransport
	mu     sync.Mutex
	listed map[string]bool
}

func (l *listedEndpoints) Update(complete bool, endpoints []engine.Endpoint, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := balancer.Delta
	if complete {
		kind = balancer.CompleteList
	}
	apply(l.listed, engine.EndpointUpdate{Kind: kind, Endpoints: endpoints})
}

func (l *listedEndpoints) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(slices.Sorted(maps.Keys(l.listed)))
}

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// A discovery service delivers the list and the removal of an endpoint, and then misbehaves. The sidecar must keep its
// list without the removed endpoint, log the reason for the failure, and call the service again until it recovers.
func TestMisbehavingDiscovery(t *testing.T) {
	reject := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	sendText := func(text string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { send(w, text) }
	}
	for name, c := range map[string]struct {
		onWatch func(http.ResponseWriter) // called for the open watch before it ends; may be nil
		onRetry func(http.ResponseWriter) // responds to the next two calls
		log     string                    // text that the log must contain
	}{
		"rejects": {
			nil, reject, "503 Service Unavailable",
		},
		"resets": {
			reset, reset, "EOF",
		},
		"stops in the middle of an event": {
			sendText(`{"seq":7,"whole":true,"hosts":[{"host":"b","di`), reset, "malformed watch event",
		},
		"an event over the limit": {
			sendText(`{"seq":7,"x":"` + strings.Repeat("x", maxEventBytes+1)), reject,
			"malformed watch event: the object is longer than",
		},
		"no object at all": {
			sendText("xyz"), reject, "malformed watch event: found 'x', want the '{' of an object",
		},
		"an event that cannot be decoded": {
			sendText("{\"seq\":7,\"whole\":true,\"hosts\":7}\n"), reject, "malformed watch event",
		},
		"an older version": {
			sendText(eventJSON(5, false, "b") + "\n"), reject, "the service ended the watch",
		},
		"a response that is not HTTP": {
			nil, sendNotHTTP, "malformed HTTP",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // the test waits in real time
			testMisbehavior(t, &misbehavingService{onWatch: c.onWatch, onRetry: c.onRetry}, c.log)
		})
	}
}

// misbehavingService is a discovery service whose first watch delivers two events and then misbehaves. It also
// misbehaves in the next two calls, and works from the fourth call on.
type misbehavingService struct {
	onWatch, onRetry func(http.ResponseWriter)

	calls     atomic.Int32
	recovered atomic.Bool
}

func (m *misbehavingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch call := m.calls.Add(1); {
	case call == 1:
		send(w, eventJSON(5, true, "a", "b", "c")+"\n"+eventJSON(6, false, "-b")+"\n")
		if m.onWatch != nil {
			m.onWatch(w)
		}
	case call <= 3:
		m.onRetry(w)
	case isListRequest(r):
		_, _ = io.WriteString(w, eventJSON(8, true, "a", "c", "d"))
	default:
		m.recovered.Store(true)
		send(w, eventJSON(8, true, "a", "c", "d")+"\n")
		hang(r)
	}
}

// testMisbehavior runs an engine that watches the service until the service has recovered.
func testMisbehavior(t *testing.T, service *misbehavingService, wantLog string) {
	t.Helper()
	server := httptest.NewServer(service)
	defer server.Close()
	endpoints, log := &listedEndpoints{listed: map[string]bool{}}, new(logBuffer)
	logger := slog.New(slog.NewTextHandler(log, nil))
	e, err := engine.New(engine.Config{
		Transport: endpoints,
		Seed:      1,
		Log:       logger,
		Source:    NewClient(server.Listener.Addr().String(), true, logger),
		Settings: balancer.Settings{
			MustSubscribe: true,
			Balancers:     300,
			Classes:       []balancer.Class{{Name: "c", Deadline: time.Second}},
		},
		CachedList: engine.EndpointUpdate{Version: 4, Endpoints: []engine.Endpoint{{ID: "a"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { e.Run(ctx) })
	testutil.Until(t, "the second call", func() bool { return service.calls.Load() > 1 })
	for !service.recovered.Load() { // until the recovery, the list must stay a and c, without the removed endpoint b
		if got := endpoints.String(); service.calls.Load() < 4 && got != "[a c]" {
			t.Fatalf("the endpoints %s are listed while the discovery service misbehaves, want [a c]", got)
		}
		time.Sleep(time.Millisecond)
	}
	testutil.Until(t, "the list of the recovered service", func() bool { return endpoints.String() == "[a c d]" })
	if text := log.String(); !strings.Contains(text, wantLog) {
		t.Errorf("the log does not contain %q:\n%s", wantLog, text)
	}
	if calls := service.calls.Load(); calls > 5 {
		t.Errorf("the service received %d calls, want at most 5", calls)
	}
}

// sendNotHTTP sends a response that is not HTTP.
func sendNotHTTP(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, "220 mail.example ESMTP\r\n")
	conn.Close()
}
