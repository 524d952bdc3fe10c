package idempotency

import "hazelwing/balancer"

// State is the progress of the attempts with a fingerprint.
type State byte

// The states of a record. Their numbers are stored.
const (
	StateOpen     State = 1 // an attempt is in flight, or was when the program ended
	StateUnknown  State = 2 // all attempts have ended, and at least one may have run
	StateExecuted State = 3 // at least one attempt was answered
)

// Location stands for attempts in one idempotency scope that may have run. The embedded location is that of the first
// of them.
type Location struct {
	balancer.Location
	SentAt     Time   // time of the intent of the first attempt at this location
	BootNumber uint32 // number of the machine's boot in which SentAt was read
}

// Record is the stored state of a fingerprint.
type Record struct {
	Effect     balancer.Effect
	Class      string
	State      State
	IntendedAt Time // time of the intent of the first attempt
	ExpiresAt  Time
	Locations  []Location
}

// Latest returns the latest time of an intent in the record, and the highest number of a boot.
func (r *Record) Latest() Instant {
	latest := Instant{Time: r.IntendedAt}
	for _, location := range r.Locations {
		latest = latest.Max(Instant{Time: location.SentAt, BootNumber: location.BootNumber})
	}
	return latest
}
