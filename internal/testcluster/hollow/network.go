package hollow

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

// network is one life of a member's place between its parts and their sockets. It is a gossip.Network.
type network struct {
	m *Member

	mu    sync.Mutex
	dead  bool // it ended without a word: nothing gets out any more
	conns map[net.Conn]bool
}

var errDead = errors.New("this member was killed")

func newNetwork(m *Member) *network { return &network{m: m, conns: map[net.Conn]bool{}} }

// hold keeps a connection to be closed when the member dies; false: it has.
func (n *network) hold(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.dead {
		n.conns[c] = true
	}
	return !n.dead
}

func (n *network) release(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// die closes all connections, as the end of a process does, and lets nothing out from now on.
func (n *network) die() {
	n.mu.Lock()
	n.dead = true
	conns := n.conns
	n.conns = map[net.Conn]bool{}
	n.mu.Unlock()
	for c := range conns {
		c.Close()
	}
}

func (n *network) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// SendDatagram is gossip.Network's. What the link loses was sent all the same.
func (n *network) SendDatagram(to netip.AddrPort, size int, send func()) {
	if n.isDead() {
		return
	}
	n.m.traffic.datagrams.Add(1)
	n.m.traffic.datagramsOut.Add(int64(size))
	n.m.fleet.Links.datagram(n.m.Place, n.m.fleet.placeAt(to.Addr()), send)
}

// Dial is gossip.Network's.
func (n *network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	f := n.m.fleet
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if n.isDead() {
		return nil, errDead
	}
	to, peer := f.placeAt(at.Addr()), (*traffic)(nil)
	if addr == f.Discovery.Addr() {
		peer = &f.discovery
	}
	c, err := f.Links.dial(ctx, n.m.Addr.Addr(), n.m.Place, to, addr)
	if err != nil {
		return nil, err
	}
	s := &stream{Conn: c, links: f.Links, from: n.m.Place, to: to, own: &n.m.traffic, peer: peer, over: make(chan struct{})}
	s.ended = func() { n.release(s) }
	if !n.hold(s) {
		c.Close()
		return nil, errDead
	}
	return s, nil
}

// Listen is gossip.Network's.
func (n *network) Listen(l net.Listener) net.Listener { return &listener{l, n} }

type listener struct {
	net.Listener
	n *network
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	a := &accepted{Conn: c, own: &l.n.m.traffic}
	a.ended = func() { l.n.release(a) }
	if !l.n.hold(a) {
		c.Close()
	}
	return a, nil
}
