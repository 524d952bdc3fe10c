package configsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

const (
	// clusterStream selects the stream of random numbers of a cluster, together with the cluster's seed.
	clusterStream = 9
	// initialChangeTime is the start time of the machines of a new cluster. It lies so far back that their starts count
	// as detected.
	initialChangeTime = -time.Hour
)

// Cluster is the state of a simulated cluster.
type Cluster struct {
	// Now is the simulated time.
	Now     time.Duration
	Members []*Member
	Origins []*Origin
	// OnActive, if not nil, is called when a snapshot becomes active at a member.
	OnActive func(m *Member, revision controlplane.Revision)

	config    Config
	rng       *rand.Rand
	events    eventQueue
	lastEvent int
	// partitioned is set while the regions cannot reach each other. partitionChangedAt is the time at which a partition
	// last began or ended.
	partitioned        bool
	partitionChangedAt time.Duration
	// views are the membership views. During a partition they are indexed by region; otherwise the first view is for
	// all members.
	views [2]membershipView
	// results are the origins' answers to proposals, by the ID of the change.
	results map[string]origin.Result
}

// New returns a cluster whose machines have all started.
func New(config Config) (*Cluster, error) {
	config = config.withDefaults()
	c := &Cluster{
		config:  config,
		rng:     rand.New(rand.NewPCG(config.Seed, clusterStream)),
		results: map[string]origin.Result{},
	}
	for i := range config.Origins {
		// Negative rack numbers keep each origin in a rack of its own.
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
		m.up = true // the first view shows all members as live
		c.StartMember(i)
		m.changedAt = initialChangeTime
	}
	c.checkConnections()
	c.exchangeRevisions()
	return c, nil
}

// Partition starts or ends a network partition between the regions.
func (c *Cluster) Partition(partitioned bool) {
	c.partitioned, c.partitionChangedAt = partitioned, c.Now
}

// Stop stops a machine. reset says whether its connections are reset, as the kernel does when a process is killed. If a
// whole machine is lost, its connections are not reset, and its peers have to time out.
func (c *Cluster) Stop(m *machine, reset bool) {
	m.up, m.changedAt = false, c.Now
	m.incarnation++
	if !reset {
		return
	}
	m.up = true // m itself also handles the end of its connections
	for _, conn := range c.connections() {
		if conn.server() == m || &conn.child.machine == m {
			c.close(conn)
		}
	}
	m.up = false
}

// Freeze suspends a machine, or resumes it.
func (c *Cluster) Freeze(m *machine, frozen bool) { m.frozen, m.changedAt = frozen, c.Now }

// stopAll stops all machines that a filter matches, without resetting their connections.
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
