package idempotency

import (
	"slices"

	"hazelwing/balancer"
)

// entry is the state that a Tracker keeps for a fingerprint. Its method record returns the part that is stored.
type entry struct {
	fingerprint    Fingerprint
	effect         balancer.Effect
	class          string
	state          State
	intendedAt     Time // time of the first attempt's intent; 0 if there has been no attempt
	expiresAt      Time
	locations      []*location
	requests       int  // number of requests in flight
	attempts       int  // number of attempts that have begun and not ended
	writeInFlight  bool // the record is being written
	writeAttempted bool // a write of the record was started, so that the record may be stored
	isReleased     bool // no longer needed, but still in Tracker.byExpiry until expire or release removes it
	isUnstored     bool // remembered without a stored record, because there were Config.MaxEntries others
	isRestored     bool // restored from an earlier run of the program
}

// location is a Location with the state that is not stored.
type location struct {
	Location
	possibleRuns int  // number of attempts that may have run at the location
	isDurable    bool // a durable record contains the location
}

// addPossibleRun counts an attempt at the entry's last location, or at a new location if the entry has none. The last
// location is used even if the attempt is sent to another zone or cell: BeginAttempt allows an attempt only inside the
// idempotency scope of all locations, so that both are in the same scope. The location keeps the SentAt of its first
// attempt, whose idempotency window ends first.
func (e *entry) addPossibleRun(now Instant, at balancer.Location) *location {
	var l *location
	if len(e.locations) > 0 {
		l = e.locations[len(e.locations)-1]
	} else {
		l = &location{Location: Location{Location: at, SentAt: now.Time, BootNumber: now.BootNumber}}
		e.locations = append(e.locations, l)
	}
	l.possibleRuns++
	return l
}

// removePossibleRun undoes addPossibleRun for an attempt that never ran. It removes the location if no other attempt
// may have run there.
func (e *entry) removePossibleRun(l *location) {
	l.possibleRuns--
	if l.possibleRuns == 0 {
		e.locations = slices.DeleteFunc(e.locations, func(other *location) bool { return other == l })
	}
}

// record returns the record to store for the entry.
func (e *entry) record() Record {
	r := Record{
		Effect:     e.effect,
		Class:      e.class,
		State:      e.state,
		IntendedAt: e.intendedAt,
		ExpiresAt:  e.expiresAt,
		Locations:  make([]Location, len(e.locations)),
	}
	for i, l := range e.locations {
		r.Locations[i] = l.Location
	}
	return r
}
