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
	hollowMembers = flag.Int("config.hollow", 0, "TestHollow: how many hollow members; 0: 20, and the short form")
	hollowQuiet   = flag.Duration("config.quiet", 20*time.Second, "TestHollow's long form: how long bytes are counted for")
)

// hollowRig is hollow members with the real link, and real origins beside them.
type hollowRig struct {
	*hollow.Fleet
	t       *testing.T
	origins []*hollowOrigin
	addrs   []string
	allowed *netipx.IPSet

	mu    sync.Mutex
	acts  map[string]acting // by member
	parts map[string]*transport.Member
	bytes map[string]*atomic.Int64
}

// acting is what a member acts on, and since when.
type acting struct {
	stamp controlplane.Revision
	at    time.Time
}

type hollowOrigin struct {
	cfg  transport.OriginConfig
	dir  string
	stop func()
}

func newHollowRig(t *testing.T, members, origins int) *hollowRig {
	r := &hollowRig{t: t, acts: map[string]acting{}, parts: map[string]*transport.Member{}, bytes: map[string]*atomic.Int64{}}
	var b netipx.IPSetBuilder
	b.AddPrefix(netip.MustParsePrefix("127.0.0.0/8"))
	r.allowed, _ = b.IPSet()
	rack := 10
	if members < 100 {
		rack = 2
	}
	var err error
	if r.Fleet, err = hollow.New(hollow.Config{Members: members, Rack: rack, Seed: 1, Attach: r.attach}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Kill(r.Members...)
		for _, o := range r.origins {
			o.stop()
		}
		r.Close()
	})
	f := origin.BootstrapConfig{Cluster: "hollow", Epoch: 1}
	peers := map[string]string{}
	for k := range origins {
		name := fmt.Sprint("o", k+1)
		_, at := r.Machine(1 + k*rack)
		addr := netip.AddrPortFrom(at, 7950).String()
		f.Origins, peers[name] = append(f.Origins, name), addr
		r.addrs = append(r.addrs, addr)
	}
	for k, name := range f.Origins {
		network, _ := r.Machine(1 + k*rack)
		o := &hollowOrigin{dir: filepath.Join(t.TempDir(), name), cfg: transport.OriginConfig{ListenAddr: peers[name], PeerAddrs: peers, AllowedNetworks: r.allowed, Dial: network.Dial,
			Log: slog.New(slog.DiscardHandler), Node: origin.Config{BootstrapConfig: f, Self: name, Seed: uint64(k), TickInterval: 50 * time.Millisecond}}}
		st := openStore(t, o.dir)
		if err := origin.Bootstrap(st, f); err != nil {
			t.Fatal(err)
		}
		st.Close()
		r.origins = append(r.origins, o)
		o.start(t)
	}
	return r
}

func openStore(t *testing.T, dir string) *store.Store {
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
	st := openStore(t, o.dir)
	o.cfg.Store = st
	node, err := transport.NewOrigin(o.cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() { node.Run(ctx); st.Close(); close(ran) }()
	o.stop = sync.OnceFunc(func() { end(); <-ran })
}

// attach is a member's place in the distribution, as the daemon opens it, but that nothing is kept on a disk.
func (r *hollowRig) attach(m *hollow.Member) hollow.Attachment {
	var node atomic.Pointer[gossip.Node]
	r.mu.Lock()
	delete(r.acts, m.Name)
	r.mu.Unlock()
	p, err := transport.NewMember(transport.MemberConfig{Follower: controlplane.FollowerConfig{Cluster: "hollow", Self: m.Name, FetchDelay: 300 * time.Millisecond},
		Origins: r.addrs, MaxSubscribers: 8, Log: slog.New(slog.DiscardHandler), Dial: r.dial(m),
		Selector:   bootstrap.Config{Self: m.Name, Roots: 40, FanOut: 4, ConfiguredSize: len(r.Members), RandomSeed: uint64(m.N)},
		OnRevision: func(s controlplane.Revision) { node.Load().SetConfigRevision(s.Epoch, s.Version) },
		Apply: func(s *controlplane.Snapshot) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.acts[m.Name] = acting{s.Revision, time.Now()}
			return nil
		}})
	if err != nil {
		r.t.Error(err)
		return hollow.Attachment{}
	}
	r.mu.Lock()
	r.parts[m.Name] = p
	r.mu.Unlock()
	return hollow.Attachment{Also: p.Handler(), Run: p.Run, Opened: func(n *gossip.Node) { node.Store(n) },
		OnStamp: func(from cluster.Entry, epoch, number uint64) {
			p.ReceivePeerRevision(from.Name, from.Addr.String(), epoch, number)
		},
		OnView: func(others []cluster.Member, joined bool) {
			list := make([]bootstrap.Member, 0, len(others))
			for _, o := range others {
				list = append(list, bootstrap.Member{Name: o.Name, Addr: o.Addr})
			}
			p.UpdateMembers(list, joined)
		}}
}

