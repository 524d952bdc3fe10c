// Package budget accounts for the memory that a process holds for its clients and endpoints. Each buffer has a limit of
// its own; an Account limits their sum. The package does no I/O and does not read the clock.
//
// The memory that is not accounted for, because it does not grow with what others send, is that of the runtime, of the
// endpoint list, and a fixed amount for each connection, which the limits on connections bound.
package budget

import (
	"slices"
	"sync"
)

// Use is a purpose for which memory is held.
type Use int

// The uses, in the order in which they lose: the first is the first to be refused.
const (
	ReadAhead Use = iota // data that clients send behind their open requests
	Requests             // heads and bodies of requests
	Responses            // bodies of responses, whose requests have run
	numUses
)

// The shares of the capacity up to which the memory of all uses together may grow by an acquisition for a use. The rest
// is left to the uses that lose later. With a higher share, a use has more memory while the others need little.
const (
	readAheadShare = 0.25
	requestShare   = 0.75
	responseShare  = 1.0
)

// shares are the shares by use.
//
// Guard: prevents data that nobody waits for, or requests that have not run, from taking the memory for the responses
// of requests that have. The symptom is a request that has run and fails. This holds because only Responses may use
// the whole capacity.
var shares = [numUses]float64{ReadAhead: readAheadShare, Requests: requestShare, Responses: responseShare}

// Account limits the memory that is held. It is safe for concurrent use. A nil Account has no limit.
type Account struct {
	capacity int64

	mu      sync.Mutex
	held    [numUses]int64
	total   int64
	peak    int64
	refused [numUses]int64
	reclaim []func() bool
	waiters []*waiter // in order of arrival
}

// waiter waits for memory.
type waiter struct {
	use     Use
	n       int64
	granted chan struct{} // closed when the memory is acquired
}

// State is the state of an Account, as shown by the admin endpoint. All but Refused are bytes.
type State struct {
	Capacity  int64 `json:"capacity"`
	ReadAhead int64 `json:"read_ahead"`
	Requests  int64 `json:"requests"`
	Responses int64 `json:"responses"`
	Peak      int64 `json:"peak"`
	Refused   int64 `json:"refused"` // number of acquisitions that were refused
}

// NewAccount returns an Account with the given capacity in bytes.
func NewAccount(capacity int64) *Account { return &Account{capacity: capacity} }

// Acquire reports whether n more bytes may be held for a use, and records them if so.
func (a *Account) Acquire(use Use, n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(use, n) {
		a.refused[use]++
		return false
	}
	a.add(use, n)
	return true
}

// fits reports whether n more bytes may be held for a use. The caller holds a.mu.
func (a *Account) fits(use Use, n int64) bool {
	return a.total+n <= int64(shares[use]*float64(a.capacity))
}

// wait returns a waiter for n bytes, whose turn comes after those that wait already.
func (a *Account) wait(use Use, n int64) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := &waiter{use: use, n: n, granted: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	a.grant()
	return w
}

// cancel ends the wait of w. It reports whether the memory was granted before.
func (a *Account) cancel(w *waiter) (granted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return true
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	a.grant()
	return false
}

// grant acquires memory for the waiters whose turn has come. The caller holds a.mu.
func (a *Account) grant() {
	for len(a.waiters) > 0 && a.fits(a.waiters[0].use, a.waiters[0].n) {
		w := a.waiters[0]
		a.waiters = slices.Delete(a.waiters, 0, 1)
		a.add(w.use, w.n)
		close(w.granted)
	}
}

// Release records that n bytes of a use are not held any more.
func (a *Account) Release(use Use, n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(use, -n)
	a.grant()
}

// OnShortage adds a function that frees memory whose holders make no progress, and reports whether it did. It is called
// from any goroutine that waits for memory.
func (a *Account) OnShortage(reclaim func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reclaim = append(a.reclaim, reclaim)
}

// Reclaim frees memory whose holders make no progress, and reports whether there was any.
func (a *Account) Reclaim() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	functions := a.reclaim
	a.mu.Unlock()
	for _, reclaim := range functions {
		if reclaim() {
			return true
		}
	}
	return false
}

// add changes the memory of a use by n bytes. The caller holds a.mu.
func (a *Account) add(use Use, n int64) {
	a.held[use] += n
	a.total += n
	a.peak = max(a.peak, a.total)
}

// State returns the current state.
func (a *Account) State() State {
	if a == nil {
		return State{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := State{
		Capacity:  a.capacity,
		ReadAhead: a.held[ReadAhead],
		Requests:  a.held[Requests],
		Responses: a.held[Responses],
		Peak:      a.peak,
	}
	for _, n := range a.refused {
		s.Refused += n
	}
	return s
}
