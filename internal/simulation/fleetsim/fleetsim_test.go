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

// startJoined starts a cluster with member 0 as the seed of all members.
func startJoined(t *testing.T, c Config) *Simulation {
	t.Helper()
	s := New(c)
	for i := range c.Members {
		s.Start(i, 0)
	}
	if took := s.RunUntil(30*time.Second, 100*time.Millisecond, func() bool { return s.Converged(nil) }); took < 0 {
		t.Fatalf("the members did not join: %s", s.Disagreement(nil))
	}
	return s
}

// waitConverged runs until the views of a group have converged, and returns how long that took.
func waitConverged(t *testing.T, s *Simulation, within time.Duration, group Group, what string) time.Duration {
	t.Helper()
	took := s.RunUntil(within, 100*time.Millisecond, func() bool { return s.Converged(group) })
	if took < 0 {
		t.Fatalf("%s: not within %v: %s", what, within, s.Disagreement(group))
	}
	return took
}

// halves connects members of the same half.
func halves(s *Simulation) func(from, to int) bool {
	n := len(s.Members) / 2
	return func(from, to int) bool { return (from < n) == (to < n) }
}

// A third of the members dies at once, and half of it restarts 50 ms later under the same names. The death of an
// earlier process could be held against the new one. The views have to converge within a minute.
func TestDeathOfAThird(t *testing.T) {
	s := startJoined(t, Config{Members: 30, Seed: 1})
	for i := range 10 {
		s.Kill(i)
	}
	s.Run(50 * time.Millisecond)
	for i := range 5 {
		s.Start(i, 20, 21)
	}
	t.Log(waitConverged(t, s, time.Minute, nil, "after the deaths"))
}

// A partition of any length cuts two halves off from each other, until each has declared the other dead and has
// forgotten it. The cluster would stay split for good. After the partition the views have to converge.
func TestPartitionHeals(t *testing.T) {
	for _, c := range []struct {
		partition, deadMemberTTL time.Duration
		members                  int
	}{
		{10 * time.Second, time.Hour, 20},
		{3 * time.Minute, time.Hour, 40},
		{10 * time.Minute, 2 * time.Minute, 21},
		{10 * time.Minute, 2 * time.Minute, 2},
	} {
		t.Run(fmt.Sprint(c.partition, c.deadMemberTTL, c.members), func(t *testing.T) {
			s := startJoined(t, Config{
				Members: c.members,
				Seed:    2,
				Core:    cluster.Config{DeadMemberTTL: c.deadMemberTTL},
			})
			s.Connected = halves(s)
			s.Run(c.partition)
			if c.partition > 2*time.Minute {
				n := c.members / 2
				waitConverged(t, s, time.Minute, func(i int) bool { return i < n }, "the first half")
				waitConverged(t, s, time.Minute, func(i int) bool { return i >= n }, "the second half")
			}
			s.Connected = nil
			t.Log(waitConverged(t, s, 90*time.Second, nil, "after the cut"))
		})
	}
}

// A process stalls right after it has sent a probe, and continues seconds later. It would suspect the probed
// member, which answered during the stall. It must suspect nobody and must refute the suspicions of itself; without
// Lifeguard it does suspect others, which shows that the test can fail.
func TestStalledProber(t *testing.T) {
	suspicions := func(disableLifeguard bool) int {
		s := startJoined(t, Config{
			Members: 12,
			Seed:    3,
			Latency: 60 * time.Millisecond,
			Core:    cluster.Config{DisableLifeguard: disableLifeguard},
		})
		count := 0
		s.OnTransition = func(i int, n cluster.Transition) {
			if i == 4 && n.To == cluster.Suspect {
				count++
			}
		}
		for range 8 {
			// It stalls right after the first datagram of a probe.
			s.OnSend = func(i int, a cluster.Action) {
				if i == 4 && a.Message.Kind == cluster.Ping {
					s.Freeze(4, 5*time.Second)
					s.OnSend = nil
				}
			}
			s.RunUntil(20*time.Second, 10*time.Millisecond, func() bool { return s.OnSend == nil })
			s.Run(5 * time.Second)
			waitConverged(t, s, time.Minute, nil, "after it woke")
		}
		return count
	}
	if n := suspicions(false); n > 0 {
		t.Errorf("it suspected %d members because of its own stall", n)
	}
	if suspicions(true) == 0 {
		t.Error("without Lifeguard nobody was suspected: the test shows nothing")
	}
}

