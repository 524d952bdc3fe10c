package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

func member(id string, s balancer.EndpointState) engine.Endpoint {
	return engine.Endpoint{ID: id, Addr: "127.0.0.1:1", State: s}
}

func full(seq int64, ids ...string) engine.EndpointUpdate {
	n := engine.EndpointUpdate{Kind: balancer.CompleteList, Version: seq}
	for _, id := range ids {
		n.Endpoints = append(n.Endpoints, member(id, balancer.Active))
	}
	return n
}

func change(seq int64, id string, s balancer.EndpointState) engine.EndpointUpdate {
	return engine.EndpointUpdate{Kind: balancer.Delta, Version: seq, Endpoints: []engine.Endpoint{member(id, s)}}
}

func text(list []watch.Event) string {
	var out []string
	for _, l := range list {
		line := fmt.Sprint(l.Version)
		if l.Complete {
			line += " whole"
		}
		for _, h := range l.Endpoints {
			line += " " + h.ID + "=" + h.Health
		}
		out = append(out, line)
	}
	return strings.Join(out, "; ")
}

// What one that follows is told, from what it holds, and who is turned away.
func TestLog(t *testing.T) {
	var l ChangeLog
	if why := l.CheckFollower(0, "b"); why == "" {
		t.Error("it serves without a list")
	}
	l.Apply(change(3, "x", balancer.Active)) // without a list a change says nothing
	l.Apply(full(5, "x", "y"))
	if why := l.CheckFollower(0, "b"); why == "" {
		t.Error("it serves without a source that works")
	}
	l.SourceStarted([]string{"a", "c"})
	l.Apply(change(6, "y", balancer.Draining))
	l.Apply(change(7, "x", balancer.Removed))
	l.Apply(engine.EndpointUpdate{Kind: balancer.OutOfBand, Endpoints: []engine.Endpoint{member("z", balancer.Removed)}})
	for from, want := range map[int64]string{0: "7 whole y=DRAINING", 4: "7 whole y=DRAINING", 5: "6 y=DRAINING; 7 x=DELETED", 6: "7 x=DELETED", 7: ""} {
		if got := text(l.EventsSince(from)); got != want {
			t.Errorf("from %d: %q, want %q", from, got, want)
		}
	}
	for _, c := range []struct {
		from int64
		who  string
		ok   bool
	}{{7, "b", true}, {8, "b", false}, {0, "c", false}} {
		if why := l.CheckFollower(c.from, c.who); (why == "") != c.ok {
			t.Errorf("%d for %s: %q", c.from, c.who, why)
		}
	}
	l.SourceStarted(make([]string, mostSteps))
	if l.CheckFollower(0, "b") == "" {
		t.Error("it serves far from discovery")
	}
	l.SourceLost()
	if l.CheckFollower(7, "b") == "" {
		t.Error("it serves after its source was lost")
	}
	for i := range int64(3000) {
		l.Apply(change(8+i, "x", balancer.Active))
	}
	if len(l.changes) != mostChanges || !strings.HasPrefix(text(l.EventsSince(100)), "3007 whole") || len(l.EventsSince(l.base)) != mostChanges {
		t.Errorf("%d changes kept; %.40s", len(l.changes), text(l.EventsSince(100)))
	}
}

// fake is a source that a test speaks for.
type fake struct {
	mu    sync.Mutex
	tells []func(engine.EndpointUpdate)
	from  []int64
}

func (f *fake) Watch(seq int64, _ time.Duration, tell func(engine.EndpointUpdate)) context.CancelFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tells, f.from = append(f.tells, tell), append(f.from, seq)
	return func() {}
}

func (f *fake) watches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.tells)
}

func (f *fake) last() func(engine.EndpointUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tells[len(f.tells)-1]
}

// heardNews collects what a source tells.
type heardNews struct {
	mu   sync.Mutex
	list []engine.EndpointUpdate
}

func (h *heardNews) tell(n engine.EndpointUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, n)
}

func (h *heardNews) has(kind balancer.UpdateKind, seq int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.list {
		if n.Kind == kind && n.Version == seq {
			return true
		}
	}
	return false
}

// asker is a Source that asks discovery, and the address where it is followed.
func asker(t *testing.T, d engine.Source) (*Source, *httptest.Server) {
	s := NewSource(Config{Selector: bootstrap.Config{Self: "head"}, Discovery: d, MaxFollowers: 4, Log: slog.New(slog.DiscardHandler)})
	server := httptest.NewServer(s.Server())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return s, server
}

