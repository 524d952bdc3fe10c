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

// fakeSource is an endpoint source that delivers the updates of the test.
type fakeSource struct {
	mu       sync.Mutex
	delivers []func(engine.EndpointUpdate) // callback of each watch
	versions []int64                       // start version of each watch
}

func (f *fakeSource) Watch(version int64, _ time.Duration, deliver func(engine.EndpointUpdate)) context.CancelFunc {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivers, f.versions = append(f.delivers, deliver), append(f.versions, version)
	return func() {}
}

func (f *fakeSource) watches() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.delivers)
}

// deliver delivers an update to the latest watch.
func (f *fakeSource) deliver(update engine.EndpointUpdate) {
	f.mu.Lock()
	latest := f.delivers[len(f.delivers)-1]
	f.mu.Unlock()
	latest(update)
}

// updateRecorder records the updates that a source delivers.
type updateRecorder struct {
	mu      sync.Mutex
	updates []engine.EndpointUpdate
}

func (u *updateRecorder) record(update engine.EndpointUpdate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.updates = append(u.updates, update)
}

func (u *updateRecorder) has(kind balancer.UpdateKind, version int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, update := range u.updates {
		if update.Kind == kind && update.Version == version {
			return true
		}
	}
	return false
}

// newRoot returns a Source that calls the discovery service, and the server that other members follow.
func newRoot(t *testing.T, discovery engine.Source) (*Source, *httptest.Server) {
	t.Helper()
	s := NewSource(Config{
		Selector:     bootstrap.Config{Self: "head"},
		Discovery:    discovery,
		MaxFollowers: 4,
		Log:          slog.New(slog.DiscardHandler),
	})
	server := httptest.NewServer(s.Server())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s, server
}

// newFollower returns a Source that follows the member at addr.
func newFollower(t *testing.T, discovery engine.Source, addr string) *Source {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	s := NewSource(Config{
		Selector:     bootstrap.Config{Self: "other", Roots: 1, MaxCallRate: 1000, ConfiguredSize: 2},
		Discovery:    discovery,
		MaxFollowers: 4,
		Log:          log,
		NewPeer: func(addr string, header http.Header, check func(http.Header) error) engine.Source {
			return watch.NewPeerClient(addr, header, check, log)
		},
	})
	// The test requires that "head" precedes "other" in the order of the members.
	s.UpdateMembers([]bootstrap.Member{{Name: "head", Addr: netip.MustParseAddrPort(addr)}}, true)
	if s.selector.Rank() != 1 {
		t.Fatalf("the member \"other\" has the rank %d, want 1: \"head\" must precede it", s.selector.Rank())
	}
	return s
}

