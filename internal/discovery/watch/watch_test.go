package watch

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// startVersion is the version from which startWatch starts a watch.
const startVersion = 41

// startWatch starts a watch from startVersion of a discovery service whose handler is serve, and returns its updates.
func startWatch(
	t *testing.T, silenceTimeout time.Duration, serve http.HandlerFunc,
) <-chan engine.EndpointUpdate {
	t.Helper()
	return startWatchFrom(t, startVersion, silenceTimeout, serve)
}

// startWatchFrom starts a watch like startWatch, but from the given version.
func startWatchFrom(
	t *testing.T, version int64, silenceTimeout time.Duration, serve http.HandlerFunc,
) <-chan engine.EndpointUpdate {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	updates := make(chan engine.EndpointUpdate, 100)
	client := NewClient(server.Listener.Addr().String(), true, slog.New(slog.DiscardHandler))
	client.silenceTimeout, client.hedge.delay = silenceTimeout, silenceTimeout/2
	t.Cleanup(client.Watch(version, 0, func(update engine.EndpointUpdate) { updates <- update }))
	return updates
}

// send writes text as part of a response and flushes it. It ignores errors, because the client may have disconnected.
func send(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// sendUntilDisconnected sends text repeatedly, with a pause of interval, until the client disconnects.
func sendUntilDisconnected(w http.ResponseWriter, r *http.Request, text string, interval time.Duration) {
	for r.Context().Err() == nil {
		send(w, text)
		time.Sleep(interval)
	}
}

// hang waits until the client disconnects.
func hang(r *http.Request) { <-r.Context().Done() }

// isListRequest reports whether the request is for the complete list and not for a watch.
func isListRequest(r *http.Request) bool { return r.URL.RawQuery == "" }

// completeList43 is an event with the complete list of version 43.
const completeList43 = `{"seq":43,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1",` +
	`"site":"a","class":"m","block":3,"health":"SERVING","share":1.0,"born_ms":0}]}`

// A watch delivers in this order: an empty update when the service responds, the complete list, a change, and the
// failure when the connection ends. The request contains the version from which the watch starts.
func TestWatch(t *testing.T) {
	delta44 := strings.ReplaceAll(completeList43, `43,"whole":true`, `44,"whole":false`)
	calls := make(chan string, 1)
	updates := startWatch(t, testutil.WaitTimeout, func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.String()
		_, _ = io.WriteString(w, "\n\n"+completeList43+"\n\n"+delta44+"\n")
	})
	if got := testutil.Receive(t, calls, "the call"); got != "/discovery/hosts?watch=1&from=41" {
		t.Errorf("requested %s, want /discovery/hosts?watch=1&from=41", got)
	}
	for i, want := range []struct {
		kind      balancer.UpdateKind
		version   int64
		endpoints int
	}{
		{balancer.Delta, startVersion, 0}, // the service has responded with an empty line
		{balancer.CompleteList, 43, 1},
		{balancer.Delta, 44, 1},
		{balancer.WatchFailed, 44, 0}, // the connection has ended
	} {
		got := testutil.Receive(t, updates, "an update")
		if got.Kind != want.kind || got.Version != want.version || len(got.Endpoints) != want.endpoints {
			t.Fatalf("update %d is %+v, want %+v", i, got, want)
		}
	}
}

