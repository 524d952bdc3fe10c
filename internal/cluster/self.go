package cluster

import "time"

const (
	// A member that has raised its generation maxNameConflicts times in nameConflictWindow
	// raises it again only after nameConflictPause has passed since the latest raise. Higher
	// values of the window and the pause send fewer updates while two processes use the same
	// name. A higher maxNameConflicts tolerates more restarts under one name.
	nameConflictWindow = time.Minute
	maxNameConflicts   = 3
	nameConflictPause  = 30 * time.Second
)

// mergeOwnEntry handles an entry with this member's name. It refutes an entry that reports
// this process suspect or dead, unless this process has a higher counter already. It takes
// the next generation if the entry is about another process and takes precedence, if the
// entry reports this process as left, which is a final state, or if it cannot be refuted
// with a higher counter, because it has MaxCounter. A member that is leaving refutes nothing.
//
// The refutation has a higher counter or generation than the refuted entry, so every member
// accepts the refutation, unless the generation has reached MaxCounter, too. This prevents a
// live member from being declared dead because of one lost probe.
func (c *Core) mergeOwnEntry(e Entry) {
	if !e.SameProcess(c.self.Incarnation) {
		if e.Compare(c.self.Incarnation) > 0 {
			c.raiseGeneration(e.Incarnation)
		}
		return
	}
	switch {
	case c.leaving || e.State == Alive:
		// A higher counter means that another process claimed to be this one. Later updates must not have a lower
		// counter.
		c.self.Refutations = max(c.self.Refutations, e.Refutations)
	case e.State == Left || e.Refutations >= MaxCounter:
		c.raiseGeneration(e.Incarnation)
	case e.Refutations >= c.self.Refutations:
		c.self.Refutations = e.Refutations + 1
		c.stats.Refutations++
		c.adjustHealth(1)
		c.broadcasts.add(memberBroadcast(c.self.Name))
	}
}

// raiseGeneration sets this member's generation to one more than the generation of other,
// the incarnation of an entry with this member's name.
//
// The rate of such raises is limited (maxNameConflicts), because each raise is gossiped to
// the whole cluster. Without the limit, two processes that run under one name would raise
// their generations above each other's again and again.
func (c *Core) raiseGeneration(other Incarnation) {
	if other.Generation >= MaxCounter {
		c.stats.Rejected++
		return
	}
	for len(c.nameConflicts) > 0 && c.now-c.nameConflicts[0] > nameConflictWindow {
		c.nameConflicts = c.nameConflicts[1:]
	}
	if len(c.nameConflicts) >= maxNameConflicts {
		c.stats.NameConflicts++
		if c.now-c.nameConflicts[len(c.nameConflicts)-1] < nameConflictPause {
			return
		}
		c.reportNameConflict(other)
		c.nameConflicts = c.nameConflicts[1:]
	}
	c.nameConflicts = append(c.nameConflicts, c.now)
	c.self.Incarnation = Incarnation{Generation: other.Generation + 1, ProcessID: c.self.ProcessID}
	c.broadcasts.add(memberBroadcast(c.self.Name))
}

func (c *Core) reportNameConflict(other Incarnation) {
	c.actions = append(c.actions, Action{Kind: MemberChanged, Transition: &Transition{
		Name:        c.self.Name,
		Incarnation: other,
		From:        Alive,
		To:          Alive,
		Reason:      ReasonNameConflict,
	}})
}
