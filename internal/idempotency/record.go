package idempotency

import "hazelwing/balancer"

// State tells how far the attempts with a fingerprint have come.
type State byte

// The states of a record. Their numbers are stored.
const (
	StateOpen     State = 1 // an attempt is in flight, or was when the program ended
	StateUnknown  State = 2 // all attempts have ended, and one may have run
	StateExecuted State = 3 // an attempt was answered
)

// Location is where attempts may have run.
type Location struct {
	Zone       string
	Cell       int
	SentAt     Time   // intent of the first attempt there
	BootNumber uint32 // boot of the machine in which SentAt was read
}

// Record is what is stored for a fingerprint.
type Record struct {
	Effect     balancer.Effect
	Class      string
	State      State
	IntendedAt Time // intent of the first attempt
	ExpiresAt  Time
	Locations  []Location
}

// Latest returns the latest point in time at which the record says that an attempt was intended.
func (r *Record) Latest() Time {
	latest := r.IntendedAt
	for _, location := range r.Locations {
		latest = max(latest, location.SentAt)
	}
	return latest
}
