package watch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/standin"
	"hazelwing/internal/standin/fixture"
)

// lists is a transport that carries nothing, and notes that a whole list of discovery's has come.
type lists struct {
	known   bool // the list as last held came first
	whole   atomic.Bool
	members atomic.Int64
}

func (l *lists) Update(whole bool, entries []engine.Member, _ time.Time) {
	if whole && l.known {
		l.whole.Store(true)
		l.members.Store(int64(len(entries)))
	}
	l.known = true
}
func (*lists) Attempt(string, *engine.Call, time.Duration) engine.Exchange { return nil }
func (*lists) Probe(string, time.Duration) engine.Exchange                 { return nil }
func (*lists) Close(string)                                                {}

// Forty sidecars start at once, beside a discovery that works through 40 calls in a second and turns away what would wait for
// more than a quarter of one. All hold its list in the end, and none asks more often than its waits allow: 0.25 s, 0.5 s and
// then 1 s at least, so eight calls take 5.75 s.
func TestAllSidecarsStartAtOnce(t *testing.T) {
	const sidecars, callsEach = 40, 8
	d, err := standin.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for _, name := range []string{"a", "b", "c"} {
		d.Set(standin.Host{Host: name, Dial: "127.0.0.1:1", Health: "SERVING"})
	}
	d.Limit(25*time.Millisecond, 250*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	began := time.Now()
	fleet := make([]*lists, sidecars)
	for i := range fleet {
		fleet[i] = new(lists)
		e, err := engine.New(engine.Config{Transport: fleet[i], Source: New(d.Addr(), true, slog.New(slog.DiscardHandler)), Seed: uint64(i),
			Settings: balancer.Settings{MustSubscribe: true, Balancers: sidecars, Classes: []balancer.Class{{Name: "c", Deadline: time.Second}}},
			Known:    engine.News{Seq: 0, Members: []engine.Member{{ID: "a", Addr: "127.0.0.1:1"}}}})
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { e.Run(ctx) })
	}
	for i, l := range fleet {
		fixture.Until(t, "the list at each sidecar", l.whole.Load)
		if n := l.members.Load(); n != 3 {
			t.Errorf("sidecar %d holds %d members", i, n)
		}
	}
	took := time.Since(began)
	all, turned := d.Calls()
	t.Logf("%d calls, %d turned away, %v", all, turned, took.Round(time.Millisecond))
	if turned == 0 {
		t.Error("nothing was turned away: this tests nothing")
	}
	if most := sidecars * (callsEach + int(took/time.Second)); all > most {
		t.Errorf("%d calls in %v, %d at most", all, took, most)
	}
}
