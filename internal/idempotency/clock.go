package idempotency

import "time"

// Time is a point on the timeline of the records, in milliseconds. The timeline continues across restarts of the
// program and never goes back. While the machine is up, the timeline follows the boot clock and ignores changes of wall
// time. After a restart of the machine it continues at wall time, or at the latest stored time of an intent or a start
// if that is later.
type Time int64

// Reading holds the values of the machine's clocks at one moment.
type Reading struct {
	BootID string        // identifies the machine's boot
	Uptime time.Duration // time since that boot, including sleep
	Wall   time.Time
}

// ClockState is the stored state of a Clock: the point at which its timeline started in the current boot.
type ClockState struct {
	BootID     string
	Uptime     time.Duration
	Time       Time
	BootNumber uint32 // number of the boot on this timeline, from 1; 0 in the zero value
}

// Clock converts readings of the boot clock to the timeline of the records, during one run of the program.
type Clock struct{ ClockState }

// ResumeClock decides where the timeline continues after a start of the program. Within the same boot of the machine it
// continues on the boot clock. In another boot it continues at the latest of wall time, the stored state and latest,
// with the next boot number. This prevents wall time that is set back from extending an idempotency window, and from
// moving the timeline back. stored is the state that the last run of the program stored, zero if there is none; latest
// has the latest time of an intent and the highest boot number in any record. The caller stores the state of the
// returned Clock if it differs from stored.
//
// Guard: prevents a record of an earlier boot from looking like one of this boot, so that a keyed request could be sent
// again after its window, if the stored state was lost. This holds because no record has the number of a new boot.
func ResumeClock(stored ClockState, latest Instant, reading Reading) Clock {
	if stored.BootNumber > 0 && stored.BootID == reading.BootID && reading.Uptime >= stored.Uptime {
		return Clock{stored}
	}
	return Clock{ClockState{
		BootID:     reading.BootID,
		Uptime:     reading.Uptime,
		Time:       max(Time(reading.Wall.UnixMilli()), latest.Time, stored.Time),
		BootNumber: max(stored.BootNumber, latest.BootNumber) + 1,
	}}
}

// At returns the instant at which the machine has been up for uptime.
func (c Clock) At(uptime time.Duration) Instant {
	return Instant{
		Time:       c.Time + Time((uptime - c.Uptime).Milliseconds()),
		BootNumber: c.BootNumber,
	}
}

// Instant is a point on the timeline together with the number of the machine's boot in which it was read.
type Instant struct {
	Time       Time
	BootNumber uint32
}

// Max returns the later time and the higher boot number of two instants.
func (i Instant) Max(other Instant) Instant {
	return Instant{Time: max(i.Time, other.Time), BootNumber: max(i.BootNumber, other.BootNumber)}
}

// unknownElapsed is the assumed duration between instants of different boots, which no clock has measured. It is longer
// than any retention: a shorter one would permit keyed requests to be sent again after a restart of the machine,
// although their idempotency window may have passed.
const unknownElapsed = 100 * 365 * 24 * time.Hour

// MaxElapsedSince returns an upper bound of the time from an earlier instant to i. The earlier instant is given by its
// time and its boot number. For instants of different boots MaxElapsedSince returns unknownElapsed.
func (i Instant) MaxElapsedSince(earlier Time, bootNumber uint32) time.Duration {
	if bootNumber != i.BootNumber {
		return unknownElapsed
	}
	return time.Duration(i.Time-earlier+1) * time.Millisecond // +1 since both times are truncated to milliseconds
}
