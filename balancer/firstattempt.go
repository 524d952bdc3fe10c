package balancer

// This rule recognizes client retries, and determines when the client's first attempt at the request arrived.
// Requests do not indicate that they are retries; they are recognized by how long the client will still wait.
//
// Inputs: the client's deadline, the class's deadline, the tick, the time left to the deadline with which
// requests of the class usually arrive, and the arrival times of requests that no endpoint served. All are
// durations or times of Handle's clock.
//
// Why: a client retry that arrives after the objective of its first attempt is worth less, or nothing
// (deadline.go). If such retries were not recognized, they would use capacity that is needed for requests
// that can still be served in time.
//
// For example, clients of a class with a Deadline of 1,000 ms give up each of their attempts after 400 ms:
//
//	at 10.0 s  first attempt, expires at 10.4 s: 400 ms left. It is not served.
//	at 10.4 s  second attempt, expires at 10.8 s: 400 ms left, like any first attempt; it is not recognized.
//	at 10.8 s  third attempt, expires at 11.0 s, when the 1,000 ms of all attempts are over: 200 ms left.
//
// The third attempt has less than the usual time left. Its expiry of 11.0 s less the Deadline is 10.0 s,
// and a request that arrived then was not served, so the third attempt is taken to be a retry of that
// request. With an objective of 200 ms, it is too late to have its full weight.

import "time"

const (
	// arrivalToleranceTicks is the maximum difference, in multiples of Settings.Tick, at which two times
	// count as equal. With a higher value, client retries are recognized over slower networks, but more
	// first attempts are mistaken for retries.
	arrivalToleranceTicks = 2
	// minArrivalTolerance is the minimum tolerance for the arrival time of a client's first attempt,
	// because deadlines are in whole milliseconds and delayed by the network. With a higher value, client
	// retries are recognized over slower networks, but more first attempts are mistaken for retries.
	minArrivalTolerance = 5 * time.Millisecond
	// maxTimeLeftVotes is the maximum number of votes for the usual time left. With a higher value, a
	// change of the clients' timeouts is followed later, and chance changes the result less often.
	maxTimeLeftVotes = 20
	// minTimeLeftVotes is the number of votes above which the usual time left counts as known. With a
	// higher value, fewer client retries are recognized, and fewer first attempts are mistaken for retries.
	minTimeLeftVotes = maxTimeLeftVotes / 2
)

// firstAttemptAt returns the arrival time of the client's first attempt at a request that arrives now. It
// returns now unless it recognizes the request as a client retry. A request with the usual time left is not
// recognized as a retry. Any other expiry may be the deadline of all of the client's attempts, which is one
// Deadline after the first attempt arrived. The request counts as a retry only if the usual time left is
// known, and a request arrived at the time of that first attempt and was not served. Without the latter
// condition, requests of clients with an unusually short timeout could also count as retries and be
// rejected.
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

// usualTimeLeft determines the time to the deadline with which most requests of a class arrive, by a
// majority vote (R. Boyer and J. Moore, "MJRTY"). The number of votes is limited, so that the result
// follows a change.
type usualTimeLeft struct {
	value time.Duration
	votes int // votes for value, up to maxTimeLeftVotes
}

// observe counts the time left of a request and reports whether it is the usual one.
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
