package gossip

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hazelwing/internal/cluster"
)

// anyAddr generates IPv4 and IPv6 addresses with ports.
func anyAddr() *rapid.Generator[netip.AddrPort] {
	return rapid.Custom(func(t *rapid.T) netip.AddrPort {
		if rapid.Bool().Draw(t, "is IPv6") {
			addr := netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "address")))
			return netip.AddrPortFrom(addr.Unmap(), rapid.Uint16().Draw(t, "port"))
		}
		addr := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address")))
		return netip.AddrPortFrom(addr, rapid.Uint16().Draw(t, "port"))
	})
}

func anyEntry() *rapid.Generator[cluster.Entry] {
	return rapid.Custom(func(t *rapid.T) cluster.Entry {
		return cluster.Entry{
			Name:  rapid.String().Draw(t, "name"),
			Addr:  anyAddr().Draw(t, "address"),
			State: cluster.State(rapid.IntRange(0, 3).Draw(t, "state")),
			Incarnation: cluster.Incarnation{
				Generation:  rapid.Uint64().Draw(t, "generation"),
				ProcessID:   rapid.Uint64().Draw(t, "process ID"),
				Refutations: rapid.Uint64().Draw(t, "refutations"),
			},
			ReportedBy: rapid.String().Draw(t, "reported by"),
			Age:        time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "age")) * time.Millisecond,
		}
	})
}

func anyMessage() *rapid.Generator[*cluster.Message] {
	return rapid.Custom(func(t *rapid.T) *cluster.Message {
		m := &cluster.Message{
			Kind:        cluster.Kind(rapid.IntRange(0, 7).Draw(t, "kind")),
			ClusterName: rapid.String().Draw(t, "cluster"),
			From:        anyEntry().Draw(t, "from"),
			Seq:         rapid.Uint64().Draw(t, "sequence number"),
			Target:      rapid.String().Draw(t, "target"),
			TargetAddr:  anyAddr().Draw(t, "target address"),
			Entries:     rapid.SliceOfN(anyEntry(), 1, 5).Draw(t, "entries"),
			Digest:      rapid.SliceOfN(rapid.Uint64(), 1, 64).Draw(t, "digest"),
			Notices: []cluster.EndpointNotice{{
				Endpoint:   rapid.String().Draw(t, "endpoint"),
				Removed:    rapid.Bool().Draw(t, "removed"),
				StartedMS:  7,
				ReportedBy: "b",
				Age:        time.Second,
			}},
			BucketMask: rapid.Uint64().Draw(t, "buckets"),
			Join:       rapid.Bool().Draw(t, "join"),
		}
		if carriesRevision(m.Kind) { // Such a message has a revision in place of a digest.
			m.Digest = nil
			m.ConfigEpoch = rapid.Uint64().Draw(t, "epoch")
			if m.ConfigEpoch > 0 {
				m.ConfigVersion = rapid.Uint64().Draw(t, "version")
			}
		}
		return m
	})
}

// Decode returns the message that was encoded, and rejects a frame that is truncated or
// has one changed byte.
func TestFrameRoundTripAndDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := anyMessage().Draw(t, "message")
		frame, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(frame)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("Decode returned error %v and message\n%+v, want no error and message\n%+v", err, got, m)
		}
		i := rapid.IntRange(0, len(frame)-1).Draw(t, "byte")
		if _, err := Decode(frame[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("Decode of the first %d bytes returned error %v, want %v", i, err, ErrCorrupt)
		}
		frame[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		if _, err := Decode(frame); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnsupportedVersion) {
			t.Fatalf("Decode of a frame with byte %d changed returned error %v, want %v or %v",
				i, err, ErrCorrupt, ErrUnsupportedVersion)
		}
	})
}

// FuzzDecode checks that Decode returns either a message or an error.
func FuzzDecode(f *testing.F) {
	frame, _ := Encode(&cluster.Message{
		Kind:        cluster.PushPullResponse,
		ClusterName: "f",
		From:        cluster.Entry{Name: "a"},
		Entries:     make([]cluster.Entry, 3),
	})
	f.Add(frame)
	f.Fuzz(func(t *testing.T, frame []byte) {
		if m, err := Decode(frame); (m == nil) == (err == nil) {
			t.Fatalf("Decode returned message %+v and error %v, want exactly one of them", m, err)
		}
	})
}

