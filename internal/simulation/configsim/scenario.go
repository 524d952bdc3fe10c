package configsim

import (
	"fmt"
	"time"
)

const (
	// warmUp is the time that a new cluster runs before the first change, and settleTime the time that it runs once
	// this change is active.
	warmUp     = 10 * time.Second
	settleTime = 5 * time.Second
	// firstChangeTimeout limits the time until the first change is active at all members.
	firstChangeTimeout = 20 * time.Second
	// faultLead is the time between a fault and the push before or after it. It is too short for the cluster to detect
	// the fault before the push.
	faultLead = 10 * time.Millisecond
	// scenarioTimeout limits the wait of a scenario until its change is active.
	scenarioTimeout = 8 * time.Second
	// defaultMaxP99 is the limit of Outcome.P99 for scenarios that do not set a higher one.
	defaultMaxP99 = time.Second
	// electionMaxP99 is the limit for scenarios with an election or with a mass restart. lossMaxP99 is the limit if a
	// scenario with an election also loses several machines, and for a partition just before the push.
	electionMaxP99 = 3 * time.Second
	lossMaxP99     = 4 * time.Second
	// restartTime is the time within which all members of a mass restart have started again.
	restartTime = time.Second
)

// Scenario is a fault that occurs shortly before or after a push.
type Scenario struct {
	Name string
	// Before injects a fault before the push. The time between the two is the longer of faultLead and Lead. After
	// injects a fault at the time faultLead after the push. Both return a filter for the members that the outcome
	// counts.
	Before, After func(c *Cluster) Filter
	Lead          time.Duration
	// Origin returns the index of the origin that receives the push; nil: the first origin.
	Origin func(c *Cluster) int
	// MaxP99 is the limit of Outcome.P99; 0: defaultMaxP99. Reason states why the limit is above the default.
	MaxP99 time.Duration
	Reason string
}

const (
	electionReason = "the change waits for an election, which starts 1 s after the last contact with the leader and " +
		"takes 1 to 2 s"
	noPathReason = "every member that subscribes to an origin may have lost its connection, which is closed only " +
		"after 1.5 s of silence"
	restartReason = "the members start again within 1 s, and each then waits up to 1 s for the membership view " +
		"(recovery.joinWait)"
)

// Limit returns the limit of Outcome.P99.
func (s Scenario) Limit() time.Duration { return max(s.MaxP99, defaultMaxP99) }

// Run simulates the scenario and returns the measurements.
func (s Scenario) Run(config Config) (Outcome, error) {
	c, err := newRunning(config)
	if err != nil {
		return Outcome{}, fmt.Errorf("%s: %w", s.Name, err)
	}
	c.Run(settleTime)
	var filter Filter
	if s.Before != nil {
		filter = s.Before(c)
		c.Run(max(s.Lead, faultLead))
	}
	first := 0
	if s.Origin != nil {
		first = s.Origin(c)
	}
	fetchesBefore := c.fetches()
	change := c.Push("second", first)
	if s.After != nil {
		c.Run(faultLead)
		filter = s.After(c)
	}
	c.waitActive(scenarioTimeout, change, filter)
	outcome := c.outcome(s.Name, change, filter, change.PushedAt)
	outcome.Fetches = c.fetches() - fetchesBefore
	return outcome, nil
}

// newRunning returns a cluster in which a first change is active at all members.
func newRunning(config Config) (*Cluster, error) {
	c, err := New(config)
	if err != nil {
		return nil, err
	}
	c.Run(warmUp)
	if first := c.Push("first", 0); !c.waitActive(firstChangeTimeout, first, nil) {
		return nil, fmt.Errorf("the first change is active at %d of %d members after %v, want all",
			len(first.activeAt), len(c.Members), firstChangeTimeout)
	}
	return c, nil
}

// fetches returns the number of snapshots that all members have fetched from peers.
func (c *Cluster) fetches() (n int) {
	for _, m := range c.Members {
		n += m.Fetches
	}
	return n
}

// Scenarios returns all scenarios. docs/design/controlplane.md describes them.
func Scenarios() []Scenario {
	scenarios := []Scenario{{Name: "quiet"}}
	scenarios = append(scenarios, originScenarios()...)
	scenarios = append(scenarios, relayScenarios()...)
	scenarios = append(scenarios, zoneScenarios()...)
	return append(scenarios, partitionScenarios()...)
}

func firstOrigin(*Cluster) int         { return 0 }
func secondOrigin(*Cluster) int        { return 1 }
func originAfterLeader(c *Cluster) int { return c.Leader() + 1 }

