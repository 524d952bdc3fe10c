package fleetsim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hazelwing/internal/cluster"
)

var histories = flag.Int("histories", 100, "number of random histories in TestRandomHistories")

// startJoined starts a cluster in which member 0 is the seed of all members, and waits until all members have joined.
func startJoined(t *testing.T, c Config) *Simulation {
	t.Helper()
	s := New(c)
	for i := range c.Members {
		s.Start(i, 0)
	}
	if took := s.RunUntil(30*time.Second, 100*time.Millisecond, func() bool { return s.Converged(nil) }); took < 0 {
		t.Fatalf("the members did not join within 30 s: %s", s.Disagreement(nil))
	}
	return s
}

// waitConverged runs until the views of a group have converged, and returns how long that took.
func waitConverged(t *testing.T, s *Simulation, timeout time.Duration, group Group, phase string) time.Duration {
	t.Helper()
	took := s.RunUntil(timeout, 100*time.Millisecond, func() bool { return s.Converged(group) })
	if took < 0 {
		t.Fatalf("%s: the views did not converge within %v: %s", phase, timeout, s.Disagreement(group))
	}
	return took
}

// halves returns a function for Simulation.Connected that connects only members of the same half.
func halves(s *Simulation) func(from, to int) bool {
	n := len(s.Members) / 2
	return func(from, to int) bool { return (from < n) == (to < n) }
}

// A third of the members dies at once, and half of these restart 50 ms later under the same names. The other members
// could apply the death of an earlier process to its successor. The views have to converge within a minute.
func TestDeathOfAThird(t *testing.T) {
	s := startJoined(t, Config{Members: 30, Seed: 1})
	for i := range 10 {
		s.Kill(i)
	}
	s.Run(50 * time.Millisecond)
	for i := range 5 {
		s.Start(i, 20, 21)
	}
	t.Logf("the views converged %v after the restarts", waitConverged(t, s, time.Minute, nil, "after the deaths"))
}

// In a partition, each half declares the members of the other half dead, and forgets them after a while. The cluster
// could then stay split after the network works again. The views have to converge after partitions of any length.
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
			took := waitConverged(t, s, 90*time.Second, nil, "after the partition")
			t.Logf("the views converged %v after the partition", took)
		})
	}
}

// A process stalls right after it has sent a probe and continues seconds later. When it continues, it could suspect the
// probed member, although the answer arrived during the stall. The stalled member must not suspect any member, and must
// refute suspicions of itself. Without Lifeguard it does suspect members, which shows that the test can detect the
// failure.
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
			// The member stalls right after the first datagram of a probe.
			s.OnSend = func(i int, a cluster.Action) {
				if i == 4 && a.Message.Kind == cluster.Ping {
					s.Freeze(4, 5*time.Second)
					s.OnSend = nil
				}
			}
			s.RunUntil(20*time.Second, 10*time.Millisecond, func() bool { return s.OnSend == nil })
			s.Run(5 * time.Second)
			waitConverged(t, s, time.Minute, nil, "after the stall")
		}
		return count
	}
	if n := suspicions(false); n > 0 {
		t.Errorf("with Lifeguard, the stalled member suspected others %d times, want 0", n)
	}
	if suspicions(true) == 0 {
		t.Error("without Lifeguard, the stalled member suspected no other member: the test cannot detect the failure")
	}
}

// One member leaves while it is suspected, another one during a partition. Other members could see them as dead or as
// still alive. All members have to see the first one as left, and after the partition the views have to converge.
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
				t.Errorf("%s sees m0003, which left while it was suspected, as %v, want %v",
					m.Name, x.State, cluster.Left)
			}
		}
	}
	s.Connected = halves(s)
	s.Leave(4)
	s.Run(3 * time.Minute)
	s.Connected = nil
	waitConverged(t, s, 90*time.Second, nil, "after the partition")
}

// For a minute, ten members join and ten die per second. Updates about the same member could overtake each other. After
// the minute the views have to converge.
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
			case i < 2: // the seeds keep running
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
	took := waitConverged(t, s, 2*time.Minute, nil, "after the churn")
	t.Logf("the views converged %v after the churn", took)
}

// The members' clocks differ by minutes, and one member restarts with a clock that is far behind. A protocol that
// compared times of different members would suspect members wrongly. Joins and deaths have to be detected as usual.
func TestClocksDiffer(t *testing.T) {
	s := New(Config{Members: 12, Seed: 6})
	for i, m := range s.Members {
		m.ClockOffset = time.Duration(i) * 7 * time.Minute
		s.Start(i, 0)
	}
	waitConverged(t, s, 30*time.Second, nil, "with different clocks")
	s.Kill(3)
	s.Members[3].ClockOffset = 0 // its clock is now 21 minutes behind its former one
	s.Start(3, 1)
	waitConverged(t, s, 30*time.Second, nil, "after a restart with a clock far behind")
	s.Kill(4)
	waitConverged(t, s, 90*time.Second, nil, "after a death")
}

