package idempotency

import "time"

// Time is a point of the ledger's own line of time, in milliseconds. It goes on over restarts and never goes back: while
// the machine is up it follows the machine's boot clock, whatever becomes of wall time, and a restart of the machine
// continues it by wall time, where that has moved on.
type Time int64

// Reading is what the machine's clocks say.
type Reading struct {
	Boot string        // names this run of the machine
	Up   time.Duration // since it began, sleep included
	Wall time.Time
}

// Saved is where a line of time was taken up, as the disk keeps it.
type Saved struct {
	Boot   string
	Up     time.Duration
	At     Time
	Number uint32 // of the machine's run, counted
}

// Line is the line of time of one life of the program.
type Line struct{ Saved }

// Resume takes up a line of time: saved is what the last life was told to keep (zero: none), last the latest Time that
// is known to have been. What the returned line has Saved is to be kept where it differs.
func Resume(saved Saved, last Time, r Reading) Line {
	if saved.Number > 0 && saved.Boot == r.Boot && r.Up >= saved.Up {
		return Line{saved}
	}
	return Line{Saved{Boot: r.Boot, Up: r.Up, At: max(Time(r.Wall.UnixMilli()), last, saved.At), Number: saved.Number + 1}}
}

// Now is the line's point at a time that the machine has been up for.
func (l Line) Now(up time.Duration) Now {
	return Now{At: l.At + Time((up - l.Up).Milliseconds()), Boot: l.Number}
}

// Now is a point of time, and the run of the machine that it is in.
type Now struct {
	At   Time
	Boot uint32
}

// forever is longer than anything is remembered.
const forever = 100 * 365 * 24 * time.Hour

// AtMost is how much time has passed at most since another point: forever, where the machine was restarted between, since
// nothing has measured that.
func (n Now) AtMost(then Time, boot uint32) time.Duration {
	if boot != n.Boot {
		return forever
	}
	return time.Duration(n.At-then+1) * time.Millisecond // both were cut to whole milliseconds
}