func follower(t *testing.T, d engine.Source, at string) *Source {
	log := slog.New(slog.DiscardHandler)
	s := NewSource(Config{Selector: bootstrap.Config{Self: "other", Roots: 1, MaxCallRate: 1000, ConfiguredSize: 2}, Discovery: d, MaxFollowers: 4, Log: log,
		NewPeer: func(addr string, h http.Header, check func(http.Header) error) engine.Source {
			return watch.NewPeerClient(addr, h, check, log)
		}})
	// Of these names the first of the order is the one that is followed: the test needs that.
	s.UpdateMembers([]bootstrap.Member{{Name: "head", Addr: netip.MustParseAddrPort(at)}}, true)
	if s.selector.Rank() != 1 {
		t.Fatal("the test's names are in another order")
	}
	return s
}

// One follows another: whole list, changes, the end of the other's source, and discovery itself after that. What the peer brings is
// never older than what was held.
func TestSourceFollowsAPeer(t *testing.T) {
	var one, two fake
	first, server := asker(t, &one)
	var heard1, heard2 heardNews
	stop1 := first.Watch(engine.NoVersion, 0, heard1.tell)
	defer stop1()
	testutil.Until(t, "it asks", func() bool { return one.watches() == 1 })
	other := follower(t, &two, server.Listener.Addr().String())
	stop2 := other.Watch(engine.NoVersion, 0, heard2.tell)
	defer stop2()
	one.last()(full(5, "x", "y"))
	testutil.Until(t, "the whole list came by the peer, held until it was there", func() bool { return heard2.has(balancer.CompleteList, 5) })
	one.last()(change(6, "x", balancer.Draining))
	testutil.Until(t, "a change did", func() bool { return heard2.has(balancer.Delta, 6) })
	if s := other.State(); s.Source != "head" || strings.Join(s.Server.Path, " ") != "head" || !s.Server.Live || first.State().Server.Followers != 1 {
		t.Errorf("%+v, %+v", s, first.State())
	}
	if two.watches() != 0 {
		t.Error("discovery was asked, too")
	}
	// The peer's source is lost: who followed is let go at once, and asks discovery from what it holds.
	one.last()(engine.EndpointUpdate{Kind: balancer.WatchFailed, Version: 6, Err: errors.New("lost")})
	testutil.Until(t, "discovery is asked", func() bool { return two.watches() == 1 })
	if two.from[0] != 6 {
		t.Errorf("from version %d, want 6", two.from[0])
	}
	two.last()(change(9, "y", balancer.Removed))
	testutil.Until(t, "discovery's word came", func() bool { return heard2.has(balancer.Delta, 9) })
	// The peer is back, with an older list: it turns away who holds more.
	stop1()
	defer first.Watch(engine.NoVersion, 0, heard1.tell)()
	testutil.Until(t, "it asks again", func() bool { return one.watches() == 2 })
	one.last()(full(7, "x", "y"))
	testutil.Until(t, "it is live", func() bool { return first.State().Server.Live })
	req, _ := http.NewRequest(http.MethodGet, server.URL+"/discovery/hosts?watch=1&from=9", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v", err, resp)
	}
	resp.Body.Close()
	if heard2.has(balancer.CompleteList, 7) {
		t.Error("an older list was told")
	}
	// With another discovery its versions say nothing to the others: it asks alone, and serves nobody.
	var three fake
	other.SetDiscovery(&three)
	defer other.Watch(engine.UnknownVersion, 0, heard2.tell)()
	testutil.Until(t, "the other discovery is asked", func() bool { return three.watches() == 1 })
	three.last()(full(1, "z"))
	testutil.Until(t, "its list came", func() bool { return heard2.has(balancer.CompleteList, 1) })
	if other.State().Server.Live {
		t.Error("it passes on another discovery's list")
	}
}

// A peer that answers with an older whole list all the same, or from where its own list comes from here, is left.
func TestBadPeer(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"older": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(pathHeader, "head")
			fmt.Fprintln(w, `{"seq":3,"whole":true,"hosts":[]}`)
		},
		"circle": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(pathHeader, "head,other")
			fmt.Fprintln(w, `{"seq":30,"whole":true,"hosts":[]}`)
		},
		"far": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(pathHeader, strings.Repeat("x,", mostSteps)+"y")
			fmt.Fprintln(w, `{"seq":30,"whole":true,"hosts":[]}`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(h)
			defer server.Close()
			var d fake
			s := follower(t, &d, server.Listener.Addr().String())
			s.best = 20
			var heard heardNews
			defer s.Watch(engine.NoVersion, 0, heard.tell)()
			testutil.Until(t, "discovery is asked after all", func() bool { return d.watches() == 1 })
			if len(heard.list) > 0 {
				t.Errorf("told %+v", heard.list)
			}
		})
	}
}
