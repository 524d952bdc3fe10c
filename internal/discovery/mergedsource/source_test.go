package mergedsource

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// fakeDiscovery is a stand-in for the platform's: the test tells what a watch brings.
type fakeDiscovery struct{ watches chan *call }

type call struct {
	seq  int64
	tell func(engine.EndpointUpdate)
	ctx  context.Context
}

func newDiscovery() *fakeDiscovery { return &fakeDiscovery{make(chan *call, 10)} }

func (d *fakeDiscovery) Watch(seq int64, _ time.Duration, tell func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	d.watches <- &call{seq, tell, ctx}
	return stop
}

// rig is a Source that runs, with one source beside discovery, and what it tells.
type rig struct {
	*Source
	t     *testing.T
	list  *fakeDiscovery
	watch *call
	srv   chan any // views, and errors: it is lost
	news  chan engine.EndpointUpdate
}

const now = 1_700_000_000_000

// start runs one that knows these members, and is watched.
func start(t *testing.T, settle time.Duration, known ...string) *rig {
	t.Helper()
	r := &rig{t: t, list: newDiscovery(), srv: make(chan any), news: make(chan engine.EndpointUpdate, 100)}
	s, err := New(Config{Platform: r.list, CachedList: members(known...), MaxEndpoints: 100, AdditionInterval: settle, TombstoneTTL: time.Hour, MaxRemovalShare: 0.5, RemovalWindow: time.Minute,
		Now: func() time.Time { return time.UnixMilli(now) }, Log: slog.New(slog.DiscardHandler),
		Additional: []AdditionalSource{{SourceConfig: discovery.SourceConfig{Name: "srv", Rank: 1, StaleTTL: time.Hour}, Run: func(ctx context.Context, tell func(discovery.Update), lost func(error)) {
			for n := int64(1); ; n++ {
				select {
				case x := <-r.srv:
					if err, ok := x.(error); ok {
						lost(err)
						continue
					}
					v := x.(discovery.Update)
					v.Seq = n
					tell(v)
				case <-ctx.Done():
					return
				}
			}
		}}}})
	if err != nil {
		t.Fatal(err)
	}
	r.Source = s
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() { s.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); testutil.Receive(t, ended, "its end") })
	s.Watch(7, 0, func(n engine.EndpointUpdate) { r.news <- n })
	r.watch = testutil.Receive(t, r.list.watches, "discovery's watch")
	return r
}

// members reads "a" as a member a at x:a, "-a" as one that drains.
func members(names ...string) (list []engine.Endpoint) {
	for _, n := range names {
		m := engine.Endpoint{ID: strings.TrimPrefix(n, "-"), Zone: "z"}
		m.Addr = "x:" + m.ID
		if m.ID != n {
			m.State = balancer.Draining
		}
		list = append(list, m)
	}
	return list
}

// addresses are a view of the name service's.
func addresses(names ...string) discovery.Update {
	v := discovery.Update{Complete: true}
	for _, n := range names {
		v.Endpoints = append(v.Endpoints, discovery.Endpoint{Addr: "x:" + n})
	}
	return v
}

func (r *rig) says(kind balancer.UpdateKind, seq int64, names ...string) {
	r.watch.tell(engine.EndpointUpdate{Kind: kind, Version: seq, Endpoints: members(names...)})
}

// want receives news, and compares it with "kind seq: members".
func (r *rig) want(text string) engine.EndpointUpdate {
	r.t.Helper()
	n := testutil.Receive(r.t, r.news, "news: "+text)
	kinds := map[balancer.UpdateKind]string{balancer.Delta: "change", balancer.OutOfBand: "aside", balancer.WatchFailed: "failed"}
	got := fmt.Sprintf("%s %d:", kinds[n.Kind], n.Version)
	for _, m := range n.Endpoints {
		sign := " "
		if m.State != balancer.Active {
			sign = " -"
		}
		got += sign + m.ID
	}
	if got != text {
		r.t.Fatalf("told %q, want %q", got, text)
	}
	return n
}

// The list says that a node drains, and the name service lists it on: it leaves at once, and does not come back by that.
func TestLeavingWins(t *testing.T) {
	r := start(t, 0, "a", "b", "c")
	r.says(balancer.Delta, 8)
	r.want("change 8:")
	r.srv <- addresses("a", "b", "c")
	r.says(balancer.Delta, 9, "-b")
	r.want("change 9: -b")
	r.srv <- addresses("b", "a", "c")
	r.srv <- addresses("a", "b", "c", "d")
	r.want("aside 0: addr x:d")
}

