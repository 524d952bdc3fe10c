package gossip

import (
	"bytes"
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

// TestMain checks that no goroutine of a test is left after all tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ipSet(t *testing.T, prefixes ...string) *netipx.IPSet {
	t.Helper()
	var b netipx.IPSetBuilder
	for _, p := range prefixes {
		b.AddPrefix(netip.MustParsePrefix(p))
	}
	s, err := b.IPSet()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// freeAddr returns a loopback address with a reserved port. The nodes of the tests use it for datagrams and streams.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	return netip.MustParseAddrPort(testutil.ReserveAddr(t))
}

// testNode is a running node that records the arguments of its callbacks.
type testNode struct {
	*Node
	addr netip.AddrPort
	stop func() // stops the node and waits until Run has returned

	mu      sync.Mutex
	notices []cluster.EndpointNotice
	size    int
}

func (n *testNode) recordNotice(notice cluster.EndpointNotice, _ bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices = append(n.notices, notice)
}

func (n *testNode) recordSize(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.size = size
}

func (n *testNode) lastSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.size
}

// receivedOnly reports whether the node has received exactly one notice, with the Endpoint,
// Removed and ReportedBy of want.
func (n *testNode) receivedOnly(want cluster.EndpointNotice) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.notices) == 1 && n.notices[0].Endpoint == want.Endpoint &&
		n.notices[0].Removed == want.Removed && n.notices[0].ReportedBy == want.ReportedBy
}

// startNode starts a node. configure, if it is not nil, changes the configuration first.
func startNode(t *testing.T, name string, configure func(*Config), seeds ...netip.AddrPort) *testNode {
	t.Helper()
	n := &testNode{addr: freeAddr(t)}
	cfg := Config{
		Core: cluster.Config{
			ClusterName:      "f",
			Name:             name,
			AdvertiseAddr:    n.addr,
			Seeds:            seeds,
			ProbeInterval:    200 * time.Millisecond,
			ProbeTimeout:     100 * time.Millisecond,
			GossipInterval:   20 * time.Millisecond,
			PushPullInterval: time.Second,
			MaxMembers:       1000,
		},
		ConfiguredSize: 1,
		Listen:         n.addr.String(),
		AllowedPeers:   ipSet(t, "127.0.0.0/8"),
		OnNotice:       n.recordNotice,
		OnSizeChanged:  n.recordSize,
		Log:            slog.New(slog.DiscardHandler),
	}
	if configure != nil {
		configure(&cfg)
	}
	var err error
	if n.Node, err = New(cfg); err != nil {
		t.Fatal(err)
	}
	// t.Context would stop the node too early: it is canceled before the cleanup calls stop.
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(n.stop)
	return n
}

func (n *testNode) memberStates() map[string]cluster.State {
	states := map[string]cluster.State{}
	for _, m := range n.Status().Members {
		states[m.Name] = m.State
	}
	return states
}

// waitForMembers waits until each node knows the given number of members, including itself.
func waitForMembers(t *testing.T, members int, nodes ...*testNode) {
	t.Helper()
	testutil.Until(t, fmt.Sprintf("each node to know %d members", members), func() bool {
		for _, n := range nodes {
			if len(n.memberStates()) != members {
				return false
			}
		}
		return true
	})
}

// Members that communicate over sockets join, gossip notices, estimate the same cluster
// size, and announce that they leave. A member of another cluster does not join them.
func TestMembersJoinGossipAndLeave(t *testing.T) {
	a := startNode(t, "a", nil)
	b := startNode(t, "b", nil, a.addr)
	c := startNode(t, "c", nil, b.addr)
	other := startNode(t, "x", func(cfg *Config) { cfg.Core.ClusterName = "g" }, a.addr)
	waitForMembers(t, 3, a, b, c)
	b.Announce(cluster.EndpointNotice{Endpoint: "s1", Removed: true, StartedMS: 5})
	want := cluster.EndpointNotice{Endpoint: "s1", Removed: true, ReportedBy: "b"}
	testutil.Until(t, "a and c to receive the notice of b and to estimate a size of 3", func() bool {
		for _, n := range []*testNode{a, c} {
			if !n.receivedOnly(want) || n.lastSize() != 3 {
				return false
			}
		}
		return true
	})
	b.stop()
	testutil.Until(t, "a and c to know that b has left", func() bool {
		return a.memberStates()["b"] == cluster.Left && c.memberStates()["b"] == cluster.Left
	})
	if s := other.Status(); len(s.Members) != 1 || s.Core.ForeignMessages > 0 && s.Members[0].Name != "x" {
		t.Errorf("the status of x, a member of another cluster, is %+v, want x as the only member", s)
	}
	if s := a.Status(); s.Core.ForeignMessages == 0 {
		t.Errorf("ForeignMessages of a is 0 after messages of x, want at least 1; statistics: %+v", s.Core)
	}
}

