package configsim

import (
	"math"
	"slices"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

const (
	// pushTimeout is the time without an answer after which a change is pushed to the next origin.
	pushTimeout = 1500 * time.Millisecond
	// pushPollInterval is the time between checks for the answer to a push.
	pushPollInterval = 2 * time.Millisecond
	// pushRetryDelay is the delay before the next origin is tried after a missing answer, rejectedRetryDelay the delay
	// after a rejection.
	pushRetryDelay     = 10 * time.Millisecond
	rejectedRetryDelay = 100 * time.Millisecond
	// maxPushTime limits the time for which a push is retried.
	maxPushTime = 2 * time.Minute
	// measurementStep is the simulated time between two checks of a change. It determines the precision of ReportedAt.
	measurementStep = 10 * time.Millisecond
)

// Change is a change of the configuration, with the times at which it became active at each member.
type Change struct {
	ID       string
	PushedAt time.Duration
	// AnsweredAt is the time at which an origin accepted the change or answered that it conflicts; 0: not yet.
	AnsweredAt time.Duration
	Answer     origin.Result
	// ReportedAt is the time at which the aggregated report of an origin first counted the change as active at all
	// members; 0: not yet.
	ReportedAt time.Duration

	activeAt   map[int]time.Duration // by member index
	nextOrigin int                   // index of the origin to push to next; may be beyond the last one
}

// Filter reports whether a member counts in a measurement; nil: all members count.
type Filter func(m *Member) bool

// counts reports whether a member counts. A member that is stopped or frozen never does.
func (f Filter) counts(m *Member) bool { return m.up && !m.frozen && (f == nil || f(m)) }

// Push pushes a text to an origin as the command `config push` does. If the origin rejects the change, stops or does
// not answer in time, the same text is pushed to the next origin under the same ID.
func (c *Cluster) Push(id string, at int) *Change {
	change := &Change{ID: id, PushedAt: c.Now, activeAt: map[int]time.Duration{}, nextOrigin: at}
	text := make([]byte, c.config.TextSize)
	for i := range text {
		text[i] = '#'
	}
	copy(text, "# "+id+" ")
	proposal := origin.Propose{ID: id, BaseVersion: c.latestRevision().Version, Text: text}
	c.recordActive(change, controlplane.HashText(text))
	c.propose(change, proposal, at)
	return change
}

// latestRevision returns the latest published revision of the origins that are neither stopped nor frozen.
func (c *Cluster) latestRevision() (latest controlplane.Revision) {
	for _, o := range c.Origins {
		if o.up && !o.frozen && o.frame.Revision.Compare(latest) > 0 {
			latest = o.frame.Revision
		}
	}
	return latest
}

// recordActive records the time at which a change, or a later one, becomes active at each member.
func (c *Cluster) recordActive(change *Change, hash string) {
	previous := c.OnActive
	c.OnActive = func(m *Member, revision controlplane.Revision) {
		if previous != nil {
			previous(m, revision)
		}
		isLater := change.AnsweredAt > 0 && revision.Compare(change.Answer.Revision) > 0
		if _, ok := change.activeAt[m.index]; !ok && (revision.Hash == hash || isLater) {
			change.activeAt[m.index] = c.Now
		}
	}
}

// propose sends a change to its next origin. During a partition it skips origins outside the region of the first one,
// since the client that pushes the change is in that region.
func (c *Cluster) propose(change *Change, proposal origin.Propose, first int) {
	region := c.region(&c.originAt(first).machine)
	for c.partitioned && c.region(&c.originAt(change.nextOrigin).machine) != region {
		change.nextOrigin++
	}
	o := c.originAt(change.nextOrigin)
	if o.up {
		c.handleOrigin(o, proposal)
	}
	c.awaitAnswer(change, proposal, o, first, c.Now+pushTimeout)
}

// awaitAnswer polls for an origin's answer. If the answer is a rejection or does not come by the deadline, it proposes
// the change to the next origin.
func (c *Cluster) awaitAnswer(change *Change, proposal origin.Propose, o *Origin, first int, deadline time.Duration) {
	answer, ok := c.results[change.ID]
	if ok && (answer.Outcome == origin.OutcomeAccepted || answer.Outcome == origin.OutcomeConflict) {
		change.AnsweredAt, change.Answer = c.Now, answer
		return
	}
	isRejected := answer.Outcome == origin.OutcomeRejected || answer.Outcome == origin.OutcomeUnknown
	if c.Now < deadline && o.up && !isRejected {
		c.After(pushPollInterval, func() { c.awaitAnswer(change, proposal, o, first, deadline) })
		return
	}
	delete(c.results, change.ID)
	change.nextOrigin++
	delay := pushRetryDelay
	if isRejected {
		delay = rejectedRetryDelay
	}
	if c.Now-change.PushedAt < maxPushTime {
		c.After(delay, func() { c.propose(change, proposal, first) })
	}
}

// ActiveAfter returns the time from a given moment until the change was active at a share of the members that count. It
// returns a negative value if the change is not active at that many members, or if no member counts.
func (change *Change) ActiveAfter(c *Cluster, filter Filter, share float64, from time.Duration) time.Duration {
	var times []time.Duration
	for _, m := range c.Members {
		if !filter.counts(m) {
			continue
		}
		at, ok := change.activeAt[m.index]
		if !ok {
			at = math.MaxInt64
		}
		times = append(times, at)
	}
	if len(times) == 0 {
		return -1
	}
	slices.Sort(times)
	at := times[max(int(math.Ceil(share*float64(len(times))))-1, 0)]
	if at == math.MaxInt64 {
		return -1
	}
	return max(at-from, 0)
}

// waitActive runs the simulation until a change is active at all members that count, or until the timeout. Without a
// filter it also waits until an origin reports the change as active at all members. It returns whether the change is
// active at all members that count.
func (c *Cluster) waitActive(timeout time.Duration, change *Change, filter Filter) bool {
	for end := c.Now + timeout; c.Now < end; {
		c.Run(measurementStep)
		count := 0
		for _, m := range c.Members {
			if filter.counts(m) {
				count++
			}
		}
		if change.ReportedAt == 0 && change.AnsweredAt > 0 && c.isReported(change, count) {
			change.ReportedAt = c.Now
		}
		if change.ActiveAfter(c, filter, 1, 0) >= 0 && (change.ReportedAt > 0 || filter != nil) {
			return true
		}
	}
	return change.ActiveAfter(c, filter, 1, 0) >= 0
}

// isReported reports whether the aggregated report of some origin counts the change as active at the given number of
// members or more.
func (c *Cluster) isReported(change *Change, members int) bool {
	for _, o := range c.Origins {
		if !o.up || o.frozen || o.frame.Revision != change.Answer.Revision {
			continue
		}
		if report := o.node.Status().Report; report.ActiveOn(change.Answer.Revision) >= members {
			return true
		}
	}
	return false
}
