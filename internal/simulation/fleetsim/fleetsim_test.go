package fleetsim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hazelwing/internal/cluster"
)

var histories = flag.Int("histories", 100, "random histories of TestRandomHistories")

// all starts a fleet with member 0 as everybody's seed.
func all(t *testing.T, c Config) *Fleet {
	t.Helper()
	f := New(c)
	for i := range c.Members {
		f.Start(i, 0)
	}
	if took := f.Until(30*time.Second, 100*time.Millisecond, func() bool { return f.Agreed(nil) }); took < 0 {
		t.Fatalf("they did not find each other: %s", f.Disagreement(nil))
	}
	return f
}

func agree(t *testing.T, f *Fleet, within time.Duration, group func(int) bool, what string) time.Duration {
	t.Helper()
	took := f.Until(within, 100*time.Millisecond, func() bool { return f.Agreed(group) })
	if took < 0 {
		t.Fatalf("%s: not within %v: %s", what, within, f.Disagreement(group))
	}
	return took
}

func halves(f *Fleet) func(from, to int) bool {
	n := len(f.Members) / 2
	return func(from, to int) bool { return (from < n) == (to < n) }
}

// What a third that dies at once costs; half of it comes back in 50 ms under its names.
func TestAThirdDies(t *testing.T) {
	f := all(t, Config{Members: 30, Seed: 1})
	for i := range 10 {
		f.Kill(i)
	}
	f.Run(50 * time.Millisecond)
	for i := range 5 {
		f.Start(i, 20, 21)
	}
	t.Log(agree(t, f, time.Minute, nil, "after the deaths"))
}

// Two halves that have buried and forgotten each other find together again, after a cut of any length.
func TestHalvesMeetAgain(t *testing.T) {
	for _, c := range []struct {
		cut, forget time.Duration
		members     int
	}{{10 * time.Second, time.Hour, 20}, {3 * time.Minute, time.Hour, 40}, {10 * time.Minute, 2 * time.Minute, 21}, {10 * time.Minute, 2 * time.Minute, 2}} {
		t.Run(fmt.Sprint(c.cut, c.forget, c.members), func(t *testing.T) {
			f := all(t, Config{Members: c.members, Seed: 2, Core: cluster.Config{DeadMemberTTL: c.forget}})
			f.Linked = halves(f)
			f.Run(c.cut)
			if c.cut > 2*time.Minute {
				n := c.members / 2
				agree(t, f, time.Minute, func(i int) bool { return i < n }, "the first half")
				agree(t, f, time.Minute, func(i int) bool { return i >= n }, "the second half")
			}
			f.Linked = nil
			t.Log(agree(t, f, 90*time.Second, nil, "after the cut"))
		})
	}
}

// A process that stood still accuses nobody when it wakes, and refutes what was said of it. With the guard taken out (Plain)
// it does accuse.
func TestStandingStill(t *testing.T) {
	accused := func(plain bool) int {
		f := all(t, Config{Members: 12, Seed: 3, Latency: 60 * time.Millisecond, Core: cluster.Config{DisableLifeguard: plain}})
		wrong := 0
		f.Noted = func(i int, n cluster.Transition) {
			if i == 4 && n.To == cluster.Suspect {
				wrong++
			}
		}
		for range 8 {
			// It stops right behind a probe's first datagram.
			f.Sent = func(i int, a cluster.Action) {
				if i == 4 && a.Message.Kind == cluster.Ping {
					f.Freeze(4, 5*time.Second)
					f.Sent = nil
				}
			}
			f.Until(20*time.Second, 10*time.Millisecond, func() bool { return f.Sent == nil })
			f.Run(5 * time.Second)
			agree(t, f, time.Minute, nil, "after it woke")
		}
		return wrong
	}
	if n := accused(false); n > 0 {
		t.Errorf("it accused %d members of its own silence", n)
	}
	if accused(true) == 0 {
		t.Error("without the guard nobody was accused: the test shows nothing")
	}
}

// A member that leaves while it is suspected, or while the fleet is cut, has left.
func TestLeaving(t *testing.T) {
	f := all(t, Config{Members: 12, Seed: 4})
	f.Freeze(3, 4*time.Second)
	f.Run(4 * time.Second)
	f.Leave(3)
	f.Run(20 * time.Second)
	for i, m := range f.Members {
		if i == 3 {
			continue
		}
		for _, x := range m.Core.Members() {
			if x.Name == "m0003" && x.State != cluster.Left {
				t.Errorf("%s holds it for %v", m.Name, x.State)
			}
		}
	}
	f.Linked = halves(f)
	f.Leave(4)
	f.Run(3 * time.Minute)
	f.Linked = nil
	agree(t, f, 90*time.Second, nil, "after the cut")
}

// Ten joins and ten deaths a second for a minute, and then the view is whole; nobody's table grows beyond the names there were.
func TestTenJoinsAndDeathsASecond(t *testing.T) {
	f := New(Config{Members: 60, Seed: 5})
	for i := range 30 {
		f.Start(i, 0, 1)
	}
	f.Run(5 * time.Second)
	for range 600 {
		up, down := []int{}, []int{}
		for i, m := range f.Members {
			switch {
			case i < 2: // the seeds stay
			case m.Core != nil:
				up = append(up, i)
			default:
				down = append(down, i)
			}
		}
		f.Kill(up[f.rng.IntN(len(up))])
		f.Start(down[f.rng.IntN(len(down))], 0, 1)
		f.Run(100 * time.Millisecond)
	}
	t.Log(agree(t, f, 2*time.Minute, nil, "after the churn"))
}

