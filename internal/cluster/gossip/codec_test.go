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

var anyAddr = rapid.Custom(func(t *rapid.T) netip.AddrPort {
	if rapid.Bool().Draw(t, "v6") {
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "addr"))).Unmap(), rapid.Uint16().Draw(t, "port"))
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "addr"))), rapid.Uint16().Draw(t, "port"))
})

var anyEntry = rapid.Custom(func(t *rapid.T) cluster.Entry {
	return cluster.Entry{Name: rapid.String().Draw(t, "name"), Addr: anyAddr.Draw(t, "at"), State: cluster.State(rapid.IntRange(0, 3).Draw(t, "state")),
		Incarnation: cluster.Incarnation{Generation: rapid.Uint64().Draw(t, "life"), ProcessID: rapid.Uint64().Draw(t, "run"), Refutations: rapid.Uint64().Draw(t, "inc")},
		ReportedBy:  rapid.String().Draw(t, "by"), Age: time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "age")) * time.Millisecond}
})

// What is written is read, and a frame with any one byte changed, or cut anywhere, is told from it.
func TestFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &cluster.Message{Kind: cluster.Kind(rapid.IntRange(0, 7).Draw(t, "kind")), ClusterName: rapid.String().Draw(t, "fleet"), From: anyEntry.Draw(t, "from"),
			Seq: rapid.Uint64().Draw(t, "seq"), Target: rapid.String().Draw(t, "target"), TargetAddr: anyAddr.Draw(t, "at"),
			Entries: rapid.SliceOfN(anyEntry, 1, 5).Draw(t, "entries"), Digest: rapid.SliceOfN(rapid.Uint64(), 1, 64).Draw(t, "digest"),
			Notices:    []cluster.EndpointNotice{{Endpoint: rapid.String().Draw(t, "server"), Removed: rapid.Bool().Draw(t, "gone"), StartedMS: 7, ReportedBy: "b", Age: time.Second}},
			BucketMask: rapid.Uint64().Draw(t, "buckets"), Join: rapid.Bool().Draw(t, "join")}
		if stamped(m.Kind) { // these have no digest, and may have a stamp in its place
			m.Digest, m.ConfigEpoch = nil, rapid.Uint64().Draw(t, "epoch")
			if m.ConfigEpoch > 0 {
				m.ConfigVersion = rapid.Uint64().Draw(t, "number")
			}
		}
		frame, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(frame)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%v:\n%+v\n%+v", err, got, m)
		}
		i := rapid.IntRange(0, len(frame)-1).Draw(t, "byte")
		if _, err := Decode(frame[:i]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("cut at %d: %v", i, err)
		}
		frame[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
		if _, err := Decode(frame); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnsupportedVersion) {
			t.Fatalf("byte %d changed: %v", i, err)
		}
	})
}

// FuzzDecode: whatever comes is a message or an error.
func FuzzDecode(f *testing.F) {
	frame, _ := Encode(&cluster.Message{Kind: cluster.PushPullResponse, ClusterName: "f", From: cluster.Entry{Name: "a"}, Entries: make([]cluster.Entry, 3)})
	f.Add(frame)
	f.Fuzz(func(t *testing.T, frame []byte) {
		if m, err := Decode(frame); (m == nil) == (err == nil) {
			t.Fatalf("%v, %v", m, err)
		}
	})
}

// Every datagram stays within its size, also with the longest names, addresses and numbers.
func TestDatagramsFit(t *testing.T) {
	long := func(c string, n int) string {
		return fmt.Sprintf("%s%0*d", strings.Repeat(c, cluster.MaxNameLength-8), 8, n)
	}
	at := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte{0x20, 1, 13: byte(n >> 16), byte(n >> 8), byte(n)}), 65535)
	}
	c, err := cluster.New(cluster.Config{ClusterName: strings.Repeat("f", cluster.MaxClusterNameLength), Name: long("a", 0), AdvertiseAddr: at(0), ProcessID: 1 << 63, Seeds: []netip.AddrPort{at(9)}}, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	big := cluster.Incarnation{Generation: cluster.MaxCounter - 5, ProcessID: 1<<64 - 1, Refutations: cluster.MaxCounter - 5}
	kinds, largest := map[cluster.Kind]int{}, 0
	look := func(list []cluster.Action) {
		for _, a := range list {
			if a.Kind != cluster.SendMessage || a.Stream {
				continue
			}
			a.Message.ConfigEpoch, a.Message.ConfigVersion = 1<<64-1, 1<<64-1
			frame, err := Encode(a.Message)
			if err != nil || len(frame) > datagramMost {
				t.Fatalf("kind %d: %d bytes, %v", a.Message.Kind, len(frame), err)
			}
			kinds[a.Message.Kind]++
			largest = max(largest, len(frame))
		}
	}
	now := time.Duration(0)
	for n := 1; n < 200; n++ {
		from := cluster.Entry{Name: long("b", n), Addr: at(n), Incarnation: big}
		m := &cluster.Message{ClusterName: strings.Repeat("f", cluster.MaxClusterNameLength), From: from, Seq: 1<<64 - 1, Target: long("a", 0), Kind: cluster.Ping}
		if n%3 == 0 {
			m.Kind, m.Target, m.TargetAddr = cluster.PingReq, long("b", n-1), at(n-1)
		}
		if n%5 == 0 {
			m.Entries = []cluster.Entry{{Name: long("b", n-1), Addr: at(n - 1), Incarnation: big, State: cluster.Suspect, ReportedBy: long("b", n)}}
		}
		m.Notices = []cluster.EndpointNotice{{Endpoint: long("s", n), StartedMS: 1.7e12 + 0.1, ReportedBy: long("b", n), Age: 20 * time.Second}}
		look(c.Receive(now, m))
		now += 100 * time.Millisecond
		for c.NextTick() <= now {
			look(c.Tick(max(c.NextTick(), now-100*time.Millisecond)))
		}
	}
	for _, k := range []cluster.Kind{cluster.Ping, cluster.Ack, cluster.Nack, cluster.PingReq, cluster.Gossip} {
		if kinds[k] == 0 {
			t.Errorf("no datagram of kind %d was seen", k)
		}
	}
	t.Logf("the largest has %d bytes", largest)
}