// eventJSON returns an event of the discovery service. An endpoint "a" is active, an endpoint "-b" is removed.
func eventJSON(version int, complete bool, endpoints ...string) string {
	var hosts []string
	for _, endpoint := range endpoints {
		name, health := endpoint, "SERVING"
		if endpoint[0] == '-' {
			name, health = endpoint[1:], "DELETED"
		}
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","health":%q}`, name, health))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, complete, strings.Join(hosts, ","))
}

// A watch from NoVersion delivers the complete list first, whether or not the service treats version 0 as an ordinary
// version. After the list, the watch delivers no older change.
func TestCompleteListIsDeliveredFirst(t *testing.T) {
	delta0 := eventJSON(0, false)
	delta1 := eventJSON(1, false, "b")
	list0 := eventJSON(0, true, "a")
	for name, c := range map[string]struct {
		watch []string
		list  string
		want  string // last version and the endpoints listed then, or a failure and the version to resume from
		calls int    // number of requests
	}{
		"0 means no version":  {[]string{eventJSON(3, true, "a"), eventJSON(4, false, "b")}, "", "4 [a b]", 1},
		"0 is a version":      {[]string{delta0, delta1}, list0, "1 [a b]", 2},
		"nothing has changed": {[]string{"", delta1}, list0, "1 [a b]", 2},
		"the list is newer": {
			[]string{delta1, eventJSON(2, false, "-b"), eventJSON(3, false, "c")},
			eventJSON(2, true, "a"), "3 [a c]", 2,
		},
		"the response is a delta":  {[]string{delta0}, eventJSON(0, false, "a"), "failed -1", 2},
		"the response is not JSON": {[]string{delta0}, "{", "failed -1", 2},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 10)
			updates := startWatchFrom(t, engine.NoVersion, testutil.WaitTimeout,
				func(w http.ResponseWriter, r *http.Request) {
					calls <- r.URL.String()
					if isListRequest(r) {
						_, _ = io.WriteString(w, c.list)
						return
					}
					send(w, strings.Join(c.watch, "\n")+"\n")
					hang(r)
				})
			listed, got := map[string]bool{}, ""
			for first := true; got != c.want; first = false { // events may arrive before or after the list
				update := testutil.Receive(t, updates, fmt.Sprintf("an update that leads to %q, after %q", c.want, got))
				if update.Kind == balancer.WatchFailed {
					got = fmt.Sprint("failed ", update.Version)
					continue
				}
				if first && update.Kind != balancer.CompleteList {
					t.Errorf("the first update is %+v, want the complete list", update)
				}
				apply(listed, update)
				got = fmt.Sprint(update.Version, " ", slices.Sorted(maps.Keys(listed)))
			}
			if len(calls) != c.calls {
				t.Errorf("the service received %d calls, want %d", len(calls), c.calls)
			}
		})
	}
}

// apply applies an update to the set of listed endpoints, as the engine does.
func apply(listed map[string]bool, update engine.EndpointUpdate) {
	if update.Kind == balancer.CompleteList {
		clear(listed)
	}
	for _, endpoint := range update.Endpoints {
		delete(listed, endpoint.ID)
		if endpoint.State == balancer.Active {
			listed[endpoint.ID] = true
		}
	}
}

// When a watch is migrated to another discovery service, its first changes must be delivered at once, even if the
// service rejects requests for the complete list. Otherwise the sidecar would send requests to endpoints that were
// reported as removed. Such a rejection must not end the watch.
func TestMigratedWatchDeliversAtOnce(t *testing.T) {
	for name, shared := range map[string]bool{"shared service": true, "local agent": false} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if isListRequest(r) {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				send(w, eventJSON(5, false, "b", "-a")+"\n")
				hang(r)
			}))
			defer server.Close()
			updates := make(chan engine.EndpointUpdate, 100)
			client := NewClient(server.Listener.Addr().String(), shared, slog.New(slog.DiscardHandler))
			deliver := func(update engine.EndpointUpdate) { updates <- update }
			defer client.Watch(engine.UnknownVersion, 0, deliver)()
			update := testutil.Receive(t, updates, "the change")
			if update.Kind != balancer.Delta || update.Version != 5 || len(update.Endpoints) != 2 {
				t.Fatalf("the watch delivered %+v, want a delta of version 5 with 2 endpoints", update)
			}
		})
	}
}

