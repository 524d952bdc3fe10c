package cluster

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// hostileNames are names at and beyond the limits, and those of a few members and endpoints.
var hostileNames = []string{
	"a", "b", "c", "d", "", strings.Repeat("n", MaxNameLength),
	strings.Repeat("n", MaxNameLength+1), strings.Repeat("n", 2000),
}

// hostileCounters are counters at and beyond the limits.
var hostileCounters = []uint64{0, 1, 2, MaxCounter - 1, MaxCounter, MaxCounter + 1, math.MaxUint64}

// hostileAddress returns an address for a name of any length.
func hostileAddress(name string) Address {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(name))}), 7946)
}

func drawEntry(t *rapid.T, state State) Entry {
	name := rapid.SampledFrom(hostileNames).Draw(t, "name")
	return Entry{
		Name: name,
		Addr: hostileAddress(name),
		Incarnation: Incarnation{
			Generation:  rapid.SampledFrom(hostileCounters).Draw(t, "generation"),
			ProcessID:   rapid.SampledFrom([]uint64{100, 200}).Draw(t, "process"),
			Refutations: rapid.SampledFrom(hostileCounters).Draw(t, "refutations"),
		},
		State:      state,
		ReportedBy: rapid.SampledFrom(hostileNames).Draw(t, "reported by"),
		Age:        time.Duration(rapid.IntRange(-1, 2).Draw(t, "age")) * time.Second,
	}
}

func drawNotice(t *rapid.T) EndpointNotice {
	return EndpointNotice{
		Endpoint:   rapid.SampledFrom(hostileNames).Draw(t, "endpoint"),
		Removed:    rapid.Bool().Draw(t, "removed"),
		StartedMS:  rapid.SampledFrom([]float64{0, 5, -1, math.NaN(), math.Inf(1), math.MaxFloat64}).Draw(t, "started"),
		ReportedBy: rapid.SampledFrom(hostileNames).Draw(t, "reported by"),
		Age:        time.Duration(rapid.IntRange(-1, 2).Draw(t, "age")) * time.Second,
	}
}

func drawMessage(t *rapid.T) *Message {
	m := &Message{
		Kind:        Kind(rapid.IntRange(0, int(numKinds)).Draw(t, "kind")),
		ClusterName: "f",
		From:        drawEntry(t, rapid.SampledFrom([]State{Alive, Alive, Left}).Draw(t, "sender's state")),
		Target:      rapid.SampledFrom(hostileNames).Draw(t, "target"),
	}
	m.TargetAddr = hostileAddress(m.Target)
	for range rapid.IntRange(0, 4).Draw(t, "entries") {
		m.Entries = append(m.Entries, drawEntry(t, State(rapid.IntRange(0, int(Left)+1).Draw(t, "state"))))
	}
	for range rapid.IntRange(0, 2).Draw(t, "notices") {
		m.Notices = append(m.Notices, drawNotice(t))
	}
	return m
}

// checkSent fails the test unless another member of this version accepts the whole message, and a datagram has at most
// MaxDatagramBytes.
func checkSent(t *rapid.T, receiver *Core, a Action) {
	m := a.Message
	if !receiver.isValidMessage(m) {
		t.Fatalf("a message is sent that others reject: kind %v, from %+v", m.Kind, m.From)
	}
	size := headerBytes
	for i := range m.Entries {
		size += encodedEntryBytes(&m.Entries[i])
		if !receiver.isValidEntry(&m.Entries[i]) {
			t.Fatalf("an entry is sent that others reject: %+v", m.Entries[i])
		}
	}
	for i := range m.Notices {
		n := m.Notices[i]
		size += noticeBytes + len(n.Endpoint) + len(n.ReportedBy)
		if !receiver.isValidNotice(&n) {
			t.Fatalf("a notice is sent that others reject: %+v", n)
		}
	}
	if size > receiver.cfg.MaxDatagramBytes && !a.Stream {
		t.Fatalf("a datagram has up to %d bytes, want at most %d", size, receiver.cfg.MaxDatagramBytes)
	}
}

