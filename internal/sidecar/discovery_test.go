package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
)

// watching starts a watch on a discovery that answers with serve, and returns its news.
func watching(t *testing.T, silence time.Duration, serve http.HandlerFunc) <-chan news {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	all := make(chan news, 100)
	d := newDiscovery(server.Listener.Addr().String(), func(n news) { all <- n })
	d.silence = silence
	w := d.start(41, 0)
	t.Cleanup(w.stop)
	return all
}

const wholeList = `{"seq":43,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","class":"m","block":3,"health":"SERVING","share":1.0,"born_ms":0}]}`

func TestWatch(t *testing.T) {
	calls := make(chan string, 1)
	all := watching(t, patience, func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.String()
		fmt.Fprintf(w, "\n\n%s\n\n%s\n", wholeList, strings.ReplaceAll(wholeList, `43,"whole":true`, `44,"whole":false`))
	})
	if got := receive(t, calls, "the call"); got != "/discovery/hosts?watch=1&from=41" {
		t.Errorf("asked %s", got)
	}
	for i, want := range []struct {
		kind  balancer.MembersKind
		seq   int64
		hosts int
	}{
		{balancer.Change, 41, 0}, // the call is answered, and nothing has changed
		{balancer.Full, 43, 1}, {balancer.Change, 44, 1},
		{balancer.Failed, 44, 0}, // its connection ended
	} {
		n := receive(t, all, "news")
		if n.kind != want.kind || n.seq != want.seq || len(n.hosts) != want.hosts {
			t.Fatalf("news %d: %+v, want %+v", i, n, want)
		}
	}
}

// A watch that cannot go on has to be reported, or the module would believe an old list for ever.
func TestWatchFails(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		serve   http.HandlerFunc
		want    string
	}{
		"turned away": {patience, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, "503"},
		"broken":      {patience, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ""},
		// Guards against a discovery that is cut off: the connection stays open and says nothing.
		"silent from the start": {50 * time.Millisecond, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "nothing came"},
		"silent later": {50 * time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, "nothing came"},
	} {
		t.Run(name, func(t *testing.T) {
			n := receive(t, watching(t, c.silence, c.serve), "the failure")
			if n.kind != balancer.Failed || n.err == nil || !strings.Contains(n.err.Error(), c.want) {
				t.Errorf("%+v, want a failure with %q", n, c.want)
			}
		})
	}
}

// What an unreadable line said is missing from then on: the whole list has to be asked for.
func TestUnreadableLine(t *testing.T) {
	all := watching(t, patience, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, wholeList+"\n{\"seq\":44,\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	receive(t, all, "the list")
	if n := receive(t, all, "the failure"); n.kind != balancer.Failed || n.seq != 0 {
		t.Errorf("%+v, want a failure that goes on from 0", n)
	}
}

func TestDiscoveryIsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	all := make(chan news, 1)
	w := newDiscovery(l.Addr().String(), func(n news) { all <- n }).start(1, 0)
	defer w.stop()
	if n := receive(t, all, "the failure"); n.kind != balancer.Failed || n.watch != w {
		t.Errorf("%+v", n)
	}
}
