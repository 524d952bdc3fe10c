package budget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errReleased means that a Reservation has no holder.
var errReleased = errors.New("reservation was released")

// Reservation is memory of an Account for one purpose, which grows until its last holder releases it. It is safe for
// concurrent use. A nil Reservation never refuses to grow.
type Reservation struct {
	account *Account
	use     Use

	mu      sync.Mutex
	bytes   int64
	holders int
}

// Reserve returns an empty Reservation with one holder.
func (a *Account) Reserve(use Use) *Reservation {
	return &Reservation{account: a, use: use, holders: 1}
}

// Grow reports whether n more bytes may be held, and records them if so. It returns false after the last holder has
// released the Reservation.
func (r *Reservation) Grow(n int64) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders == 0 || !r.account.Acquire(r.use, n) {
		return false
	}
	r.bytes += n
	return true
}

// GrowWait is like Grow, but waits until there is memory, in the order of the calls. While it waits, it calls
// whileWaiting for each value of tick. It returns the context's error if ctx ends first, and errReleased if the last
// holder has released the Reservation.
func (r *Reservation) GrowWait(ctx context.Context, n int64, tick <-chan time.Time, whileWaiting func()) error {
	if r == nil || r.account == nil {
		return nil
	}
	w := r.account.wait(r.use, n)
	for {
		select {
		case <-w.granted:
			return r.addGranted(n)
		case <-tick:
			whileWaiting()
		case <-ctx.Done():
			if r.account.cancel(w) {
				return r.addGranted(n)
			}
			return context.Cause(ctx)
		}
	}
}

// addGranted adds memory that the account has granted.
func (r *Reservation) addGranted(n int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders == 0 {
		r.account.Release(r.use, n)
		return errReleased
	}
	r.bytes += n
	return nil
}

// Retain adds a holder, and reports whether it did. It does not if the last holder has released the Reservation.
func (r *Reservation) Retain() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders == 0 {
		return false
	}
	r.holders++
	return true
}

// Release removes a holder. With the last one, the memory returns to the Account. It does nothing without a holder.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders == 0 {
		return
	}
	if r.holders--; r.holders == 0 {
		r.account.Release(r.use, r.bytes)
		r.bytes = 0
	}
}

// Bytes returns the number of bytes that are held.
func (r *Reservation) Bytes() int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}
