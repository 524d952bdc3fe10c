package engine

import (
	"testing"
	"time"
)

// An endpoint that started shortly before the sidecar is still warming up: its start time must not count as long ago.
func TestClockConversions(t *testing.T) {
	c := newClock()
	startedAtMS := float64(time.Now().Add(-3 * time.Second).UnixMilli())
	if age := c.now() - c.fromUnixMS(startedAtMS); age < 2*time.Second || age > time.Minute {
		t.Errorf("the age of an endpoint started 3 s ago is %v", age)
	}
	first := c.fromUnixMS(startedAtMS)
	second := c.fromUnixMS(startedAtMS)
	beforeBase := c.fromUnixMS(float64(c.base.UnixMilli() - 1))
	if first != second || c.fromUnixMS(0) != 0 || beforeBase != 0 {
		t.Error("a time before the clock's base is not 0, or a conversion is not repeatable")
	}
	if now := c.now(); c.at(c.timeAt(now)) != now {
		t.Error("at does not invert timeAt")
	}
}
