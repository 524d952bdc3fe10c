package bootstrap

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testMembers(n int) []Member {
	var list []Member
	for i := range n {
		addr := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		list = append(list, Member{Name: fmt.Sprint("m", i), Addr: netip.AddrPortFrom(addr, 1)})
	}
	return list
}

// without returns the members except self.
func without(members []Member, self string) []Member {
	var list []Member
	for _, m := range members {
		if m.Name != self {
			list = append(list, m)
		}
	}
	return list
}

// treeDepth returns the number of steps from a member to a root. parents holds the parent of each member that follows
// another one.
func treeDepth(t *testing.T, parents map[string]string, name string) int {
	t.Helper()
	const maxDepth = 10
	depth := 0
	for at := name; parents[at] != ""; depth++ {
		at = parents[at]
		if depth > maxDepth {
			t.Fatalf("the path from %s to a root has more than %d steps", name, maxDepth)
		}
	}
	return depth
}

// Whatever the size of the cluster, exactly Roots members call the discovery service (all members if there are fewer),
// no member has more than FanOut followers, and no member is more than four steps away from a root.
func TestSelectionsFormATree(t *testing.T) {
	const roots, fanOut = 3, 16
	for _, size := range []int{1, 2, 3, 4, 20, 300, 2000} {
		t.Run(fmt.Sprint(size, " members"), func(t *testing.T) {
			members := testMembers(size)
			parents, followers, callers := map[string]string{}, map[string]int{}, 0
			for _, m := range members {
				s := New(Config{Self: m.Name, Roots: roots, FanOut: fanOut, ConfiguredSize: size}, 0)
				s.UpdateMembers(0, without(members, m.Name), true)
				switch selected := s.Select(maxJoinDelay); {
				case selected.Delay > 0:
					t.Fatalf("%s: Select at maxJoinDelay returned the delay %v, want a source", m.Name, selected.Delay)
				case selected.Discovery:
					callers++
				default:
					parents[m.Name] = selected.Peer.Name
					followers[selected.Peer.Name]++
				}
			}
			depth := 0
			for _, m := range members {
				depth = max(depth, treeDepth(t, parents, m.Name))
			}
			for name, n := range followers {
				if n > fanOut {
					t.Errorf("%s has %d followers, want at most %d", name, n, fanOut)
				}
			}
			if callers != min(size, roots) || depth > 4 {
				t.Errorf("%d members call the discovery service, want %d; the tree has %d steps, want at most 4",
					callers, min(size, roots), depth)
			}
			t.Logf("%d members call the discovery service, at most %d steps to a root", callers, depth)
		})
	}
}

// All peers and the discovery service fail while the membership view changes at random. The test checks that:
//   - a selection is a source or a delay of limited length;
//   - no member follows itself or a peer that has just failed;
//   - the member calls the discovery service at some point;
//   - the number of excluded sources is limited.
func TestSelectionsUnderAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 60).Draw(t, "size")
		members := testMembers(size)
		self := members[rapid.IntRange(0, size-1).Draw(t, "self")].Name
		s := New(Config{
			Self:           self,
			Roots:          3,
			FanOut:         4,
			MaxCallRate:    10,
			ConfiguredSize: size,
			RandomSeed:     rapid.Uint64().Draw(t, "seed"),
		}, 0)
		maxDelay := maxJoinDelay + time.Duration(size)*time.Second/10 + 1
		now := time.Duration(0)
		discoveryCalled := false
		for range 200 {
			if rapid.IntRange(0, 9).Draw(t, "view") == 0 {
				known := rapid.IntRange(0, size).Draw(t, "known")
				s.UpdateMembers(now, without(members[:known], self), known > 1)
			}
			selected := s.Select(now)
			if selected.Delay > 0 {
				if selected.Delay > maxDelay {
					t.Fatalf("Select returned a delay of %v, want at most %v", selected.Delay, maxDelay)
				}
				now += selected.Delay
				continue
			}
			if !selected.Discovery && selected.Peer.Name == self {
				t.Fatalf("Select of the member %s returned the peer %s, want another member", self, self)
			}
			if !selected.Discovery && s.exclusions.contains(now, selected.Peer.Name) {
				t.Fatalf("Select returned the peer %s, want none that is excluded after a failure", selected.Peer.Name)
			}
			discoveryCalled = discoveryCalled || selected.Discovery
			s.ReportFailure(now, selected)
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		}
		if !discoveryCalled {
			t.Fatal("none of 200 selections was the discovery service, want at least one")
		}
		if n := len(s.exclusions.sources); n > maxExclusions {
			t.Fatalf("%d sources are excluded, want at most %d", n, maxExclusions)
		}
	})
}

