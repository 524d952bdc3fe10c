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

// view is a transport that carries nothing and knows which members it could send to.
type view struct {
	lists // of which only what carries nothing is used
	mu    sync.Mutex
	held  map[string]bool
}

func (v *view) Update(whole bool, entries []engine.Endpoint, _ time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	kind := balancer.Delta
	if whole {
		kind = balancer.CompleteList
	}
	hold(v.held, engine.EndpointUpdate{Kind: kind, Endpoints: entries})
}

func (v *view) String() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprint(slices.Sorted(maps.Keys(v.held)))
}

// records is a log that can be read while it is written.
type records struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *records) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

func (r *records) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// A discovery tells the list and a drain, and then misbehaves. The sidecar goes on with what it knew, the drain that was told
// stays told, the log says why the list is lost, and it asks again until discovery is itself again.
func TestMisbehavingDiscovery(t *testing.T) {
	good := []string{object(5, true, "a", "b", "c"), object(6, false, "-b")}
	turnAway := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	says := func(text string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
	}
	for name, c := range map[string]struct {
		first func(http.ResponseWriter) // on the open watch, which ends after it; nil: nothing
		then  func(http.ResponseWriter) // what the next two calls get
		says  string                    // what the log has to say
	}{
		"turns away":                    {nil, turnAway, "503 Service Unavailable"},
		"resets":                        {reset, reset, "EOF"},
		"stops in the middle of a line": {says(`{"seq":7,"whole":true,"hosts":[{"host":"b","di`), reset, "a line of the watch"},
		"a line over the limit":         {says(`{"seq":7,"x":"` + strings.Repeat("x", longestLine+1)), turnAway, "a line of the watch is longer than"},
		"no object at all":              {says("xyz"), turnAway, "a line of the watch: 'x' is not the beginning of an object"},
		"a line that cannot be read":    {says("{\"seq\":7,\"whole\":true,\"hosts\":7}\n"), turnAway, "a line of the watch"},
		"an older version":              {says(object(5, false, "b") + "\n"), turnAway, "the watch ended"},
		"an answer that is not HTTP":    {nil, notHTTP, "malformed HTTP"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // its waits are in real time
			var calls atomic.Int32
			var recovered atomic.Bool
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch n := calls.Add(1); {
				case n == 1:
					io.WriteString(w, strings.Join(good, "\n")+"\n")
					w.(http.Flusher).Flush()
					if c.first != nil {
						c.first(w)
					}
				case n <= 3:
					c.then(w)
				case r.URL.RawQuery == "":
					io.WriteString(w, object(8, true, "a", "c", "d"))
				default:
					recovered.Store(true)
					io.WriteString(w, object(8, true, "a", "c", "d")+"\n")
					w.(http.Flusher).Flush()
					<-r.Context().Done()
				}
			}))
			defer server.Close()
			v, log := &view{held: map[string]bool{}}, new(records)
			e, err := engine.New(engine.Config{Transport: v, Seed: 1, Log: slog.New(slog.NewTextHandler(log, nil)),
				Source:     NewClient(server.Listener.Addr().String(), true, slog.New(slog.NewTextHandler(log, nil))),
				Settings:   balancer.Settings{MustSubscribe: true, Balancers: 300, Classes: []balancer.Class{{Name: "c", Deadline: time.Second}}},
				CachedList: engine.EndpointUpdate{Version: 4, Endpoints: []engine.Endpoint{{ID: "a"}}}})
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(t.Context())
			var running sync.WaitGroup
			defer running.Wait()
			defer stop()
			running.Go(func() { e.Run(ctx) })
			testutil.Until(t, "the second call", func() bool { return calls.Load() > 1 })
			for !recovered.Load() { // all the while: what it knew, without what drains
				if got := v.String(); calls.Load() < 4 && got != "[a c]" {
					t.Fatalf("it holds %s while discovery misbehaves", got)
				}
				time.Sleep(time.Millisecond)
			}
			testutil.Until(t, "the list", func() bool { return v.String() == "[a c d]" })
			if text := log.String(); !strings.Contains(text, c.says) {
				t.Errorf("the log does not say %q:\n%s", c.says, text)
			}
			if n := calls.Load(); n > 5 {
				t.Errorf("%d calls", n)
			}
		})
	}
}

// notHTTP answers with something else.
func notHTTP(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	io.WriteString(c, "220 mail.example ESMTP\r\n")
	c.Close()
}