// The service rejects the call, resets the connection or stops sending. The watch must deliver the failure with its
// reason, because the balancer would otherwise use an old list forever.
func TestWatchFails(t *testing.T) {
	for name, c := range map[string]struct {
		silenceTimeout time.Duration
		serve          http.HandlerFunc
		want           string
	}{
		"rejected": {
			testutil.WaitTimeout,
			func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			"503",
		},
		"reset": {
			testutil.WaitTimeout,
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			"",
		},
		// The network to the discovery service is interrupted: the connection stays open and no data arrives.
		"silent from the start": {
			50 * time.Millisecond,
			func(_ http.ResponseWriter, r *http.Request) { hang(r) },
			"no data received",
		},
		"silent after the headers": {
			50 * time.Millisecond,
			func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusOK)
				w.(http.Flusher).Flush()
				hang(r)
			},
			"no data received",
		},
	} {
		t.Run(name, func(t *testing.T) {
			update := testutil.Receive(t, startWatch(t, c.silenceTimeout, c.serve), "the failure")
			if update.Kind != balancer.WatchFailed || update.Err == nil ||
				!strings.Contains(update.Err.Error(), c.want) {
				t.Errorf("the watch delivered %+v, want a failure with %q in its error", update, c.want)
			}
		})
	}
}

// The service sends an event that cannot be decoded, and counts it as delivered. The next watch must start from the
// complete list: if it started after this event, a draining endpoint in it would still be used.
func TestUnreadableEvent(t *testing.T) {
	updates := startWatch(t, testutil.WaitTimeout, func(w http.ResponseWriter, r *http.Request) {
		send(w, completeList43+"\n{\"seq\":44,}\n")
		hang(r)
	})
	testutil.Receive(t, updates, "the list")
	update := testutil.Receive(t, updates, "the failure")
	if update.Kind != balancer.WatchFailed || update.Version != engine.UnknownVersion {
		t.Errorf("the watch delivered %+v, want a failure with version %d", update, engine.UnknownVersion)
	}
}

// No process listens at the service's address. The watch must fail with an update that is not marked as reachable:
// otherwise the balancer could not notice that the service is back, and would keep the long intervals of an outage.
func TestServiceIsDown(t *testing.T) {
	updates := make(chan engine.EndpointUpdate, 1)
	client := NewClient(testutil.ReserveAddr(t), true, slog.New(slog.DiscardHandler))
	defer client.Watch(1, 0, func(update engine.EndpointUpdate) { updates <- update })()
	update := testutil.Receive(t, updates, "the failure")
	if update.Kind != balancer.WatchFailed || update.Reachable {
		t.Errorf("the watch delivered %+v, want a failure that is not marked as reachable", update)
	}
}

