package idempotency

import "slices"

// release removes an entry unless an attempt is in flight or may have run. If requests with the fingerprint are still
// in flight, a new entry takes its place.
func (t *Tracker) release(e *entry) {
	if len(e.locations) > 0 || e.attempts > 0 {
		return
	}
	if e.intendedAt != 0 { // the entry had attempts; a later attempt of a request in flight needs a new entry
		e.isReleased = true
		t.releasedCount++
		if t.releasedCount > len(t.byExpiry)/2 {
			t.byExpiry = slices.DeleteFunc(t.byExpiry, func(e *entry) bool { return e.isReleased })
			t.releasedCount = 0
		}
		e = &entry{
			fingerprint: e.fingerprint,
			effect:      e.effect,
			class:       e.class,
			requests:    e.requests,
		}
		t.entries[e.fingerprint] = e
	}
	if e.requests == 0 {
		delete(t.entries, e.fingerprint)
	}
}

// expire removes the entries whose retention has passed. An entry with requests or attempts in flight stays until they
// have ended, even if its retention has passed, and so do the entries after it in byExpiry.
func (t *Tracker) expire(now Instant) {
	count := 0
	for _, e := range t.byExpiry {
		if e.isReleased {
			t.releasedCount--
			count++
			continue
		}
		if e.expiresAt > now.Time || e.attempts > 0 || e.requests > 0 {
			break
		}
		delete(t.entries, e.fingerprint)
		delete(t.open, e.fingerprint)
		count++
	}
	t.byExpiry = t.byExpiry[count:]
}
