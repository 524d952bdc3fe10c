// Package backoff schedules calls to the discovery service: calls after a failure, hedged calls, and calls for the
// complete endpoint list while a watch is open. It performs no I/O and does not read the clock. The scripts under
// testdata are its tests; docs/design/crossings.md derives the constants.
//
// Two requirements conflict. First, a sidecar counts as notified of a change [NotificationDeadline] after the service
// had that change and was reachable, even if some calls fail in between; one of several calls must therefore succeed
// within that time. Second, when the service fails or stops responding, all sidecars of a cluster call it again at the
// same time. Calls are therefore spaced by the time between their starts: the next call starts soon after a call that
// is rejected late, but not soon after a call that is rejected immediately. No sidecar starts more than three calls in
// any second. Once NotificationDeadline has passed, the spacing is determined by the maximum rate of all sidecars
// together.
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// maxDoublings is the maximum number of times that the slow interval is doubled. This prevents an overflow of the
	// shift. The exact value has no effect if SlowInterval, doubled this often, is at least MaxInterval.
	maxDoublings = 10
	// neverStarted is the value of Scheduler.lastCallStart before the first call. It is early enough not to delay any
	// call.
	neverStarted = -time.Hour
)

// Randomization of the delays and intervals, so that the sidecars do not call at the same time.
const (
	// minRetryDelayDivisor determines the minimum delay after a failure: RetryDelay, which is the maximum delay,
	// divided by this value. A higher value spreads the calls over a longer time and lets the earliest ones start
	// sooner.
	minRetryDelayDivisor = 4
	// intervalJitterDivisor determines the jitter of intervals: an interval is multiplied by a random factor that
	// differs from 1 by at most 1/intervalJitterDivisor. A higher value keeps intervals closer to their mean, and so
	// spreads the calls of the sidecars less.
	intervalJitterDivisor = 4
	// listDelayJitterDivisor determines the jitter of ListDelay, which is multiplied by a random factor that differs
	// from 1 by at most 1/listDelayJitterDivisor. A higher value keeps the delays closer to ListDelay, and so spreads
	// the calls of the sidecars less.
	listDelayJitterDivisor = 2
)

// Scheduler schedules the calls to one source. The caller passes in all times, from any clock that does not run
// backwards. A Scheduler is not safe for concurrent use.
type Scheduler struct {
	Config
	rng           *rand.Rand
	failing       bool          // see Failing
	failingSince  time.Duration // time from which NotificationDeadline is measured; valid if failing
	lastCallStart time.Duration
	lateFailures  int // failures since NotificationDeadline passed
}

// NewScheduler returns a Scheduler for a source that has not been called yet.
func NewScheduler(config Config, rng *rand.Rand) Scheduler {
	return Scheduler{Config: config, rng: rng, lastCallStart: neverStarted}
}

// CallStarted records that a call starts at now.
func (s *Scheduler) CallStarted(now time.Duration) { s.lastCallStart = now }

// CallSucceeded records that a call was answered.
func (s *Scheduler) CallSucceeded() { s.failing = false }

// Failing reports whether no call has succeeded since a call, or the watch that it opened, failed. It also returns true
// after DelayFirstCall, until a call succeeds.
func (s *Scheduler) Failing() bool { return s.failing }

// CallFailed records that a call, or the watch that it opened, failed at now. It returns the time at which the next
// call must start.
//
// It decides how soon a failed call is repeated, based on the time since the first failure, the start of the failed
// call, and the number of failures after NotificationDeadline. Until NotificationDeadline has passed since the first
// failure, calls start FastInterval apart. Afterwards they start SlowInterval apart, doubled with each failure up to
// MaxInterval. A call never starts within RetryDelay/4 of the failure.
//
// newlyReached reports that the source has become reachable again. NotificationDeadline then starts again, because
// changes that the source learned of in the meantime count as notified only from now on.
//
// Guard: prevents a service that rejects all sidecars at once from being called in a loop, and a service that has
// recovered from being called only at the slow interval of a long outage: draining endpoints would be used for seconds
// past the deadline. This holds because the next call is spaced from both the failure and the start of the failed call,
// and newlyReached resets the backoff.
func (s *Scheduler) CallFailed(now time.Duration, newlyReached bool) time.Duration {
	if !s.failing || newlyReached {
		s.failing, s.failingSince, s.lateFailures = true, now, 0
	}
	afterFailure := now + s.randomRetryDelay()
	afterStart := s.lastCallStart + s.randomInterval(s.nextInterval(now))
	return max(afterFailure, afterStart)
}

// nextInterval returns the mean time between the start of the call that failed at now and the start of the next call.
func (s *Scheduler) nextInterval(now time.Duration) time.Duration {
	if now-s.failingSince < NotificationDeadline {
		return s.FastInterval
	}
	interval := min(s.SlowInterval<<min(s.lateFailures, maxDoublings), s.MaxInterval)
	s.lateFailures++
	return interval
}

// randomRetryDelay returns a random delay between a failure and the next call.
func (s *Scheduler) randomRetryDelay() time.Duration {
	shortest := s.RetryDelay / minRetryDelayDivisor
	return shortest + s.randomPart((minRetryDelayDivisor-1)*s.RetryDelay/minRetryDelayDivisor)
}

// randomInterval returns a random duration around mean.
func (s *Scheduler) randomInterval(mean time.Duration) time.Duration {
	shortest := (intervalJitterDivisor - 1) * mean / intervalJitterDivisor
	return shortest + s.randomPart(2*mean/intervalJitterDivisor)
}

// DelayFirstCall records that the complete list is missing from now on, while a watch is open. It returns the time at
// which the first call for the list must start: now plus ListDelay multiplied by a random factor.
//
// Guard: prevents sidecars that are migrated at the same time from overloading a service with one list call and one
// watch each: the service would also reject watches, and drains would go unnoticed. The delay is safe because the open
// watch delivers changes in the meantime.
func (s *Scheduler) DelayFirstCall(now time.Duration) time.Duration {
	s.failing, s.failingSince = true, now
	return now + ListDelay/listDelayJitterDivisor + s.randomPart(2*ListDelay/listDelayJitterDivisor)
}

// randomPart returns a random duration between 0 and limit.
func (s *Scheduler) randomPart(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(limit))
}