// A node that receives a message of its own cluster with a revision other than its own
// calls OnConfigRevision. It does not call OnConfigRevision for an equal revision, or for a
// message of another cluster. Nodes with a revision and nodes without one form one cluster.
// SetConfiguredSize changes the estimated size.
func TestConfigRevisionIsGossiped(t *testing.T) {
	type revision struct {
		name           string
		epoch, version uint64
	}
	received := make(chan revision, 1000)
	a := startNode(t, "a", func(cfg *Config) {
		cfg.OnConfigRevision = func(from cluster.Entry, epoch, version uint64) {
			select {
			case received <- revision{from.Name, epoch, version}:
			default:
			}
		}
	})
	a.SetConfigRevision(3, 7)
	b := startNode(t, "b", nil, a.addr) // has no revision
	b.SetConfiguredSize(40)
	c := startNode(t, "c", nil, a.addr)
	c.SetConfigRevision(3, 7)
	waitForMembers(t, 3, a, b, c)
	testutil.Until(t, "b to estimate the configured size of 40", func() bool { return b.lastSize() == 40 })

	foreign, err := Encode(&cluster.Message{
		Kind:        cluster.Ping,
		ClusterName: "g",
		From: cluster.Entry{
			Name:        "x",
			Addr:        c.addr,
			Incarnation: cluster.Incarnation{Generation: 1, ProcessID: 2},
		},
		ConfigEpoch:   9,
		ConfigVersion: 9,
	})
	if err != nil {
		t.Fatal(err)
	}
	peer := dialDatagrams(t, "127.0.0.1", a.addr)
	writeDatagram(t, peer, foreign)
	testutil.Until(t, "a to count the message of another cluster", func() bool {
		return a.Status().Core.ForeignMessages > 0
	})
	c.SetConfigRevision(4, 1)
	if got := testutil.Receive(t, received, "a call of OnConfigRevision"); got != (revision{"c", 4, 1}) {
		t.Errorf("the first call of OnConfigRevision has the arguments %+v, want %+v", got, revision{"c", 4, 1})
	}
}

func dialDatagrams(t *testing.T, fromIP string, to netip.AddrPort) *net.UDPConn {
	t.Helper()
	conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(fromIP)}, net.UDPAddrFromAddrPort(to))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func writeDatagram(t *testing.T, conn *net.UDPConn, datagram []byte) {
	t.Helper()
	if _, err := conn.Write(datagram); err != nil {
		t.Fatal(err)
	}
}

