package balancer

// Deadlines determine until when an answer to a request has its full weight, when the sidecar gives the
// request up, and whether the request is a client retry that arrives too late to have its full weight.
//
// A request has three time limits:
//
//   - Objective (objectiveAt): an answer up to this time has its full weight. A later answer has only the
//     share LateWeight of the weight.
//   - Deadline (deadline): at this time the sidecar gives the request up and answers it itself.
//   - Expiry (expiresAt): at this time the client stops waiting. The deadline is earlier than the expiry by
//     a margin for the delivery of the answer. If a late answer has no weight, the deadline is also earlier
//     than the objective.
//
// Inputs: the class's latency objective, objective stretch, deadline and late weight; the expected work;
// the client's deadline; the tick; and the arrival time of the client's first attempt (firstattempt.go).
// All are durations or times of Handle's clock.
//
// Why: the final answer must reach the client before it stops waiting. Work on an answer without weight
// uses capacity that requests with weight need. This includes the answer to a client retry whose first
// attempt is older than the objective.

import "time"

// Times in ticks are multiples of Settings.Tick, which is the longest delay before the sidecar can act.
const (
	// deadlineMarginTicks is the margin, in ticks, before the client's deadline, the objective, and the end
	// of an idempotency window. It leaves time to deliver an answer or an attempt if the sidecar handles
	// the next events a tick late. With a higher value, fewer answers and attempts are too late, but all
	// have less time.
	deadlineMarginTicks = 2
	// noWeightMarginTicks is the margin, in ticks, before the time from which an answer has no weight. With
	// a higher value, fewer requests are served in vain, but more requests are given up that would just
	// have been in time.
	noWeightMarginTicks = 1
)

// deadlineMargin returns the margin of deadlineMarginTicks as a duration.
func (s *Settings) deadlineMargin() time.Duration { return deadlineMarginTicks * s.Tick }

// setDeadlines sets r's objective and deadline, and whether r is a late client retry.
func (b *Balancer) setDeadlines(r *request, expectedWork time.Duration) {
	class := r.class
	objective := class.LatencyObjective + time.Duration(class.ObjectiveStretch*float64(expectedWork))
	r.objectiveAt = b.now + min(objective, class.Deadline)
	firstArrivedAt := class.firstAttemptAt(b.now, r.expiresAt, b.settings.Tick)
	fullWeightUntil := r.objectiveAt + firstArrivedAt - b.now
	r.lateClientRetry = fullWeightUntil <= b.now
	r.deadline = r.expiresAt - b.settings.deadlineMargin()
	if class.LateWeight == 0 {
		r.deadline = min(r.deadline, fullWeightUntil-noWeightMarginTicks*b.settings.Tick)
	}
}
