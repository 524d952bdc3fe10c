package watch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
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

// watching starts a watch from version 41 on a discovery that answers with serve, and returns its news.
func watching(t *testing.T, silence time.Duration, serve http.HandlerFunc) <-chan engine.EndpointUpdate {
	t.Helper()
	return watchingFrom(t, 41, silence, serve)
}

func watchingFrom(t *testing.T, seq int64, silence time.Duration, serve http.HandlerFunc) <-chan engine.EndpointUpdate {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	all := make(chan engine.EndpointUpdate, 100)
	d := NewClient(server.Listener.Addr().String(), true, slog.New(slog.DiscardHandler))
	d.silence = silence
	t.Cleanup(d.Watch(seq, 0, func(n engine.EndpointUpdate) { all <- n }))
	return all
}

const wholeList = `{"seq":43,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","class":"m","block":3,"health":"SERVING","share":1.0,"born_ms":0}]}`

func TestWatch(t *testing.T) {
	calls := make(chan string, 1)
	all := watching(t, testutil.Patience, func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.String()
		fmt.Fprintf(w, "\n\n%s\n\n%s\n", wholeList, strings.ReplaceAll(wholeList, `43,"whole":true`, `44,"whole":false`))
	})
	if got := testutil.Receive(t, calls, "the call"); got != "/discovery/hosts?watch=1&from=41" {
		t.Errorf("asked %s", got)
	}
	for i, want := range []struct {
		kind  balancer.UpdateKind
		seq   int64
		hosts int
	}{
		{balancer.Delta, 41, 0}, // the call is answered, and nothing has changed
		{balancer.CompleteList, 43, 1}, {balancer.Delta, 44, 1},
		{balancer.WatchFailed, 44, 0}, // its connection ended
	} {
		n := testutil.Receive(t, all, "news")
		if n.Kind != want.kind || n.Version != want.seq || len(n.Endpoints) != want.hosts {
			t.Fatalf("news %d: %+v, want %+v", i, n, want)
		}
	}
}

