package engine

import "time"

// past is how long before the start the module's clock begins: a member that came up shortly before the engine did is
// still cold, and has to have a time on that clock.
const past = time.Hour

// clock is the module's clock: monotonic, but for what comes from outside as wall time.
type clock struct{ base time.Time }

func newClock() clock { return clock{time.Now().Add(-past)} }

func (c clock) now() time.Duration           { return time.Since(c.base) }
func (c clock) at(t time.Time) time.Duration { return t.Sub(c.base) }
func (c clock) time(d time.Duration) time.Time {
	return c.base.Add(d)
}

// wall maps Unix milliseconds; 0 or before the clock's begin is long ago: 0.
func (c clock) wall(ms float64) time.Duration {
	return max(0, time.Duration(ms-float64(c.base.UnixMilli()))*time.Millisecond)
}
