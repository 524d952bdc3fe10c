package testcluster

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Weather is what a link does to datagrams. Streams are only cut and delayed: the kernel makes up for the rest.
type Conditions struct {
	Cut          bool
	Loss         float64
	Duplicate    float64
	Reorder      float64 // of datagrams that come LateBy later, behind others
	ReorderDelay time.Duration
	Delay        time.Duration
	Corrupt      float64 // of datagrams in which a byte is changed
}

// discovery is the number under which members see it.
const discovery = 250

// The members listen on 127.77.0.N; what member I sends to member J goes to 127.(100+I).0.J, where the link of this direction
// listens. So each direction of each pair is a link of its own, without privileges.
func realAddr(j int) netip.Addr     { return netip.AddrFrom4([4]byte{127, 77, 0, byte(j)}) }
func seenAddr(i, j int) netip.Addr  { return netip.AddrFrom4([4]byte{127, byte(100 + i), 0, byte(j)}) }
func seenPrefix(i int) netip.Prefix { return netip.PrefixFrom(seenAddr(i, 0), 24) }
func realPrefix() netip.Prefix      { return netip.PrefixFrom(realAddr(0), 24) }

// link carries what one member sends to another.
type link struct {
	to     netip.AddrPort
	conn   *net.UDPConn
	listen net.Listener
	all    sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	weather Conditions
	changed chan struct{} // closed when weather changes
	done    chan struct{}
	conns   map[net.Conn]bool

	// By what it is for: what the one sent over this link, and what came back on its streams.
	sent, back [kinds]count
}

// Traffic is what went over links. Messages are datagrams and what was read of streams at once.
type Traffic struct{ Bytes, Messages int64 }

// count is a Traffic that several goroutines add to.
type count struct{ bytes, messages atomic.Int64 }

func (c *count) add(bytes int) {
	c.bytes.Add(int64(bytes))
	c.messages.Add(1)
}

func (c *count) read() Traffic { return Traffic{c.bytes.Load(), c.messages.Load()} }

func (t *Traffic) add(o Traffic) {
	t.Bytes += o.Bytes
	t.Messages += o.Messages
}

func total(list *[kinds]count) (t Traffic) {
	for i := range list {
		t.add(list[i].read())
	}
	return t
}

// Traffic is what a member has sent and received over its links, with other members and discovery, also what they lost.
func (r *Cluster) Traffic(n int) (out, in Traffic) {
	for ends, l := range r.links {
		switch n {
		case ends[0]:
			out.add(total(&l.sent))
			in.add(total(&l.back))
		case ends[1]:
			out.add(total(&l.back))
			in.add(total(&l.sent))
		}
	}
	return out, in
}

// What bytes are for. A stream is of the kind that its first request says.
const (
	viewBytes = iota
	listBytes
	configBytes
	kinds
)

// kindOf is what a stream is for that begins so.
func kindOf(head []byte) int32 {
	for prefix, kind := range map[string]int32{"GET /discovery": listBytes, "GET /config": configBytes, "POST /config": configBytes, "POST /origin": configBytes} {
		if bytes.HasPrefix(head, []byte(prefix)) {
			return kind
		}
	}
	return viewBytes
}

// newLink listens where member i sees j, and carries to an address.
func newLink(i, j int, port uint16, to netip.AddrPort, seed uint64) (*link, error) {
	l := &link{to: to, rng: rand.New(rand.NewPCG(seed, uint64(i)<<16|uint64(j))),
		changed: make(chan struct{}), done: make(chan struct{}), conns: map[net.Conn]bool{}}
	at := netip.AddrPortFrom(seenAddr(i, j), port)
	var err error
	if l.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	if l.listen, err = net.Listen("tcp", at.String()); err != nil {
		l.conn.Close()
		return nil, err
	}
	l.all.Go(l.datagrams)
	l.all.Go(l.streams)
	return l, nil
}

func (l *link) set(w Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weather = w
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) change(f func(*Conditions)) {
	l.mu.Lock()
	w := l.weather
	l.mu.Unlock()
	f(&w)
	l.set(w)
}

func (l *link) now() (Conditions, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.weather, l.changed
}

func (l *link) chance(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p > 0 && l.rng.Float64() < p
}

func (l *link) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-l.done:
				return
			default:
				continue
			}
		}
		l.sent[viewBytes].add(n)
		w, _ := l.now()
		if w.Cut || l.chance(w.Loss) {
			continue
		}
		copies := 1
		if l.chance(w.Duplicate) {
			copies = 2
		}
		for range copies {
			wait := w.Delay
			if l.chance(w.Reorder) {
				wait += w.ReorderDelay
			}
			text := append([]byte(nil), buf[:n]...)
			if l.chance(w.Corrupt) {
				l.mu.Lock()
				text[l.rng.IntN(len(text))] ^= byte(1 + l.rng.IntN(255))
				l.mu.Unlock()
			}
			if wait == 0 {
				l.conn.WriteToUDPAddrPort(text, l.to)
				continue
			}
			time.AfterFunc(wait, func() { l.conn.WriteToUDPAddrPort(text, l.to) })
		}
	}
}

func (l *link) streams() {
	for {
		c, err := l.listen.Accept()
		if err != nil {
			return
		}
		l.hold(c)
		l.all.Go(func() { l.stream(c) })
	}
}

func (l *link) hold(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		c.Close()
	default:
		l.conns[c] = true
	}
}

func (l *link) release(c net.Conn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// open waits until the link is not cut; false: it is closed.
func (l *link) open() bool {
	for {
		w, changed := l.now()
		if !w.Cut {
			select {
			case <-time.After(w.Delay):
				return true
			case <-l.done:
				return false
			}
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// stream carries what both sides write, as the link lets it.
func (l *link) stream(from net.Conn) {
	defer l.release(from)
	if !l.open() {
		return
	}
	to, err := net.DialTimeout("tcp", l.to.String(), time.Second)
	if err != nil {
		return
	}
	l.hold(to)
	defer l.release(to)
	var kind atomic.Int32
	back := make(chan struct{})
	go func() {
		defer close(back)
		l.carry(to, from, func(b []byte) { l.back[kind.Load()].add(len(b)) })
	}()
	first := true
	l.carry(from, to, func(b []byte) {
		if first {
			first = false
			kind.Store(kindOf(b))
		}
		l.sent[kind.Load()].add(len(b))
	})
	<-back
}

func (l *link) carry(from, to net.Conn, count func([]byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			count(buf[:n])
			if !l.open() {
				break
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok && err == io.EOF {
				c.CloseWrite()
				return
			}
			break
		}
	}
	from.Close()
	to.Close()
}

func (l *link) close() {
	l.mu.Lock()
	close(l.done)
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.conn.Close()
	l.listen.Close()
	l.all.Wait()
}

// links are those of n members, numbered from 1; ports are the members'.
func newLinks(n int, ports []uint16, seed uint64) (map[[2]int]*link, error) {
	all := map[[2]int]*link{}
	for i := 1; i <= n; i++ {
		for j := 1; j <= n; j++ {
			if i == j {
				continue
			}
			l, err := newLink(i, j, ports[j], netip.AddrPortFrom(realAddr(j), ports[j]), seed)
			if err != nil {
				for _, l := range all {
					l.close()
				}
				return nil, fmt.Errorf("the link from %d to %d: %w", i, j, err)
			}
			all[[2]int{i, j}] = l
		}
	}
	return all, nil
}
