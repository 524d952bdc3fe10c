package transport

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/goleak"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/testutil"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// source is an origin's hub without the origin.
type source struct {
	*subscriptionServer
	addr   string
	mu     sync.Mutex
	told   map[string]controlplane.Report
	server *httptest.Server
}

func newSource(t *testing.T, name string, h http.Handler) *source {
	t.Helper()
	s := &source{subscriptionServer: newSubscriptionServer("f", name, 10), told: map[string]controlplane.Report{}}
	s.onReport = func(name string, r controlplane.Report) { s.mu.Lock(); s.told[name] = r; s.mu.Unlock() }
	s.onDisconnect = func(name string) { s.mu.Lock(); delete(s.told, name); s.mu.Unlock() }
	s.setUpstream(nil)
	if h == nil {
		h = s
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == alivePath {
			s.serveAlive(w)
			return
		}
		h.ServeHTTP(w, q)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	s.server = server
	s.addr = server.Listener.Addr().String()
	return s
}

// down closes the connections of a source, which takes no new ones from now on.
func (s *source) down() {
	s.setUpstreamLost()
	s.server.CloseClientConnections()
}

func frame(version uint64, text string) controlplane.Frame {
	return controlplane.Frame{Cluster: "f", Revision: controlplane.Revision{Epoch: 1, Version: version, Hash: controlplane.HashText([]byte(text))}, Text: []byte(text)}
}

type member struct {
	*Member
	addr    netip.AddrPort
	mu      sync.Mutex
	applied []uint64
	stop    func()
}

// acts is the version that was put in force last.
func (m *member) acts() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.applied) == 0 {
		return 0
	}
	return m.applied[len(m.applied)-1]
}

func startMember(t *testing.T, name, dir string, origins ...string) *member {
	t.Helper()
	return startParsing(t, controlplane.ParseSnapshot, name, dir, origins...)
}

func startParsing(t *testing.T, parse func([]byte) (*controlplane.Snapshot, error), name, dir string, origins ...string) *member {
	t.Helper()
	m := new(member)
	var err error
	m.Member, err = NewMember(MemberConfig{Follower: controlplane.FollowerConfig{Cluster: "f", Self: name, Parse: parse}, Origins: origins, MaxSubscribers: 4, CacheDir: dir,
		Selector: bootstrap.Config{Self: name, Roots: 1, FanOut: 2, ConfiguredSize: 1, RandomSeed: 1}, Log: slog.New(slog.DiscardHandler),
		Apply: func(s *controlplane.Snapshot) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.applied = append(m.applied, s.Revision.Version)
			return nil
		}})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(m.Handler())
	m.addr = netip.MustParseAddrPort(server.Listener.Addr().String())
	ctx, end := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() { m.Run(ctx); close(ran) }()
	m.stop = sync.OnceFunc(func() { end(); <-ran; server.CloseClientConnections(); server.Close() })
	t.Cleanup(m.stop)
	return m
}

// A change comes by way of a member to one that follows it, is in force, and is told upward as the sum of both; when
// the origin goes the next one is followed; when the member that is followed goes the origin is.
func TestChangeComesDownAndIsToldUpward(t *testing.T) {
	t.Parallel()
	a, b := newSource(t, "o1", nil), newSource(t, "o2", nil)
	a.publish(frame(1, "# one"))
	b.publish(frame(1, "# one"))
	names := []string{"m1", "m2"} // in the selector's order
	first := startMember(t, names[0], t.TempDir(), a.addr, b.addr)
	testutil.Until(t, "the first acts on it", func() bool { return first.acts() == 1 })
	second := startMember(t, names[1], t.TempDir(), a.addr, b.addr)
	see := func() {
		first.UpdateMembers([]bootstrap.Member{{Name: names[1], Addr: second.addr}}, true)
		second.UpdateMembers([]bootstrap.Member{{Name: names[0], Addr: first.addr}}, true)
	}
	see()
	testutil.Until(t, "both act on it", func() bool { return second.acts() == 1 })
	sum := func(s *source) (n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.told {
			n += r.Members
		}
		return n
	}
	testutil.Until(t, "one origin hears of both", func() bool { return sum(a)+sum(b) == 2 })
	up := a
	if sum(b) > 0 {
		up = b
	}
	a.publish(frame(2, "# two"))
	b.publish(frame(2, "# two"))
	testutil.Until(t, "both act on the change", func() bool { return first.acts() == 2 && second.acts() == 2 })
	testutil.Until(t, "and the origin hears of it", func() bool {
		up.mu.Lock()
		defer up.mu.Unlock()
		for _, r := range up.told {
			if len(r.Active) == 1 && r.Active[0].Revision.Version == 2 && r.Active[0].Count == 2 {
				return true
			}
		}
		return false
	})
	up.down() // and it takes nobody any more
	other := a
	if up == a {
		other = b
	}
	other.publish(frame(3, "# three"))
	testutil.Until(t, "the other origin is followed", func() bool { return first.acts() == 3 && second.acts() == 3 })
	s, _ := first.State()
	if !s.Ready || s.Active.Version != 3 || s.Upstream != other.self || s.FromCache {
		t.Errorf("%+v", s)
	}
}

