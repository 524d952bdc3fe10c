package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Link is what holds between two places. Streams are cut and slowed alone: the kernel makes up for lost packets.
type Link struct {
	Cut   bool
	Loss  float64       // of datagrams
	Delay time.Duration // one way
}

// Links are between all places of a fleet. Its methods may be called from any goroutine.
//
// A stream that is cut stands still: nothing is read or written until the link is healed, and one that is closed meanwhile is
// closed for the other side only then, as no packet gets there.
type Links struct {
	mu      sync.Mutex
	rules   atomic.Pointer[[]rule]
	changed chan struct{} // closed when the rules change
	waiting map[*stream]bool
	done    chan struct{}
	late    sync.WaitGroup // datagrams on their way
}

func newLinks() *Links {
	l := &Links{changed: make(chan struct{}), waiting: map[*stream]bool{}, done: make(chan struct{})}
	l.rules.Store(new([]rule))
	return l
}

// Set lets something hold between two areas, in place of what was set between just these before; b may be "rest".
func (l *Links) Set(a, b Area, x Link) error {
	r, err := newRule(a, b, x)
	if err != nil {
		return err
	}
	l.change(func(list []rule) []rule {
		list = slices.DeleteFunc(slices.Clone(list), func(o rule) bool { return o.a == a && o.b == b })
		if x != (Link{}) {
			list = append(list, r)
		}
		return list
	})
	return nil
}

// Heal is that nothing holds between any two places any more.
func (l *Links) Heal() { l.change(func([]rule) []rule { return nil }) }

func (l *Links) change(f func([]rule) []rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := f(*l.rules.Load())
	l.rules.Store(&list)
	close(l.changed)
	l.changed = make(chan struct{})
	for s := range l.waiting {
		if !l.between(s.from, s.to).Cut {
			s.Conn.Close()
			delete(l.waiting, s)
		}
	}
}

// Play carries out a step: "cut A B", "slow A B 40ms", "lose A B 0.1", "heal A B" or "heal". Each takes the place of what was set
// between just these two.
func (l *Links) Play(step string) error {
	words := strings.Fields(step)
	bad := func(err error) error { return fmt.Errorf("link step %q: %w", step, err) }
	switch {
	case len(words) == 1 && words[0] == "heal":
		l.Heal()
		return nil
	case len(words) < 3:
		return bad(fmt.Errorf("two places are wanted"))
	}
	var x Link
	var err error
	want := 3
	switch words[0] {
	case "cut":
		x.Cut = true
	case "heal":
	case "slow", "lose":
		if want = 4; len(words) != want {
			break
		}
		if words[0] == "slow" {
			x.Delay, err = time.ParseDuration(words[3])
		} else {
			x.Loss, err = strconv.ParseFloat(words[3], 64)
		}
	default:
		return bad(fmt.Errorf("no such verb"))
	}
	if err != nil {
		return bad(err)
	}
	if len(words) != want {
		return bad(fmt.Errorf("%d words, %d are wanted", len(words), want))
	}
	if err := l.Set(Area(words[1]), Area(words[2]), x); err != nil {
		return bad(err)
	}
	return nil
}

// between is all that holds between two places, the worst of each.
func (l *Links) between(p, q Place) (x Link) {
	for _, r := range *l.rules.Load() {
		if r.between(p, q) {
			x.Cut, x.Loss, x.Delay = x.Cut || r.link.Cut, max(x.Loss, r.link.Loss), max(x.Delay, r.link.Delay)
		}
	}
	return x
}

func (l *Links) current() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// open waits until the link is not cut, and as long as it delays. over ends it early, with false.
func (l *Links) open(p, q Place, over <-chan struct{}) bool {
	for {
		changed := l.current()
		x := l.between(p, q)
		if !x.Cut && x.Delay == 0 {
			return true
		}
		var late <-chan time.Time
		if !x.Cut {
			late = time.After(x.Delay)
		}
		select {
		case <-late:
			return true
		case <-changed:
		case <-over:
			return false
		case <-l.done:
			return false
		}
	}
}

// datagram sends now, later or never.
func (l *Links) datagram(p, q Place, send func()) {
	x := l.between(p, q)
	switch {
	case x.Cut, x.Loss > 0 && rand.Float64() < x.Loss:
	case x.Delay == 0:
		send()
	default:
		l.late.Go(func() {
			select {
			case <-time.After(x.Delay):
				send()
			case <-l.done:
			}
		})
	}
}

func (l *Links) close() {
	l.mu.Lock()
	close(l.done)
	for s := range l.waiting {
		s.Conn.Close()
	}
	l.waiting = nil
	l.mu.Unlock()
	l.late.Wait()
}

// traffic counts the streams of one member, or of discovery, and the datagrams it sends.
type traffic struct {
	out, in, writes, reads  atomic.Int64
	datagrams, datagramsOut atomic.Int64 // how many, and their bytes
}

// stream is the dialler's side of a connection between two places.
type stream struct {
	net.Conn
	links    *Links
	from, to Place
	own      *traffic
	peer     *traffic // who accepts and does not count itself; nil: it does
	over     chan struct{}
	once     sync.Once
	ended    func()
}

// dial opens a stream from a member's own address.
func (l *Links) dial(ctx context.Context, self netip.Addr, from, to Place, addr string) (net.Conn, error) {
	if !l.open(from, to, ctx.Done()) {
		return nil, fmt.Errorf("dial %s: %w", addr, context.Cause(ctx))
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: self.AsSlice()}}
	return d.DialContext(ctx, "tcp", addr)
}

func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if !s.links.open(s.from, s.to, s.over) {
		return 0, net.ErrClosed
	}
	if n > 0 {
		s.own.in.Add(int64(n))
		s.own.reads.Add(1)
		if s.peer != nil {
			s.peer.out.Add(int64(n))
			s.peer.writes.Add(1)
		}
	}
	return n, err
}

func (s *stream) Write(b []byte) (int, error) {
	if !s.links.open(s.from, s.to, s.over) {
		return 0, net.ErrClosed
	}
	n, err := s.Conn.Write(b)
	s.own.out.Add(int64(n))
	s.own.writes.Add(1)
	if s.peer != nil {
		s.peer.in.Add(int64(n))
		s.peer.reads.Add(1)
	}
	return n, err
}

// Close closes it for the other side, too, unless the link is cut: then once that is healed.
func (s *stream) Close() error {
	s.once.Do(func() {
		close(s.over)
		s.ended()
		s.links.mu.Lock()
		defer s.links.mu.Unlock()
		if s.links.waiting != nil && s.links.between(s.from, s.to).Cut {
			s.Conn.SetReadDeadline(time.Unix(1, 0)) // who reads is let go
			s.links.waiting[s] = true
			return
		}
		s.Conn.Close()
	})
	return nil
}

// accepted is the other side of one: it counts.
type accepted struct {
	net.Conn
	own   *traffic
	once  sync.Once
	ended func()
}

func (c *accepted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.own.in.Add(int64(n))
		c.own.reads.Add(1)
	}
	return n, err
}

func (c *accepted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.own.out.Add(int64(n))
	c.own.writes.Add(1)
	return n, err
}

func (c *accepted) Close() error {
	c.once.Do(c.ended)
	return c.Conn.Close()
}
