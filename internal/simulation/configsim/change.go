package configsim

import (
	"math"
	"slices"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

const (
	// pushTimeout is when a push without an answer goes to the next origin.
	pushTimeout = 1500 * time.Millisecond
	// pushPollInterval is how often a push looks for its answer.
	pushPollInterval = 2 * time.Millisecond
	// pushRetryDelay and rejectedRetryDelay pass until the next origin is tried, after no answer and after a rejection.
	pushRetryDelay     = 10 * time.Millisecond
	rejectedRetryDelay = 100 * time.Millisecond
	// maxPushTime is when a push is given up.
	maxPushTime = 2 * time.Minute
	// measurementStep is the precision of the times that are measured.
	measurementStep = 10 * time.Millisecond
)

// Change is a change of the configuration, and when it became active where.
type Change struct {
	ID       string
	PushedAt time.Duration
	// AnsweredAt is when an origin accepted it, or answered that it conflicts; 0: not yet.
	AnsweredAt time.Duration
	Answer     origin.Result
	// ReportedAt is when an origin's summed report had all members on it; 0: not yet.
	ReportedAt time.Duration

	activeAt map[int]time.Duration // by member
	nextOrigin   int                   // that it goes to next
}

// Filter says whether a member counts; nil: all do.
type Filter func(m *Member) bool

// counts reports whether a member that can act counts.
func (f Filter) counts(m *Member) bool { return m.up && !m.frozen && (f == nil || f(m)) }

// Push gives a text to an origin as `config push` does: without an answer in time, or with the connection lost, the
// next one gets the same under the same ID.
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

// latestRevision is the latest that an origin which can act has published.
func (c *Cluster) latestRevision() (latest controlplane.Revision) {
	for _, o := range c.Origins {
		if o.up && !o.frozen && o.frame.Revision.Compare(latest) > 0 {
			latest = o.frame.Revision
		}
	}
	return latest
}

// recordActive records when a change, or a later one, becomes active at each member.
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

// propose gives a change to the next origin of the region from which it is pushed, which is that of the first one.
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

// awaitAnswer polls for an origin's answer, and proposes the change to the next one if it does not come or rejects.
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

// ActiveAfter is how long after a time a change was active at a share of the members that count; below 0: it is not.
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

// waitActive runs until a change is active at all members that count and the origins report it, or a time has passed;
// false: it is not active.
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

// isReported tells whether the summed report of some origin has a number of members on the change.
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
