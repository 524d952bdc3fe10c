package engine

import (
	"testing"
	"time"
)

// An endpoint that started shortly before the sidecar is still warming up, so its start time must not be converted to
// 0, which means long ago.
func TestClockConversions(t *testing.T) {
	c := newClock()
	startedAtMS := float64(time.Now().Add(-3 * time.Second).UnixMilli())
	if age := c.now() - c.fromUnixMS(startedAtMS); age < 2*time.Second || age > time.Minute {
		t.Errorf("an endpoint that started 3 s ago has age %v, want 2 s to 1 min", age)
	}
	first := c.fromUnixMS(startedAtMS)
	second := c.fromUnixMS(startedAtMS)
	beforeBase := c.fromUnixMS(float64(c.base.UnixMilli() - 1))
	if first != second {
		t.Errorf("fromUnixMS(%v) returned %v, then %v, want the same time twice", startedAtMS, first, second)
	}
	if unixZero := c.fromUnixMS(0); unixZero != 0 || beforeBase != 0 {
		t.Errorf("Unix time 0 is %v, and 1 ms before the clock's base is %v, want 0 for both", unixZero, beforeBase)
	}
	now := c.now()
	if got := c.fromTime(c.toTime(now)); got != now {
		t.Errorf("fromTime(toTime(%v)) returned %v, want the same time", now, got)
	}
}
