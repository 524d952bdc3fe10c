package simulator

import "time"

// processor is the state of an instance's processor.
type processor struct {
	busyUntil time.Duration
	// used is the total processor time that was used, as time of a whole core.
	used time.Duration
	// quotaPeriod is the number of the last quota period in which the processor was used, and quotaLeft the unused rest
	// of that period's quota.
	quotaPeriod int64
	quotaLeft   time.Duration
}

// runOnProcessor queues a task on the processor and calls do once the task has run, after all tasks queued before. The
// cost is the time that the task takes on a whole core. It calls do at once if the cost is 0 or processor time is not
// simulated.
func (i *instance) runOnProcessor(cost time.Duration, do func()) {
	host, p := &i.sim.config.Host, &i.processor
	if host.Cores == 0 || cost == 0 {
		do()
		return
	}
	p.used += cost
	if host.QuotaPeriod > 0 {
		p.useQuota(i.sim.now, cost, host)
	} else {
		p.busyUntil = max(i.sim.now, p.busyUntil) + time.Duration(float64(cost)/host.Cores)
	}
	i.sim.at(p.busyUntil, do)
}

// useQuota takes a cost from the quota of the present period and, once that is used up, of the following periods. It
// advances busyUntil to the time at which the cost is covered.
func (p *processor) useQuota(now, cost time.Duration, host *Host) {
	at := max(now, p.busyUntil)
	for {
		if period := int64(at / host.QuotaPeriod); period != p.quotaPeriod {
			p.quotaPeriod, p.quotaLeft = period, time.Duration(host.Cores*float64(host.QuotaPeriod))
		}
		if cost <= p.quotaLeft {
			p.quotaLeft -= cost
			p.busyUntil = at + cost
			return
		}
		cost -= p.quotaLeft
		p.quotaLeft = 0
		at = time.Duration(p.quotaPeriod+1) * host.QuotaPeriod
	}
}

// runAfterBacklog calls do once all tasks that are queued on the processor have run. It is for events whose own cost is
// negligible.
func (i *instance) runAfterBacklog(do func()) {
	if i.processor.busyUntil <= i.sim.now {
		do()
		return
	}
	i.sim.at(i.processor.busyUntil, do)
}