// object is one of discovery's, with entries such as "a" or, of one that is gone, "-b".
func object(seq int, whole bool, entries ...string) string {
	var hosts []string
	for _, e := range entries {
		name, health := e, "SERVING"
		if e[0] == '-' {
			name, health = e[1:], "DELETED"
		}
		hosts = append(hosts, fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","health":%q}`, name, health))
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

// From NoVersion on the whole list comes first, whatever the discovery counts from, and nothing older after it.
func TestWholeListFirst(t *testing.T) {
	for name, c := range map[string]struct {
		watch []string
		list  string
		want  string // the last version, and what is held then; or a failure
		calls int
	}{
		"0 is no version":         {[]string{object(3, true, "a"), object(4, false, "b")}, "", "4 [a b]", 1},
		"0 is a list":             {[]string{object(0, false), object(1, false, "b")}, object(0, true, "a"), "1 [a b]", 2},
		"nothing has changed":     {[]string{"", object(1, false, "b")}, object(0, true, "a"), "1 [a b]", 2},
		"the list was newer":      {[]string{object(1, false, "b"), object(2, false, "-b"), object(3, false, "c")}, object(2, true, "a"), "3 [a c]", 2},
		"the list is not whole":   {[]string{object(0, false)}, object(0, false, "a"), "failed -1", 2},
		"the list cannot be read": {[]string{object(0, false)}, "{", "failed -1", 2},
	} {
		t.Run(name, func(t *testing.T) {
			calls := make(chan string, 10)
			all := watchingFrom(t, engine.NoVersion, testutil.Patience, func(w http.ResponseWriter, r *http.Request) {
				calls <- r.URL.String()
				if r.URL.RawQuery == "" {
					io.WriteString(w, c.list)
					return
				}
				io.WriteString(w, strings.Join(c.watch, "\n")+"\n")
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			})
			held, got := map[string]bool{}, ""
			for first := true; got != c.want; first = false { // lines may come before the list or after it
				n := testutil.Receive(t, all, "news that lead to "+c.want+", after "+got)
				if n.Kind == balancer.WatchFailed {
					got = fmt.Sprint("failed ", n.Version)
					continue
				}
				if first && n.Kind != balancer.CompleteList {
					t.Errorf("told %+v before the whole list", n)
				}
				hold(held, n)
				got = fmt.Sprint(n.Version, " ", slices.Sorted(maps.Keys(held)))
			}
			if len(calls) != c.calls {
				t.Errorf("%d calls, want %d", len(calls), c.calls)
			}
		})
	}
}

// hold follows news in held, as the engine does.
func hold(held map[string]bool, n engine.EndpointUpdate) {
	if n.Kind == balancer.CompleteList {
		clear(held)
	}
	for _, m := range n.Endpoints {
		if delete(held, m.ID); m.State == balancer.Active {
			held[m.ID] = true
		}
	}
}

// A discovery to which the watch was moved tells changes at once: also while it turns away whoever asks for the whole list,
// and that does not end the watch. Guards against drains that a moved sidecar had been written, and waited with.
func TestMovedWatchTellsAtOnce(t *testing.T) {
	for name, asked := range map[string]bool{"asked": true, "an agent": false} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.RawQuery == "" {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				io.WriteString(w, object(5, false, "b", "-a")+"\n")
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			defer server.Close()
			all := make(chan engine.EndpointUpdate, 100)
			defer NewClient(server.Listener.Addr().String(), asked, slog.New(slog.DiscardHandler)).
				Watch(engine.UnknownVersion, 0, func(n engine.EndpointUpdate) { all <- n })()
			if n := testutil.Receive(t, all, "what changed"); n.Kind != balancer.Delta || n.Version != 5 || len(n.Endpoints) != 2 {
				t.Fatalf("told %+v", n)
			}
		})
	}
}

// A watch that cannot go on has to be reported, or the module would believe an old list for ever.
func TestWatchFails(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		serve   http.HandlerFunc
		want    string
	}{
		"turned away": {testutil.Patience, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "503"},
		"broken":      {testutil.Patience, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ""},
		// Guards against a discovery that is cut off: the connection stays open and says nothing.
		"silent from the start": {50 * time.Millisecond, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "nothing came"},
		"silent later": {50 * time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, "nothing came"},
	} {
		t.Run(name, func(t *testing.T) {
			n := testutil.Receive(t, watching(t, c.silence, c.serve), "the failure")
			if n.Kind != balancer.WatchFailed || n.Err == nil || !strings.Contains(n.Err.Error(), c.want) {
				t.Errorf("%+v, want a failure with %q", n, c.want)
			}
		})
	}
}

// What an unreadable line said is missing from then on: the whole list has to be asked for.
func TestUnreadableLine(t *testing.T) {
	all := watching(t, testutil.Patience, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, wholeList+"\n{\"seq\":44,}\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	testutil.Receive(t, all, "the list")
	if n := testutil.Receive(t, all, "the failure"); n.Kind != balancer.WatchFailed || n.Version != engine.UnknownVersion {
		t.Errorf("%+v, want a failure that goes on from the whole list", n)
	}
}

func TestDiscoveryIsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	all := make(chan engine.EndpointUpdate, 1)
	defer NewClient(l.Addr().String(), true, slog.New(slog.DiscardHandler)).Watch(1, 0, func(n engine.EndpointUpdate) { all <- n })()
	if n := testutil.Receive(t, all, "the failure"); n.Kind != balancer.WatchFailed {
		t.Errorf("%+v", n)
	}
}