// A member leaves while it is suspected, and another one during a partition. Others could take them for dead, or
// wait for them. They have to be seen as left, and the views have to converge.
func TestLeaving(t *testing.T) {
	s := startJoined(t, Config{Members: 12, Seed: 4})
	s.Freeze(3, 4*time.Second)
	s.Run(4 * time.Second)
	s.Leave(3)
	s.Run(20 * time.Second)
	for i, m := range s.Members {
		if i == 3 {
			continue
		}
		for _, x := range m.Protocol.Members() {
			if x.Name == "m0003" && x.State != cluster.Left {
				t.Errorf("%s sees it as %v", m.Name, x.State)
			}
		}
	}
	s.Connected = halves(s)
	s.Leave(4)
	s.Run(3 * time.Minute)
	s.Connected = nil
	waitConverged(t, s, 90*time.Second, nil, "after the cut")
}

// Ten members join and ten die in each second of a minute. Updates could overtake each other, or tables grow. After
// it the views have to converge.
func TestChurn(t *testing.T) {
	s := New(Config{Members: 60, Seed: 5})
	for i := range 30 {
		s.Start(i, 0, 1)
	}
	s.Run(5 * time.Second)
	for range 600 {
		up, down := []int{}, []int{}
		for i, m := range s.Members {
			switch {
			case i < 2: // the seeds stay
			case m.Protocol != nil:
				up = append(up, i)
			default:
				down = append(down, i)
			}
		}
		s.Kill(up[s.rng.IntN(len(up))])
		s.Start(down[s.rng.IntN(len(down))], 0, 1)
		s.Run(100 * time.Millisecond)
	}
	t.Log(waitConverged(t, s, 2*time.Minute, nil, "after the churn"))
}

// Clocks differ by minutes, and a member restarts with a clock far behind. Comparing the times of two members would
// give wrong suspicions. Joins and deaths have to be seen as usual.
func TestClocksDiffer(t *testing.T) {
	s := New(Config{Members: 12, Seed: 6})
	for i, m := range s.Members {
		m.ClockOffset = time.Duration(i) * 7 * time.Minute
		s.Start(i, 0)
	}
	waitConverged(t, s, 30*time.Second, nil, "with different clocks")
	s.Kill(3)
	s.Members[3].ClockOffset = 0 // it comes back with a clock far behind
	s.Start(3, 1)
	waitConverged(t, s, 30*time.Second, nil, "after a restart with a clock far behind")
	s.Kill(4)
	waitConverged(t, s, 90*time.Second, nil, "after a death")
}

// The configured size is ten times too high or too low, and a partition cuts off half of the members. An estimate that
// follows the reachable members would fall during a partition, and the load on the rest would rise. The estimate has to
// be the real size, at once if it is above the configured one and later if it is below; it must not fall during a
// partition, and has to fall after real deaths.
func TestEstimatedSizeInPartition(t *testing.T) {
	for _, configured := range []int{2, 20, 200} {
		s := startJoined(t, Config{Members: 20, Seed: 7, ConfiguredSize: configured})
		count := func(i int) int { return coreOf(t, s, i).Stats().EstimatedSize }
		if configured <= 20 && count(0) != 20 {
			t.Errorf("configured %d: %d before the cut", configured, count(0))
		}
		s.Run(5 * time.Minute)
		if n := count(0); n != 20 {
			t.Errorf("configured %d: %d after five minutes", configured, n)
		}
		s.Connected = halves(s)
		for range 50 {
			s.Run(time.Minute)
			for i := range s.Members {
				if n := count(i); n < 20 {
					t.Fatalf("configured %d, %v: member %d estimates %d of 20 during the partition",
						configured, s.Now, i, n)
				}
			}
		}
		s.Connected = nil
		waitConverged(t, s, time.Minute, nil, "after the cut")
		for i := range 6 { // fewer than a third: they count as dead after a minute
			s.Kill(i)
		}
		s.Run(4 * time.Minute)
		if n := count(19); n != 14 {
			t.Errorf("configured %d: %d four minutes after six of twenty died", configured, n)
		}
	}
}

// Members start, die, leave, restart and freeze, and the network is cut in one or both directions, in random order.
// Whatever the history, no incarnation may go back, and once the network works no live member may stay dead in a
// view and the views have to converge.
func TestRandomHistories(t *testing.T) {
	for n := range *histories {
		checkHistory(t, uint64(n))
	}
}

// history is a random history of a cluster.
type history struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand
	*Simulation
	seeds   []int
	blocked map[[2]int]bool // directions, from one member to another, in which nothing arrives
}