// Clocks that differ by minutes change nothing: no time of one member is compared with another's.
func TestClocksDiffer(t *testing.T) {
	f := New(Config{Members: 12, Seed: 6})
	for i, m := range f.Members {
		m.Clock = time.Duration(i) * 7 * time.Minute
		f.Start(i, 0)
	}
	agree(t, f, 30*time.Second, nil, "with clocks that differ")
	f.Kill(3)
	f.Members[3].Clock = 0 // it comes back with a clock far behind
	f.Start(3, 1)
	agree(t, f, 30*time.Second, nil, "after one came back in the past")
	f.Kill(4)
	agree(t, f, 90*time.Second, nil, "after a death")
}

// A member that was told ten times too many or too few reckons with the fleet as it is: at once where there are more, late
// where there are fewer; and half a fleet that is cut off goes on reckoning with all.
func TestCountInACut(t *testing.T) {
	for _, told := range []int{2, 20, 200} {
		f := all(t, Config{Members: 20, Seed: 7, Told: told})
		count := func(i int) int { return f.Members[i].Core.(*cluster.Core).Stats().EstimatedSize }
		if told <= 20 && count(0) != 20 {
			t.Errorf("told %d: %d before the cut", told, count(0))
		}
		f.Run(5 * time.Minute)
		if n := count(0); n != 20 {
			t.Errorf("told %d: %d after five minutes", told, n)
		}
		f.Linked = halves(f)
		for range 50 {
			f.Run(time.Minute)
			for i := range f.Members {
				if count(i) < 20 {
					t.Fatalf("told %d, %v: member %d reckons with %d of 20 while the fleet is cut", told, f.Now, i, count(i))
				}
			}
		}
		f.Linked = nil
		agree(t, f, time.Minute, nil, "after the cut")
		for i := range 6 { // real deaths, fewer than a third: let go of after a minute
			f.Kill(i)
		}
		f.Run(4 * time.Minute)
		if n := count(19); n != 14 {
			t.Errorf("told %d: %d four minutes after six of twenty died", told, n)
		}
	}
}

// No live member stays dead in a view once links hold, views converge, and lives never go back, whatever the history.
func TestRandomHistories(t *testing.T) {
	for n := range *histories {
		history(t, uint64(n))
	}
}

func history(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	members := 3 + rng.IntN(14)
	c := Config{Members: members, Seed: seed, Latency: time.Duration(1+rng.IntN(20)) * time.Millisecond,
		Core: cluster.Config{ProbeInterval: time.Second, DeadMemberTTL: time.Duration(1+rng.IntN(10)) * time.Minute}}
	if rng.IntN(2) == 0 {
		c.Loss, c.Double, c.Late, c.LateBy = 0.3*rng.Float64(), 0.1, 0.1, time.Second
	}
	f := New(c)
	lives := map[[2]int]cluster.Incarnation{} // the last of a name in a view of a process
	number := func(name string) (n int) { fmt.Sscanf(name, "m%d", &n); return n }
	f.Noted = func(i int, n cluster.Transition) {
		k := [2]int{i<<20 | int(f.Members[i].lives), number(n.Name)}
		if n.Reason == cluster.ReasonExpired || n.Reason == cluster.ReasonTableFull {
			delete(lives, k)
			return
		}
		if was := lives[k]; n.Incarnation.Compare(was) < 0 {
			t.Errorf("seed %d, %v: %d: %s went back from %+v to %+v (%s)", seed, f.Now, i, n.Name, was, n.Incarnation, n.Reason)
		}
		lives[k] = n.Incarnation
	}
	cut := map[[2]int]bool{}
	f.Linked = func(from, to int) bool { return !cut[[2]int{from, to}] }
	seeds := []int{0, rng.IntN(members)}
	start := func(i int) { f.Start(i, seeds...) }
	for i := range members {
		if rng.IntN(4) > 0 {
			start(i)
		}
	}
	for range 5 + rng.IntN(25) {
		i := rng.IntN(members)
		up := f.Members[i].Core != nil
		switch k := rng.IntN(9); {
		case k == 0 && up:
			f.Kill(i)
		case k == 1 && up:
			f.Leave(i)
		case k == 2 && up:
			f.Kill(i)
			start(i)
		case k <= 3 && !up:
			start(i)
		case k == 4 && up:
			f.Freeze(i, time.Duration(rng.IntN(15))*time.Second)
		case k == 5: // a cut by chance, each direction alone
			for a := range members {
				for b := range members {
					if rng.IntN(3) == 0 {
						cut[[2]int{a, b}] = true
					}
				}
			}
		case k == 6:
			side := make([]int, members)
			for a := range side {
				side[a] = rng.IntN(3)
			}
			for a := range members {
				for b := range members {
					cut[[2]int{a, b}] = side[a] != side[b]
				}
			}
		case k == 7:
			clear(cut)
		}
		f.Run(time.Duration(rng.IntN(40_000)) * time.Millisecond)
	}
	clear(cut)
	f.cfg.Loss, f.cfg.Late = min(f.cfg.Loss, 0.05), 0
	for i, m := range f.Members {
		if m.Core == nil && rng.IntN(2) == 0 {
			start(i)
		}
	}
	if f.Members[0].Core == nil && f.Members[seeds[1]].Core == nil {
		start(0)
	}
	took := f.Until(5*time.Minute, time.Second, func() bool { return f.Agreed(nil) })
	if took < 0 {
		t.Errorf("seed %d: %s", seed, f.Disagreement(nil))
	}
	for _, m := range f.Members {
		if core, ok := m.Core.(*cluster.Core); ok {
			if s := core.Stats(); s.Rejected > 0 || s.KnownMembers > members {
				t.Errorf("seed %d: %s: %+v", seed, m.Name, s)
			}
		}
	}
}
