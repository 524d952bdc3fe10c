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

// listedEndpoints is a transport that sends nothing and knows the endpoints that it could send to.
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

// logBuffer is a log that can be read while it is written.
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

// A discovery service delivers the list and a draining endpoint, and then misbehaves. The sidecar goes on with what it
// knows, the draining endpoint stays draining, the log says why the list is lost, and the service is called again
// until it recovers.
func TestMisbehavingDiscovery(t *testing.T) {
	reject := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	sends := func(text string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { send(w, text) }
	}
	for name, c := range map[string]struct {
		onWatch func(http.ResponseWriter) // on the open watch, which ends after it; nil: nothing
		then    func(http.ResponseWriter) // the responses to the next two calls
		log     string                    // what the log has to contain
	}{
		"rejects": {
			nil, reject, "503 Service Unavailable",
		},
		"resets": {
			reset, reset, "EOF",
		},
		"stops in the middle of an event": {
			sends(`{"seq":7,"whole":true,"hosts":[{"host":"b","di`), reset, "malformed watch event",
		},
		"an event over the limit": {
			sends(`{"seq":7,"x":"` + strings.Repeat("x", maxEventBytes+1)), reject,
			"malformed watch event: it is longer than",
		},
		"no object at all": {
			sends("xyz"), reject, "malformed watch event: 'x' is not the beginning of an object",
		},
		"an event that cannot be decoded": {
			sends("{\"seq\":7,\"whole\":true,\"hosts\":7}\n"), reject, "malformed watch event",
		},
		"an older version": {
			sends(eventJSON(5, false, "b") + "\n"), reject, "the service ended the watch",
		},
		"a response that is not HTTP": {
			nil, sendNotHTTP, "malformed HTTP",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // its waits are in real time
			testMisbehavior(t, &misbehavingService{onWatch: c.onWatch, then: c.then}, c.log)
		})
	}
}

// misbehavingService is a discovery service that misbehaves once its first watch has delivered two events, for two
// calls, and works from the fourth call on.
type misbehavingService struct {
	onWatch, then func(http.ResponseWriter)

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
		m.then(w)
	case isListRequest(r):
		_, _ = io.WriteString(w, eventJSON(8, true, "a", "c", "d"))
	default:
		m.recovered.Store(true)
		send(w, eventJSON(8, true, "a", "c", "d")+"\n")
		hang(r)
	}
}

// testMisbehavior runs an engine beside the service until the service has recovered.
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
	for !service.recovered.Load() { // all the while: what was known, without the draining endpoint
		if got := endpoints.String(); service.calls.Load() < 4 && got != "[a c]" {
			t.Fatalf("%s are listed while discovery misbehaves", got)
		}
		time.Sleep(time.Millisecond)
	}
	testutil.Until(t, "the list", func() bool { return endpoints.String() == "[a c d]" })
	if text := log.String(); !strings.Contains(text, wantLog) {
		t.Errorf("the log does not contain %q:\n%s", wantLog, text)
	}
	if calls := service.calls.Load(); calls > 5 {
		t.Errorf("%d calls", calls)
	}
}

// sendNotHTTP responds with something other than HTTP.
func sendNotHTTP(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, "220 mail.example ESMTP\r\n")
	conn.Close()
}
