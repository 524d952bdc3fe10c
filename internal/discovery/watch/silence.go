package watch

import (
	"sync"
	"time"
)

const (
	// begunEventDivisor determines how long an event may take from its first byte to its first entry or its end once
	// the timeout for silence has passed: that timeout divided by this value. With a higher value, a service that stops
	// within an event is detected sooner; with a lower one, a large list that begins late is more likely to be
	// delivered.
	begunEventDivisor = 2
	// maxEventTimeouts limits the time until an event is complete, in timeouts for silence, from the event before it
	// or from the start of the call. With a higher value, slower lists are delivered; with a lower one, an event that
	// never ends is abandoned sooner.
	maxEventTimeouts = 2
)

// silence abandons a call or a watch whose service has fallen silent. It is safe for concurrent use.
type silence struct {
	timeout time.Duration
	timer   *time.Timer // abandons the call when it fires

	mu          sync.Mutex
	silentAt    time.Time // when the call is abandoned unless something arrives
	lastEventAt time.Time // when the last complete event or empty line arrived, or the call started
	progressAt  time.Time // when entries of an event last arrived
}

// newSilence returns the silence of a call that has just started. timer is set to timeout.
func newSilence(timeout time.Duration, timer *time.Timer) *silence {
	now := time.Now()
	return &silence{timeout: timeout, timer: timer, silentAt: now.Add(timeout), lastEventAt: now}
}

// eventArrived records that an event or an empty line has arrived completely.
func (s *silence) eventArrived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEventAt = time.Now()
	s.extend(s.timeout)
}

// eventBegan records that the first byte of an event has arrived. The event then has at least a part of the timeout to
// continue (begunEventDivisor).
//
// Guard: prevents a watch from being abandoned in the middle of a large list that begins late after the event before
// it: the list would be requested again, from a service that may be overloaded. This holds for lists that continue
// within the extension, which is limited so that a service which stops within an event is noticed in time.
func (s *silence) eventBegan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extend(s.timeout / begunEventDivisor)
}

// entriesArrived records that entries of an event which is not complete have arrived.
//
// Guard: prevents a list whose transfer takes longer than the timeout from being abandoned and requested again, so that
// it never arrives. This holds for lists that arrive within maxEventTimeouts; this limit ends an event whose entries
// never end before a change that the service learned of after the last event counts as notified.
func (s *silence) entriesArrived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progressAt = time.Now()
	left := time.Until(s.lastEventAt.Add(maxEventTimeouts * s.timeout))
	s.extend(min(s.timeout, left))
}

// hasProgressed reports whether entries of an event have arrived within the last d.
func (s *silence) hasProgressed(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.progressAt) < d
}

// extend moves silentAt to d from now, unless it is later already. The caller holds s.mu.
func (s *silence) extend(d time.Duration) {
	silentAt := time.Now().Add(d)
	if silentAt.After(s.silentAt) {
		s.silentAt = silentAt
		s.timer.Reset(d)
	}
}
