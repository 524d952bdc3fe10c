package gossip

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go4.org/netipx"

	"hazelwing/internal/cluster"
	"hazelwing/internal/testutil"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func networks(t *testing.T, list ...string) *netipx.IPSet {
	t.Helper()
	var b netipx.IPSetBuilder
	for _, p := range list {
		b.AddPrefix(netip.MustParsePrefix(p))
	}
	s, err := b.IPSet()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// freeAddr is an address that is free for datagrams and streams.
func freeAddr(t *testing.T, ip string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

type running struct {
	*Node
	at    netip.AddrPort
	mu    sync.Mutex
	words []cluster.EndpointNotice
	count int
	stop  func()
}

// run starts a member; more changes its configuration.
func run(t *testing.T, name string, more func(*Config), seeds ...netip.AddrPort) *running {
	t.Helper()
	r := &running{at: freeAddr(t, "127.0.0.1")}
	c := Config{Listen: r.at.String(), ConfiguredSize: 1, AllowedPeers: networks(t, "127.0.0.0/8"), Log: slog.New(slog.DiscardHandler),
		OnNotice:      func(w cluster.EndpointNotice, holds bool) { r.mu.Lock(); r.words = append(r.words, w); r.mu.Unlock() },
		OnSizeChanged: func(n int) { r.mu.Lock(); r.count = n; r.mu.Unlock() },
		Core: cluster.Config{ClusterName: "f", Name: name, AdvertiseAddr: r.at, Seeds: seeds, ProbeInterval: 200 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond,
			GossipInterval: 20 * time.Millisecond, PushPullInterval: time.Second, MaxMembers: 1000}}
	if more != nil {
		more(&c)
	}
	var err error
	if r.Node, err = New(c); err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() { r.Run(ctx); close(ran) }()
	r.stop = sync.OnceFunc(func() { end(); <-ran })
	t.Cleanup(r.stop)
	return r
}

func states(s Status) map[string]cluster.State {
	out := map[string]cluster.State{}
	for _, m := range s.Members {
		out[m.Name] = m.State
	}
	return out
}

// Members find each other over sockets, pass words on, count themselves, and tell when they leave. Members of another fleet
// at the same addresses stay apart.
func TestMembersFindEachOther(t *testing.T) {
	a := run(t, "a", nil)
	b := run(t, "b", nil, a.at)
	c := run(t, "c", nil, b.at)
	other := run(t, "x", func(c *Config) { c.Core.ClusterName = "g" }, a.at)
	testutil.Until(t, "three know each other", func() bool {
		for _, r := range []*running{a, b, c} {
			if s := states(r.Status()); len(s) != 3 {
				return false
			}
		}
		return true
	})
	b.Announce(cluster.EndpointNotice{Endpoint: "s1", Removed: true, StartedMS: 5})
	testutil.Until(t, "all were told, and count three", func() bool {
		for _, r := range []*running{a, c} {
			r.mu.Lock()
			ok := len(r.words) == 1 && r.words[0].Endpoint == "s1" && r.words[0].Removed && r.words[0].ReportedBy == "b" && r.count == 3
			r.mu.Unlock()
			if !ok {
				return false
			}
		}
		return true
	})
	b.stop()
	testutil.Until(t, "the others know that it left", func() bool {
		return states(a.Status())["b"] == cluster.Left && states(c.Status())["b"] == cluster.Left
	})
	if s := other.Status(); len(s.Members) != 1 || s.Core.ForeignMessages > 0 && s.Members[0].Name != "x" {
		t.Errorf("another fleet: %+v", s)
	}
	if s := a.Status(); s.Core.ForeignMessages == 0 {
		t.Errorf("what came from another fleet was not counted: %+v", s.Core)
	}
}

// The stamp of the configuration goes with the datagrams, to members that have one and to those that have not; it is told where it
// differs from the own, and of this fleet alone. A number of sidecars that is told anew counts.
func TestStamps(t *testing.T) {
	type stamp struct {
		name          string
		epoch, number uint64
	}
	seen := make(chan stamp, 1000)
	a := run(t, "a", func(c *Config) {
		c.OnConfigRevision = func(from cluster.Entry, epoch, number uint64) {
			select {
			case seen <- stamp{from.Name, epoch, number}:
			default:
			}
		}
	})
	a.SetConfigRevision(3, 7)
	b := run(t, "b", nil, a.at) // knows of no stamps
	b.SetConfiguredSize(40)
	c := run(t, "c", nil, a.at)
	c.SetConfigRevision(3, 7)
	testutil.Until(t, "three know each other", func() bool {
		return len(states(a.Status())) == 3 && len(states(c.Status())) == 3 && len(states(b.Status())) == 3
	})
	testutil.Until(t, "b reckons with what it was told", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.count == 40 })
	alien, _ := Encode(&cluster.Message{Kind: cluster.Ping, ClusterName: "g", From: cluster.Entry{Name: "x", Addr: c.at, Incarnation: cluster.Incarnation{Generation: 1, ProcessID: 2}}, ConfigEpoch: 9, ConfigVersion: 9})
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(a.at))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(alien)
	testutil.Until(t, "another fleet's message was counted", func() bool { return a.Status().Core.ForeignMessages > 0 })
	c.SetConfigRevision(4, 1)
	if s := testutil.Receive(t, seen, "the stamp"); s != (stamp{"c", 4, 1}) {
		t.Errorf("%+v", s)
	}
}