// Guards against a member that all others ignore, or that spreads nothing more: a hostile peer made it raise a counter
// beyond the limit, or gave it a notice that fits in no datagram, so that the notices behind it waited.
// The member receives random messages, with values at and beyond all limits. Others accept each message that it sends,
// and a notice of its own is sent soon after.
func TestSentMessagesAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		member := func(name string, process uint64) *Core {
			c, err := New(Config{
				ClusterName:   "f",
				Name:          name,
				AdvertiseAddr: hostileAddress(name),
				ProcessID:     process,
			}, 0, 3)
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		c, receiver := member("a", 100), member("e", 500)
		now := time.Duration(0)
		check := func(actions []Action) (notices []string) {
			for _, a := range actions {
				if a.Kind != SendMessage {
					continue
				}
				checkSent(t, receiver, a)
				for _, n := range a.Message.Notices {
					notices = append(notices, n.Endpoint)
				}
			}
			return notices
		}
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause in ms")) * time.Millisecond
			check(c.Tick(now))
			check(c.Receive(now, drawMessage(t)))
		}
		alive := Entry{Name: "z", Addr: hostileAddress("z"), Incarnation: Incarnation{Generation: 1, ProcessID: 9}}
		check(c.Receive(now, &Message{Kind: Gossip, ClusterName: "f", From: alive}))
		check(c.Announce(now, EndpointNotice{Endpoint: "own"}))
		for end := now + 2*time.Second; now < end; now += c.cfg.GossipInterval {
			for _, endpoint := range check(c.Tick(now)) {
				if endpoint == "own" {
					return
				}
			}
		}
		t.Fatal("the member's own notice was not sent within 2 s")
	})
}

// Guards against a member that all others ignore: at the highest counter, a suspicion cannot be refuted with a higher
// one. The member takes the next generation instead.
func TestRefutationAtTheLimitOfTheCounter(t *testing.T) {
	for _, state := range []State{Suspect, Dead} {
		c, err := New(Config{ClusterName: "f", Name: "a", AdvertiseAddr: hostileAddress("a"), ProcessID: 100}, 0, 2)
		if err != nil {
			t.Fatal(err)
		}
		suspicion := c.self
		suspicion.State, suspicion.Refutations, suspicion.ReportedBy = state, MaxCounter, "b"
		from := Entry{Name: "b", Addr: hostileAddress("b"), Incarnation: Incarnation{Generation: 1, ProcessID: 200}}
		c.Receive(0, &Message{Kind: Gossip, ClusterName: "f", From: from, Entries: []Entry{suspicion}})
		want := Incarnation{Generation: 2, ProcessID: 100}
		if c.self.Incarnation != want || !c.isValidEntry(&c.self) {
			t.Errorf("%v with the highest counter: the member is %+v, want %+v", state, c.self.Incarnation, want)
		}
	}
}

// Notices that no member of this version sends are rejected.
func TestInvalidNoticesAreRejected(t *testing.T) {
	long := strings.Repeat("n", MaxNameLength+1)
	for i, n := range []EndpointNotice{
		{Endpoint: ""},
		{Endpoint: long},
		{Endpoint: "s1", ReportedBy: long},
		{Endpoint: "s1", StartedMS: math.NaN()},
		{Endpoint: "s1", StartedMS: math.Inf(1)},
		{Endpoint: "s1", Age: -time.Second},
		{Endpoint: "s1", Age: time.Hour},
	} {
		c, err := New(Config{ClusterName: "f", Name: "a", AdvertiseAddr: hostileAddress("a"), ProcessID: 100}, 0, 2)
		if err != nil {
			t.Fatal(err)
		}
		c.mergeNotice(n)
		if len(c.notices) != 0 || c.stats.Rejected != 1 {
			t.Errorf("notice %d, %s: %d accepted, %d rejected, want 0 and 1",
				i, fmt.Sprintf("%.40q", n.Endpoint), len(c.notices), c.stats.Rejected)
		}
	}
}
