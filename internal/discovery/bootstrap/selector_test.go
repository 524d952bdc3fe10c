package bootstrap

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func members(n int) (list []Member) {
	for i := range n {
		list = append(list, Member{Name: fmt.Sprint("m", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)})
	}
	return list
}

func others(all []Member, self string) (list []Member) {
	for _, m := range all {
		if m.Name != self {
			list = append(list, m)
		}
	}
	return list
}

// However large the fleet, Ask members ask discovery, nobody is followed by more than Fan, and all others come to one that asks
// in few steps.
func TestTree(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 20, 300, 2000} {
		all := members(n)
		parent, asks, fan := map[string]string{}, 0, map[string]int{}
		for _, m := range all {
			a := New(Config{Self: m.Name, Roots: 3, FanOut: 16, ConfiguredSize: n}, 0)
			a.UpdateMembers(0, others(all, m.Name), true)
			switch c := a.Select(joinWait); {
			case c.Delay > 0:
				t.Fatalf("%d members: %s waits", n, m.Name)
			case c.Discovery:
				asks++
			default:
				parent[m.Name] = c.Peer.Name
				fan[c.Peer.Name]++
			}
		}
		deep := 0
		for _, m := range all {
			d, at := 0, m.Name
			for parent[at] != "" {
				if at = parent[at]; d > 10 {
					t.Fatalf("%d members: %s follows in a circle", n, m.Name)
				}
				d++
			}
			deep = max(deep, d)
		}
		for name, k := range fan {
			if k > 16 {
				t.Errorf("%d members: %d follow %s", n, k, name)
			}
		}
		if asks != min(n, 3) || deep > 4 {
			t.Errorf("%d members: %d ask, %d steps", n, asks, deep)
		}
		t.Logf("%d members: %d ask, %d steps at most", n, asks, deep)
	}
}

// Whatever fails, a choice is a source or a wait that ends, nobody follows itself or one that failed just now, and who never
// hears anything asks discovery in the end; calls of a fleet that has nobody to follow are spread.
func TestAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "n")
		all := members(n)
		self := all[rapid.IntRange(0, n-1).Draw(t, "self")].Name
		a := New(Config{Self: self, Roots: 3, FanOut: 4, MaxCallRate: 10, ConfiguredSize: n, RandomSeed: rapid.Uint64().Draw(t, "seed")}, 0)
		now := time.Duration(0)
		discovery := false
		for range 200 {
			if rapid.IntRange(0, 9).Draw(t, "view") == 0 {
				k := rapid.IntRange(0, n).Draw(t, "known")
				a.UpdateMembers(now, others(all[:k], self), k > 1)
			}
			c := a.Select(now)
			if c.Delay > 0 {
				if c.Delay > joinWait+time.Duration(n)*time.Second/10+1 {
					t.Fatalf("it waits for %v", c.Delay)
				}
				now += c.Delay
				continue
			}
			if !c.Discovery && c.Peer.Name == self {
				t.Fatal("it follows itself")
			}
			if !c.Discovery && a.banned(now, c.Peer.Name) {
				t.Fatalf("it follows %s, which failed", c.Peer.Name)
			}
			discovery = discovery || c.Discovery
			a.ReportFailure(now, c)
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		}
		if !discovery {
			t.Fatal("discovery was never asked")
		}
		if len(a.bans) > mostBans {
			t.Fatal("bans without a bound")
		}
	})
}

// A fleet of 5,000 that starts and hears nobody, and one whose every peer fails, call discovery Rate times a second.
func TestCallsForWantOfPeers(t *testing.T) {
	const n, rate = 5000, 50
	all := members(n)
	for _, joined := range []bool{false, true} {
		seconds := map[int]int{}
		for i, m := range all {
			a := New(Config{Self: m.Name, Roots: 3, FanOut: 16, MaxCallRate: rate, ConfiguredSize: n, RandomSeed: uint64(i)}, 0)
			if joined {
				a.joined, a.order, a.rank = true, all, 1000+i%1000 // as View leaves them, without sorting 5,000 times
			}
			for now := time.Duration(0); ; {
				c := a.Select(now)
				if c.Delay > 0 {
					now += c.Delay
					continue
				}
				if c.Discovery {
					seconds[int(now.Seconds())]++
					break
				}
				a.ReportFailure(now, c)
			}
		}
		most := 0
		for s, k := range seconds {
			if s > 0 { // those that are to ask do so at once
				most = max(most, k)
			}
		}
		t.Logf("joined %v: %d calls in a second at most, %d s", joined, most, len(seconds))
		if most > 2*rate {
			t.Errorf("joined %v: %d calls in one second, %d are meant", joined, most, rate)
		}
	}
}

// Roles move late: who asks for want of a peer goes back to one after settle, and one whose rank falls begins to ask.
func TestBetter(t *testing.T) {
	all := members(10)
	a := New(Config{Self: "m0", Roots: 2, FanOut: 2, MaxCallRate: 1000, ConfiguredSize: 10}, 0)
	a.UpdateMembers(0, others(all, "m0"), true)
	var order []string
	for _, m := range a.order {
		order = append(order, m.Name)
	}
	self := order[5]
	a = New(Config{Self: self, Roots: 2, FanOut: 2, MaxCallRate: 1000, ConfiguredSize: 10}, 0)
	a.UpdateMembers(0, others(all, self), true)
	if c := a.Select(0); c.Delay != calm {
		t.Fatalf("at the start: %+v", c)
	}
	now := joinWait
	if c := a.Select(now); c.Peer.Name != order[1] {
		t.Fatalf("%+v in %s: want %s", c, strings.Join(order, " "), order[1])
	}
	for range 3 { // the parent and two more fail: discovery, soon
		a.ReportFailure(now, a.Select(now))
	}
	c := a.Select(now)
	if c.Delay == 0 || c.Delay > 20*time.Millisecond {
		t.Fatalf("%+v", c)
	}
	now += c.Delay
	if c = a.Select(now); !c.Discovery {
		t.Fatalf("%+v", c)
	}
	a.ReportSuccess(now, c)
	if a.ShouldSwitch(now+settle/2, c) || !a.ShouldSwitch(now+settle, c) {
		t.Error("it goes back to a peer after settle, and not before")
	}
	p := Selection{Peer: Member{Name: order[1]}}
	a.ReportSuccess(now, p)
	a.UpdateMembers(now, nil, true)
	if !a.ShouldSwitch(now+2*settle, p) {
		t.Error("alone, it does not begin to ask")
	}
}