// originScenarios returns the scenarios in which origins fail.
func originScenarios() []Scenario {
	return []Scenario{
		{
			Name:   "an origin killed, the leader, right after the push",
			MaxP99: electionMaxP99,
			Reason: electionReason,
			Origin: (*Cluster).Leader,
			After: func(c *Cluster) Filter {
				c.Stop(&c.Origins[c.Leader()].machine, true)
				return nil
			},
		},
		{
			Name:   "an origin killed, which was pushed to",
			Origin: originAfterLeader,
			After: func(c *Cluster) Filter {
				c.Stop(&c.originAt(c.Leader()+1).machine, true)
				return nil
			},
		},
		{
			Name:   "two origins lost, the leader too, just before",
			MaxP99: lossMaxP99,
			Reason: electionReason,
			Origin: originAfterLeader,
			Before: func(c *Cluster) Filter {
				leader := c.Leader()
				c.Stop(&c.Origins[leader].machine, false)
				c.Stop(&c.originAt(leader+2).machine, false)
				return nil
			},
		},
	}
}

// relayScenarios returns the scenarios in which the member with the most descendants, or a rack, fails.
func relayScenarios() []Scenario {
	freezeLargest := func(c *Cluster) Filter {
		c.Freeze(&c.LargestRelay().machine, true)
		return nil
	}
	return []Scenario{
		{Name: "the largest relay frozen just before", Before: freezeLargest},
		{Name: "the largest relay frozen 10 s before", Before: freezeLargest, Lead: 10 * time.Second},
		{
			Name:   "a rack lost just before",
			Origin: (*Cluster).Leader,
			Before: func(c *Cluster) Filter {
				c.stopAll(func(m *machine) bool { return m.zone == 1 && m.rack == 1 })
				return nil
			},
		},
		{
			Name: "the largest relay's rack lost just before",
			Before: func(c *Cluster) Filter {
				largest := c.LargestRelay()
				c.stopAll(func(m *machine) bool { return m.zone == largest.zone && m.rack == largest.rack })
				return nil
			},
		},
	}
}

// zoneScenarios returns the scenarios in which a zone is lost, and the one in which half of the members restart.
func zoneScenarios() []Scenario {
	loseZone := func(c *Cluster, zone int) Filter {
		c.stopAll(func(m *machine) bool { return m.zone == zone })
		return nil
	}
	return []Scenario{
		{
			Name:   "a zone lost just before, not the leader's",
			Origin: (*Cluster).Leader,
			Before: func(c *Cluster) Filter {
				zone := 1
				if c.Origins[c.Leader()].zone == zone {
					zone = 2
				}
				return loseZone(c, zone)
			},
		},
		{
			Name:   "the leader's zone lost just before",
			MaxP99: lossMaxP99,
			Reason: electionReason,
			Origin: originAfterLeader,
			Before: func(c *Cluster) Filter { return loseZone(c, c.Origins[c.Leader()].zone) },
		},
		{
			Name:   "the zone of two origins lost just before",
			MaxP99: lossMaxP99,
			Reason: electionReason,
			Origin: secondOrigin,
			Before: func(c *Cluster) Filter { return loseZone(c, 0) },
		},
		{Name: "half restart just before", MaxP99: electionMaxP99, Reason: restartReason, Before: restartHalf},
	}
}

// restartHalf kills every second member. Each killed member starts again within restartTime.
func restartHalf(c *Cluster) Filter {
	for i, m := range c.Members {
		if i%2 == 0 {
			c.Stop(&m.machine, true)
			c.After(time.Duration(c.rng.Int64N(int64(restartTime))), func() { c.StartMember(i) })
		}
	}
	return nil
}

// partitionScenarios returns the scenarios in which the regions are partitioned. Their outcomes count the members of
// the larger region, which has three of the five origins.
func partitionScenarios() []Scenario {
	partition := func(c *Cluster) Filter {
		c.Partition(true)
		return c.inLargerRegion
	}
	return []Scenario{
		{
			Name:   "regions cut just before: the larger part's",
			MaxP99: lossMaxP99,
			Reason: noPathReason + "; the leader may be in the other region",
			Origin: firstOrigin,
			Before: partition,
		},
		{
			Name:   "regions cut 20 s before: the larger part's",
			Origin: firstOrigin,
			Lead:   20 * time.Second,
			Before: partition,
		},
	}
}

// inLargerRegion reports whether a member is in the region with the majority of the origins.
func (c *Cluster) inLargerRegion(m *Member) bool { return c.region(&m.machine) == 0 }