// checkHistory simulates a random history.
func checkHistory(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	members := 3 + rng.IntN(14)
	c := Config{
		Members: members,
		Seed:    seed,
		Latency: time.Duration(1+rng.IntN(20)) * time.Millisecond,
		Core: cluster.Config{
			ProbeInterval: time.Second,
			DeadMemberTTL: time.Duration(1+rng.IntN(10)) * time.Minute,
		},
	}
	if rng.IntN(2) == 0 {
		c.LossRate, c.DuplicateRate, c.DelayedRate, c.ExtraDelay = 0.3*rng.Float64(), 0.1, 0.1, time.Second
	}
	h := &history{t: t, seed: seed, rng: rng, Simulation: New(c), blocked: map[[2]int]bool{}}
	h.checkIncarnations()
	h.Connected = func(from, to int) bool { return !h.blocked[[2]int{from, to}] }
	h.seeds = []int{0, rng.IntN(members)}
	for i := range members {
		if rng.IntN(4) > 0 {
			h.start(i)
		}
	}
	for range 5 + rng.IntN(25) {
		h.step()
		h.Run(time.Duration(rng.IntN(40_000)) * time.Millisecond)
	}
	h.recover()
	h.checkConverged()
}

func (h *history) start(i int) { h.Start(i, h.seeds...) }

// checkIncarnations fails the test when an incarnation goes back in the view of a process.
func (h *history) checkIncarnations() {
	type viewEntry struct {
		member, incarnation, name int
	}
	latest := map[viewEntry]cluster.Incarnation{}
	h.OnTransition = func(i int, n cluster.Transition) {
		k := viewEntry{i, int(h.Members[i].incarnation), h.byName[n.Name]}
		if n.Reason == cluster.ReasonExpired || n.Reason == cluster.ReasonTableFull {
			delete(latest, k)
			return
		}
		if previous := latest[k]; n.Compare(previous) < 0 {
			h.t.Errorf("seed %d, %v: %d: %s went back from %+v to %+v (%s)",
				h.seed, h.Now, i, n.Name, previous, n.Incarnation, n.Reason)
		}
		latest[k] = n.Incarnation
	}
}

// step changes a random member or the network.
func (h *history) step() {
	i := h.rng.IntN(len(h.Members))
	switch kind := h.rng.IntN(9); {
	case kind == 5:
		h.blockSomeDirections()
	case kind == 6:
		h.partition()
	case kind == 7:
		clear(h.blocked)
	case h.Members[i].Protocol != nil:
		h.stepRunning(i, kind)
	case kind <= 3:
		h.start(i)
	}
}

// stepRunning changes a member that runs.
func (h *history) stepRunning(i, kind int) {
	switch kind {
	case 0:
		h.Kill(i)
	case 1:
		h.Leave(i)
	case 2:
		h.Kill(i)
		h.start(i)
	case 4:
		h.Freeze(i, time.Duration(h.rng.IntN(15))*time.Second)
	}
}

// blockSomeDirections blocks random pairs of members, each direction for itself.
func (h *history) blockSomeDirections() {
	for a := range h.Members {
		for b := range h.Members {
			if h.rng.IntN(3) == 0 {
				h.blocked[[2]int{a, b}] = true
			}
		}
	}
}

// partition cuts the members into three random parts.
func (h *history) partition() {
	side := make([]int, len(h.Members))
	for a := range side {
		side[a] = h.rng.IntN(3)
	}
	for a := range side {
		for b := range side {
			h.blocked[[2]int{a, b}] = side[a] != side[b]
		}
	}
}

// recover lets the network work and some members start again, a seed among them.
func (h *history) recover() {
	clear(h.blocked)
	h.config.LossRate, h.config.DelayedRate = min(h.config.LossRate, 0.05), 0
	for i, m := range h.Members {
		if m.Protocol == nil && h.rng.IntN(2) == 0 {
			h.start(i)
		}
	}
	if h.Members[0].Protocol == nil && h.Members[h.seeds[1]].Protocol == nil {
		h.start(0)
	}
}

// checkConverged fails the test if the views do not converge, or a core has rejected messages or has too many members.
func (h *history) checkConverged() {
	took := h.RunUntil(5*time.Minute, time.Second, func() bool { return h.Converged(nil) })
	if took < 0 {
		h.t.Errorf("seed %d: %s", h.seed, h.Disagreement(nil))
	}
	for _, m := range h.Members {
		if core, ok := m.Protocol.(*cluster.Core); ok {
			if stats := core.Stats(); stats.Rejected > 0 || stats.KnownMembers > len(h.Members) {
				h.t.Errorf("seed %d: %s: %+v", h.seed, m.Name, stats)
			}
		}
	}
}

func coreOf(t *testing.T, s *Simulation, i int) *cluster.Core {
	t.Helper()
	core, ok := s.Members[i].Protocol.(*cluster.Core)
	if !ok {
		t.Fatalf("member %d runs no core", i)
	}
	return core
}
