package transport_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go4.org/netipx"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/controlplane/transport"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/store"
	"hazelwing/internal/testcluster/hollow"
	"hazelwing/internal/testutil"
)

var (
	hollowMembers = flag.Int("config.hollow", 0,
		"number of hollow members in the long form of TestHollow; 0: the short form, with 20")
	trafficPeriod = flag.Duration("config.quiet", 20*time.Second,
		"minimum duration of each traffic measurement in the long form of TestHollow")
)

const (
	hollowCluster = "hollow"
	// longFormTimeout limits each wait in the long form. It is longer than in the short form because one process runs
	// hundreds of members, on a machine that is shared.
	longFormTimeout = 2 * time.Minute
	// maxLoggedMembers limits the number of members whose state is logged when a revision is not active in time.
	maxLoggedMembers = 8
)

// hollowTest is a cluster of hollow members, each of which runs a transport.Member, together with its origins.
type hollowTest struct {
	*hollow.Cluster
	t           *testing.T
	origins     []*hollowOrigin
	originAddrs []string
	allowed     *netipx.IPSet

	mu            sync.Mutex
	active        map[string]activeRevision    // active revisions by the member's name
	configMembers map[string]*transport.Member // by the member's name
	configBytes   map[string]*atomic.Int64     // bytes of configuration sent and received, by address
}

// activeRevision is the active revision of a member, and the time at which it became active.
type activeRevision struct {
	revision controlplane.Revision
	since    time.Time
}

// hollowOrigin is an origin that can be restarted.
type hollowOrigin struct {
	cfg  transport.OriginConfig
	dir  string
	stop func()
}

// newHollowTest returns a cluster whose origins run. The caller starts the members.
func newHollowTest(t *testing.T, members, origins int) *hollowTest {
	t.Helper()
	h := &hollowTest{
		t:             t,
		active:        map[string]activeRevision{},
		configMembers: map[string]*transport.Member{},
		configBytes:   map[string]*atomic.Int64{},
	}
	var allowed netipx.IPSetBuilder
	allowed.AddPrefix(netip.MustParsePrefix("127.0.0.0/8"))
	h.allowed, _ = allowed.IPSet() // cannot fail for a valid prefix
	rack := 10
	if members < 100 {
		rack = 2
	}
	var err error
	config := hollow.Config{Members: members, RackSize: rack, Seed: 1, Attach: h.attach}
	if h.Cluster, err = hollow.New(config); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.Kill(h.Members...)
		for _, o := range h.origins {
			o.stop()
		}
		h.Close()
	})
	h.startOrigins(origins, rack)
	return h
}

// startOrigins starts count origins, each in a rack of its own. rack is the number of members in a rack.
func (h *hollowTest) startOrigins(count, rack int) {
	h.t.Helper()
	bootstrapConfig := origin.BootstrapConfig{Cluster: hollowCluster, Epoch: 1}
	peers := map[string]string{}
	for k := range count {
		name := fmt.Sprint("o", k+1)
		_, ip := h.NetworkAt(1 + k*rack)
		addr := netip.AddrPortFrom(ip, 7950).String()
		bootstrapConfig.Origins = append(bootstrapConfig.Origins, name)
		peers[name] = addr
		h.originAddrs = append(h.originAddrs, addr)
	}
	for k, name := range bootstrapConfig.Origins {
		network, _ := h.NetworkAt(1 + k*rack)
		o := &hollowOrigin{
			dir: filepath.Join(h.t.TempDir(), name),
			cfg: transport.OriginConfig{
				ListenAddr:      peers[name],
				PeerAddrs:       peers,
				AllowedNetworks: h.allowed,
				Dial:            network.Dial,
				Log:             slog.New(slog.DiscardHandler),
				Node: origin.Config{
					BootstrapConfig: bootstrapConfig,
					Self:            name,
					Seed:            uint64(k),
					TickInterval:    50 * time.Millisecond,
				},
			},
		}
		st := openStore(h.t, o.dir)
		if err := origin.Bootstrap(st, bootstrapConfig); err != nil {
			h.t.Fatal(err)
		}
		if err := st.Close(); err != nil {
			h.t.Fatal(err)
		}
		h.origins = append(h.origins, o)
		o.start(h.t)
	}
}