// Guards against a member that never calls the discovery service although it can be reached: it has reached no other
// member, or is a root, and probes the service while it waits. The service fails until a random time. The member must
// call it within the time that its random delay and the pause between two probes can take.
func TestIsolatedMemberCallsTheDiscoveryService(t *testing.T) {
	const probeInterval, callDuration = time.Second, 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 200).Draw(t, "size")
		s := New(Config{
			Self:           "m0",
			Roots:          3,
			FanOut:         4,
			MaxCallRate:    10,
			ConfiguredSize: size,
			RandomSeed:     rapid.Uint64().Draw(t, "seed"),
		}, 0)
		worksAt := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms until the service works")) * time.Millisecond
		latest := max(worksAt, maxJoinDelay) + time.Duration(size)*time.Second/10 + probeInterval + 2*callDuration
		for now := time.Duration(0); ; {
			if now > latest {
				t.Fatalf("not called by %v, want a call by %v", now, latest)
			}
			selected := s.Select(now)
			switch {
			case selected.Discovery && now >= worksAt:
				return
			case selected.Discovery:
				s.ReportFailure(now, selected)
				now += callDuration
			default:
				now += min(selected.Delay, probeInterval)
				if now >= worksAt { // the probe succeeds
					s.ReportReachable(Selection{Discovery: true})
				}
			}
		}
	})
}

// firstDiscoveryCall returns when the selector first returns the discovery service if all peers fail.
func firstDiscoveryCall(s *Selector) time.Duration {
	for now := time.Duration(0); ; {
		selected := s.Select(now)
		if selected.Delay > 0 {
			now += selected.Delay
			continue
		}
		if selected.Discovery {
			return now
		}
		s.ReportFailure(now, selected)
	}
}

// A cluster of 5,000 members starts, and either no member reaches another, or all peers fail. If all members called the
// discovery service at once, they would overload it and none would obtain a list. Together they must make about
// MaxCallRate calls per second.
func TestCallRateWithoutPeers(t *testing.T) {
	const size, rate = 5000, 50
	members := testMembers(size)
	for _, joined := range []bool{false, true} {
		callsInSecond := map[int]int{}
		for i, m := range members {
			s := New(Config{
				Self:           m.Name,
				Roots:          3,
				FanOut:         16,
				MaxCallRate:    rate,
				ConfiguredSize: size,
				RandomSeed:     uint64(i),
			}, 0)
			if joined {
				// Set directly, because UpdateMembers would sort the members 5,000 times.
				s.joined, s.order, s.rank = true, members, 1000+i%1000
			}
			callsInSecond[int(firstDiscoveryCall(s).Seconds())]++
		}
		maxCalls := 0
		for second, calls := range callsInSecond {
			if second > 0 { // the roots call within the first second
				maxCalls = max(maxCalls, calls)
			}
		}
		t.Logf("joined=%v: at most %d calls per second, all calls within %d s", joined, maxCalls, len(callsInSecond))
		if maxCalls > 2*rate {
			t.Errorf("joined=%v: %d calls in one second, want about %d and at most %d", joined, maxCalls, rate, 2*rate)
		}
	}
}