// Events and complete lists may be indented. They may span several lines, arrive in parts or several at once, and
// contain braces in strings. An empty line between two objects shows that the watch is alive; within an object it does
// not.
func TestIndentedEvents(t *testing.T) {
	indent := func(text string) string {
		t.Helper()
		var out bytes.Buffer
		if err := json.Indent(&out, []byte(text), "", "\t"); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	first := eventJSON(1, true, "a")
	second := eventJSON(2, false, "b")
	braces := strings.ReplaceAll(eventJSON(3, false, "c"), `"127.0.0.1:1"`, `"}{\"]:1"`)
	for name, pieces := range map[string][]string{
		"one per line": {first + "\n", second + "\n", braces + "\n"},
		"indented":     {indent(first) + "\n", indent(second) + "\n", indent(braces) + "\n"},
		"in one piece": {indent(first) + second + "\r\n\r\n" + indent(braces)},
		"byte by byte": strings.Split(indent(first)+"\n\n\n"+indent(second)+indent(braces), ""),
		"no line ends": {first, second, braces},
	} {
		t.Run(name, func(t *testing.T) {
			updates := startWatchFrom(t, engine.NoVersion, testutil.WaitTimeout,
				func(w http.ResponseWriter, r *http.Request) {
					for _, piece := range pieces {
						send(w, piece)
					}
					hang(r)
				})
			listed := map[string]bool{}
			for version := int64(0); version < 3; {
				update := testutil.Receive(t, updates, "the update")
				if update.Kind == balancer.WatchFailed {
					t.Fatalf("the watch failed: %v", update.Err)
				}
				apply(listed, update)
				version = update.Version
			}
			if got := fmt.Sprint(slices.Sorted(maps.Keys(listed))); got != "[a b c]" {
				t.Errorf("the endpoints %s are listed, want [a b c]", got)
			}
		})
	}
}

// A service hangs without closing its connection, or sends bytes that complete no event. In any phase of the watch, the
// watch must be abandoned after silenceTimeout, because no change would arrive any more. Data that may have been
// delivered in part must be requested again.
func TestSilenceAnywhere(t *testing.T) {
	const interval = 5 * time.Millisecond
	for name, c := range map[string]struct {
		serve http.HandlerFunc
		start int64 // version from which the watch starts; 0 means startVersion
		want  int64 // version from which the next watch starts
	}{
		"before the headers": {
			serve: func(_ http.ResponseWriter, r *http.Request) { hang(r) },
			want:  startVersion,
		},
		"before the first event": {
			serve: func(w http.ResponseWriter, r *http.Request) {
				w.(http.Flusher).Flush()
				hang(r)
			},
			want: startVersion,
		},
		"after an empty line": {
			serve: func(w http.ResponseWriter, r *http.Request) {
				send(w, "\n")
				hang(r)
			},
			want: startVersion,
		},
		"bytes between two events": {
			serve: func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "\n")
				sendUntilDisconnected(w, r, " ", interval)
			},
			want: startVersion,
		},
		"bytes within an event": {
			serve: func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, `{"seq":44,`)
				sendUntilDisconnected(w, r, " ", interval)
			},
			want: engine.UnknownVersion,
		},
		"while the list is awaited": {
			serve: serveDeltaAndNoList,
			start: engine.UnknownVersion,
			want:  engine.UnknownVersion,
		},
		"in the middle of an event": {
			serve: func(w http.ResponseWriter, r *http.Request) {
				send(w, `{"seq":44,`)
				hang(r)
			},
			want: engine.UnknownVersion,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			updates := startWatchFrom(t, cmp.Or(c.start, startVersion), 200*time.Millisecond, c.serve)
			for {
				update := testutil.Receive(t, updates, "the failure")
				if update.Kind == balancer.WatchFailed {
					if update.Version != c.want {
						t.Errorf("the next watch starts from version %d, want %d", update.Version, c.want)
					}
					return
				}
			}
		})
	}
}

// serveDeltaAndNoList sends a delta to a watch, and never responds to a request for the complete list.
func serveDeltaAndNoList(w http.ResponseWriter, r *http.Request) {
	if !isListRequest(r) {
		_, _ = io.WriteString(w, eventJSON(44, false, "b")+"\n")
	}
	w.(http.Flusher).Flush()
	hang(r)
}

// The watch works, but the responses to requests for the complete list never end. The request must be hedged and then
// abandoned. If the engine has no list, the watch must be abandoned too: otherwise the list would remain incomplete for
// as long as the watch is open.
func TestCompleteListNeverEnds(t *testing.T) {
	var calls atomic.Int32
	updates := startWatchFrom(t, engine.NoVersion, 200*time.Millisecond,
		func(w http.ResponseWriter, r *http.Request) {
			if isListRequest(r) {
				calls.Add(1)
				send(w, `{"seq":44,`)
				hang(r)
				return
			}
			_, _ = io.WriteString(w, eventJSON(44, false, "b")+"\n")
			sendUntilDisconnected(w, r, "\n", 20*time.Millisecond)
		})
	update := testutil.Receive(t, updates, "the failure")
	if update.Kind != balancer.WatchFailed || calls.Load() != backoff.MaxAttempts {
		t.Errorf("the watch delivered %+v after %d requests for the list, want a failure after %d requests",
			update, calls.Load(), backoff.MaxAttempts)
	}
}
