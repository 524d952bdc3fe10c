package testcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Conditions are the faults that a link applies. Loss, Duplicate, Reorder and Corrupt are probabilities for each
// datagram. Streams are only cut and delayed, since the kernel hides the other faults from the users of a stream.
type Conditions struct {
	Cut          bool
	Loss         float64
	Duplicate    float64
	Reorder      float64 // probability that a datagram is delayed by ReorderDelay, so that later ones overtake it
	ReorderDelay time.Duration
	Delay        time.Duration
	Corrupt      float64 // probability that one byte of a datagram is changed
}

const (
	// discoveryNumber is the number of the discovery service in link keys and link addresses.
	discoveryNumber  = 250
	maxDatagramBytes = 64 << 10
	streamBuffer     = 32 << 10
	dialTimeout      = time.Second
)

// Member N listens on 127.77.0.N. Member I sends to member J by way of 127.(100+I).0.J, where the link from I to J
// listens. This gives each direction of each pair of members a separate link without any privileges.
const (
	loopbackOctet = 127 // first octet of all addresses
	memberOctet   = 77  // second octet of the members' gossip addresses
	requestOctet  = 78  // second octet of the members' addresses for requests; 79 is that for admin endpoints
	linkOctet     = 100 // the second octet of a link's address is this plus the sender's number
	prefixBits    = 24  // length of the prefix that all members' addresses, or all links of one sender, have in common
)

func memberAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{loopbackOctet, memberOctet, 0, byte(n)})
}

func linkAddr(from, to int) netip.Addr {
	return netip.AddrFrom4([4]byte{loopbackOctet, byte(linkOctet + from), 0, byte(to)})
}
func linkPrefix(from int) netip.Prefix { return netip.PrefixFrom(linkAddr(from, 0), prefixBits) }
func memberPrefix() netip.Prefix       { return netip.PrefixFrom(memberAddr(0), prefixBits) }

// linkKey identifies a link by the numbers of its sender and its receiver.
type linkKey struct{ from, to int }

// link forwards datagrams and streams from one process, the sender, to another, the receiver.
type link struct {
	target   netip.AddrPort
	udp      *net.UDPConn
	listener net.Listener
	tasks    sync.WaitGroup

	// sent counts the traffic from the sender to the receiver. returned counts the receiver's answers on the sender's
	// streams.
	sent, returned purposeCounters

	mu         sync.Mutex
	rng        *rand.Rand
	conditions Conditions
	changed    chan struct{} // closed and replaced when conditions changes
	closed     chan struct{}
	conns      map[net.Conn]bool
}

// newLink creates a link that listens at the address at which the sender reaches the receiver, and forwards to target.
func newLink(key linkKey, port uint16, target netip.AddrPort, seed uint64) (*link, error) {
	l := &link{
		target:  target,
		rng:     rand.New(rand.NewPCG(seed, uint64(key.from)<<16|uint64(key.to))),
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
		conns:   map[net.Conn]bool{},
	}
	address := netip.AddrPortFrom(linkAddr(key.from, key.to), port)
	var err error
	if l.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, err
	}
	l.listener, err = new(net.ListenConfig).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		_ = l.udp.Close()
		return nil, err
	}
	l.tasks.Go(l.forwardDatagrams)
	l.tasks.Go(l.acceptStreams)
	return l, nil
}

// newLinks creates the links between the members 1 to count. ports has the members' gossip ports, by number.
func newLinks(count int, ports []uint16, seed uint64) (map[linkKey]*link, error) {
	links := map[linkKey]*link{}
	for from := 1; from <= count; from++ {
		for to := 1; to <= count; to++ {
			if from == to {
				continue
			}
			key := linkKey{from, to}
			l, err := newLink(key, ports[to], netip.AddrPortFrom(memberAddr(to), ports[to]), seed)
			if err != nil {
				for _, l := range links {
					l.close()
				}
				return nil, fmt.Errorf("link from %d to %d: %w", from, to, err)
			}
			links[key] = l
		}
	}
	return links, nil
}

func (l *link) setConditions(conditions Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = conditions
	close(l.changed)
	l.changed = make(chan struct{})
}

// changeConditions applies change to the link's conditions. Only the goroutine that plays the script may call it.
func (l *link) changeConditions(change func(*Conditions)) {
	conditions, _ := l.currentConditions()
	change(&conditions)
	l.setConditions(conditions)
}