// longName returns a name of the maximum length: repetitions of fill, which is one character, and n in eight digits.
func longName(fill string, n int) string {
	return fmt.Sprintf("%s%0*d", strings.Repeat(fill, cluster.MaxNameLength-8), 8, n)
}

// longAddr returns an IPv6 address that ends with n, with the highest port.
func longAddr(n int) netip.AddrPort {
	addr := netip.AddrFrom16([16]byte{0x20, 1, 13: byte(n >> 16), byte(n >> 8), byte(n)})
	return netip.AddrPortFrom(addr, 65535)
}

// largeIncarnation returns an incarnation with the longest encoding that a member accepts.
func largeIncarnation() cluster.Incarnation {
	return cluster.Incarnation{
		Generation:  cluster.MaxCounter - 5,
		ProcessID:   1<<64 - 1,
		Refutations: cluster.MaxCounter - 5,
	}
}

// largeMessage returns a message from the member longName("b", n) to the member longName("a", 0), with the longest
// names, addresses and numbers. The kind is PingReq if n is a multiple of 3, and Ping otherwise.
func largeMessage(n int) *cluster.Message {
	m := &cluster.Message{
		ClusterName: strings.Repeat("f", cluster.MaxClusterNameLength),
		From:        cluster.Entry{Name: longName("b", n), Addr: longAddr(n), Incarnation: largeIncarnation()},
		Seq:         1<<64 - 1,
		Target:      longName("a", 0),
		Kind:        cluster.Ping,
	}
	if n%3 == 0 {
		m.Kind = cluster.PingReq
		m.Target, m.TargetAddr = longName("b", n-1), longAddr(n-1)
	}
	if n%5 == 0 {
		m.Entries = []cluster.Entry{{
			Name:        longName("b", n-1),
			Addr:        longAddr(n - 1),
			Incarnation: largeIncarnation(),
			State:       cluster.Suspect,
			ReportedBy:  longName("b", n),
		}}
	}
	m.Notices = []cluster.EndpointNotice{{
		Endpoint:   longName("s", n),
		StartedMS:  1.7e12 + 0.1,
		ReportedBy: longName("b", n),
		Age:        20 * time.Second,
	}}
	return m
}

// No datagram exceeds maxDatagramBytes, even with the longest names, addresses and numbers.
func TestDatagramsFit(t *testing.T) {
	core, err := cluster.New(cluster.Config{
		ClusterName:   strings.Repeat("f", cluster.MaxClusterNameLength),
		Name:          longName("a", 0),
		AdvertiseAddr: longAddr(0),
		ProcessID:     1 << 63,
		Seeds:         []netip.AddrPort{longAddr(9)},
	}, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	kinds, largest := map[cluster.Kind]int{}, 0
	check := func(actions []cluster.Action) {
		for _, a := range actions {
			if a.Kind != cluster.SendMessage || a.Stream {
				continue
			}
			a.Message.ConfigEpoch, a.Message.ConfigVersion = 1<<64-1, 1<<64-1
			frame, err := Encode(a.Message)
			if err != nil {
				t.Fatalf("Encode of a message of kind %d returned error %v, want none", a.Message.Kind, err)
			}
			if len(frame) > maxDatagramBytes {
				t.Fatalf("a datagram of kind %d has %d bytes, want at most %d",
					a.Message.Kind, len(frame), maxDatagramBytes)
			}
			kinds[a.Message.Kind]++
			largest = max(largest, len(frame))
		}
	}
	now := time.Duration(0)
	for n := 1; n < 200; n++ {
		check(core.Receive(now, largeMessage(n)))
		now += 100 * time.Millisecond
		for core.NextTick() <= now {
			check(core.Tick(max(core.NextTick(), now-100*time.Millisecond)))
		}
	}
	for _, k := range []cluster.Kind{cluster.Ping, cluster.Ack, cluster.Nack, cluster.PingReq, cluster.Gossip} {
		if kinds[k] == 0 {
			t.Errorf("the core sent no datagram of kind %d, want at least one", k)
		}
	}
	t.Logf("the largest datagram has %d bytes", largest)
}
