package simulator

import (
	"math/rand/v2"
	"time"

	"hazelwing/internal/simulation/simtime"
)

// The streams of random numbers. Each purpose has a stream of its own, so that a policy that causes more draws for one
// purpose does not change the random numbers of the others. Instance i gets its seed from the stream streamInstances+i.
const (
	streamFaults    = 1
	streamNetwork   = 2
	streamWork      = 3
	streamTraffic   = 4
	streamInstances = 1000
)

// simulation is the state of one run.
type simulation struct {
	config Config
	now    time.Duration
	queue  simtime.Queue

	faultRand, networkRand, workRand *rand.Rand

	nodes       []*node
	nodesByName map[string]*node
	instances   []*instance
	zones       map[string]int
	partitions  []partition
	// costlyShare is the share of the requests whose work is multiplied by costFactor.
	costlyShare, costFactor float64
	discovery               discovery
	newPolicy               NewPolicy
	keyed                   keyedExecutions
	metrics                 *metrics
	openRequests            int // requests that have not ended
	trafficEnded            bool
}

// Run simulates a cluster whose instances use the given policy.
func Run(config Config, policy NewPolicy, seed uint64) (*Result, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	sim := &simulation{
		config:      config,
		faultRand:   stream(streamFaults),
		networkRand: stream(streamNetwork),
		workRand:    stream(streamWork),
		nodesByName: map[string]*node{},
		zones:       map[string]int{},
		keyed:       keyedExecutions{startedAt: map[string]time.Duration{}},
		costFactor:  1,
		newPolicy:   policy,
		discovery:   discovery{known: make([]knownNode, len(config.Nodes))},
	}
	sim.metrics = newMetrics(sim)
	sim.addNodes()
	for i := range config.Clients.Instances {
		if err := sim.addInstance(i, stream(streamInstances+uint64(i)).Uint64()); err != nil {
			return nil, err
		}
	}
	for _, f := range config.Faults {
		sim.at(f.At, func() { sim.inject(f) })
	}
	sim.startTraffic(stream(streamTraffic))
	sim.at(config.Duration, func() { sim.trafficEnded = true })
	sim.runEvents()
	return sim.metrics.result(seed), nil
}

func (sim *simulation) addNodes() {
	for i, c := range sim.config.Nodes {
		n := &node{Node: c, sim: sim, index: i, slowdown: 1}
		sim.nodes = append(sim.nodes, n)
		sim.nodesByName[c.Name] = n
		sim.zoneIndex(c.Zone)
	}
}

// runEvents handles events until the traffic and all of its requests have ended.
func (sim *simulation) runEvents() {
	for sim.queue.Len() > 0 && (!sim.trafficEnded || sim.openRequests != 0) {
		sim.metrics.maxQueuedEvents = max(sim.metrics.maxQueuedEvents, sim.queue.Len())
		at, handle := sim.queue.Pop()
		sim.now = at
		sim.metrics.events++
		handle()
	}
}

// at schedules an event at time t, or now if t has passed.
func (sim *simulation) at(t time.Duration, handle func()) { sim.queue.Push(max(t, sim.now), handle) }

// after schedules an event after a delay.
func (sim *simulation) after(delay time.Duration, handle func()) {
	sim.queue.Push(sim.now+max(delay, 0), handle)
}