// One member follows another until the other one loses its source. The follower must receive the complete list and the
// changes, call the discovery service itself after the loss, and never accept a list that is older than its own.
func TestSourceFollowsAPeer(t *testing.T) {
	var rootDiscovery, followerDiscovery fakeSource
	var rootUpdates, followerUpdates updateRecorder
	root, server := newRoot(t, &rootDiscovery)
	stopRoot := root.Watch(engine.NoVersion, 0, rootUpdates.record)
	defer stopRoot()
	testutil.Until(t, "the root's call of the discovery service", func() bool { return rootDiscovery.watches() == 1 })
	follower := newFollower(t, &followerDiscovery, server.Listener.Addr().String())
	defer follower.Watch(engine.NoVersion, 0, followerUpdates.record)()
	rootDiscovery.deliver(completeList(5, "x", "y"))
	testutil.Until(t, "the complete list at the follower", func() bool {
		return followerUpdates.has(balancer.CompleteList, 5)
	})
	rootDiscovery.deliver(delta(6, "x", balancer.Draining))
	testutil.Until(t, "the change of version 6 at the follower", func() bool {
		return followerUpdates.has(balancer.Delta, 6)
	})
	if s := follower.State(); s.Source != "head" || strings.Join(s.Server.Path, " ") != "head" ||
		!s.Server.Live || root.State().Server.Followers != 1 {
		t.Errorf("the follower has the state %+v, want a live list from head; the root has %+v, want one follower",
			s, root.State())
	}
	if followerDiscovery.watches() != 0 {
		t.Errorf("the follower called the discovery service %d times although its peer works, want no call",
			followerDiscovery.watches())
	}
	// The root loses its source. It disconnects its followers at once, and they call the discovery service from their
	// present version.
	rootDiscovery.deliver(engine.EndpointUpdate{Kind: balancer.WatchFailed, Version: 6, Err: errors.New("lost")})
	testutil.Until(t, "the follower's call of the discovery service", func() bool {
		return followerDiscovery.watches() == 1
	})
	if followerDiscovery.versions[0] != 6 {
		t.Errorf("the follower watches the discovery service from version %d, want 6", followerDiscovery.versions[0])
	}
	followerDiscovery.deliver(delta(9, "y", balancer.Removed))
	testutil.Until(t, "the change of version 9 at the follower", func() bool {
		return followerUpdates.has(balancer.Delta, 9)
	})
	// The root works again, with an older list. It must reject a follower with a later version.
	stopRoot()
	defer root.Watch(engine.NoVersion, 0, rootUpdates.record)()
	testutil.Until(t, "the root's second call", func() bool { return rootDiscovery.watches() == 2 })
	rootDiscovery.deliver(completeList(7, "x", "y"))
	testutil.Until(t, "the root's server to be live", func() bool { return root.State().Server.Live })
	if status := watchStatus(t, server.URL, 9); status != http.StatusServiceUnavailable {
		t.Errorf("a follower with a later version received status %d, want 503", status)
	}
	if followerUpdates.has(balancer.CompleteList, 7) {
		t.Error("the follower delivered the root's list of version 7 after version 9, want no older list")
	}
	testIndependentDiscovery(t, follower, &followerUpdates)
}

// watchStatus returns the status code of the response to a watch from the given version.
func watchStatus(t *testing.T, serverURL string, version int64) int {
	t.Helper()
	url := fmt.Sprintf("%s/discovery/hosts?watch=1&from=%d", serverURL, version)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// testIndependentDiscovery replaces the discovery service of one member only. The member must call that service
// itself, and must not relay its list, whose versions cannot be compared with the versions of other members.
func testIndependentDiscovery(t *testing.T, s *Source, updates *updateRecorder) {
	t.Helper()
	var discovery fakeSource
	s.SetDiscovery(&discovery)
	stop := s.Watch(engine.UnknownVersion, 0, updates.record)
	defer stop()
	testutil.Until(t, "the call of the other discovery service", func() bool { return discovery.watches() == 1 })
	discovery.deliver(completeList(1, "z"))
	testutil.Until(t, "the list of the other discovery service", func() bool {
		return updates.has(balancer.CompleteList, 1)
	})
	if s.State().Server.Live {
		t.Error("the member's server is live after SetDiscovery, want no relayed list")
	}
}

// A peer that should reject the follower responds with a complete list that is older, that was relayed by the follower
// itself, or that was relayed by too many members. Such a list could restore removed endpoints, or be relayed in a
// cycle that no change reaches. The follower must leave the peer and call the discovery service.
func TestMisbehavingPeer(t *testing.T) {
	respond := func(path, event string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(pathHeader, path)
			_, _ = fmt.Fprintln(w, event)
		}
	}
	for name, handler := range map[string]http.HandlerFunc{
		"older list":    respond("head", `{"seq":3,"whole":true,"hosts":[]}`),
		"cycle":         respond("head,other", `{"seq":30,"whole":true,"hosts":[]}`),
		"path too long": respond(strings.Repeat("x,", maxPathLength)+"y", `{"seq":30,"whole":true,"hosts":[]}`),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			var discovery fakeSource
			s := newFollower(t, &discovery, server.Listener.Addr().String())
			s.maxVersion = 20
			var recorder updateRecorder
			defer s.Watch(engine.NoVersion, 0, recorder.record)()
			testutil.Until(t, "the follower's call of the discovery service", func() bool {
				return discovery.watches() == 1
			})
			if len(recorder.updates) > 0 {
				t.Errorf("the follower delivered %+v, want no updates", recorder.updates)
			}
		})
	}
}
