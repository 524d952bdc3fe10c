package engine

import (
	"time"

	"hazelwing/balancer"
)

// A host may stop all threads of a process for a while: a debugger, a suspended laptop, a machine that has no free
// core. To the process it looks as if every endpoint had fallen silent at the same moment, and afterwards all its
// timers fire at once. None of that says anything about an endpoint.

const (
	heartbeatInterval = 50 * time.Millisecond
	// minStall is how late a heartbeat must come to count as a stall. A busy machine delays any process by less.
	minStall = 100 * time.Millisecond
	// settlePeriod is how long the Balancer's timers wait after a stall, so that answers that lie ready on the
	// sockets are handled first: their attempts would be hedged or given up otherwise.
	settlePeriod = 10 * time.Millisecond
	// maxStalls is how many stalls are remembered: an attempt is unlikely to outlast more.
	maxStalls = 16
)

// stall is a time in which the process did not run.
type stall struct {
	from time.Time
	to   time.Time
}

// stalls detects stalls by heartbeats that come late. It does not read the clock itself.
type stalls struct {
	lastRunAt time.Time // when the process was last known to run
	recent    []stall   // the latest is the last
	settledAt time.Time // timers wait until then
}

// start begins a time with heartbeats.
func (s *stalls) start(now time.Time) { s.lastRunAt = now }

// check is called whenever the process does something, heartbeats included; beating says whether there are any. It
// returns how long the process has just been stalled, or 0.
func (s *stalls) check(now time.Time, beating bool) time.Duration {
	from := s.lastRunAt.Add(heartbeatInterval)
	late := now.Sub(from)
	s.lastRunAt = now
	if !beating || late < minStall {
		return 0
	}
	if len(s.recent) == maxStalls {
		s.recent = append(s.recent[:0], s.recent[1:]...)
	}
	s.recent = append(s.recent, stall{from, now})
	s.settledAt = now.Add(settlePeriod)
	return late
}

// within returns how long the process was stalled between two times.
func (s *stalls) within(from, to time.Time) (sum time.Duration) {
	for _, x := range s.recent {
		start, end := x.from, x.to
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(0, end.Sub(start))
	}
	return sum
}

// correct removes a stall's effects from an outcome. The stall's time is not the endpoint's. An attempt that this
// process ended says nothing of the endpoint, however long it was outstanding, but may have run. A connection that
// did not come up might have done so in time without the stall: it counts as not tried.
func (s *stalls) correct(o *Outcome, sentAt, now time.Time) {
	stalled := s.within(sentAt, now)
	if stalled == 0 {
		return
	}
	o.Elapsed = max(0, o.Elapsed-stalled)
	switch o.Result {
	case balancer.Timeout, balancer.Cancelled:
		// The Balancer counts attempts that were cut short after a long time, and would take the time since the first
		// of them, with the stall, for the endpoint's silence: two such attempts would eject it.
		o.Result = balancer.Cancelled
		o.Elapsed = 0
	case balancer.ConnectFailed:
		o.Result = balancer.NotSent
	}
}
