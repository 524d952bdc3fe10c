// Package backoff decides when discovery is called: after a failure, beside a call that hangs, and for the whole list
// beside a watch. Decisions without I/O; its tests are the scripts under testdata, and the sums that it is made for
// stand in docs/design/crossings.md.
//
// Two things pull at it. A change counts as told 6 s after discovery had it and could be reached, whatever became of the
// calls meanwhile: of several calls one has to come through in that time. And all sidecars of a fleet call together
// when discovery has failed or silenced them together. So calls are spaced from beginning to beginning: one that was
// turned away late is followed soon, one that was turned away at once is not, and no sidecar begins more than three
// in any second. Once the 6 s are lost, calls are as rare as all sidecars together may make them.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// Told is when a change counts as told, from when discovery had it and could be reached.
	NotificationDeadline = 6 * time.Second
	// Silence is when a watch counts as dead, and a call that has brought no line is given up: an empty line comes every
	// 2 s. Guards against a discovery that is cut off and says nothing, where TCP notices nothing.
	SilenceTimeout = 2500 * time.Millisecond
	// Beside is when a call that has brought nothing gets another one beside it. Guards against one that hangs: given up
	// first, it leaves no time for a second failure. It is above what a call may wait for its turn (1 s on the platform).
	HedgeDelay = SilenceTimeout / 2
	// Most is how many calls one attempt makes so, of which two are out at a time.
	MaxAttempts = 3
)

// Config is how calls are spaced. Times are spread by chance, so that sidecars do not stay together.
type Config struct {
	// Soon is the pause after a failure at least: between Soon/4 and Soon.
	RetryDelay time.Duration
	// Space is from the beginning of a call to that of the next while news may come in time, times 0.75 to 1.25.
	FastInterval time.Duration
	// Later is the same from then on, doubled with each failure up to LaterMost.
	SlowInterval, MaxInterval time.Duration
}

const (
	soon     = 250 * time.Millisecond
	space    = 600 * time.Millisecond
	laterMin = space
	laterMax = 2 * time.Second
	// fleetCalls is how many calls a second all sidecars may make in the long run, to a discovery that turns them away;
	// more where each would call less than once in laterMax. It is what 300 have always made.
	fleetCalls = 150
)

// Service is for a discovery that n sidecars ask.
func ServiceConfig(n int) Config {
	later := min(max(time.Duration(n)*time.Second/fleetCalls, laterMin), laterMax)
	return Config{RetryDelay: soon, FastInterval: space, SlowInterval: later, MaxInterval: later}
}

// Agent is for one on this machine: calls cost nothing. What it learns when discovery comes back counts as told at once:
// the pause stays below the least grace of a drain.
func AgentConfig() Config { return Config{RetryDelay: 100 * time.Millisecond} }

// First is how long the whole list beside a watch that tells the changes anyhow is waited with, times 0.5 to 1.5. Guards
// against a discovery of fixed capacity to which all instances were moved at once: with a list and a watch of each in
// the same second it turned both away, and who had no watch heard of no drain.
const ListDelay = 2 * time.Second

// List is for the whole list beside a watch, of a discovery that all sidecars ask.
func ListConfig() Config {
	return Config{RetryDelay: soon, FastInterval: 750 * time.Millisecond, SlowInterval: 3 * time.Second, MaxInterval: 24 * time.Second}
}

// Pace spaces the calls of one source. Its caller's clock is any that does not go back; its methods are called by one
// goroutine.
type Scheduler struct {
	Config
	rng   *rand.Rand
	lost  bool          // a call has failed since the last that did not
	since time.Duration // of that: when
	begun time.Duration // when the latest call began
	fails int           // since news could not come in time any more
}

// NewPace is one that has made no call.
func NewScheduler(c Config, rng *rand.Rand) Scheduler {
	return Scheduler{Config: c, rng: rng, begun: -time.Hour}
}

// Begin says that a call begins.
func (p *Scheduler) CallStarted(now time.Duration) { p.begun = now }

// Good says that a call was answered.
func (p *Scheduler) CallSucceeded() { p.lost = false }

// Lost says that a call has failed, or what it had opened broke, and none was answered since.
func (p *Scheduler) Failing() bool { return p.lost }

// Fail says that a call has failed, or that what it had opened broke, and returns when the next is to begin. anew: the
// source could not be reached before. What it has learnt meanwhile counts as told from now on, so the time begins anew.
func (p *Scheduler) CallFailed(now time.Duration, anew bool) time.Duration {
	if !p.lost || anew {
		p.lost, p.since, p.fails = true, now, 0
	}
	space := p.FastInterval
	if now-p.since >= NotificationDeadline {
		space = min(p.SlowInterval<<min(p.fails, 10), p.MaxInterval)
		p.fails++
	}
	soon := now + p.RetryDelay/4 + p.part(3*p.RetryDelay/4)
	return max(soon, p.begun+3*space/4+p.part(space/2))
}

// part is a time by chance, up to d.
func (p *Scheduler) part(d time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(d))
}

// Wait says that what is to be asked for has been missing from now on, beside a watch, and returns when the first call is to
// begin.
func (p *Scheduler) DelayFirstCall(now time.Duration) time.Duration {
	p.lost, p.since = true, now
	return now + ListDelay/2 + p.part(ListDelay)
}
