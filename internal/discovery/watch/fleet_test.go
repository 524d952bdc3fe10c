package watch

import (
	"context"
	"flag"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/emulator"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// lists is a transport that carries nothing, and notes that a whole list of discovery's has come.
type lists struct {
	known   bool // the list as last held came first
	at      atomic.Int64
	whole   atomic.Bool
	members atomic.Int64
}

func (l *lists) Update(whole bool, entries []engine.Endpoint, _ time.Time) {
	if whole && l.known {
		l.at.CompareAndSwap(0, time.Now().UnixNano())
		l.whole.Store(true)
		l.members.Store(int64(len(entries)))
	}
	l.known = true
}
func (*lists) Attempt(string, *engine.Call, time.Duration) engine.Exchange { return nil }
func (*lists) Probe(string, time.Duration) engine.Exchange                 { return nil }
func (*lists) CloseIdle(string)                                            {}

var (
	sidecars = flag.Int("sidecars", 40, "how many TestAllSidecarsStartAtOnce starts")
	perCall  = flag.Duration("percall", 25*time.Millisecond, "what a call takes of its discovery")
	patience = flag.Duration("patience", 250*time.Millisecond, "what one may wait there")
)

// Forty sidecars start at once, beside a discovery that works through 40 calls in a second and turns away what would wait for
// more than a quarter of one. All hold its list in the end, and none asks more often than its waits allow: 0.45 s at least from
// beginning to beginning, or less once where the first call was turned away late.
func TestAllSidecarsStartAtOnce(t *testing.T) {
	d, err := emulator.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for _, name := range []string{"a", "b", "c"} {
		d.Set(emulator.Host{Host: name, Dial: "127.0.0.1:1", Health: "SERVING"})
	}
	d.Limit(*perCall, *patience)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	began := time.Now()
	fleet := make([]*lists, *sidecars)
	for i := range fleet {
		fleet[i] = new(lists)
		e, err := engine.New(engine.Config{Transport: fleet[i], Source: NewClient(d.Addr(), true, slog.New(slog.DiscardHandler)), Seed: uint64(i),
			Settings:   balancer.Settings{MustSubscribe: true, Balancers: *sidecars, Classes: []balancer.Class{{Name: "c", Deadline: time.Second}}},
			CachedList: engine.EndpointUpdate{Version: 0, Endpoints: []engine.Endpoint{{ID: "a", Addr: "127.0.0.1:1"}}}})
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { e.Run(ctx) })
	}
	var took []time.Duration
	most, last := 0, 0
	second := began
	count := func() {
		if now := time.Now(); now.Sub(second) >= time.Second {
			all, _ := d.Calls()
			most, last, second = max(most, all-last), all, now
		}
	}
	for i, l := range fleet {
		testutil.Until(t, "the list at each sidecar", func() bool { count(); return l.whole.Load() })
		if n := l.members.Load(); n != 3 {
			t.Errorf("sidecar %d holds %d members", i, n)
		}
		took = append(took, time.Duration(l.at.Load()-began.UnixNano()))
	}
	slices.Sort(took)
	all, turned := d.Calls()
	end := took[len(took)-1]
	t.Logf("%d calls, %d in a second at most, %d turned away; the list after p50 %v, p90 %v, at worst %v; %d after 6 s", all, max(most, all-last), turned,
		took[len(took)/2].Round(time.Millisecond), took[len(took)*9/10].Round(time.Millisecond), end.Round(time.Millisecond),
		len(took)-sort.Search(len(took), func(i int) bool { return took[i] > 6*time.Second }))
	if turned == 0 {
		t.Error("nothing was turned away: this tests nothing")
	}
	if most := *sidecars * (2 + int(end/(450*time.Millisecond))); all > most {
		t.Errorf("%d calls in %v, %d at most", all, end, most)
	}
}
