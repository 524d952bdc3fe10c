package hollow

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"

	"hazelwing/internal/cluster/gossip"
)

var errKilled = errors.New("hollow: member has been killed")

// network is the gossip.Network of one process of a member. It applies the cluster's links to the process's datagrams
// and streams, and counts their traffic.
type network struct {
	member *Member

	mu     sync.Mutex
	killed bool // whether the process was killed; nothing is sent after that
	conns  map[net.Conn]bool
}

func newNetwork(m *Member) *network { return &network{member: m, conns: map[net.Conn]bool{}} }

// NetworkAt returns a network and its address for a process that is not a sidecar, at the location and address of the
// member with number n, which begins at 1. Connections from and to this address use the cluster's links. The network
// can be used as long as the cluster exists, and the caller must close its connections.
func (c *Cluster) NetworkAt(n int) (gossip.Network, netip.Addr) {
	at := c.Members[n-1]
	m := &Member{Number: n, Name: "machine", Addr: at.Addr, Location: at.Location, cluster: c}
	return newNetwork(m), at.Addr.Addr()
}

// track records a connection so that kill closes it. It returns false if the process has already been killed.
func (n *network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.killed {
		n.conns[c] = true
	}
	return !n.killed
}

func (n *network) release(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// kill closes all connections, as the end of a real process does. After kill nothing more is sent.
func (n *network) kill() {
	n.mu.Lock()
	n.killed = true
	conns := n.conns
	n.conns = map[net.Conn]bool{}
	n.mu.Unlock()
	for c := range conns {
		_ = c.Close() // the end of a real process reports no errors either
	}
}

func (n *network) isKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// SendDatagram implements gossip.Network. A datagram that is lost on the link counts as sent.
func (n *network) SendDatagram(to netip.AddrPort, size int, send func()) {
	if n.isKilled() {
		return
	}
	n.member.traffic.datagramsSent.Add(1)
	n.member.traffic.datagramBytesSent.Add(int64(size))
	cluster := n.member.cluster
	cluster.Links.sendDatagram(n.member.Location, cluster.locationOf(to.Addr()), send)
}

// Dial implements gossip.Network.
func (n *network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	m, cluster := n.member, n.member.cluster
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if n.isKilled() {
		return nil, errKilled
	}
	to := cluster.locationOf(at.Addr())
	conn, err := cluster.Links.dial(ctx, m.Addr.Addr(), m.Location, to, addr)
	if err != nil {
		return nil, err
	}
	s := &stream{
		Conn:    conn,
		links:   cluster.Links,
		from:    m.Location,
		to:      to,
		counter: &m.traffic,
		closed:  make(chan struct{}),
	}
	if addr == cluster.Discovery.Addr() {
		s.peerCounter = &cluster.discovery
	}
	s.onClose = func() { n.release(s) }
	if !n.track(s) {
		return nil, errors.Join(errKilled, conn.Close())
	}
	return s, nil
}

// Listen implements gossip.Network.
func (n *network) Listen(l net.Listener) net.Listener { return &listener{l, n} }

// listener accepts connections and counts their traffic. The connections are closed when the member is killed.
type listener struct {
	net.Listener
	network *network
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	a := &acceptedConn{Conn: conn, counter: &l.network.member.traffic}
	a.onClose = func() { l.network.release(a) }
	if !l.network.track(a) {
		_ = conn.Close() // the caller's first Read returns an error
	}
	return a, nil
}
