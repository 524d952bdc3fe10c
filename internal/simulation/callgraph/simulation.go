package callgraph

import (
	"math/rand/v2"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/simulation/simtime"
)

const (
	// clockOffset is the time that the sidecars' clocks show when the traffic begins.
	clockOffset = time.Hour
	// className is the name of the class of all calls.
	className = "call"
)

// Numbers of the streams of random numbers that are derived from the seed. Each purpose has an independent stream.
const (
	streamGraph   = 1
	streamWork    = 2
	streamFaults  = 3
	streamTraffic = 4
)

// simulation is the state of the simulation of one point.
type simulation struct {
	experiment *Experiment
	now        time.Duration
	queue      simtime.Queue
	services   []*service
	// faulty is the service with the fault, faultyShare the share of its calls that fail or are slow.
	faulty      *service
	faultyShare float64
	mode        string
	workRand    *rand.Rand
	faultRand   *rand.Rand
	metrics     *metrics
}

// after schedules a call of handle after a delay; a negative delay counts as 0.
func (sim *simulation) after(delay time.Duration, handle func()) {
	sim.queue.Push(sim.now+max(delay, 0), handle)
}

// simulate simulates one point, given by the mode of the faulty service and the share of its calls with the fault.
func simulate(e *Experiment, mode string, share float64) (Point, error) {
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(e.Seed, n)) }
	graphRand := stream(streamGraph)
	sim := &simulation{
		experiment:  e,
		faultyShare: share,
		mode:        mode,
		workRand:    stream(streamWork),
		faultRand:   stream(streamFaults),
		services:    newGraph(e, graphRand),
	}
	sim.faulty = sim.services[len(sim.services)-1]
	if err := sim.addInstances(graphRand); err != nil {
		return Point{}, err
	}
	rate := e.CallRate / callsPerUser(sim.services)
	sim.metrics = newMetrics(sim, rate)
	trafficRand := stream(streamTraffic)
	sim.after(0, func() { sim.userArrives(trafficRand, rate) })
	for sim.queue.Len() > 0 {
		at, handle := sim.queue.Pop()
		sim.now = at
		sim.metrics.events++
		handle()
	}
	return sim.metrics.point(), nil
}

// addInstances creates the instances of all services and their sidecars.
func (sim *simulation) addInstances(rng *rand.Rand) error {
	counts := assignInstances(sim.services, sim.experiment.Instances)
	for i, s := range sim.services {
		for range counts[i] {
			s.instances = append(s.instances, &instance{sim: sim, service: s})
		}
	}
	for _, s := range sim.services {
		for _, n := range s.instances {
			for _, called := range s.calls {
				c, err := sim.newSidecar(s, called, rng.Uint64())
				if err != nil {
					return err
				}
				n.sidecars = append(n.sidecars, c)
			}
		}
	}
	return nil
}

// userArrives starts a user's call and schedules the arrival of the next user, until the end of the fault.
func (sim *simulation) userArrives(rng *rand.Rand, rate float64) {
	if sim.now >= time.Duration(sim.experiment.WarmUpTime+sim.experiment.FaultDuration) {
		return
	}
	sim.startUserCall(rng)
	interval := rng.ExpFloat64() / rate * float64(time.Second)
	sim.after(time.Duration(interval), func() { sim.userArrives(rng, rate) })
}

// startUserCall makes a user's call to a random instance of the first service. A user does not retry.
func (sim *simulation) startUserCall(rng *rand.Rand) {
	path := childPath(rng.Uint64(), 0)
	entry := sim.services[0].instances
	begin := sim.now
	isCounted := sim.metrics.userCallStarted(path)
	deadline := time.Duration(sim.experiment.Deadline)
	a := &attempt{at: entry[rng.IntN(len(entry))], path: path, sentAt: sim.now, expiresAt: sim.now + deadline}
	a.end = func(result balancer.Result) {
		if a.endedAt != 0 {
			return
		}
		a.endedAt = sim.now
		if isCounted {
			sim.metrics.userAnswered(result == balancer.OK, sim.now-begin)
		}
	}
	sim.after(deadline, func() { a.end(balancer.Timeout) })
	a.at.accept(a)
}
