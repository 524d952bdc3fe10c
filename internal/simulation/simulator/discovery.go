package simulator

import (
	"time"

	"hazelwing/balancer"
)

// rejectDelay is the time until the discovery service answers a call that it rejects.
const rejectDelay = time.Millisecond

// discovery is the state of the discovery service.
type discovery struct {
	busyUntil time.Duration // time at which all accepted calls are answered
	downUntil time.Duration // time at which the latest outage ends
	outages   int           // the number of outages so far
	known     []knownNode   // the state of the nodes as the service knows it, by node
}

// knownNode is the state of a node as the discovery service knows it. It lags behind the node's true state.
type knownNode struct {
	state     balancer.EndpointState
	startedAt time.Duration
}

// mustSubscribe reports whether instances have to subscribe to the endpoint list.
func (sim *simulation) mustSubscribe() bool { return sim.config.Discovery.Capacity > 0 }

// subscribe calls the discovery service for an instance. The call fails, or returns the complete list and opens a watch
// that delivers later updates. If lists are pushed, subscribe delivers the complete list at once.
func (i *instance) subscribe() {
	sim := i.sim
	if !sim.mustSubscribe() {
		i.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: sim.endpoints(i)})
		return
	}
	d := &sim.discovery
	sim.metrics.discoveryCalled()
	incarnation, outages := i.incarnation, d.outages
	at, ok := sim.callDiscovery()
	sim.at(at, func() {
		if i.incarnation != incarnation {
			return
		}
		if i.endpoints.subscribed = ok && d.outages == outages; i.endpoints.subscribed {
			i.deliverUpdate(func() { i.handleEndpoints(balancer.CompleteList, d.endpoints(i)) })
		} else {
			i.handle(balancer.EndpointUpdate{Kind: balancer.WatchFailed})
		}
	})
}

// callDiscovery makes a call of the discovery service, and returns when it ends and whether it succeeds.
func (sim *simulation) callDiscovery() (at time.Duration, ok bool) {
	d, config := &sim.discovery, &sim.config.Discovery
	cost := (config.CallCost + float64(len(sim.nodes))) / config.Capacity
	readyAt := max(sim.now, d.busyUntil) + time.Duration(cost*float64(time.Second))
	maxWait := config.Timeout
	if config.MaxBacklog > 0 {
		maxWait = time.Duration(config.MaxBacklog * float64(config.Timeout))
	}
	switch {
	case sim.now < d.downUntil:
		return sim.now + rejectDelay, false
	case readyAt-sim.now > maxWait:
		sim.metrics.rejectedDiscoveryCalls++
		return sim.now + rejectDelay, false
	case readyAt-sim.now > config.Timeout:
		d.busyUntil = readyAt
		return sim.now + config.Timeout, false
	default:
		d.busyUntil = readyAt
		return readyAt, true
	}
}

// endpoints returns the endpoint list as the discovery service knows it, for an instance.
func (d *discovery) endpoints(i *instance) (list []balancer.Endpoint) {
	for n, known := range d.known {
		if known.state != balancer.Removed {
			list = append(list, i.sim.nodes[n].endpoint(i, known.state, known.startedAt))
		}
	}
	return list
}

// publishToDiscovery sends a node's state to the discovery service, where it arrives after a random delay. The service
// forwards it to the subscribed instances.
func (sim *simulation) publishToDiscovery(n *node, state balancer.EndpointState) {
	startedAt := n.startedAt
	sim.after(sim.updateDelay(), func() {
		sim.discovery.known[n.index] = knownNode{state, startedAt}
		for _, i := range sim.instances {
			if i.endpoints.subscribed {
				sim.sendUpdate(i, n, knownNode{state, startedAt})
			}
		}
	})
}

// sendUpdate sends the update of one endpoint to a subscribed instance.
func (sim *simulation) sendUpdate(i *instance, n *node, known knownNode) {
	incarnation := i.incarnation
	sim.after(sim.config.Network.SameZoneLatency, func() {
		if i.incarnation != incarnation || !i.endpoints.subscribed {
			return
		}
		i.deliverUpdate(func() {
			i.handleEndpoints(balancer.Delta, []balancer.Endpoint{n.endpoint(i, known.state, known.startedAt)})
		})
	})
}

// failDiscovery starts an outage of the discovery service: all watches and calls fail, and new calls are rejected until
// the outage ends.
func (sim *simulation) failDiscovery(duration time.Duration) {
	d := &sim.discovery
	d.downUntil = sim.now + duration
	d.outages++
	d.busyUntil = d.downUntil
	for _, i := range sim.instances {
		if !i.endpoints.subscribed {
			continue
		}
		i.endpoints.subscribed = false
		incarnation := i.incarnation
		sim.after(sim.config.Network.SameZoneLatency, func() {
			if i.incarnation == incarnation {
				i.handle(balancer.EndpointUpdate{Kind: balancer.WatchFailed})
			}
		})
	}
}
