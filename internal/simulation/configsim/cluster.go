package configsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

const (
	// clusterStream is the stream of a seed that a cluster draws from.
	clusterStream = 9
	// initialChangeTime is when the machines of a new cluster started.
	initialChangeTime = -time.Hour
)

// Cluster is the state of a simulation.
type Cluster struct {
	// Now is the simulated time.
	Now     time.Duration
	Members []*Member
	Origins []*Origin
	// OnActive is called when a snapshot becomes active at a member; nil: nothing is.
	OnActive func(m *Member, revision controlplane.Revision)

	config    Config
	rng       *rand.Rand
	events    eventQueue
	lastEvent int
	// partitioned: the regions do not reach each other; partitionChangedAt is when that began or ended.
	partitioned        bool
	partitionChangedAt time.Duration
	// views of the membership, by region during a partition; the first one is for all otherwise.
	views [2]membershipView
	// results of proposals, by the ID of the change.
	results map[string]origin.Result
}

// New makes a cluster and starts its machines.
func New(config Config) (*Cluster, error) {
	config = config.withDefaults()
	c := &Cluster{
		config:  config,
		rng:     rand.New(rand.NewPCG(config.Seed, clusterStream)),
		results: map[string]origin.Result{},
	}
	for i := range config.Origins {
		// Each origin has a rack of its own.
		o := machine{
			index:     i,
			name:      fmt.Sprint("origin", i+1),
			zone:      i % config.Zones,
			rack:      -1 - i,
			changedAt: initialChangeTime,
		}
		c.Origins = append(c.Origins, &Origin{machine: o})
	}
	for i := range config.Members {
		c.Members = append(c.Members, &Member{machine: machine{
			index:     i,
			name:      fmt.Sprint("member", i),
			zone:      i % config.Zones,
			rack:      i / config.Zones % config.Racks,
			changedAt: initialChangeTime,
		}})
	}
	for k := range c.views {
		c.views[k].live = make([]bool, config.Members)
	}
	if err := c.Bootstrap(1); err != nil {
		return nil, err
	}
	for i, m := range c.Members {
		m.up = true // so that the view has all of them
		c.StartMember(i)
		m.changedAt = initialChangeTime
	}
	c.checkConnections()
	c.exchangeRevisions()
	return c, nil
}

// Partition cuts the regions off from each other, or ends that.
func (c *Cluster) Partition(partitioned bool) {
	c.partitioned, c.partitionChangedAt = partitioned, c.Now
}

// Stop ends a machine. A process that is killed resets its connections; a machine that is lost does not.
func (c *Cluster) Stop(m *machine, reset bool) {
	m.up, m.changedAt = false, c.Now
	m.incarnation++
	if !reset {
		return
	}
	m.up = true // for the resets to be sent
	for _, conn := range c.connections() {
		if conn.server() == m || &conn.child.machine == m {
			c.close(conn)
		}
	}
	m.up = false
}

// Freeze keeps a machine from doing anything, or lets it go on.
func (c *Cluster) Freeze(m *machine, frozen bool) { m.frozen, m.changedAt = frozen, c.Now }

// stopAll loses all machines that a filter names.
func (c *Cluster) stopAll(matches func(m *machine) bool) {
	for _, o := range c.Origins {
		if matches(&o.machine) {
			c.Stop(&o.machine, false)
		}
	}
	for _, m := range c.Members {
		if matches(&m.machine) {
			c.Stop(&m.machine, false)
		}
	}
}
