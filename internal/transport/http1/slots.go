package http1

import (
	"context"
	"errors"
	"slices"
)

// errConnLimit says that the pool has as many connections open as it may.
var errConnLimit = errors.New("too many connections open")

// acquireSlot waits for a slot among the open connections, but no longer than it may take to establish a connection.
// The wait prevents a burst from using up all attempts of a request within a moment. The lock is held at the call, and
// released at the return.
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
		p.releaseSlot() // it was granted as the wait ended
	}
	return errConnLimit
}

// releaseSlot frees a slot, or grants it to the exchange that has waited longest. The lock is held.
func (p *Pool) releaseSlot() {
	if len(p.waiters) == 0 {
		p.openConns--
		return
	}
	close(p.waiters[0])
	p.waiters = slices.Delete(p.waiters, 0, 1)
}
