package cluster

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// newCoreWithPeers returns a Core that knows n peers and has no queued broadcasts.
func newCoreWithPeers(t testing.TB, n int) *Core {
	t.Helper()
	c, err := New(Config{
		ClusterName:   "f",
		Name:          "me",
		AdvertiseAddr: netip.MustParseAddrPort("10.9.0.1:7946"),
		ProcessID:     1,
		RandomSeed:    1,
	}, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	msg := &Message{Kind: PushPullResponse, ClusterName: "f"}
	for i := range n {
		msg.Entries = append(msg.Entries, Entry{
			Name:        fmt.Sprintf("member-%06d", i),
			Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7946),
			Incarnation: Incarnation{Generation: 1, ProcessID: uint64(i + 2)},
		})
	}
	msg.From = msg.Entries[0]
	c.Receive(0, msg)
	for c.broadcasts.len() > 0 {
		c.Tick(c.NextTick())
	}
	return c
}

// BenchmarkCore measures the handling of a received ping, and one second of a member's
// periodic work.
//
//	go test ./internal/cluster -run '^$' -bench . -benchmem
func BenchmarkCore(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 5000} {
		c := newCoreWithPeers(b, n)
		from := c.entryOf(c.peers["member-000001"])
		b.Run(fmt.Sprint("ping/", n), func(b *testing.B) {
			for i := range b.N {
				c.Receive(c.now, &Message{Kind: Ping, ClusterName: "f", From: from, Seq: uint64(i), Target: "me"})
			}
		})
		b.Run(fmt.Sprint("second/", n), func(b *testing.B) {
			for range b.N {
				for end := c.now + time.Second; c.NextTick() <= end; {
					c.Tick(c.NextTick())
					acknowledgeProbe(c)
				}
			}
		})
	}
}

// acknowledgeProbe passes an acknowledgement of the probe in progress to the core, if there
// is such a probe.
func acknowledgeProbe(c *Core) {
	if !c.probe.active {
		return
	}
	target := c.probe.target
	c.Receive(c.now, &Message{
		Kind:        Ack,
		ClusterName: "f",
		From:        c.entryOf(target),
		Seq:         c.probe.seq,
		Target:      target.Name,
	})
}

// maxBytesPerMember limits the memory that a Core uses for each known member, in bytes.
const maxBytesPerMember = 600

// The memory of a Core grows by at most maxBytesPerMember for each known member.
func TestMemoryByMembers(t *testing.T) {
	for _, n := range []int{1000, 5000} {
		before := heapBytes()
		c := newCoreWithPeers(t, n)
		perMember := (heapBytes() - before) / int64(n)
		t.Logf("%d members: %d bytes each", n, perMember)
		if perMember > maxBytesPerMember {
			t.Errorf("%d members take %d bytes each, want at most %d", n, perMember, maxBytesPerMember)
		}
		runtime.KeepAlive(c)
	}
}

// heapBytes returns the size of the live heap objects, in bytes.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