// currentConditions returns the conditions, and a channel that is closed when they change.
func (l *link) currentConditions() (Conditions, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions, l.changed
}

// drawEvent draws whether an event of the given probability occurs. For probability 0 it does not advance the random
// stream.
func (l *link) drawEvent(probability float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return probability > 0 && l.rng.Float64() < probability
}

func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// forwardDatagrams forwards datagrams until the link is closed.
func (l *link) forwardDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := l.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if l.isClosed() {
				return
			}
			continue
		}
		l.sent[membershipPurpose].add(n)
		l.forwardDatagram(buffer[:n])
	}
}

// forwardDatagram forwards a datagram, or drops, duplicates, delays or corrupts it, as the link's conditions require.
func (l *link) forwardDatagram(datagram []byte) {
	conditions, _ := l.currentConditions()
	if conditions.Cut || l.drawEvent(conditions.Loss) {
		return
	}
	copies := 1
	if l.drawEvent(conditions.Duplicate) {
		copies = 2
	}
	for range copies {
		delay := conditions.Delay
		if l.drawEvent(conditions.Reorder) {
			delay += conditions.ReorderDelay
		}
		datagram := append([]byte(nil), datagram...)
		if l.drawEvent(conditions.Corrupt) {
			l.corrupt(datagram)
		}
		if delay == 0 {
			l.writeDatagram(datagram)
			continue
		}
		time.AfterFunc(delay, func() { l.writeDatagram(datagram) })
	}
}

// corrupt changes one byte of a datagram.
func (l *link) corrupt(datagram []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	datagram[l.rng.IntN(len(datagram))] ^= byte(1 + l.rng.IntN(255))
}

// writeDatagram sends a datagram to the receiver. The datagram is lost without an error if nothing listens there or the
// link has been closed.
func (l *link) writeDatagram(datagram []byte) {
	_, _ = l.udp.WriteToUDPAddrPort(datagram, l.target)
}

func (l *link) acceptStreams() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.track(conn)
		l.tasks.Go(func() { l.forwardStream(conn) })
	}
}

// track records a connection so that close can close it. If the link is already closed, track closes the connection at
// once.
func (l *link) track(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed() {
		_ = conn.Close()
		return
	}
	l.conns[conn] = true
}

func (l *link) release(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// waitUntilOpen waits until the link is not cut, and then for the link's delay. It returns false if the link is closed.
func (l *link) waitUntilOpen() bool {
	for {
		conditions, changed := l.currentConditions()
		if !conditions.Cut {
			select {
			case <-time.After(conditions.Delay):
				return true
			case <-l.closed:
				return false
			}
		}
		select {
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// forwardStream dials the receiver and forwards a stream in both directions, with the link's cuts and delay.
func (l *link) forwardStream(sender net.Conn) {
	defer l.release(sender)
	if !l.waitUntilOpen() {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	receiver, err := dialer.DialContext(context.Background(), "tcp", l.target.String())
	if err != nil {
		return
	}
	l.track(receiver)
	defer l.release(receiver)
	var purpose atomic.Int32
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		l.copyStream(receiver, sender, func(data []byte) { l.returned[purpose.Load()].add(len(data)) })
	}()
	isFirst := true
	l.copyStream(sender, receiver, func(data []byte) {
		if isFirst {
			isFirst = false
			purpose.Store(purposeOf(data))
		}
		l.sent[purpose.Load()].add(len(data))
	})
	<-returned
}

// copyStream copies one direction of a stream and calls count with each piece of data that it reads. When from ends, it
// closes the write side of to. After an error it closes both connections.
func (l *link) copyStream(from, to net.Conn, count func([]byte)) {
	buffer := make([]byte, streamBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			count(buffer[:n])
			if !l.waitUntilOpen() {
				break
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			_ = tcp.CloseWrite() // an error means only that to is already closed
			return
		}
		break
	}
	_ = from.Close()
	_ = to.Close()
}

// close closes the link and its streams, and waits for their goroutines.
func (l *link) close() {
	l.mu.Lock()
	close(l.closed)
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	_ = l.udp.Close()
	_ = l.listener.Close()
	l.tasks.Wait()
}
