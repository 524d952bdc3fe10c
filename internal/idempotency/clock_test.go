package idempotency

import (
	"testing"
	"time"
)

// Guards against an idempotency window that lasts too long because wall time was set back or the machine was restarted.
// The time within one boot of the machine has to be measured by the boot clock, and the time between two boots has to
// count as unknown.
func TestClockMeasuresWithinABoot(t *testing.T) {
	wall := time.UnixMilli(1_800_000_000_000)
	first := ResumeClock(ClockState{}, 0, Reading{"a", time.Hour, wall})
	if first.BootNumber != 1 || first.At(time.Hour).Time != Time(wall.UnixMilli()) {
		t.Errorf("new timeline: clock %+v, want boot number 1 and wall time %d ms", first, wall.UnixMilli())
	}
	later := first.At(time.Hour + 5*time.Second)

	sameBoot := ResumeClock(first.ClockState, later.Time, Reading{"a", time.Hour + 8*time.Second, wall.Add(-time.Hour)})
	elapsed := sameBoot.At(time.Hour+8*time.Second).MaxElapsedSince(later.Time, later.BootNumber)
	if sameBoot.ClockState != first.ClockState || elapsed != 3001*time.Millisecond {
		t.Errorf("in the same boot: clock %+v, %v elapsed, want clock %+v, 3.001s elapsed", sameBoot, elapsed, first)
	}

	nextBoot := ResumeClock(first.ClockState, later.Time, Reading{"b", time.Second, wall.Add(-time.Minute)})
	now := nextBoot.At(time.Second)
	elapsed = now.MaxElapsedSince(later.Time, later.BootNumber)
	if now.Time != later.Time || elapsed != unknownElapsed || nextBoot.BootNumber != 2 {
		t.Errorf("in the next boot: boot number %d, time %d, %v elapsed, want boot number 2, time %d, %v elapsed",
			nextBoot.BootNumber, now.Time, elapsed, later.Time, unknownElapsed)
	}
}
