package engine

import "time"

// clockHeadStart is the time between the base of the Balancer's clock and the start of the engine. An endpoint that
// started shortly before the engine is still warming up, so the clock must be able to represent its start time.
const clockHeadStart = time.Hour

// clock is the Balancer's clock. It counts the time since base and is monotonic, so changes of the wall clock do not
// affect now. Times without a monotonic reading are converted by the wall clock: all times given to fromUnixMS, and
// times from outside the process given to fromTime.
type clock struct{ base time.Time }

func newClock() clock { return clock{time.Now().Add(-clockHeadStart)} }

func (c clock) now() time.Duration { return time.Since(c.base) }

func (c clock) fromTime(t time.Time) time.Duration { return t.Sub(c.base) }

func (c clock) toTime(d time.Duration) time.Time { return c.base.Add(d) }

// fromUnixMS converts Unix milliseconds. It returns 0, which means long ago, for 0 and for times before the clock's
// base.
func (c clock) fromUnixMS(ms float64) time.Duration {
	return max(0, time.Duration(ms-float64(c.base.UnixMilli()))*time.Millisecond)
}
