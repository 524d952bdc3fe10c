package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Link is the state of the network between two locations. Loss does not apply to streams, since the kernel retransmits
// lost packets.
type Link struct {
	Cut bool
	// LossRate is the share of datagrams that are lost.
	LossRate float64
	// Delay is the delay in each direction.
	Delay time.Duration
}

// Links has the state of the links between all locations of a cluster. Its methods may be called concurrently.
//
// A stream over a cut link stalls: nothing is read or written until the link is healed. If one side closes the stream
// in the meantime, the other side sees the close only after the link is healed, since no packet arrives before.
type Links struct {
	mu      sync.Mutex
	rules   atomic.Pointer[[]rule]
	changed chan struct{} // closed when the rules change
	// closing has the streams that were closed while their link was cut. Their connections are still open.
	closing map[*stream]bool
	done    chan struct{}
	delayed sync.WaitGroup // datagrams that are being delayed
}

func newLinks() *Links {
	l := &Links{changed: make(chan struct{}), closing: map[*stream]bool{}, done: make(chan struct{})}
	l.rules.Store(new([]rule))
	return l
}

// Set sets the link between two areas. It replaces an earlier setting for the same areas in the same order. b may be
// "rest", which means all locations outside a. The zero Link removes the earlier setting.
func (l *Links) Set(a, b Area, link Link) error {
	added, err := newRule(a, b, link)
	if err != nil {
		return err
	}
	l.change(func(rules []rule) []rule {
		rules = slices.DeleteFunc(slices.Clone(rules), func(r rule) bool { return r.a == a && r.b == b })
		if link != (Link{}) {
			rules = append(rules, added)
		}
		return rules
	})
	return nil
}

// Heal removes all links that were set.
func (l *Links) Heal() { l.change(func([]rule) []rule { return nil }) }

// change replaces the rules. For links that are no longer cut, it closes the connections of streams that were closed
// during the cut.
func (l *Links) change(newRules func([]rule) []rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rules := newRules(*l.rules.Load())
	l.rules.Store(&rules)
	close(l.changed)
	l.changed = make(chan struct{})
	for s := range l.closing {
		if !l.linkBetween(s.from, s.to).Cut {
			_ = s.Conn.Close() // the stream's user has closed it already, so there is no one to report an error to
			delete(l.closing, s)
		}
	}
}

// linkBetween returns the link between two locations. If several rules apply, the link has the worst value of each
// property.
func (l *Links) linkBetween(p, q Location) (link Link) {
	for _, r := range *l.rules.Load() {
		if r.matches(p, q) {
			link.Cut = link.Cut || r.link.Cut
			link.LossRate, link.Delay = max(link.LossRate, r.link.LossRate), max(link.Delay, r.link.Delay)
		}
	}
	return link
}

// nextChange returns a channel that is closed when the rules change.
func (l *Links) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// waitOpen waits until the link between two locations is not cut, and then for the link's delay. If the rules change
// during the delay, the wait begins again. It returns false if cancelled is closed, or the links are closed, during the
// wait.
func (l *Links) waitOpen(p, q Location, cancelled <-chan struct{}) bool {
	for {
		changed := l.nextChange()
		link := l.linkBetween(p, q)
		if !link.Cut && link.Delay == 0 {
			return true
		}
		var delayOver <-chan time.Time
		if !link.Cut {
			delayOver = time.After(link.Delay)
		}
		select {
		case <-delayOver:
			return true
		case <-changed:
		case <-cancelled:
			return false
		case <-l.done:
			return false
		}
	}
}

// sendDatagram calls send at once, or after the link's delay, or not at all if the link is cut or loses the datagram.
func (l *Links) sendDatagram(p, q Location, send func()) {
	link := l.linkBetween(p, q)
	switch {
	case link.Cut, link.LossRate > 0 && rand.Float64() < link.LossRate:
	case link.Delay == 0:
		send()
	default:
		l.delayed.Go(func() {
			select {
			case <-time.After(link.Delay):
				send()
			case <-l.done:
			}
		})
	}
}

// dial opens a stream to addr from the address self, as soon as the link permits.
func (l *Links) dial(ctx context.Context, self netip.Addr, from, to Location, addr string) (net.Conn, error) {
	if !l.waitOpen(from, to, ctx.Done()) {
		return nil, fmt.Errorf("dial %s: %w", addr, context.Cause(ctx))
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: self.AsSlice()}}
	return d.DialContext(ctx, "tcp", addr)
}

// close closes the connections of the streams in l.closing, cancels the delayed datagrams, and waits for their
// goroutines.
func (l *Links) close() {
	l.mu.Lock()
	close(l.done)
	for s := range l.closing {
		_ = s.Conn.Close() // the stream's user has closed it already, so there is no one to report an error to
	}
	l.closing = nil
	l.mu.Unlock()
	l.delayed.Wait()
}
