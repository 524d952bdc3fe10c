package configsim

import (
	"fmt"
	"time"
)

const (
	// warmUp is how long a new cluster runs before the first change, settleTime how long after it.
	warmUp     = 10 * time.Second
	settleTime = 5 * time.Second
	// firstChangeTimeout is when the first change has to be active everywhere.
	firstChangeTimeout = 20 * time.Second
	// faultLead is the time between a fault and the push before or after it: too short for the fault to be detected.
	faultLead = 10 * time.Millisecond
	// scenarioTimeout is how long a scenario waits for its change.
	scenarioTimeout = 8 * time.Second
	// defaultMaxP99 is the limit of Outcome.P99 where a scenario states no other.
	defaultMaxP99 = time.Second
	// electionMaxP99 is the limit with an election, lossMaxP99 with an election after the loss of several machines.
	electionMaxP99 = 3 * time.Second
	lossMaxP99     = 4 * time.Second
	// restartTime is the time within which the members of a mass restart come back.
	restartTime = time.Second
)

// Scenario is one fault around a push.
type Scenario struct {
	Name string
	// Before happens just before the push, or Lead earlier; After just after it. They return which members count.
	Before, After func(c *Cluster) Filter
	Lead          time.Duration
	// Origin is the index of the one that gets the push; nil: the first.
	Origin func(c *Cluster) int
	// MaxP99 is the limit of Outcome.P99; 0: defaultMaxP99. Reason says why it is more.
	MaxP99 time.Duration
	Reason string
}

const (
	electionReason = "an election comes first: its leader is silent for 1 s, and 1 to 2 s pass until another one leads"
	noPathReason   = "all upstreams that follow origins may have lost theirs, and a silent connection is closed " +
		"after 1.5 s"
	restartReason = "the members come back within a second, and a start waits up to a second for the membership view " +
		"(recovery.joinWait)"
)

// Limit is the limit of Outcome.P99.
func (s Scenario) Limit() time.Duration { return max(s.MaxP99, defaultMaxP99) }

// Run simulates a scenario.
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

// newRunning makes a cluster in which a first change is active everywhere.
func newRunning(config Config) (*Cluster, error) {
	c, err := New(config)
	if err != nil {
		return nil, err
	}
	c.Run(warmUp)
	if first := c.Push("first", 0); !c.waitActive(firstChangeTimeout, first, nil) {
		return nil, fmt.Errorf("the first push is active at %d of %d", len(first.activeAt), len(c.Members))
	}
	return c, nil
}

// fetches counts the snapshots that members have fetched from peers.
func (c *Cluster) fetches() (n int) {
	for _, m := range c.Members {
		n += m.Fetches
	}
	return n
}

// Scenarios are those of docs/design/controlplane.md.
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

// originScenarios are failures of origins.
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

// relayScenarios are failures of the member that most others depend on, and of racks.
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

// zoneScenarios are losses of zones, and a restart of half of the members.
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

// restartHalf kills every other member; each starts again within restartTime.
func restartHalf(c *Cluster) Filter {
	for i, m := range c.Members {
		if i%2 == 0 {
			c.Stop(&m.machine, true)
			c.After(time.Duration(c.rng.Int64N(int64(restartTime))), func() { c.StartMember(i) })
		}
	}
	return nil
}

// partitionScenarios are partitions of the regions; the members of the larger one, with three of five origins, count.
func partitionScenarios() []Scenario {
	partition := func(c *Cluster) Filter {
		c.Partition(true)
		return c.inLargerRegion
	}
	return []Scenario{
		{
			Name:   "regions cut just before: the larger part's",
			MaxP99: lossMaxP99,
			Reason: noPathReason + "; the leader may be on the other side",
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

// inLargerRegion reports whether a member is in the region with most origins.
func (c *Cluster) inLargerRegion(m *Member) bool { return c.region(&m.machine) == 0 }
