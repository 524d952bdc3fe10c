package balancer

// Deadlines: until when an answer to a request has its full weight, when the request is given up, and whether
// it is a client's repeat that comes too late to have its full weight.
//
// A request has three clocks:
//
//   - its objective (objectiveAt): an answer until then has its full weight, a later one LateWeight of it;
//   - its deadline (deadline): when the sidecar gives it up and answers itself;
//   - its expiry (expiresAt): when the client stops waiting. The deadline is before it by a margin for the
//     delivery, and also before the objective where a late answer has no weight.
//
// Inputs: the class's latency objective, objective stretch, deadline and late weight; the expected work; the
// client's deadline; the tick; and when the client's first attempt arrived (firstattempt.go). All are
// durations, or times of Handle's clock.
//
// Why: the last answer must reach the client before it stops waiting. Work on an answer without weight takes
// capacity from requests that have some; that includes a client's repeat whose first attempt is older than
// the objective.

import "time"

// Times in ticks are multiples of Settings.Tick, the time after which the sidecar may act at the latest.
const (
	// deadlineMarginTicks is kept before each time that others hold to: the client's deadline, the
	// objective, the end of an idempotency window. It covers the delivery when the next events are handled
	// a tick late. Higher: fewer answers and attempts come too late, and all have less time.
	deadlineMarginTicks = 2
	// noWeightMarginTicks is kept before the time from which an answer has no weight. Higher: fewer requests
	// are served for nothing, and more are given up that would just have been in time.
	noWeightMarginTicks = 1
)

// deadlineMargin is the time that is kept before each deadline, for the delivery.
func (s *Settings) deadlineMargin() time.Duration { return deadlineMarginTicks * s.Tick }

// setDeadlines sets r's objective and its deadline, and whether it is a late repeat.
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