// A broken or hostile peer costs no more than the stated bounds: what cannot be read, other versions, lengths that lie, names
// without end, floods; and those outside the networks are not listened to. The member goes on.
func TestBadPeers(t *testing.T) {
	a := run(t, "a", func(c *Config) { c.AllowedPeers = networks(t, "127.0.0.1/32", "127.0.0.2/32") })
	from := func(ip string) *net.UDPConn {
		c, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)}, net.UDPAddrFromAddrPort(a.at))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	good, _ := Encode(&cluster.Message{Kind: cluster.Ping, ClusterName: "f", From: cluster.Entry{Name: "z", Addr: netip.MustParseAddrPort("127.0.0.2:9"), Incarnation: cluster.Incarnation{Generation: 1, ProcessID: 2}}})
	outside := from("127.0.0.9")
	outside.Write(good)
	peer := from("127.0.0.2")
	corrupt := append([]byte(nil), good...)
	corrupt[len(corrupt)-1] ^= 1
	later := append([]byte(nil), good...)
	later[3] = 2
	for _, text := range [][]byte{nil, []byte("GET / HTTP/1.1\r\n\r\n"), corrupt, later, make([]byte, 9000)} {
		peer.Write(text)
	}
	stream := func(size uint32, text []byte) {
		c, err := net.DialTCP("tcp", &net.TCPAddr{IP: net.ParseIP("127.0.0.2")}, net.TCPAddrFromAddrPort(a.at))
		if err != nil {
			t.Fatal(err)
		}
		c.Write(append(binary.BigEndian.AppendUint32(nil, size), text...))
		c.CloseWrite()
		io.Copy(io.Discard, c) // until it is closed there
		c.Close()
	}
	stream(1<<31, []byte("x"))
	stream(streamMost, []byte("less than was said"))
	for part := range 3 {
		m := &cluster.Message{Kind: cluster.PushPullFinal, ClusterName: "f", From: cluster.Entry{Name: "z", Addr: netip.MustParseAddrPort("127.0.0.2:9"), Incarnation: cluster.Incarnation{Generation: 1, ProcessID: 2}}}
		for i := range 50_000 {
			m.Entries = append(m.Entries, cluster.Entry{Name: fmt.Sprint("n", part, "-", i), Addr: netip.MustParseAddrPort("127.0.0.2:9"), Incarnation: cluster.Incarnation{Generation: 1 + uint64(i)<<40, ProcessID: 2}})
		}
		frame, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		stream(uint32(len(frame)), frame)
	}
	for range 3000 { // a flood of what must not be answered by more than it is
		peer.Write(good)
	}
	testutil.Until(t, "all is counted, and the member still answers", func() bool {
		s := a.Status()
		return s.Network.DisallowedPeers >= 1 && s.Network.Corrupt >= 5 && s.Network.VersionMismatches >= 1 && s.Core.Rejected > 100_000
	})
	if s := a.Status(); s.Core.KnownMembers > 1000 || len(s.Members) > 1000 {
		t.Errorf("%d members, at most 1,000 are meant", s.Core.KnownMembers)
	}
	b := run(t, "b", nil, a.at)
	testutil.Until(t, "one that speaks itself has a place", func() bool { _, ok := states(a.Status())["b"]; return ok })
	testutil.Until(t, "and knows it", func() bool { return states(b.Status())["a"] == cluster.Alive })
}

// Addresses are translated one by one, prefix by prefix.
func TestReach(t *testing.T) {
	n := &Node{cfg: Config{Translations: []AddressTranslation{{netip.MustParsePrefix("10.1.0.0/16"), netip.MustParsePrefix("172.20.0.0/16")}, {netip.MustParsePrefix("10.2.3.128/25"), netip.MustParsePrefix("192.168.7.0/25")}}}}
	for from, want := range map[string]string{"10.1.2.3:5": "172.20.2.3:5", "10.2.3.200:5": "192.168.7.72:5", "10.2.3.4:5": "10.2.3.4:5", "[::1]:5": "[::1]:5"} {
		if got := n.reach(netip.MustParseAddrPort(from)).String(); got != want {
			t.Errorf("%s: %s, want %s", from, got, want)
		}
	}
}