// A member of an older program refuses what it does not know and acts on the last good one, who follows it has it all
// the same, and the origin hears who refuses it and why.
func TestOlderProgramPassesOn(t *testing.T) {
	t.Parallel()
	s := newSource(t, "o1", nil)
	s.publish(frame(1, "# one"))
	old := startParsing(t, func(text []byte) (*controlplane.Snapshot, error) {
		if strings.Contains(string(text), "[price]") {
			return nil, errors.New("1:2: no such key: price")
		}
		return controlplane.ParseSnapshot(text)
	}, "m1", "", s.addr)
	testutil.Until(t, "the old one acts on the first", func() bool { return old.acts() == 1 })
	below := startMember(t, "m2", "", s.addr)
	old.UpdateMembers([]bootstrap.Member{{Name: "m2", Addr: below.addr}}, true)
	below.UpdateMembers([]bootstrap.Member{{Name: "m1", Addr: old.addr}}, true)
	testutil.Until(t, "the other follows it, or it the other", func() bool {
		a, _ := old.State()
		b, _ := below.State()
		return a.Upstream == "m2" || b.Upstream == "m1"
	})
	s.publish(frame(2, "[price]\nprobe = 0.5\n"))
	testutil.Until(t, "the other acts on it", func() bool { return below.acts() == 2 })
	testutil.Until(t, "the origin hears of both", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		n, refused := 0, false
		for _, r := range s.told {
			n += r.Members
			for _, l := range r.Laggards {
				refused = refused || l.Name == "m1" && l.Reason == controlplane.ReasonRejected && strings.Contains(l.Error, "no such key: price") && l.Active.Version == 1
			}
		}
		return n == 2 && refused
	})
	if old.acts() != 1 {
		t.Errorf("the old one acts on %d", old.acts())
	}
}

// Who follows an origin that takes no part goes to another one that does, and stays while there is none.
func TestOriginThatTakesNoPart(t *testing.T) {
	t.Parallel()
	idle, good := newSource(t, "idle", nil), newSource(t, "good", nil)
	idle.setParticipating(false)
	good.setParticipating(false)
	for _, s := range []*source{idle, good} {
		s.publish(frame(1, "# one"))
	}
	m := startMember(t, "m", "", inOrder("m", idle.addr, good.addr)...)
	testutil.Until(t, "the first is followed", func() bool { s, _ := m.State(); return s.Upstream == "idle" && m.acts() == 1 })
	good.publish(frame(2, "# two"))
	good.setParticipating(true)
	testutil.Until(t, "the other is", func() bool { s, _ := m.State(); return s.Upstream == "good" && m.acts() == 2 })
}

// inOrder are two origins such that a member begins with the first.
func inOrder(name, first, second string) []string {
	origins := []string{first, second}
	if xxhash.Sum64String(name)%2 == 1 {
		slices.Reverse(origins)
	}
	return origins
}

// Frames that cannot be used close that connection alone: the member acts on what it has and follows the next origin.
func TestBadUpstreams(t *testing.T) {
	t.Parallel()
	good := newSource(t, "good", nil)
	good.publish(frame(1, "# one"))
	head := `{"path":["bad"],"holds":{"epoch":1,"version":9,"hash":""}}` + "\n"
	for name, say := range map[string]func(w http.ResponseWriter){
		"a line that is too long": func(w http.ResponseWriter) { io.WriteString(w, head+strings.Repeat("x", MaxLineSize+1)) },
		"half a line":             func(w http.ResponseWriter) { io.WriteString(w, head+`{"frame":{"fleet":"f","stamp":{"ep`) },
		"a packed text that is too long": func(w http.ResponseWriter) {
			l := pack(frame(1, "# "+strings.Repeat("x", 2*controlplane.MaxSnapshotSize)))
			l.Path = []string{"bad"}
			json.NewEncoder(w).Encode(l)
			l.Path = nil
			json.NewEncoder(w).Encode(l)
		},
		"no JSON":                func(w http.ResponseWriter) { io.WriteString(w, head+"hello\n") },
		"a frame without a name": func(w http.ResponseWriter) { io.WriteString(w, `{"frame":{"fleet":"f"}}`+"\n") },
		"a path through itself": func(w http.ResponseWriter) {
			_, err := io.WriteString(w, `{"path":["bad","m","o1"]}`+"\n")
			for ; err == nil; time.Sleep(50 * time.Millisecond) { // it would go on for ever
				if err = http.NewResponseController(w).Flush(); err == nil {
					_, err = io.WriteString(w, "\n")
				}
			}
		},
		"another fleet's": func(w http.ResponseWriter) { http.Error(w, "another fleet's", http.StatusForbidden) },
	} {
		t.Run(name, func(t *testing.T) {
			asked := make(chan bool, 100)
			bad := newSource(t, "bad", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				select {
				case asked <- true:
				default:
				}
				say(w)
			}))
			m := startMember(t, "m", "", inOrder("m", bad.addr, good.addr)...)
			testutil.Receive(t, asked, "the bad one's being asked")
			testutil.Until(t, "the good one's is in force", func() bool { return m.acts() == 1 })
			m.stop()
		})
	}
}

