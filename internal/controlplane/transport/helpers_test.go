package transport

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/goleak"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/testutil"
)

// TestMain also checks that no goroutine is left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testCluster = "f"

// unreachableOrigin is an address at which nothing listens.
const unreachableOrigin = "127.0.0.1:9"

// fakeUpstream is a subscription server on a listener, without an origin or a member behind it. It records the reports
// of its subscribers.
type fakeUpstream struct {
	*subscriptionServer
	addr       string
	httpServer *httptest.Server

	reportsMu sync.Mutex
	reports   map[string]controlplane.Report // latest report of each present subscriber, by name
}

// newFakeUpstream starts a fakeUpstream. If handler is set, it serves all requests except those for alivePath, in
// place of the subscription server.
func newFakeUpstream(t *testing.T, name string, handler http.Handler) *fakeUpstream {
	t.Helper()
	s := &fakeUpstream{
		subscriptionServer: newSubscriptionServer(testCluster, name, 10),
		reports:            map[string]controlplane.Report{},
	}
	s.onReport = func(name string, report controlplane.Report) {
		s.reportsMu.Lock()
		defer s.reportsMu.Unlock()
		s.reports[name] = report
	}
	s.onDisconnect = func(name string) {
		s.reportsMu.Lock()
		defer s.reportsMu.Unlock()
		delete(s.reports, name)
	}
	s.setUpstream(nil)
	if handler == nil {
		handler = s
	}
	s.httpServer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == alivePath {
			s.serveAlive(w)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		s.httpServer.CloseClientConnections()
		s.httpServer.Close()
	})
	s.addr = s.httpServer.Listener.Addr().String()
	return s
}

// fail closes the connections of the fakeUpstream, and makes it reject new subscribers.
func (s *fakeUpstream) fail() {
	s.setUpstreamLost()
	s.httpServer.CloseClientConnections()
}

// currentReports returns the latest reports of the present subscribers.
func (s *fakeUpstream) currentReports() []controlplane.Report {
	s.reportsMu.Lock()
	defer s.reportsMu.Unlock()
	return slices.Collect(maps.Values(s.reports))
}

// reportedMembers returns the number of members that the reports count in total.
func reportedMembers(reports []controlplane.Report) int {
	sum := 0
	for _, report := range reports {
		sum += report.Members
	}
	return sum
}

// testFrame returns a frame with a revision of epoch 1.
func testFrame(version uint64, text string) controlplane.Frame {
	revision := controlplane.Revision{Epoch: 1, Version: version, Hash: controlplane.HashText([]byte(text))}
	return controlplane.Frame{Cluster: testCluster, Revision: revision, Text: []byte(text)}
}

// testMember is a running member on a listener of its own.
type testMember struct {
	*Member
	addr netip.AddrPort
	stop func()

	appliedMu sync.Mutex
	applied   []uint64 // versions, in the order in which they were applied
}

// activeVersion returns the version that was applied last, or 0 if none was.
func (m *testMember) activeVersion() uint64 {
	m.appliedMu.Lock()
	defer m.appliedMu.Unlock()
	if len(m.applied) == 0 {
		return 0
	}
	return m.applied[len(m.applied)-1]
}

func (m *testMember) apply(snapshot *controlplane.Snapshot) error {
	m.appliedMu.Lock()
	defer m.appliedMu.Unlock()
	m.applied = append(m.applied, snapshot.Revision.Version)
	return nil
}

// subscribesTo reports whether the member's upstream has this name.
func (m *testMember) subscribesTo(name string) bool {
	state, _ := m.State()
	return state.Upstream == name
}

// startMember starts a member. If dir is empty, the member stores no snapshot.
func startMember(t *testing.T, name, dir string, origins ...string) *testMember {
	t.Helper()
	return startMemberWithConfig(t, func(*MemberConfig) {}, name, dir, origins...)
}

// startMemberWithParser starts a member that parses snapshots with parse.
func startMemberWithParser(
	t *testing.T, parse func([]byte) (*controlplane.Snapshot, error), name, dir string, origins ...string,
) *testMember {
	t.Helper()
	return startMemberWithConfig(t, func(c *MemberConfig) { c.Follower.Parse = parse }, name, dir, origins...)
}

// startMemberWithConfig starts a member whose configuration change has changed.
func startMemberWithConfig(
	t *testing.T, change func(*MemberConfig), name, dir string, origins ...string,
) *testMember {
	t.Helper()
	m := new(testMember)
	parse := controlplane.ParseSnapshot
	cfg := MemberConfig{
		Follower:       controlplane.FollowerConfig{Cluster: testCluster, Self: name, Parse: parse},
		Origins:        origins,
		MaxSubscribers: 4,
		CacheDir:       dir,
		Selector:       bootstrap.Config{Self: name, Roots: 1, FanOut: 2, ConfiguredSize: 1, RandomSeed: 1},
		Log:            slog.New(slog.DiscardHandler),
		Apply:          m.apply,
	}
	change(&cfg)
	var err error
	if m.Member, err = NewMember(cfg); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(m.Handler())
	m.addr = netip.MustParseAddrPort(server.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(stopped)
	}()
	m.stop = sync.OnceFunc(func() {
		cancel()
		<-stopped
		server.CloseClientConnections()
		server.Close()
	})
	t.Cleanup(m.stop)
	return m
}

// introduce adds two members to each other's membership view.
func introduce(a, b *testMember) {
	a.UpdateMembers([]bootstrap.Member{{Name: b.cfg.Follower.Self, Addr: b.addr}}, true)
	b.UpdateMembers([]bootstrap.Member{{Name: a.cfg.Follower.Self, Addr: a.addr}}, true)
}

// orderOrigins returns the addresses of two origins, ordered so that the member called name subscribes to first before
// second.
func orderOrigins(name, first, second string) []string {
	origins := []string{first, second}
	if xxhash.Sum64String(name)%2 == 1 {
		slices.Reverse(origins)
	}
	return origins
}

// cachedVersion returns the version in the cache file in dir, or 0 if there is no readable file.
func cachedVersion(t *testing.T, dir string) uint64 {
	t.Helper()
	cached, _, err := loadCachedSnapshot(dir)
	if err != nil || cached == nil {
		return 0
	}
	return cached.Frame.Revision.Version
}

// awaitVersion waits until a version is active at all of the given members. what describes the wait in the message of a
// failure.
func awaitVersion(t *testing.T, what string, version uint64, members ...*testMember) {
	t.Helper()
	testutil.Until(t, what, func() bool {
		return !slices.ContainsFunc(members, func(m *testMember) bool { return m.activeVersion() != version })
	})
}