// A whole list lacks most of what was known: that is told whole and at once, however much it is, unlike what a name service
// merely no longer lists.
func TestWholeListOfDiscovery(t *testing.T) {
	r := start(t, 0, "a", "b", "c", "d")
	r.says(balancer.CompleteList, 12, "d", "e")
	r.want("change 12: -a -b -c e")
	r.says(balancer.CompleteList, 13)
	r.want("change 13: -d -e")
}

// A node that only the name service names, and did not in its first view, may just have started.
func TestNewAddressCountsAsStartedNow(t *testing.T) {
	r := start(t, 0)
	r.srv <- addresses("a")
	if n := r.want("aside 0: addr x:a"); n.Endpoints[0].StartedAtMS != 0 {
		t.Errorf("one of the first view is taken to have started at %v", n.Endpoints[0].StartedAtMS)
	}
	r.srv <- addresses("a", "b")
	if n := r.want("aside 0: addr x:b"); n.Endpoints[0].StartedAtMS != now {
		t.Errorf("a new one is taken to have started at %v", n.Endpoints[0].StartedAtMS)
	}
	r.says(balancer.CompleteList, 3, "b") // the list names it: one node, which has its name from now on
	if n := r.want("change 3: -addr x:b b"); n.Endpoints[1].StartedAtMS != 0 {
		t.Errorf("what the list names has the list's start: %v", n.Endpoints[1].StartedAtMS)
	}
}

// Discovery fails: the engine hears it and asks again, on the version that it had; the others go on, also while nobody watches.
func TestDiscoveryFails(t *testing.T) {
	r := start(t, 0, "a")
	r.says(balancer.Delta, 8)
	r.want("change 8:")
	r.watch.tell(engine.EndpointUpdate{Kind: balancer.WatchFailed, Version: 8, Err: errors.New("503")})
	r.want("failed 8:")
	r.srv <- addresses("a", "b")
	r.want("aside 0: addr x:b")
	r.srv <- errors.New("time-out")
	other := newDiscovery()
	r.SetPlatform(other)
	stop := r.Watch(engine.UnknownVersion, 0, func(n engine.EndpointUpdate) { r.news <- n })
	r.watch = testutil.Receive(t, other.watches, "the new discovery's watch")
	if r.watch.seq != engine.UnknownVersion {
		t.Errorf("it goes on from %d", r.watch.seq)
	}
	r.says(balancer.Delta, 2, "-a")
	r.want("change 2: -a")
	stop()
	testutil.Until(t, "the watch's end", func() bool { return r.watch.ctx.Err() != nil })
	r.says(balancer.Delta, 3, "f")
	r.srv <- addresses("g")
	select {
	case n := <-r.news:
		t.Errorf("told %+v after the end", n)
	case <-time.After(10 * time.Millisecond):
	}
}

// Additions are handed out at most once in Settle, leavings at once.
func TestAdditionsSettle(t *testing.T) {
	r := start(t, time.Hour, "a", "b")
	r.srv <- addresses("a", "c")
	r.says(balancer.Delta, 8, "-b")
	r.want("change 8: -b")
	select {
	case n := <-r.news:
		t.Errorf("an addition within Settle of the last: %+v", n)
	case <-time.After(10 * time.Millisecond):
	}
	r = start(t, 20*time.Millisecond, "a")
	r.srv <- addresses("a", "c")
	r.want("aside 0: addr x:c") // by itself, once Settle has passed
}

// What cannot be is an error that says so.
func TestNewRefuses(t *testing.T) {
	good := Config{MaxEndpoints: 1, TombstoneTTL: 1, MaxRemovalShare: 1, RemovalWindow: 1}
	for want, c := range map[string]Config{
		`"list" is discovery's name`: {MaxEndpoints: 1, TombstoneTTL: 1, MaxRemovalShare: 1, RemovalWindow: 1, Additional: []AdditionalSource{{SourceConfig: discovery.SourceConfig{Name: PlatformSourceName}}}},
		"a share above 0":            {MaxEndpoints: 1, TombstoneTTL: 1, RemovalWindow: 1},
	} {
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if _, err := New(good); err != nil {
		t.Error(err)
	}
}