// An upstream that stands still in the middle of a frame is left for another one.
func TestUpstreamThatStandsStill(t *testing.T) {
	t.Parallel()
	good := newSource(t, "good", nil)
	asked := make(chan bool, 10)
	still := newSource(t, "still", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked <- true
		io.WriteString(w, `{"path":["still"],"holds":{"epoch":1,"version":1,"hash":""}}`+"\n"+`{"frame":{"fleet":"f"`)
		w.(http.Flusher).Flush()
		<-q.Context().Done()
	}))
	m := startMember(t, "m", "", inOrder("m", still.addr, good.addr)...)
	testutil.Receive(t, asked, "the one that stands still being asked")
	good.publish(frame(1, "# one"))
	testutil.Until(t, "the good one's is in force", func() bool { return m.acts() == 1 })
}

// A follower that does not read is let go, others are not held up by it, and it costs one frame.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	s := newSource(t, "o", nil)
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprintf(conn, "GET %s?epoch=0&version=0 HTTP/1.1\r\nHost: o\r\n%s: f\r\n%s: slow\r\n\r\n", watchPath, clusterHeader, senderHeader)
	if _, err := bufio.NewReaderSize(conn, 16).ReadByte(); err != nil {
		t.Fatal(err)
	}
	m := startMember(t, "m", "", s.addr)
	noise := make([]byte, controlplane.MaxSnapshotSize/2-10) // which packing leaves as large as it is
	rand.Read(noise)
	big := "# " + hex.EncodeToString(noise)
	versions := uint64(0)
	testutil.Until(t, "the slow one is gone, and the other has all", func() bool {
		if s.state().Subscribers == 2 || versions == 0 {
			versions++
			s.publish(frame(versions, big))
		}
		return s.state().Subscribers == 1 && m.acts() == versions
	})
	if versions == 0 {
		t.Error("nothing was published")
	}
}

// A restarted member begins from what it kept, and says so and how old that is until an origin confirms it; what was
// spoilt on disk is not used.
func TestLastKnown(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	s := newSource(t, "o", nil)
	s.publish(frame(4, "# four"))
	m := startMember(t, "m", dir, s.addr)
	if text := m.WaitReady(t.Context(), testutil.Patience); text != "acting on 1.4" {
		t.Error(text)
	}
	path := filepath.Join(dir, cacheFileName)
	testutil.Until(t, "it is kept", func() bool { _, err := os.Stat(path); return err == nil })
	m.stop()
	yesterday := time.Now().Add(-25 * time.Hour)
	if err := os.Chtimes(path, yesterday, yesterday); err != nil {
		t.Fatal(err)
	}
	m = startMember(t, "m", dir, "127.0.0.1:9")
	testutil.Until(t, "what was kept is in force", func() bool { return m.acts() == 4 })
	if text := m.WaitReady(t.Context(), 50*time.Millisecond); !strings.Contains(text, "the last known one, 1.4, confirmed 25h0m") {
		t.Error(text)
	}
	if s, _ := m.State(); !s.FromCache || s.Ready || !strings.HasPrefix(s.CachedAge, "25h0m") {
		t.Errorf("%+v", s)
	}
	m.stop()
	m = startMember(t, "m", dir, s.addr)
	if text := m.WaitReady(t.Context(), testutil.Patience); text != "acting on 1.4" {
		t.Error(text)
	}
	m.stop()
	text, err := os.ReadFile(path)
	if err := errors.Join(err, os.WriteFile(path, []byte(strings.Replace(string(text), `"text":"`, `"text":"AAAA`, 1)), 0o600)); err != nil {
		t.Fatal(err)
	}
	m = startMember(t, "m", dir, "127.0.0.1:9")
	if text := m.WaitReady(t.Context(), 50*time.Millisecond); !strings.Contains(text, "nothing is known from before") {
		t.Error(text)
	}
}
