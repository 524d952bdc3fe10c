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
	first := ResumeClock(ClockState{}, Instant{}, Reading{"a", time.Hour, wall})
	if first.BootNumber != 1 || first.At(time.Hour).Time != Time(wall.UnixMilli()) {
		t.Errorf("new timeline: clock %+v, want boot number 1 and wall time %d ms", first, wall.UnixMilli())
	}
	later := first.At(time.Hour + 5*time.Second)

	sameBoot := ResumeClock(first.ClockState, later, Reading{"a", time.Hour + 8*time.Second, wall.Add(-time.Hour)})
	elapsed := sameBoot.At(time.Hour+8*time.Second).MaxElapsedSince(later.Time, later.BootNumber)
	if sameBoot.ClockState != first.ClockState || elapsed != 3001*time.Millisecond {
		t.Errorf("in the same boot: clock %+v, %v elapsed, want clock %+v, 3.001s elapsed", sameBoot, elapsed, first)
	}

	nextBoot := ResumeClock(first.ClockState, later, Reading{"b", time.Second, wall.Add(-time.Minute)})
	now := nextBoot.At(time.Second)
	elapsed = now.MaxElapsedSince(later.Time, later.BootNumber)
	if now.Time != later.Time || elapsed != unknownElapsed || nextBoot.BootNumber != 2 {
		t.Errorf("in the next boot: boot number %d, time %d, %v elapsed, want boot number 2, time %d, %v elapsed",
			nextBoot.BootNumber, now.Time, elapsed, later.Time, unknownElapsed)
	}
}

// Guards against a keyed request that runs again after its window: the stored state of the clock cannot be decoded, and
// boots are numbered from 1 again, so that the time since an attempt of an earlier boot looks like a measured one.
func TestLostClockStateIsAnotherBoot(t *testing.T) {
	wall := time.UnixMilli(1_800_000_000_000)
	record := Record{IntendedAt: Time(wall.UnixMilli()), Locations: []Location{
		{SentAt: Time(wall.UnixMilli()), BootNumber: 1},
		{SentAt: Time(wall.UnixMilli()) + 1000, BootNumber: 3},
	}}
	for _, bootID := range []string{"the same", "another one"} {
		clock := ResumeClock(ClockState{}, record.Latest(), Reading{bootID, time.Minute, wall.Add(-time.Hour)})
		now := clock.At(time.Minute + time.Second)
		if clock.BootNumber != 4 || now.Time != record.Locations[1].SentAt+1000 {
			t.Errorf("boot ID %q: boot number %d, time %d; want 4, and a time after the latest intent",
				bootID, clock.BootNumber, now.Time)
		}
		for _, location := range record.Locations {
			if elapsed := now.MaxElapsedSince(location.SentAt, location.BootNumber); elapsed != unknownElapsed {
				t.Errorf("boot ID %q: %v have elapsed since the attempt in boot %d, want the time to be unknown",
					bootID, elapsed, location.BootNumber)
			}
		}
	}
}
