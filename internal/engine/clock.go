package engine

import "time"

// clockHeadStart is how long before the engine's start the Balancer's clock begins: an endpoint that started shortly
// before the engine is still warming up, and needs a start time on that clock.
const clockHeadStart = time.Hour

// clock is the Balancer's clock: monotonic, except for times from outside, which are wall times.
type clock struct{ base time.Time }

func newClock() clock { return clock{time.Now().Add(-clockHeadStart)} }

func (c clock) now() time.Duration { return time.Since(c.base) }

func (c clock) at(t time.Time) time.Duration { return t.Sub(c.base) }

func (c clock) timeAt(d time.Duration) time.Time { return c.base.Add(d) }

// fromUnixMS converts Unix milliseconds; 0 or a time before the clock's begin is long ago: 0.
func (c clock) fromUnixMS(ms float64) time.Duration {
	return max(0, time.Duration(ms-float64(c.base.UnixMilli()))*time.Millisecond)
}