// The configured size is right, or ten times too low or too high, and a partition isolates half of the members. If the
// estimated size followed the reachable members, it would fall during a partition, and the load on the rest would rise.
// The estimate has to equal the real size: at once if the configured size is not above it, otherwise within minutes. It
// must not fall during a partition, and has to fall after real deaths.
func TestEstimatedSizeInPartition(t *testing.T) {
	for _, configured := range []int{2, 20, 200} {
		s := startJoined(t, Config{Members: 20, Seed: 7, ConfiguredSize: configured})
		estimate := func(i int) int { return coreOf(t, s, i).Stats().EstimatedSize }
		if configured <= 20 && estimate(0) != 20 {
			t.Errorf("configured size %d: estimate %d after the join, want 20", configured, estimate(0))
		}
		s.Run(5 * time.Minute)
		if n := estimate(0); n != 20 {
			t.Errorf("configured size %d: estimate %d after five minutes, want 20", configured, n)
		}
		s.Connected = halves(s)
		for range 50 {
			s.Run(time.Minute)
			for i := range s.Members {
				if n := estimate(i); n < 20 {
					t.Fatalf("configured size %d, %v: member %d estimates %d during the partition, want at least 20",
						configured, s.Now, i, n)
				}
			}
		}
		s.Connected = nil
		waitConverged(t, s, time.Minute, nil, "after the partition")
		for i := range 6 { // fewer than a third of the members, so the estimate falls after a minute
			s.Kill(i)
		}
		s.Run(4 * time.Minute)
		if n := estimate(19); n != 14 {
			t.Errorf("configured size %d: estimate %d four minutes after 6 of 20 members died, want 14", configured, n)
		}
	}
}

// Members start, die, leave, restart and freeze, and network links fail in one or both directions, in random order. In
// any such history, the incarnation of a member must never decrease in a view, and the views have to converge once the
// network works again.
func TestRandomHistories(t *testing.T) {
	for n := range *histories {
		checkHistory(t, uint64(n))
	}
}

// history is a random sequence of changes of a cluster and its network.
type history struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand
	*Simulation
	seeds   []int
	blocked map[[2]int]bool // pairs of members; messages from the first to the second are lost
}

// checkHistory simulates one random history and checks it.
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

// checkIncarnations fails the test when the incarnation of a member decreases in the view of a process.
func (h *history) checkIncarnations() {
	// viewEntry identifies the entry of a member in the view of one process of another member (the viewer).
	type viewEntry struct {
		viewer, viewerIncarnation, member int
	}
	latest := map[viewEntry]cluster.Incarnation{}
	h.OnTransition = func(i int, n cluster.Transition) {
		k := viewEntry{i, int(h.Members[i].incarnation), h.byName[n.Name]}
		if n.Reason == cluster.ReasonExpired || n.Reason == cluster.ReasonTableFull {
			delete(latest, k)
			return
		}
		if previous := latest[k]; n.Compare(previous) < 0 {
			h.t.Errorf("seed %d, %v: in the view of member %d, the incarnation of %s decreased from %+v to %+v (%s)",
				h.seed, h.Now, i, n.Name, previous, n.Incarnation, n.Reason)
		}
		latest[k] = n.Incarnation
	}
}

// step makes one random change to a member or to the network, or none.
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

// stepRunning makes a change to a running member.
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

// blockSomeDirections blocks random pairs of members, each direction independently.
func (h *history) blockSomeDirections() {
	for a := range h.Members {
		for b := range h.Members {
			if h.rng.IntN(3) == 0 {
				h.blocked[[2]int{a, b}] = true
			}
		}
	}
}

// partition splits the members into three random groups that cannot reach each other.
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

// recover unblocks all links, lowers the loss rate to at most 0.05 and ends the extra delay of datagrams. It starts
// some of the stopped members, and at least one seed if none runs.
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

// checkConverged fails the test if the views do not converge, or if a core has rejected messages or knows more members
// than there are.
func (h *history) checkConverged() {
	took := h.RunUntil(5*time.Minute, time.Second, func() bool { return h.Converged(nil) })
	if took < 0 {
		h.t.Errorf("seed %d: the views did not converge within 5 minutes: %s", h.seed, h.Disagreement(nil))
	}
	for _, m := range h.Members {
		if core, ok := m.Protocol.(*cluster.Core); ok {
			stats := core.Stats()
			if stats.Rejected > 0 {
				h.t.Errorf("seed %d: %s rejected %d messages, want 0", h.seed, m.Name, stats.Rejected)
			}
			if stats.KnownMembers > len(h.Members) {
				h.t.Errorf("seed %d: %s knows %d members, want at most %d",
					h.seed, m.Name, stats.KnownMembers, len(h.Members))
			}
		}
	}
}

func coreOf(t *testing.T, s *Simulation, i int) *cluster.Core {
	t.Helper()
	core, ok := s.Members[i].Protocol.(*cluster.Core)
	if !ok {
		t.Fatalf("member %d runs a %T, want a *cluster.Core", i, s.Members[i].Protocol)
	}
	return core
}