// dial counts what configuration costs: at who asks and at whom it is asked.
func (r *hollowRig) dial(m *hollow.Member) transport.DialFunc {
	count := func(addr string) *atomic.Int64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.bytes[addr] == nil {
			r.bytes[addr] = new(atomic.Int64)
		}
		return r.bytes[addr]
	}
	own := count(m.Addr.String())
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n := m.Network()
		if n == nil {
			return nil, net.ErrClosed
		}
		c, err := n.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &counted{c, own, count(addr)}, nil
	}
}

type counted struct {
	net.Conn
	own, peer *atomic.Int64
}

func (c *counted) add(n int) { c.own.Add(int64(n)); c.peer.Add(int64(n)) }

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.add(n)
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.add(n)
	return n, err
}

// push has a change accepted, by whichever origin of some takes it.
func (r *hollowRig) push(origins ...int) (controlplane.Revision, time.Time) {
	r.t.Helper()
	begun := time.Now()
	id := fmt.Sprint("push-", begun.UnixNano())
	text := fmt.Appendf(nil, "# %s\n[limits]\nmax_attempts = 3\n# %s\n", id, strings.Repeat("x", 1000))
	for i := 0; time.Since(begun) < testutil.Patience; i++ {
		c := transport.NewClient("hollow", r.addrs[origins[i%len(origins)]])
		ctx, end := context.WithTimeout(r.t.Context(), time.Second)
		s, err := c.Show(ctx, false)
		if err == nil {
			a, err := c.Push(ctx, id, s.Result.Revision.Version, text)
			if err == nil && a.Outcome == origin.OutcomeAccepted {
				end()
				return a.Revision, begun
			}
		}
		end()
	}
	r.t.Fatal("no origin has accepted a push")
	return controlplane.Revision{}, begun
}

// patience is how long one waits: in the long form one process stands for hundreds, on a machine that others use.
func (r *hollowRig) patience() time.Duration {
	if *hollowMembers > 0 {
		return 2 * time.Minute
	}
	return testutil.Patience
}

