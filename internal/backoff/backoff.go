// Package backoff schedules the calls of the discovery service: after a failure, beside a call that hangs, and for the
// complete endpoint list beside a watch. It performs no I/O and does not read the clock. The scripts under testdata
// are its tests; docs/design/crossings.md derives the constants.
//
// Two requirements pull in opposite directions. An endpoint counts as notified of a change [NotificationDeadline]
// after the service had that change and could be reached, whatever became of the calls in between: one of several
// calls has to succeed within that time. But all sidecars of a cluster call at once when the service fails or falls
// silent for all of them at once. Calls are therefore spaced from start to start: a call that is rejected late is
// followed soon, one that is rejected immediately is not, and no sidecar starts more than three in any second. Once
// the deadline has passed, calls are as rare as the rate allowed to all sidecars together requires.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// NotificationDeadline is when a change counts as notified, from the time at which the discovery service had the
	// change and could be reached.
	NotificationDeadline = 6 * time.Second
	// SilenceTimeout is when a watch counts as broken, and when a call that has returned nothing is abandoned. The
	// service sends an empty line every 2 s. This prevents waiting for a service that is cut off and sends nothing,
	// which TCP does not notice.
	SilenceTimeout = 2500 * time.Millisecond
	// HedgeDelay is when a call that has returned nothing is hedged by another one. This prevents a hanging call from
	// using up the time: if it were abandoned first, there would be none left for a second failure. It is above the
	// time that a call may be queued by the service (1 s on the platform).
	HedgeDelay = SilenceTimeout / 2
	// MaxAttempts limits the calls of one hedged request; two of them are in flight at a time.
	MaxAttempts = 3
)

const (
	retryDelay      = 250 * time.Millisecond
	fastInterval    = 600 * time.Millisecond
	minSlowInterval = fastInterval
	maxSlowInterval = 2 * time.Second
	// maxClusterRate is how many calls a second all sidecars together may make in the long run to a service that
	// rejects them. A cluster in which each sidecar would then call less than once in maxSlowInterval makes more. It
	// is the rate of a cluster of 300 sidecars.
	maxClusterRate = 150

	agentRetryDelay = 100 * time.Millisecond

	listFastInterval = 750 * time.Millisecond
	listSlowInterval = 3 * time.Second
	listMaxInterval  = 24 * time.Second

	// maxDoublings limits the growth of the slow interval. This prevents an overflow of the shift.
	maxDoublings = 10
	// neverStarted is the start of the latest call before there was one: long enough ago that it delays nothing.
	neverStarted = -time.Hour
)

// ListDelay is the mean delay of the call for the complete list beside a watch, which delivers the changes in any
// case; the delay is multiplied by a random factor between 0.5 and 1.5. This prevents an overload of a service of
// fixed capacity to which all sidecars are migrated at once: with a list and a watch of each in the same second, it
// rejected both, and sidecars without a watch learned of no draining endpoint.
const ListDelay = 2 * time.Second

// Config is the spacing of calls. All times are randomized, so that sidecars do not stay synchronized.
type Config struct {
	// RetryDelay limits the random delay from a failure to the next call, which is at least RetryDelay/4. The delay is
	// longer if the interval between the starts of the calls requires it.
	RetryDelay time.Duration
	// FastInterval is the time from the start of a call to the start of the next one while NotificationDeadline can
	// still be met, multiplied by a random factor between 0.75 and 1.25.
	FastInterval time.Duration
	// SlowInterval is the same time once the deadline has passed. It doubles with each failure.
	SlowInterval time.Duration
	// MaxInterval limits the growth of SlowInterval.
	MaxInterval time.Duration
}

// ServiceConfig returns the spacing for calls of a discovery service that is shared by the given number of sidecars.
func ServiceConfig(sidecars int) Config {
	interval := time.Duration(sidecars) * time.Second / maxClusterRate
	interval = min(max(interval, minSlowInterval), maxSlowInterval)
	return Config{
		RetryDelay:   retryDelay,
		FastInterval: fastInterval,
		SlowInterval: interval,
		MaxInterval:  interval,
	}
}

// AgentConfig returns the spacing for calls of a discovery agent on this machine, which cost nothing. What the agent
// learns when the discovery service recovers counts as notified at once, so the delay stays below the shortest grace
// period of a draining endpoint.
func AgentConfig() Config { return Config{RetryDelay: agentRetryDelay} }

// ListConfig returns the spacing for calls for the complete list, beside a watch, of a discovery service that is
// shared by all sidecars.
func ListConfig() Config {
	return Config{
		RetryDelay:   retryDelay,
		FastInterval: listFastInterval,
		SlowInterval: listSlowInterval,
		MaxInterval:  listMaxInterval,
	}
}

// Scheduler schedules the calls of one source. Times are read from any clock of the caller that does not run
// backwards. A Scheduler is not safe for concurrent use.
type Scheduler struct {
	Config
	rng           *rand.Rand
	failing       bool          // a call has failed, and none has succeeded since
	failingSince  time.Duration // valid if failing
	lastCallStart time.Duration
	lateFailures  int // failures after NotificationDeadline
}

// NewScheduler returns a Scheduler that has made no call.
func NewScheduler(config Config, rng *rand.Rand) Scheduler {
	return Scheduler{Config: config, rng: rng, lastCallStart: neverStarted}
}

// CallStarted records that a call starts at now.
func (s *Scheduler) CallStarted(now time.Duration) { s.lastCallStart = now }

// CallSucceeded records that a call was answered.
func (s *Scheduler) CallSucceeded() { s.failing = false }

// Failing reports whether a call, or the watch that it opened, has failed and no call has succeeded since.
func (s *Scheduler) Failing() bool { return s.failing }

// CallFailed records that a call, or the watch that it opened, has failed at now. It returns the time at which the
// next call is to start. newlyReached says that the source could not be reached before: what it has learned in the
// meantime counts as notified from now on, so NotificationDeadline starts again.
func (s *Scheduler) CallFailed(now time.Duration, newlyReached bool) time.Duration {
	if !s.failing || newlyReached {
		s.failing, s.failingSince, s.lateFailures = true, now, 0
	}
	interval := s.FastInterval
	if now-s.failingSince >= NotificationDeadline {
		interval = min(s.SlowInterval<<min(s.lateFailures, maxDoublings), s.MaxInterval)
		s.lateFailures++
	}
	afterFailure := now + s.RetryDelay/4 + s.randomPart(3*s.RetryDelay/4)
	afterStart := s.lastCallStart + 3*interval/4 + s.randomPart(interval/2)
	return max(afterFailure, afterStart)
}

// DelayFirstCall records that the complete list is missing from now on, beside a watch. It returns the time at which
// the first call for it is to start.
func (s *Scheduler) DelayFirstCall(now time.Duration) time.Duration {
	s.failing, s.failingSince = true, now
	return now + ListDelay/2 + s.randomPart(ListDelay)
}

// randomPart returns a random duration below limit.
func (s *Scheduler) randomPart(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(limit))
}
