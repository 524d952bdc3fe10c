package middleware

import (
	"fmt"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/idempotency"
)

// Transport is next with the ledger before each attempt of a call that is not safe.
func (g *Guard) Transport(next engine.Transport) engine.Transport {
	return &transport{Transport: next, g: g, members: map[string]engine.Endpoint{}}
}

// transport is used by the engine's goroutine only, as its interface says.
type transport struct {
	engine.Transport
	g       *Guard
	members map[string]engine.Endpoint // of the list: as long as that is
}

func (t *transport) Update(whole bool, entries []engine.Endpoint, told time.Time) {
	if whole {
		clear(t.members)
	}
	for _, m := range entries {
		if m.State == balancer.Removed {
			delete(t.members, m.ID)
		} else {
			t.members[m.ID] = m
		}
	}
	t.Transport.Update(whole, entries, told)
}

func (t *transport) Attempt(member string, c *engine.Call, timeout time.Duration) engine.Exchange {
	x := t.Transport.Attempt(member, c, timeout)
	if x == nil || t.g.effects[c.Class] == balancer.Idempotent {
		return x
	}
	m := t.members[member]
	return &exchange{Exchange: x, g: t.g, fp: fingerprint(c), zone: m.Zone, cell: m.Cell,
		ends: time.Now().Add(timeout), over: make(chan struct{})}
}

// exchange is an attempt that waits for its intent first.
type exchange struct {
	engine.Exchange
	g    *Guard
	fp   idempotency.Fingerprint
	zone string
	cell int
	ends time.Time

	mu    sync.Mutex
	begun bool          // the attempt itself has been started
	over  chan struct{} // closed where it never will be
}

// Run waits for the intent and then carries the attempt out. What did not go out is Moot: it never ran, and says nothing
// of its member; and what the disk took is not the member's time.
func (x *exchange) Run(begin func(any) bool) engine.Outcome {
	asked := time.Now()
	a, err := x.intend()
	if err != nil {
		x.Exchange.Cancel()
		return engine.Outcome{Result: balancer.NotSent, Err: err}
	}
	waited := time.Since(asked)
	o := x.Exchange.Run(begin)
	o.Elapsed = max(0, o.Elapsed-waited)
	if a != nil {
		x.g.ended(x.fp, a, o.Result.MayHaveRun(), o.Final)
	}
	return o
}

// Cancel ends it, also while it waits.
func (x *exchange) Cancel() {
	x.stop()
	x.Exchange.Cancel()
}

// Forbid ends it unless it has begun to write.
func (x *exchange) CancelUnsent() {
	x.stop()
	x.Exchange.CancelUnsent()
}

func (x *exchange) stop() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.begun {
		select {
		case <-x.over:
		default:
			close(x.over)
		}
	}
}

// start claims the right to go out, against stop.
func (x *exchange) start() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case <-x.over:
		return false
	default:
		x.begun = true
		return true
	}
}

// intend returns once the attempt may go out, or says why it never may. Without an attempt it goes out and nobody
// remembers it.
func (x *exchange) intend() (*idempotency.Attempt, error) {
	g := x.g
	g.mu.Lock()
	d, a, record := g.ledger.Intend(g.now(), x.fp, x.zone, x.cell)
	var done chan struct{}
	switch d {
	case idempotency.Never:
		g.mu.Unlock()
		return nil, errNever
	case idempotency.Full:
		defer g.mu.Unlock()
		g.failed(errFull)
		if g.cfg.Trouble == Continue {
			g.count.undurable++
			return nil, nil // nobody remembers it
		}
		g.count.refused++
		return nil, errFull
	case idempotency.Write:
		if g.refuses() {
			defer g.mu.Unlock()
			g.count.refused++
			g.ledger.Written(a, false)
			g.ledger.Ended(a, false, false)
			return nil, fmt.Errorf("%w: %w", errNotDurable, g.trouble)
		}
		done = g.begin(x.fp, a, record)
	case idempotency.Wait:
		done = g.writing[x.fp]
	}
	g.mu.Unlock()
	var err error
	if done != nil {
		timer := time.NewTimer(time.Until(x.ends))
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
			err = errGivenUp
		case <-x.over:
			err = errGivenUp
		}
	}
	if err == nil {
		err = g.covered(a)
	}
	if err == nil && !x.start() {
		err = errGivenUp
	}
	if err != nil {
		g.giveUp(x.fp, a, done)
		return nil, err
	}
	return a, nil
}