// sendRawStream opens a stream, sends size as the frame length followed by frame, and waits
// until the node closes the stream.
func sendRawStream(t *testing.T, fromIP string, to netip.AddrPort, size uint32, frame []byte) {
	t.Helper()
	conn, err := net.DialTCP("tcp", &net.TCPAddr{IP: net.ParseIP(fromIP)}, net.TCPAddrFromAddrPort(to))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Errors are ignored, because the node may close the stream before all bytes are written.
	_, _ = conn.Write(append(binary.BigEndian.AppendUint32(nil, size), frame...))
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// Addresses of the sender in TestMisbehavingPeersAreBounded: one in the allowed networks, and
// one outside of them.
const (
	allowedIP    = "127.0.0.2"
	disallowedIP = "127.0.0.9"
)

// messageFromZ returns a message with the sender z at allowedIP.
func messageFromZ(kind cluster.Kind) *cluster.Message {
	return &cluster.Message{
		Kind:        kind,
		ClusterName: "f",
		From: cluster.Entry{
			Name:        "z",
			Addr:        netip.MustParseAddrPort(allowedIP + ":9"),
			Incarnation: cluster.Incarnation{Generation: 1, ProcessID: 2},
		},
	}
}

// frameOfManyEntries returns a frame with 50,000 members. Their names contain part, so that
// frames with different parts have different members.
func frameOfManyEntries(t *testing.T, part int) []byte {
	t.Helper()
	m := messageFromZ(cluster.PushPullFinal)
	for i := range 50_000 {
		m.Entries = append(m.Entries, cluster.Entry{
			Name:        fmt.Sprint("n", part, "-", i),
			Addr:        m.From.Addr,
			Incarnation: cluster.Incarnation{Generation: 1 + uint64(i)<<40, ProcessID: 2},
		})
	}
	frame, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// A faulty or hostile peer sends corrupt frames, frames of another protocol version, wrong
// lengths, too many members, and a flood of messages. Without limits, the node could run
// out of memory or connections, fill its log, or stop. The node has to enforce its limits,
// ignore peers outside of the allowed networks, and continue to work.
func TestMisbehavingPeersAreBounded(t *testing.T) {
	a := startNode(t, "a", func(cfg *Config) { cfg.AllowedPeers = ipSet(t, "127.0.0.1/32", allowedIP+"/32") })
	valid, err := Encode(messageFromZ(cluster.Ping))
	if err != nil {
		t.Fatal(err)
	}
	writeDatagram(t, dialDatagrams(t, disallowedIP, a.addr), valid)

	corrupt := bytes.Clone(valid)
	corrupt[len(corrupt)-1] ^= 1
	laterVersion := bytes.Clone(valid)
	laterVersion[versionOffset] = protocolVersion + 1
	peer := dialDatagrams(t, allowedIP, a.addr)
	for _, datagram := range [][]byte{
		nil,
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		corrupt,
		laterVersion,
		make([]byte, 9000),
	} {
		writeDatagram(t, peer, datagram)
	}
	sendRawStream(t, allowedIP, a.addr, 1<<31, []byte("x"))
	sendRawStream(t, allowedIP, a.addr, maxStreamBytes, []byte("less than announced"))
	for part := range 3 {
		frame := frameOfManyEntries(t, part)
		sendRawStream(t, allowedIP, a.addr, uint32(len(frame)), frame)
	}
	for range 3000 { // a flood of more messages than the queue holds
		writeDatagram(t, peer, valid)
	}
	testutil.Until(t, "the node to count all datagrams and entries that it rejects", func() bool {
		s := a.Status()
		return s.Network.DisallowedPeers >= 1 && s.Network.Corrupt >= 5 &&
			s.Network.VersionMismatches >= 1 && s.Core.Rejected > 100_000
	})
	if s := a.Status(); s.Core.KnownMembers > 1000 || len(s.Members) > 1000 {
		t.Errorf("a knows %d members and lists %d in its status, want at most 1,000 each",
			s.Core.KnownMembers, len(s.Members))
	}
	b := startNode(t, "b", nil, a.addr)
	testutil.Until(t, "a to know the new member b", func() bool {
		_, ok := a.memberStates()["b"]
		return ok
	})
	testutil.Until(t, "the new member b to know a", func() bool {
		return b.memberStates()["a"] == cluster.Alive
	})
}

// An address is translated by the first translation whose From prefix contains the address.
// If no translation does, the address is unchanged.
func TestTranslate(t *testing.T) {
	n := &Node{cfg: Config{Translations: []AddressTranslation{
		{From: netip.MustParsePrefix("10.1.0.0/16"), To: netip.MustParsePrefix("172.20.0.0/16")},
		{From: netip.MustParsePrefix("10.2.3.128/25"), To: netip.MustParsePrefix("192.168.7.0/25")},
	}}}
	for _, test := range []struct{ name, addr, want string }{
		{"first prefix", "10.1.2.3:5", "172.20.2.3:5"},
		{"second prefix", "10.2.3.200:5", "192.168.7.72:5"},
		{"no prefix", "10.2.3.4:5", "10.2.3.4:5"},
		{"no prefix, IPv6", "[::1]:5", "[::1]:5"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := n.translate(netip.MustParseAddrPort(test.addr)).String(); got != test.want {
				t.Errorf("translate(%s) = %s, want %s", test.addr, got, test.want)
			}
		})
	}
}