func openStore(t *testing.T, dir string) *store.Store {
	t.Helper()
	fs, err := store.Dir(dir)
	if err != nil {
		t.Fatal(err)
	}
	st, err := store.Open(fs, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return st
}

func (o *hollowOrigin) start(t *testing.T) {
	t.Helper()
	st := openStore(t, o.dir)
	o.cfg.Store = st
	node, err := transport.NewOrigin(o.cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = node.Run(ctx) // if the origins fail, no change is accepted, which fails the test
		_ = st.Close()
	}()
	o.stop = sync.OnceFunc(func() {
		cancel()
		<-stopped
	})
}

// attach connects a hollow member to a transport.Member, as the daemon does, but without a cache file.
func (h *hollowTest) attach(m *hollow.Member) hollow.Attachment {
	var node atomic.Pointer[gossip.Node]
	h.mu.Lock()
	delete(h.active, m.Name)
	h.mu.Unlock()
	member, err := transport.NewMember(transport.MemberConfig{
		Follower: controlplane.FollowerConfig{
			Cluster:    hollowCluster,
			Self:       m.Name,
			FetchDelay: 300 * time.Millisecond,
		},
		Origins:        h.originAddrs,
		MaxSubscribers: 8,
		Log:            slog.New(slog.DiscardHandler),
		Dial:           h.dial(m),
		Selector: bootstrap.Config{
			Self:           m.Name,
			Roots:          40,
			FanOut:         4,
			ConfiguredSize: len(h.Members),
			RandomSeed:     uint64(m.Number),
		},
		OnRevision: func(r controlplane.Revision) { node.Load().SetConfigRevision(r.Epoch, r.Version) },
		Apply: func(snapshot *controlplane.Snapshot) error {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.active[m.Name] = activeRevision{snapshot.Revision, time.Now()}
			return nil
		},
	})
	if err != nil {
		h.t.Error(err)
		return hollow.Attachment{}
	}
	h.mu.Lock()
	h.configMembers[m.Name] = member
	h.mu.Unlock()
	return hollow.Attachment{
		Handler:  member.Handler(),
		Run:      member.Run,
		OnOpened: func(n *gossip.Node) { node.Store(n) },
		OnConfigRevision: func(from cluster.Entry, epoch, number uint64) {
			member.ReceivePeerRevision(from.Name, from.Addr.String(), epoch, number)
		},
		OnMembersChanged: func(others []cluster.Member, joined bool) {
			member.UpdateMembers(toBootstrapMembers(others), joined)
		},
	}
}

func toBootstrapMembers(members []cluster.Member) []bootstrap.Member {
	list := make([]bootstrap.Member, 0, len(members))
	for _, m := range members {
		list = append(list, bootstrap.Member{Name: m.Name, Addr: m.Addr})
	}
	return list
}

// dial returns a DialFunc for a member. It counts the bytes of configuration both for the member and for the address
// that the member connects to.
func (h *hollowTest) dial(m *hollow.Member) transport.DialFunc {
	counter := func(addr string) *atomic.Int64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.configBytes[addr] == nil {
			h.configBytes[addr] = new(atomic.Int64)
		}
		return h.configBytes[addr]
	}
	own := counter(m.Addr.String())
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n := m.Network()
		if n == nil {
			return nil, net.ErrClosed
		}
		conn, err := n.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{conn, own, counter(addr)}, nil
	}
}

// countingConn adds the bytes that it reads and writes to the counters of both ends of the connection.
type countingConn struct {
	net.Conn
	own, peer *atomic.Int64
}

func (c *countingConn) add(n int) {
	c.own.Add(int64(n))
	c.peer.Add(int64(n))
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.add(n)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.add(n)
	return n, err
}

