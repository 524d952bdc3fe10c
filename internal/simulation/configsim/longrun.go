package configsim

import (
	"fmt"
	"time"
)

const (
	// partitionChangeTimeout limits the time until a change that is pushed during a partition is active in the larger
	// region.
	partitionChangeTimeout = 10 * time.Second
	// smallerPushTime is the time for which the smaller region is observed after a push to it. The region must not
	// accept the change in this time.
	smallerPushTime = 5 * time.Second
	// rejoinTimeout limits the time after a partition until the last change is active at all members.
	rejoinTimeout = 15 * time.Second

	day = 24 * time.Hour
	// replacementsPerDay is the number of members that are replaced per day if there are changesPerDay changes per day.
	// The replacements are in proportion to the changes.
	replacementsPerDay = 63
	changesPerDay      = 1700
	// replacementTime is the time between the stop of a replaced member and the start of its successor.
	replacementTime = 2 * time.Second
	// maxChangeWait limits the time that RunChanges waits for one change to become active.
	maxChangeWait = 4 * time.Second
)

// RunPartition partitions the regions for about the given duration, which must be at least twice rejoinTimeout, and
// pushes a change to each of them in the meantime. It measures the time from the end of the partition until the change
// of the larger region is active at the members of the smaller one.
func RunPartition(config Config, duration time.Duration) (Outcome, error) {
	c, err := newRunning(config)
	if err != nil {
		return Outcome{}, err
	}
	c.Partition(true)
	c.Run(duration / 2)
	change := c.Push("meanwhile", 0)
	if !c.waitActive(partitionChangeTimeout, change, c.inLargerRegion) {
		return Outcome{}, fmt.Errorf("the change that was pushed to the larger region is not active there after %v",
			partitionChangeTimeout)
	}
	smaller := c.Push("smaller", 2)
	c.Run(smallerPushTime)
	if smaller.AnsweredAt > 0 {
		return Outcome{}, fmt.Errorf("the smaller region answered a push during the partition with %+v, want no answer",
			smaller.Answer)
	}
	c.Run(duration/2 - rejoinTimeout)
	for _, m := range c.Members {
		switch _, ok := change.activeAt[m.index]; {
		case ok && !c.inLargerRegion(m):
			return Outcome{}, fmt.Errorf("during the partition, the larger region's change is active at %s, "+
				"which is in the smaller region", m.name)
		case !ok && c.inLargerRegion(m):
			return Outcome{}, fmt.Errorf("the larger region's change is not active at %s, which is in that region",
				m.name)
		}
	}
	c.Partition(false)
	healedAt := c.Now
	c.waitActive(rejoinTimeout, change, nil)
	name := fmt.Sprintf("regions cut for %v: all, from their joining on", duration)
	return c.outcome(name, change, func(m *Member) bool { return !c.inLargerRegion(m) }, healedAt), nil
}

// RunChanges pushes perDay changes per day at an even rate for a duration, while members are replaced. It measures the
// slowest change and the traffic of the machines.
func RunChanges(config Config, perDay float64, duration time.Duration) (Outcome, error) {
	c, err := newRunning(config)
	if err != nil {
		return Outcome{}, err
	}
	c.Run(settleTime)
	for _, m := range c.Members {
		m.Traffic = Traffic{}
	}
	for _, o := range c.Origins {
		o.Traffic = Traffic{}
	}
	begin := c.Now
	interval := time.Duration(float64(day) / perDay)
	c.scheduleReplacements(perDay, duration)
	var slowest Outcome
	n := 0
	for ; c.Now-begin < duration; n++ {
		onActive := c.OnActive
		change := c.Push(fmt.Sprint("change", n), n%c.config.Origins)
		c.waitActive(min(interval, maxChangeWait), change, nil)
		slowest.addSlowest(c.outcome("", change, nil, change.PushedAt))
		c.OnActive = onActive
		c.Run(begin + time.Duration(n+1)*interval - c.Now)
	}
	slowest.addTraffic(c, c.Now-begin)
	slowest.Name = fmt.Sprintf("%.0f changes a day of %d bytes, %v (%d): the slowest",
		perDay, c.config.TextSize, duration, n)
	return slowest, nil
}

// scheduleReplacements schedules replacements of random members. A replaced member loses its cached snapshot.
func (c *Cluster) scheduleReplacements(changes float64, duration time.Duration) {
	interval := time.Duration(float64(day) / replacementsPerDay / (changes / changesPerDay))
	for at := interval / 2; at < duration; at += interval {
		c.After(at, func() {
			i := c.rng.IntN(len(c.Members))
			c.Stop(&c.Members[i].machine, true)
			c.Members[i].cached = nil
			c.After(replacementTime, func() { c.StartMember(i) })
		})
	}
}
