package balancer

// First attempts: when a client made its own first attempt at a request that it now repeats. Requests do not
// say that they are repeats; it shows in how long the client will still wait.
//
// Inputs: the client's deadline, the class's deadline, the tick, the times left to the deadline with which
// requests of the class arrive, and the times at which requests arrived that nobody served. All are
// durations, or times of Handle's clock.
//
// Why: a client's repeat that arrives after the objective of its first attempt is worth less, or nothing
// (deadline.go). Unrecognized, such repeats would take the capacity of requests that can still be in time.
//
// For example, clients of a class with a Deadline of 1,000 ms give each of their attempts up after 400 ms:
//
//	at 10.0 s  first attempt, expires at 10.4 s: 400 ms left. It is not served.
//	at 10.4 s  second attempt, expires at 10.8 s: 400 ms left, as usual; nothing tells it from a first one.
//	at 10.8 s  third attempt, expires at 11.0 s, when the 1,000 ms of all attempts are over: 200 ms left.
//
// The time left of the third is not the usual one, 11.0 s less the Deadline is 10.0 s, and a request that
// arrived then was not served: it is taken for a repeat of that one. With an objective of 200 ms it comes too
// late to have its full weight.

import "time"

const (
	// arrivalToleranceTicks is how far apart, in multiples of Settings.Tick, two times may be and still count
	// as the same. Higher: repeats are recognized over slower networks, and more first attempts are taken for
	// repeats.
	arrivalToleranceTicks = 2
	// minArrivalTolerance is the least tolerance for the arrival of a client's first attempt: deadlines
	// come in whole milliseconds and late by the network. Higher: as for arrivalToleranceTicks.
	minArrivalTolerance = 5 * time.Millisecond
	// maxTimeLeftVotes is the number of requests that settle which time left is usual. Higher: a change of
	// the clients' timeouts is followed later, and by chance less often.
	maxTimeLeftVotes = 20
	// minTimeLeftVotes is the number of votes above which the usual time left is taken as known. Higher:
	// fewer repeats are recognized, and fewer first attempts are taken for repeats.
	minTimeLeftVotes = maxTimeLeftVotes / 2
)

// firstAttemptAt is when the client's own first attempt at a request arrived that arrives now, as far as its
// deadline shows: now unless it is recognized as a repeat. Most requests of a class have the usual time left;
// any other may have been cut short by the deadline of all of the client's attempts, one Deadline after the
// first. It counts as such only if a request arrived then that nobody served: clients that wait for less than
// usual look the same, and must not be rejected for it.
func (c *classState) firstAttemptAt(now, expiresAt, tick time.Duration) time.Duration {
	tolerance := arrivalToleranceTicks * tick
	if c.timeLeft.observe(expiresAt-now, tolerance) {
		return now
	}
	first := expiresAt - c.Deadline
	if !c.timeLeft.isKnown() || first >= now {
		return now
	}
	if c.unservedArrivals.hasNear(first, max(tolerance, minArrivalTolerance)) {
		return first
	}
	return now
}

// usualTimeLeft finds the time to the deadline with which most requests of a class arrive, by a majority vote
// (R. Boyer and J. Moore, "MJRTY") whose votes are bounded, so that it follows a change.
type usualTimeLeft struct {
	value time.Duration
	votes int // how certain it is, up to maxTimeLeftVotes
}

// observe takes the time left of a request into account and reports whether it is the usual one.
func (u *usualTimeLeft) observe(timeLeft, tolerance time.Duration) bool {
	if (timeLeft - u.value).Abs() <= tolerance {
		u.votes = min(u.votes+1, maxTimeLeftVotes)
		return true
	}
	if u.votes--; u.votes < 0 {
		u.value, u.votes = timeLeft, 0
	}
	return false
}

// isKnown reports whether enough requests have arrived with the usual time left.
func (u *usualTimeLeft) isKnown() bool { return u.votes > minTimeLeftVotes }