// push pushes a change to the given origins in turn until one of them accepts it. It returns the revision of the
// change and the start time of the push.
func (h *hollowTest) push(origins ...int) (controlplane.Revision, time.Time) {
	h.t.Helper()
	startedAt := time.Now()
	id := fmt.Sprint("push-", startedAt.UnixNano())
	text := fmt.Appendf(nil, "# %s\n[limits]\nmax_attempts = 3\n# %s\n", id, strings.Repeat("x", 1000))
	for i := 0; time.Since(startedAt) < testutil.WaitTimeout; i++ {
		client := transport.NewClient(hollowCluster, h.originAddrs[origins[i%len(origins)]])
		if revision, ok := pushOnce(h.t.Context(), client, id, text); ok {
			return revision, startedAt
		}
	}
	h.t.Fatalf("no origin has accepted a push within %v", testutil.WaitTimeout)
	return controlplane.Revision{}, startedAt
}

// pushOnce pushes a text as the successor of the latest version. It returns the new revision, and whether an origin
// has accepted it within a second.
func pushOnce(ctx context.Context, client *transport.Client, id string, text []byte) (controlplane.Revision, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	shown, err := client.Show(ctx, false)
	if err != nil {
		return controlplane.Revision{}, false
	}
	result, err := client.Push(ctx, id, shown.Result.Revision.Version, text, false)
	return result.Revision, err == nil && result.Outcome == origin.OutcomeAccepted
}

// changeTimeout returns how long the test waits for a revision to become active.
func (h *hollowTest) changeTimeout() time.Duration {
	if *hollowMembers > 0 {
		return longFormTimeout
	}
	return testutil.WaitTimeout
}

// awaitActive waits until a revision, or a later one, is active at all given members. It returns the sorted delays
// after since at which the members activated it, and logs their median, 99th percentile and maximum in a row labeled
// what.
func (h *hollowTest) awaitActive(
	what string, revision controlplane.Revision, since time.Time, members []*hollow.Member,
) []time.Duration {
	h.t.Helper()
	deadline := time.Now().Add(h.changeTimeout())
	delays, missing := h.activeAt(revision, since, members)
	for len(missing) > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
		delays, missing = h.activeAt(revision, since, members)
	}
	if len(missing) > 0 {
		h.logStates(missing)
		h.t.Fatalf("%s: revision %v is active at %d of %d members, want all; missing: %.300s",
			what, revision, len(delays), len(members), strings.Join(missing, " "))
	}
	slices.Sort(delays)
	quantile := func(share float64) float64 {
		return delays[min(len(delays)-1, int(share*float64(len(delays))))].Seconds()
	}
	loadavg, _ := os.ReadFile("/proc/loadavg") // empty if the file does not exist
	load, _, _ := strings.Cut(string(loadavg), " ")
	h.t.Logf("| %-46s | %4d members | median %.3f s | 99th percentile %.3f s | maximum %.3f s | load average %s",
		what, len(delays), quantile(0.5), quantile(0.99), delays[len(delays)-1].Seconds(), load)
	return delays
}

// activeAt returns the delays after since at which members activated a revision or a later one, and the names of the
// members that have not activated it.
func (h *hollowTest) activeAt(
	revision controlplane.Revision, since time.Time, members []*hollow.Member,
) (delays []time.Duration, missing []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range members {
		active := h.active[m.Name]
		if active.revision.Compare(revision) < 0 {
			missing = append(missing, m.Name)
			continue
		}
		delays = append(delays, max(0, active.since.Sub(since)))
	}
	return delays, missing
}

// logStates logs the state of the named members, but of at most maxLoggedMembers, and the status of all origins.
func (h *hollowTest) logStates(names []string) {
	for _, name := range names[:min(len(names), maxLoggedMembers)] {
		h.mu.Lock()
		member := h.configMembers[name]
		h.mu.Unlock()
		state, ok := member.State()
		h.t.Logf("state of member %s (event loop answered: %v): %+v", name, ok, state)
	}
	for _, addr := range h.originAddrs {
		status, err := transport.NewClient(hollowCluster, addr).Status(h.t.Context())
		h.t.Logf("status of origin at %s: %+v, error: %v", addr, status, err)
	}
}

