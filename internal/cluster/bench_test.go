package cluster

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// grown is a member that knows n others.
func grown(t testing.TB, n int) *Core {
	c, err := New(Config{ClusterName: "f", Name: "me", AdvertiseAddr: netip.MustParseAddrPort("10.9.0.1:7946"), ProcessID: 1, RandomSeed: 1}, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := &Message{Kind: PushPullResponse, ClusterName: "f"}
	for i := range n {
		m.Entries = append(m.Entries, Entry{Name: fmt.Sprintf("member-%06d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946),
			Incarnation: Incarnation{Generation: 1, ProcessID: uint64(i + 2)}})
	}
	m.From = m.Entries[0]
	c.Receive(0, m)
	for c.spread.len() > 0 {
		c.Tick(c.NextTick())
	}
	return c
}

// What Handle costs: a probe of another's, and a second of a member's own time.
//
//	go test ./internal/cluster -run '^$' -bench . -benchmem
func BenchmarkCore(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		c := grown(b, n)
		from := c.entry(c.members["member-000001"])
		b.Run(fmt.Sprint("ping/", n), func(b *testing.B) {
			for i := range b.N {
				c.Receive(c.now, &Message{Kind: Ping, ClusterName: "f", From: from, Seq: uint64(i), Target: "me"})
			}
		})
		b.Run(fmt.Sprint("second/", n), func(b *testing.B) {
			for range b.N {
				for end := c.now + time.Second; c.NextTick() <= end; {
					c.Tick(c.NextTick())
					if p := &c.probe; p.on { // it is answered
						x := p.of
						c.Receive(c.now, &Message{Kind: Ack, ClusterName: "f", From: c.entry(x), Seq: p.seq, Target: x.Name})
					}
				}
			}
		})
	}
}

// mostMemory is what a member that is known may take, in bytes.
const mostMemory = 600

// Memory grows with the fleet, by a stated amount for each member.
func TestMemoryByMembers(t *testing.T) {
	heap := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, n := range []int{1000, 5000} {
		before := heap()
		c := grown(t, n)
		took := (heap() - before) / int64(n)
		t.Logf("%d members: %d bytes each", n, took)
		if took > mostMemory {
			t.Errorf("%d members take %d bytes each, at most %d are meant", n, took, mostMemory)
		}
		runtime.KeepAlive(c)
	}
}