// A member switches from a working source to a better one only after minSourceTime. A member that calls the discovery
// service because its peers failed switches to a peer, and a member that becomes a root switches to the discovery
// service.
func TestShouldSwitch(t *testing.T) {
	members := testMembers(10)
	newSelector := func(self string) *Selector {
		s := New(Config{Self: self, Roots: 2, FanOut: 2, MaxCallRate: 1000, ConfiguredSize: 10}, 0)
		s.UpdateMembers(0, without(members, self), true)
		return s
	}
	var order []string
	for _, m := range newSelector("m0").order {
		order = append(order, m.Name)
	}
	s := newSelector(order[5])
	if selected := s.Select(0); selected.Delay != viewStableTime {
		t.Fatalf("Select at the start returned %+v, want a delay of %v", selected, viewStableTime)
	}
	now := maxJoinDelay
	if selected := s.Select(now); selected.Peer.Name != order[1] {
		t.Fatalf("Select at %v returned %+v, want the parent %s; the order is %s",
			now, selected, order[1], strings.Join(order, " "))
	}
	for range 3 { // the parent and two other peers fail, so that the discovery service is selected after a short delay
		s.ReportFailure(now, s.Select(now))
	}
	selected := s.Select(now)
	if selected.Delay == 0 || selected.Delay > 20*time.Millisecond {
		t.Fatalf("Select after three failures returned %+v, want a delay of at most 20 ms", selected)
	}
	now += selected.Delay
	selected = s.Select(now)
	if !selected.Discovery {
		t.Fatalf("Select after the delay returned %+v, want the discovery service", selected)
	}
	s.ReportSuccess(now, selected)
	if s.ShouldSwitch(now+minSourceTime/2, selected) {
		t.Errorf("ShouldSwitch returned true after %v, want false before %v", minSourceTime/2, minSourceTime)
	}
	if !s.ShouldSwitch(now+minSourceTime, selected) {
		t.Error("ShouldSwitch returned false for the discovery service after minSourceTime, want true")
	}
	peer := Selection{Peer: Member{Name: order[1]}}
	s.ReportSuccess(now, peer)
	s.UpdateMembers(now, nil, true)
	if !s.ShouldSwitch(now+2*minSourceTime, peer) {
		t.Error("ShouldSwitch returned false for a peer of the only member, want true")
	}
}

// Guards against a member that calls the discovery service too late: it loses its source, and each peer that it tries
// takes the time of a dial, because the membership view still lists the unreachable ones. It must call the service
// within its random delay after the loss, and not within the delay after the last dial.
func TestPeersAreTriedWithinTheDelay(t *testing.T) {
	const dialTimeout = 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(10, 600).Draw(t, "size")
		rate := rapid.IntRange(10, 200).Draw(t, "calls per second")
		s := New(Config{
			Self:           fmt.Sprint("m", rapid.IntRange(0, size-1).Draw(t, "self")),
			Roots:          3,
			FanOut:         16,
			MaxCallRate:    float64(rate),
			ConfiguredSize: size,
			RandomSeed:     rapid.Uint64().Draw(t, "seed"),
		}, 0)
		s.UpdateMembers(0, without(testMembers(size), s.cfg.Self), true)
		lostAt := time.Minute
		selected := s.Select(lostAt)
		if selected.Discovery {
			return // a root
		}
		s.ReportSuccess(lostAt, selected)
		s.ReportFailure(lostAt, selected)
		latest := lostAt + time.Duration(size)*time.Second/time.Duration(rate) + dialTimeout + 1
		for now := lostAt; ; {
			selected := s.Select(now)
			switch {
			case selected.Discovery:
				if now > latest {
					t.Fatalf("the discovery service is called %v after the loss, want at most %v",
						now-lostAt, latest-lostAt)
				}
				return
			case selected.Delay > 0:
				now += selected.Delay
			default:
				now += dialTimeout
				s.ReportFailure(now, selected)
			}
		}
	})
}
