package http1

import (
	"context"
	"errors"
	"fmt"
	"slices"
)

// errConnLimit means that the limit on open connections is reached.
var errConnLimit = errors.New("connection limit reached")

// acquireSlot acquires a slot for a new connection. If maxConns connections are open, exchanges wait for a slot in
// order of arrival, each for at most ConnectTimeout, and then end as not sent. The wait prevents a burst from using up
// all attempts of a request within a moment. The caller holds p.mu, and acquireSlot releases it.
//
// Guard: prevents the loss of a slot that is granted just as the wait for it ends: the number of usable connections
// would shrink over time. This holds because an exchange that stops waiting checks for a grant while it holds the mutex
// under which slots are granted.
func (p *Pool) acquireSlot(ctx context.Context) error {
	if p.openConns < p.maxConns {
		p.openConns++
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	p.waiters = append(p.waiters, granted)
	p.mu.Unlock()
	p.onConnLimit()
	ctx, cancel := context.WithTimeout(ctx, p.dialer.Timeout)
	defer cancel()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, granted); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	} else {
		p.releaseSlot() // a slot was granted just as the wait ended
	}
	return fmt.Errorf("%w: no connection slot became free; the limit is %d", errConnLimit, p.maxConns)
}

// releaseSlot frees a slot, or grants it to the exchange that has waited longest. The caller holds p.mu.
func (p *Pool) releaseSlot() {
	if len(p.waiters) == 0 {
		p.openConns--
		return
	}
	close(p.waiters[0])
	p.waiters = slices.Delete(p.waiters, 0, 1)
}
