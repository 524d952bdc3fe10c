package simulator

import (
	"math/rand/v2"
	"time"

	"hazelwing/balancer"
)

// streamClockSkew is the number of the random stream that an instance's clock skew is drawn from. Its seed is the
// instance's seed.
const streamClockSkew = 5

// instance is one load balancer with its clients. It carries out the actions of its policy.
type instance struct {
	sim      *simulation
	index    int
	zone     int
	policy   Policy
	settings balancer.Settings
	// weight is the instance's share of the traffic, relative to the other instances.
	weight float64
	// incarnation identifies the instance's process. It increases when a process stops.
	incarnation int
	// stopped is true from when the instance is killed until it starts again.
	stopped bool
	// stalledUntil is the end of the latest stall. The instance handles no event before it.
	stalledUntil time.Duration
	clockSkew    time.Duration

	calls        map[string]*call
	lastCallID   int
	timerAt      time.Duration // when the policy's timer fires; 0 if it has none
	actionBuffer []balancer.Action
	connections  []connections // connections to each node, by node
	endpoints    endpointView
	processor    processor
}

func (sim *simulation) addInstance(index int, seed uint64) error {
	clients := &sim.config.Clients
	zone := ""
	if len(clients.Zones) > 0 {
		zone = clients.Zones[index%len(clients.Zones)]
	}
	i := &instance{
		sim:         sim,
		index:       index,
		zone:        sim.zoneIndex(zone),
		settings:    sim.instanceSettings(zone),
		weight:      1,
		calls:       map[string]*call{},
		connections: make([]connections, len(sim.nodes)),
		endpoints:   endpointView{removalNotifiedAt: make([]time.Duration, len(sim.nodes))},
		processor:   processor{quotaPeriod: -1},
	}
	if len(clients.Weights) > 0 {
		i.weight = clients.Weights[index]
	}
	sim.instances = append(sim.instances, i)
	if clients.ClockSkew > 0 {
		rng := rand.New(rand.NewPCG(seed, streamClockSkew))
		i.clockSkew = time.Duration((2*rng.Float64() - 1) * float64(clients.ClockSkew))
	}
	if err := i.newProcess(seed); err != nil {
		return err
	}
	sim.at(0, func() {
		if sim.mustSubscribe() {
			i.handleEndpoints(balancer.CachedList, sim.endpoints(i))
		} else {
			i.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: sim.endpoints(i)})
		}
	})
	return nil
}

// instanceSettings returns the balancer settings of the instances in a zone.
func (sim *simulation) instanceSettings(zone string) balancer.Settings {
	settings, rules := sim.config.Settings, &sim.config.Rules
	settings.Zone, settings.Balancers = zone, sim.config.Clients.Instances
	settings.InitialCapacity, settings.WarmUp = rules.InitialCapacity, rules.WarmUp
	settings.OverloadMultiple, settings.OverloadDuration = rules.OverloadMultiple, rules.OverloadDuration
	settings.ConnectTimeout = sim.config.Network.ConnectTimeout
	settings.MustSubscribe = sim.mustSubscribe()
	settings.Classes = nil
	for _, class := range sim.config.Classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	return settings
}

// newProcess replaces an instance's policy by a new one that has handled no event.
func (i *instance) newProcess(seed uint64) (err error) {
	if i.policy, err = i.sim.newPolicy(i.settings, i.index, seed); err != nil {
		return err
	}
	if p, ok := i.policy.(OraclePolicy); ok {
		p.SetOracle(oracle{i})
	}
	return nil
}

// handle passes an event to the policy and carries out the policy's actions. If the instance is stalled, the event
// waits for the end of the stall. A stopped instance drops the event.
func (i *instance) handle(event balancer.Event) {
	sim := i.sim
	if i.stopped {
		return
	}
	if sim.now < i.stalledUntil {
		sim.at(i.stalledUntil, func() { i.handle(event) })
		return
	}
	actions := i.policy.Handle(sim.now+clockOffset, event, i.actionBuffer[:0])
	i.actionBuffer = nil // an action may call handle again, which must not overwrite the remaining actions
	for n := range actions {
		i.perform(&actions[n])
	}
	i.actionBuffer = actions
}

// perform carries out one action.
func (i *instance) perform(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		i.send(a)
	case balancer.Cancel:
		i.cancel(a)
	case balancer.Reject:
		i.finishCall(a.ID, callRejected, a.RetryAfter)
	case balancer.Fail:
		i.finishCall(a.ID, callFailed, 0)
	case balancer.SetTimer:
		i.setTimer(max(a.At-clockOffset, i.sim.now))
	case balancer.Subscribe:
		i.subscribe()
	case balancer.CloseIdle:
		if n := i.sim.nodesByName[a.Endpoint]; n != nil {
			i.closeIdle(n)
		}
	case balancer.Probe:
		i.probe(i.sim.nodesByName[a.Endpoint])
	}
}

func (i *instance) send(a *balancer.Action) {
	sim := i.sim
	c, n := i.calls[a.ID], sim.nodesByName[a.Endpoint]
	if c == nil || n == nil {
		sim.metrics.violation("an attempt that cannot be made, of %s to %s", a.ID, a.Endpoint)
		return
	}
	if c.answered && !c.clientLeft {
		sim.metrics.violation("%s was sent on after its answer", a.ID)
	}
	grace := sim.config.Rules.DrainGrace
	if t := i.endpoints.removalNotifiedAt[n.index]; t > 0 && grace > 0 && sim.now-t > grace {
		sim.metrics.violation("%s was sent to %v after its drain was told", n.Name, sim.now-t)
	}
	attempt := &attempt{call: c, index: len(c.attempts), node: n}
	c.attempts = append(c.attempts, attempt)
	c.attemptsInFlight++
	sim.startAttempt(attempt, a.Timeout)
}

// cancel abandons an attempt. The outcome is delivered by a separate event, not during the policy's Handle.
func (i *instance) cancel(a *balancer.Action) {
	if c := i.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
		attempt := c.attempts[a.Attempt]
		i.sim.after(0, func() { i.sim.abandon(attempt, balancer.Cancelled) })
	}
}

// setTimer sets the policy's timer to a time, unless it is set to an earlier one.
func (i *instance) setTimer(at time.Duration) {
	if i.timerAt > 0 && at >= i.timerAt {
		return
	}
	i.timerAt = at
	fire := func() {
		if i.timerAt == at {
			i.timerAt = 0
			i.handle(balancer.TimerFired{})
		}
	}
	i.sim.at(at, func() {
		if i.timerAt == at {
			i.runAfterBacklog(fire)
		}
	})
}
