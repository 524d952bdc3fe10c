package watch

import (
	"sync"
	"time"
)

// begunEventDivisor determines how long an event may take from its first to its last byte once the timeout for silence
// has passed: that timeout divided by this value. With a higher value, a service that stops within an event is detected
// sooner; with a lower one, a large list that begins late is more likely to be delivered.
const begunEventDivisor = 2

// silence abandons a watch whose service has fallen silent. It is safe for concurrent use.
type silence struct {
	timeout time.Duration
	timer   *time.Timer // abandons the watch when it fires

	mu       sync.Mutex
	silentAt time.Time // when the watch is abandoned unless an event or an empty line arrives
}

// newSilence returns the silence of a watch whose first event has just arrived.
func newSilence(timeout time.Duration, timer *time.Timer) *silence {
	s := &silence{timeout: timeout, timer: timer}
	s.eventArrived()
	return s
}

// eventArrived records that an event or an empty line has arrived completely.
func (s *silence) eventArrived() { s.extend(s.timeout) }

// eventBegan records that the first byte of an event has arrived. The event then has at least a part of the timeout to
// arrive completely (begunEventDivisor).
//
// Guard: prevents a watch from being abandoned in the middle of a large list that begins late after the event before
// it: the list would be requested again, from a service that may be overloaded. This holds for lists that arrive within
// the extension, which is limited so that a service which stops within an event is noticed in time.
func (s *silence) eventBegan() { s.extend(s.timeout / begunEventDivisor) }

// extend moves silentAt to d from now, unless it is later already.
func (s *silence) extend(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silentAt := time.Now().Add(d)
	if silentAt.After(s.silentAt) {
		s.silentAt = silentAt
		s.timer.Reset(d)
	}
}
