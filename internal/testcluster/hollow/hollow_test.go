package hollow

import (
	"context"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hazelwing/internal/cluster"
	"hazelwing/internal/testutil"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fast are times that let faults pass within seconds.
const fast = "probe = \"150ms\"\ntimeout = \"70ms\"\ngossip = \"20ms\"\nsync = \"1s\"\nretry = \"400ms\"\nsuspicion = 1.5\n"

func open(t *testing.T, c Config) *Fleet {
	t.Helper()
	f, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

func all(Place) bool { return true }

// agree waits until the members of places know just each other.
func agree(t *testing.T, f *Fleet, what string, in func(Place) bool) {
	t.Helper()
	begun, last := time.Now(), ""
	for ; time.Since(begun) < testutil.WaitTimeout; time.Sleep(10 * time.Millisecond) {
		if last = f.Disagreement(in); last == "" {
			t.Logf("%s: %v", what, time.Since(begun).Round(time.Millisecond))
			return
		}
	}
	t.Fatalf("%s: %s", what, last)
}

func current(t *testing.T, f *Fleet, what string) {
	t.Helper()
	testutil.Until(t, what, func() bool { return f.Behind(all) == 0 })
}

// Members find each other and have the list down a tree, whose root alone asks discovery; links between places are cut and healed, for
// datagrams and for streams; a member that is killed is buried, one that leaves has left, and both come back.
func TestFleet(t *testing.T) {
	f := open(t, Config{Members: 16, Upstreams: 40, Rack: 2, Fleet: fast, Recovery: "ask = 2\nfan = 3"})
	if err := f.Start(f.Members...); err != nil {
		t.Fatal(err)
	}
	agree(t, f, "all know all", all)
	current(t, f, "all have the list")
	testutil.Until(t, "two ask, and the tree has three levels", func() bool {
		asks, far := 0, 0
		for _, m := range f.Members {
			s, _ := m.List()
			if s.Source == "discovery" {
				asks++
			}
			far = max(far, len(s.Server.Path))
		}
		return asks == 2 && far >= 2
	})
	f.Discovery.Set(f.Upstream(3, "DRAINING", 0))
	current(t, f, "a drain is told to all")

	one, two := Area("r1"), Area("r2")
	if len(f.In(one)) != 8 || len(f.In(two)) != 8 || len(f.In("k1")) != 2 || f.Members[15].Place != (Place{2, 4, 8}) {
		t.Fatalf("%d and %d in the regions, the last at %+v", len(f.In(one)), len(f.In(two)), f.Members[15].Place)
	}
	if err := f.Links.Play("cut r1 r2"); err != nil {
		t.Fatal(err)
	}
	f.Discovery.Set(f.Upstream(4, "DRAINING", 0))
	agree(t, f, "each region knows itself alone", one.Has)
	agree(t, f, "and the other one", two.Has)
	testutil.Until(t, "the list goes on in discovery's region", func() bool { return f.Behind(one.Has) == 0 })
	if n := f.Behind(two.Has); n != 8 {
		t.Errorf("%d of 8 lack what discovery told behind the cut", n)
	}
	f.Links.Heal()
	agree(t, f, "whole again", all)
	current(t, f, "the other region has caught up")

	if err := f.Links.Play("cut k2 rest"); err != nil {
		t.Fatal(err)
	}
	agree(t, f, "a rack is gone", func(p Place) bool { return p.Rack != 2 })
	f.Links.Heal()
	agree(t, f, "a rack is back", all)

	f.Kill(f.Members[0], f.Members[5])
	agree(t, f, "two were killed", all)
	f.Leave(f.Members[9])
	agree(t, f, "one has left", all)
	if err := f.Start(f.Members[0], f.Members[5], f.Members[9]); err != nil {
		t.Fatal(err)
	}
	agree(t, f, "all are back, as other processes", all)
	current(t, f, "with the list")
}

// A fleet that has stood for long has the list down the tree as it is meant: one asks, each other one follows its parent. Counts of both
// ends agree: what a member's streams and datagrams bring is what others sent, and what discovery sent was read.
func TestStandingFleet(t *testing.T) {
	f := open(t, Config{Members: 8, Fleet: fast, Recovery: "ask = 1\nfan = 2"})
	if err := f.StartKnown(t.Context(), testutil.WaitTimeout); err != nil {
		t.Fatal(err)
	}
	agree(t, f, "all know all", all)
	current(t, f, "all have the list")
	ranks := map[int]string{}
	for _, m := range f.Members {
		s, _ := m.List()
		ranks[s.Rank] = m.Name
	}
	for _, m := range f.Members {
		s, _ := m.List()
		want := "discovery"
		if s.Rank > 0 {
			want = ranks[(s.Rank-1)/2]
		}
		if s.Source != want {
			t.Errorf("%s, at %d, has the list from %s, want %s", m.Name, s.Rank, s.Source, want)
		}
	}
	total := func() (sum Counts) {
		for _, m := range f.Members {
			sum = sum.Plus(m.Counts())
		}
		return sum.Plus(f.DiscoveryCounts())
	}
	before := total() // what StartKnown itself told was received, and sent by nobody
	for i := range 40 {
		f.Discovery.Set(f.Upstream(i%8, "DRAINING", 0))
	}
	current(t, f, "all have the changes")
	f.Kill(f.Members...)
	sum := total().Since(before)
	if sum.StreamOut < 40*8*100 || math.Abs(float64(sum.BytesIn)/float64(sum.BytesOut)-1) > 0.1 { // some were on their way
		t.Errorf("%+v in all", sum)
	}
}

// What is attached to a member answers at its address, sees its view, reaches others through the links, and ends with it.
func TestAttach(t *testing.T) {
	var viewed, ended atomic.Int64
	f := open(t, Config{Members: 4, Rack: 1, Fleet: fast, Attach: func(m *Member) Attachment {
		return Attachment{Also: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(m.Name)) }),
			OnView: func([]cluster.Member, bool) { viewed.Add(1) },
			Run:    func(ctx context.Context) { <-ctx.Done(); ended.Add(1) }}
	}})
	if err := f.Start(f.Members...); err != nil {
		t.Fatal(err)
	}
	agree(t, f, "all know all", all)
	transport := &http.Transport{DialContext: f.Members[0].Network().Dial, DisableKeepAlives: true}
	ask := func(d time.Duration) (string, error) {
		c := http.Client{Transport: transport, Timeout: d}
		resp, err := c.Get("http://" + f.Members[2].Addr.String() + "/other")
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		text := make([]byte, 64)
		n, _ := resp.Body.Read(text)
		return string(text[:n]), nil
	}
	if text, err := ask(testutil.WaitTimeout); text != "sidecar-0003" {
		t.Errorf("%q, %v", text, err)
	}
	if err := f.Links.Play("cut z1 z3"); err != nil {
		t.Fatal(err)
	}
	if text, err := ask(50 * time.Millisecond); err == nil {
		t.Errorf("over a cut link: %q", text)
	}
	if err := f.Links.Play("slow z1 z3 30ms"); err != nil { // in place of the cut
		t.Fatal(err)
	}
	begun := time.Now()
	if text, err := ask(testutil.WaitTimeout); text != "sidecar-0003" || time.Since(begun) < 60*time.Millisecond {
		t.Errorf("over a slow link: %q, %v after %v", text, err, time.Since(begun))
	}
	f.Close()
	if viewed.Load() < 4 || ended.Load() != 4 {
		t.Errorf("%d views, %d of 4 ended", viewed.Load(), ended.Load())
	}
}

// Steps that mean nothing, and fleets that cannot be, are errors that say what is wrong.
func TestBadInput(t *testing.T) {
	l := newLinks()
	defer l.close()
	for step, want := range map[string]string{"cut r1": "two places", "cut r1 x2": "x2", "cut r0 r1": "r0", "slow r1 r2": "4 are wanted", "slow r1 r2 fast": "fast",
		"lose r1 r2 2": "loss", "melt r1 r2": "verb", "cut rest r1": "rest", "heal r1": "two places"} {
		if err := l.Play(step); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", step, err, want)
		}
	}
	for _, c := range []Config{{}, {Members: Most + 1}, {Members: 4, Regions: 5}, {Members: 4, Rack: -1}} {
		if f, err := New(c); err == nil {
			f.Close()
			t.Errorf("%+v was opened", c)
		}
	}
}
