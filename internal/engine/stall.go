package engine

import (
	"time"

	"hazelwing/balancer"
)

// A host may stop all threads of a process for a while: a debugger, a laptop's lid, a machine that has no core left.
// To the process it looks as if every member had fallen silent at the same moment, and then all its timers fire at
// once. Nothing of that says anything about a member.

const (
	beatEvery = 50 * time.Millisecond
	// stallLeast is how much later than it should a beat comes at the least when the process stood still. Below it
	// is what a busy machine does to everybody now and then.
	stallLeast = 100 * time.Millisecond
	// settleTime is how long the module's timers wait after a stall, so that what lies ready on the sockets comes
	// first: it would be hedged or given up though its answer is here.
	settleTime = 10 * time.Millisecond
	// maxStalls is how many are remembered: an attempt is unlikely to live through more.
	maxStalls = 16
)

// stall is a time in which the process did not run.
type stall struct{ from, to time.Time }

// stalls notices them by a beat that comes late. It reads no clock itself.
type stalls struct {
	last    time.Time // it ran at this time for sure
	recent  []stall   // the latest last
	settled time.Time // timers wait until then
}

// start begins to look: before, there was no beat.
func (s *stalls) start(now time.Time) { s.last = now }

// look is called whenever the process does something, and at each beat while beating. It returns how long the
// process has just stood still, or 0.
func (s *stalls) look(now time.Time, beating bool) time.Duration {
	from := s.last.Add(beatEvery)
	late := now.Sub(from)
	s.last = now
	if !beating || late < stallLeast {
		return 0
	}
	if len(s.recent) == maxStalls {
		s.recent = append(s.recent[:0], s.recent[1:]...)
	}
	s.recent = append(s.recent, stall{from, now})
	s.settled = now.Add(settleTime)
	return late
}

// within is how much of the time between the two the process stood still.
func (s *stalls) within(from, to time.Time) (sum time.Duration) {
	for _, x := range s.recent {
		f, t := x.from, x.to
		if f.Before(from) {
			f = from
		}
		if t.After(to) {
			t = to
		}
		sum += max(0, t.Sub(f))
	}
	return sum
}

// correct takes from an outcome what a stall made of it. The time is not the member's. An attempt that we ended says
// nothing of the member, however long it was out, but may have run as before. A connection that did not come up may
// have done so in time for a process that ran: it counts as not tried.
func (s *stalls) correct(o *Outcome, sent, now time.Time) {
	stood := s.within(sent, now)
	if stood == 0 {
		return
	}
	o.Elapsed = max(0, o.Elapsed-stood)
	switch o.Result {
	case balancer.Timeout, balancer.Cancelled:
		// Guards against ejecting a member for two attempts that were cut short: the module counts those that were
		// out for long, and takes the time since the first of them, in which we stood still, for its silence.
		o.Result, o.Elapsed = balancer.Cancelled, 0
	case balancer.ConnectFailed:
		o.Result = balancer.NotSent
	}
}