// running returns the running members outside of the excluded areas.
func (h *hollowTest) running(excluded ...hollow.Area) []*hollow.Member {
	var list []*hollow.Member
	for _, m := range h.Members {
		isExcluded := slices.ContainsFunc(excluded, func(area hollow.Area) bool { return area.Contains(m.Location) })
		if m.IsRunning() && !isExcluded {
			list = append(list, m)
		}
	}
	return list
}

// memberTraffic is the number of bytes that a member has sent and received: in total, in streams, and for
// configuration. The bytes for configuration are part of those in streams.
type memberTraffic struct{ total, streams, config int64 }

func (h *hollowTest) traffic() map[*hollow.Member]memberTraffic {
	all := map[*hollow.Member]memberTraffic{}
	for _, m := range h.Members {
		counts := m.Counts()
		h.mu.Lock()
		config := h.configBytes[m.Addr.String()]
		h.mu.Unlock()
		traffic := memberTraffic{total: counts.BytesIn + counts.BytesOut, streams: counts.StreamIn + counts.StreamOut}
		if config != nil {
			traffic.config = config.Load()
		}
		all[m] = traffic
	}
	return all
}

// logTraffic runs action and logs how many bytes per second a member sends and receives in this time, which is at least
// d. The row is labeled what, and has the mean and the maximum over the members for:
//   - all traffic;
//   - the datagrams of the membership view;
//   - the streams with the endpoint list and the synchronization of views;
//   - the configuration.
func (h *hollowTest) logTraffic(what string, d time.Duration, action func()) {
	before, startedAt := h.traffic(), time.Now()
	action()
	if left := d - time.Since(startedAt); left > 0 {
		time.Sleep(left)
	}
	after, seconds := h.traffic(), time.Since(startedAt).Seconds()
	var total, view, list, config []float64
	for m, b := range before {
		a := after[m]
		streams, configBytes := a.streams-b.streams, a.config-b.config
		total = append(total, float64(a.total-b.total)/seconds)
		view = append(view, float64(a.total-b.total-streams)/seconds)
		config = append(config, float64(configBytes)/seconds)
		list = append(list, float64(streams-configBytes)/seconds)
	}
	h.t.Logf("| %-46s | bytes per second and member, sent and received, mean (max): total %.0f (%.0f), "+
		"view %.0f (%.0f), endpoint list and view synchronization %.0f (%.0f), configuration %.0f (%.0f)", what,
		mean(total), slices.Max(total), mean(view), slices.Max(view), mean(list), slices.Max(list),
		mean(config), slices.Max(config))
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v / float64(len(values))
	}
	return sum
}

// Changes reach hollow members through the real transport and real origins. The long form also injects faults and
// measures traffic:
//
//	go test ./internal/controlplane/transport -run Hollow -config.hollow 590 -timeout 1h -v
func TestHollow(t *testing.T) {
	t.Parallel()
	members, origins := 20, 3
	if *hollowMembers > 0 {
		members, origins = *hollowMembers, 5
	}
	h := newHollowTest(t, members, origins)
	revision, _ := h.push(0, 1)
	startedAt := time.Now()
	for batch := range slices.Chunk(h.Members, 30) { // starting more at once overloads the process
		if err := h.Start(batch...); err != nil {
			t.Fatal(err)
		}
		if members > 100 {
			time.Sleep(700 * time.Millisecond)
		}
	}
	h.awaitActive("start, 30 members at a time: since the first", revision, startedAt, h.Members)
	if *hollowMembers == 0 {
		testutil.Until(t, "all members know each other", func() bool {
			return h.Disagreement(func(hollow.Location) bool { return true }) == ""
		})
	}
	revision, pushedAt := h.push(0, 1)
	delays := h.awaitActive("a change", revision, pushedAt, h.Members)
	if slowest := delays[len(delays)-1]; slowest > 4*time.Second {
		t.Errorf("change became active at all members after %v, want at most 4s", slowest)
	}
	if *hollowMembers > 0 {
		h.runLongForm()
	}
}
