package engine

import (
	"time"

	"hazelwing/balancer"
)

// The operating system may suspend all threads of a process for a while, for example under a debugger, on a suspended
// laptop, or on a machine without a free core. To the process, it appears as if all endpoints had stopped responding at
// the same moment, and afterwards all its timers fire at once. None of this is evidence about an endpoint. Without the
// rules in this file, a stalled process would eject healthy endpoints, and would hedge or abandon attempts whose
// answers are already in its socket buffers.

const (
	// heartbeatInterval is the interval at which a process with calls in flight records that it is running. A higher
	// value wakes the process less often and determines the start of a stall less precisely.
	heartbeatInterval = 50 * time.Millisecond
	// minStall is the minimum delay of a heartbeat that counts as a stall. It exceeds the scheduling delays of a busy
	// machine. With a higher value, more delays of this process are attributed to endpoints; with a lower value, slow
	// endpoints are excused by delays that did not affect them.
	minStall = 100 * time.Millisecond
	// postStallTimerDelay is how long the Balancer's timers are delayed after a stall, so that answers already in the
	// socket buffers are handled first. Their attempts would otherwise be hedged or abandoned. A higher value delays
	// deadlines and hedged requests more after each stall.
	postStallTimerDelay = 10 * time.Millisecond
	// maxStalls is the number of stalls that are remembered; an attempt is unlikely to span more. A higher value makes
	// the handling of each outcome slower.
	maxStalls = 16
)

// stall is an interval in which the process did not run.
type stall struct {
	from time.Time
	to   time.Time
}

// stalls detects stalls from late heartbeats. Its methods receive the current time as an argument.
type stalls struct {
	lastRunAt          time.Time // when the process was last known to run
	recent             []stall   // oldest first
	timersDelayedUntil time.Time // timers do not fire before this time
}

// start records that the heartbeats start at now.
func (s *stalls) start(now time.Time) { s.lastRunAt = now }

// detect must be called whenever the process handles an event or a heartbeat. heartbeats reports whether the heartbeat
// ticker is running. detect returns the duration of a stall that has just ended, or 0.
func (s *stalls) detect(now time.Time, heartbeats bool) time.Duration {
	from := s.lastRunAt.Add(heartbeatInterval)
	late := now.Sub(from)
	s.lastRunAt = now
	if !heartbeats || late < minStall {
		return 0
	}
	if len(s.recent) == maxStalls {
		s.recent = append(s.recent[:0], s.recent[1:]...)
	}
	s.recent = append(s.recent, stall{from, now})
	s.timersDelayedUntil = now.Add(postStallTimerDelay)
	return late
}

// durationBetween returns the total duration of the stalls between from and to.
func (s *stalls) durationBetween(from, to time.Time) (sum time.Duration) {
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

// correctOutcome decides how an outcome is attributed to its endpoint if this process was stalled between sentAt and
// now. The duration of the stall is subtracted from the elapsed time. A time-out or cancellation by this process
// provides no information about the endpoint, but the attempt may have run. A connection that failed might have been
// established without the stall, so the attempt counts as not sent.
//
// Guard: prevents a stalled process from ejecting healthy endpoints: the Balancer would mistake the stall for
// unresponsive endpoints, and would stop sending to an endpoint after two such attempts. This holds because every
// outcome is corrected here before the Balancer receives it.
func (s *stalls) correctOutcome(o *Outcome, sentAt, now time.Time) {
	stalled := s.durationBetween(sentAt, now)
	if stalled == 0 {
		return
	}
	o.Elapsed = max(0, o.Elapsed-stalled)
	switch o.Result {
	case balancer.Timeout, balancer.Cancelled:
		o.Result = balancer.Cancelled
		o.Elapsed = 0
	case balancer.ConnectFailed:
		o.Result = balancer.NotSent
	}
}