// inForce waits until all of some act on a stamp, and logs when 50, 99 and 100 in 100 did, after since.
func (r *hollowRig) inForce(what string, s controlplane.Revision, since time.Time, members []*hollow.Member) []time.Duration {
	r.t.Helper()
	var took []time.Duration
	lack := ""
	for end := time.Now().Add(r.patience()); ; {
		took, lack = took[:0], ""
		r.mu.Lock()
		for _, m := range members {
			if a := r.acts[m.Name]; a.stamp.Compare(s) >= 0 {
				took = append(took, max(0, a.at.Sub(since)))
			} else {
				lack += " " + m.Name
			}
		}
		r.mu.Unlock()
		if lack == "" || time.Now().After(end) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if lack != "" {
		for i, name := range strings.Fields(lack) {
			if s, ok := r.parts[name].State(); i < 8 {
				r.t.Logf("%s, %v: %+v", name, ok, s)
			}
		}
		for _, addr := range r.addrs {
			s, err := transport.NewClient("hollow", addr).Status(r.t.Context())
			r.t.Logf("%+v, %v", s, err)
		}
		r.t.Fatalf("%s: %d of %d act on %v; not%.300s", what, len(took), len(members), s, lack)
	}
	slices.Sort(took)
	of := func(share float64) float64 { return took[min(len(took)-1, int(share*float64(len(took))))].Seconds() }
	load, _ := os.ReadFile("/proc/loadavg")
	word, _, _ := strings.Cut(string(load), " ")
	r.t.Logf("| %-46s | %4d | %.3f | %.3f | %.3f | load %s", what, len(took), of(0.5), of(0.99), took[len(took)-1].Seconds(), word)
	return took
}

// running are the members that run and stand in no area of some.
func (r *hollowRig) running(besides ...hollow.Area) (list []*hollow.Member) {
	for _, m := range r.Members {
		if m.Runs() && !slices.ContainsFunc(besides, func(a hollow.Area) bool { return a.Has(m.Place) }) {
			list = append(list, m)
		}
	}
	return list
}

// cost is what a member sent and received a second over a time: in all, by datagrams (the view), for the list and for
// configuration.
func (r *hollowRig) cost(what string, d time.Duration, during func()) {
	type reading struct{ all, streams, config int64 }
	read := func() map[*hollow.Member]reading {
		out := map[*hollow.Member]reading{}
		for _, m := range r.Members {
			c := m.Counts()
			r.mu.Lock()
			config := r.bytes[m.Addr.String()]
			r.mu.Unlock()
			x := reading{c.BytesIn + c.BytesOut, c.StreamIn + c.StreamOut, 0}
			if config != nil {
				x.config = config.Load()
			}
			out[m] = x
		}
		return out
	}
	before, begun := read(), time.Now()
	during()
	if left := d - time.Since(begun); left > 0 {
		time.Sleep(left)
	}
	after, secs := read(), time.Since(begun).Seconds()
	var all, view, list, config []float64
	for m, b := range before {
		a := after[m]
		all = append(all, float64(a.all-b.all)/secs)
		streams := a.streams - b.streams
		view = append(view, float64(a.all-b.all-streams)/secs)
		config = append(config, float64(a.config-b.config)/secs)
		list = append(list, float64(streams-(a.config-b.config))/secs)
	}
	mean := func(x []float64) (sum float64) {
		for _, v := range x {
			sum += v / float64(len(x))
		}
		return sum
	}
	r.t.Logf("| %-46s | bytes a second a member, sent and received, mean (most): all %.0f (%.0f), view %.0f (%.0f), list and views compared %.0f (%.0f), configuration %.0f (%.0f)", what,
		mean(all), slices.Max(all), mean(view), slices.Max(view), mean(list), slices.Max(list), mean(config), slices.Max(config))
}

// Changes reach hollow members through the real link and real origins. The long form, with faults and bytes:
//
//	go test ./internal/controlplane/transport -run Hollow -config.hollow 590 -timeout 1h -v
func TestHollow(t *testing.T) {
	t.Parallel()
	members, origins := 20, 3
	if *hollowMembers > 0 {
		members, origins = *hollowMembers, 5
	}
	r := newHollowRig(t, members, origins)
	s, _ := r.push(0, 1)
	begun := time.Now()
	for batch := range slices.Chunk(r.Members, 30) { // one process bears no more of them at once
		if err := r.Start(batch...); err != nil {
			t.Fatal(err)
		}
		if members > 100 {
			time.Sleep(700 * time.Millisecond)
		}
	}
	r.inForce("all start, 30 at a time: after the first start", s, begun, r.Members)
	if *hollowMembers == 0 {
		testutil.Until(t, "all know each other", func() bool { return r.Disagreement(func(hollow.Place) bool { return true }) == "" })
	}
	s, at := r.push(0, 1)
	if took := r.inForce("a change", s, at, r.Members); took[len(took)-1] > 4*time.Second {
		t.Errorf("in force everywhere after %v", took[len(took)-1])
	}
	if *hollowMembers > 0 {
		r.long()
	}
}