// Lists may come indented: whole ones and those of a watch, over many lines, in pieces, several at once, with braces inside
// strings. An empty line is a sign of life between two, and none inside of one.
func TestIndentedLists(t *testing.T) {
	indent := func(text string) string {
		var out bytes.Buffer
		if err := json.Indent(&out, []byte(text), "", "\t"); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	odd := strings.ReplaceAll(object(3, false, "c"), `"127.0.0.1:1"`, `"}{\"]:1"`)
	for name, pieces := range map[string][]string{
		"a line each":       {object(1, true, "a") + "\n", object(2, false, "b") + "\n", odd + "\n"},
		"indented":          {indent(object(1, true, "a")) + "\n", indent(object(2, false, "b")) + "\n", indent(odd) + "\n"},
		"in one piece":      {indent(object(1, true, "a")) + object(2, false, "b") + "\r\n\r\n" + indent(odd)},
		"byte by byte":      strings.Split(indent(object(1, true, "a"))+"\n\n\n"+indent(object(2, false, "b"))+indent(odd), ""),
		"no line's end yet": {object(1, true, "a"), object(2, false, "b"), odd},
	} {
		t.Run(name, func(t *testing.T) {
			all := watchingFrom(t, engine.NoVersion, testutil.Patience, func(w http.ResponseWriter, r *http.Request) {
				for _, p := range pieces {
					io.WriteString(w, p)
					w.(http.Flusher).Flush()
				}
				<-r.Context().Done()
			})
			held := map[string]bool{}
			for seq := int64(0); seq < 3; {
				n := testutil.Receive(t, all, "the news")
				if n.Kind == balancer.WatchFailed {
					t.Fatalf("failed: %v", n.Err)
				}
				hold(held, n)
				seq = n.Version
			}
			if got := fmt.Sprint(slices.Sorted(maps.Keys(held))); got != "[a b c]" {
				t.Errorf("it holds %s", got)
			}
		})
	}
}

// A watch that falls silent is given up in time wherever it does so, also where bytes go on to come that make no object; what
// it may have brought in part is asked for anew.
func TestSilenceAnywhere(t *testing.T) {
	trickle := func(w http.ResponseWriter, r *http.Request, text string) {
		io.WriteString(w, text)
		for r.Context().Err() == nil {
			io.WriteString(w, " ")
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}
	for name, c := range map[string]struct {
		serve func(w http.ResponseWriter, r *http.Request)
		from  int64
	}{
		"before the headers":    {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 41},
		"before the first line": {func(w http.ResponseWriter, r *http.Request) { w.(http.Flusher).Flush(); <-r.Context().Done() }, 41},
		"after an empty line": {func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, 41},
		"bytes between two":         {func(w http.ResponseWriter, r *http.Request) { trickle(w, r, "\n") }, 41},
		"bytes inside of one":       {func(w http.ResponseWriter, r *http.Request) { trickle(w, r, `{"seq":44,`) }, engine.UnknownVersion},
		"while the list is awaited": {func(w http.ResponseWriter, r *http.Request) { silentList(w, r) }, engine.UnknownVersion},
		"in the middle of an object": {func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, `{"seq":44,`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, engine.UnknownVersion},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			from := int64(41)
			if name == "while the list is awaited" {
				from = engine.UnknownVersion
			}
			all := watchingFrom(t, from, 200*time.Millisecond, c.serve)
			for {
				n := testutil.Receive(t, all, "the failure")
				if n.Kind == balancer.WatchFailed {
					if n.Version != c.from {
						t.Errorf("it goes on from %d, want %d", n.Version, c.from)
					}
					return
				}
			}
		})
	}
}

// silentList tells a change and never the whole list.
func silentList(w http.ResponseWriter, r *http.Request) {
	if r.URL.RawQuery != "" {
		io.WriteString(w, object(44, false, "b")+"\n")
	}
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// A call for the whole list that never ends, beside a watch that goes on, is given up, after others beside it, and the watch
// with it where nothing is held.
func TestWholeListThatNeverEnds(t *testing.T) {
	var calls atomic.Int32
	all := watchingFrom(t, engine.NoVersion, 200*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "" {
			calls.Add(1)
			io.WriteString(w, `{"seq":44,`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		io.WriteString(w, object(44, false, "b")+"\n")
		for r.Context().Err() == nil {
			io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	if n := testutil.Receive(t, all, "the failure"); n.Kind != balancer.WatchFailed || calls.Load() != backoff.MaxAttempts {
		t.Errorf("%+v after %d calls", n, calls.Load())
	}
}
