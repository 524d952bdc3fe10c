package simulator

import (
	"time"

	"hazelwing/balancer"
)

// endpointView is an instance's knowledge of the endpoint list, and the state of the delivery of updates to it.
type endpointView struct {
	// cached is the list as last received. It is used only if instances have to subscribe to the list.
	cached map[string]balancer.Endpoint
	// subscribed is true while the discovery service sends updates to the instance.
	subscribed bool
	// removalNotifiedAt holds for each node the time at which the instance was notified that the node drains or was
	// removed, or 0 if the node is active as far as the instance knows.
	removalNotifiedAt []time.Duration
	// blockedUntil is the end of the latest fault FaultUpdatesBlocked. No update is delivered before it.
	blockedUntil time.Duration
	// pending holds the updates that wait for the end of a stall or of a fault FaultUpdatesBlocked.
	pending []func()
	// lastArrivesAt is the arrival time of the update that was pushed last. Unless Reorder is set, later updates do not
	// arrive before it.
	lastArrivesAt time.Duration
}

// endpoint returns a node's entry of the endpoint list as an instance sees it. The node's start time is shifted by the
// skew of the instance's clock.
func (n *node) endpoint(i *instance, state balancer.EndpointState, startedAt time.Duration) balancer.Endpoint {
	e := balancer.Endpoint{ID: n.Name, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: state}
	if startedAt > 0 {
		e.StartedAt = max(1, startedAt+clockOffset+i.clockSkew)
	}
	return e
}

// endpoints returns the complete and current endpoint list, for an instance.
func (sim *simulation) endpoints(i *instance) (list []balancer.Endpoint) {
	for _, n := range sim.nodes {
		switch {
		case n.dead || n.vanished:
		case n.draining:
			list = append(list, n.endpoint(i, balancer.Draining, n.startedAt))
		default:
			list = append(list, n.endpoint(i, balancer.Active, n.startedAt))
		}
	}
	return list
}

// publish sends a node's state to the discovery service if there is one, and otherwise to all instances, to each after
// a separate delay.
func (sim *simulation) publish(n *node, state balancer.EndpointState) {
	if sim.mustSubscribe() {
		sim.publishToDiscovery(n, state)
		return
	}
	for _, i := range sim.instances {
		endpoint := n.endpoint(i, state, n.startedAt)
		arrivesAt := sim.now + sim.updateDelay()
		if !sim.config.EndpointUpdates.Reorder {
			arrivesAt = max(arrivesAt, i.endpoints.lastArrivesAt)
			i.endpoints.lastArrivesAt = arrivesAt
		}
		sim.at(arrivesAt, func() {
			i.deliverUpdate(func() {
				i.noteEndpointState(n, state)
				i.handle(balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: []balancer.Endpoint{endpoint}})
			})
		})
	}
}

// updateDelay draws the delay of an endpoint update.
func (sim *simulation) updateDelay() time.Duration {
	u := &sim.config.EndpointUpdates
	return u.MinDelay + time.Duration(sim.networkRand.Float64()*float64(u.MaxDelay-u.MinDelay))
}

// publishDetected publishes the end or the start of a node's process after DetectionDelay, unless a process of the
// node has ended in the meantime.
func (sim *simulation) publishDetected(n *node, state balancer.EndpointState) {
	incarnation := n.incarnation
	sim.after(sim.config.EndpointUpdates.DetectionDelay, func() {
		if n.incarnation == incarnation {
			sim.publish(n, state)
		}
	})
}

// deliverUpdate delivers an endpoint update, or keeps it while updates are blocked or the instance is stalled. The
// update is then delivered before all other waiting events, as in the engine.
func (i *instance) deliverUpdate(update func()) {
	i.endpoints.pending = append(i.endpoints.pending, update)
	i.deliverPendingUpdates()
}

// deliverPendingUpdates delivers all pending updates, unless updates are blocked or the instance is stalled. It runs at
// the end of each block and stall. It runs before the events that arrived in the meantime, because it was scheduled
// before them.
func (i *instance) deliverPendingUpdates() {
	if i.sim.now < i.endpoints.blockedUntil || i.sim.now < i.stalledUntil {
		return
	}
	updates := i.endpoints.pending
	i.endpoints.pending = nil
	for _, deliver := range updates {
		deliver()
	}
}

// handleEndpoints caches the endpoints of an update, notes which nodes drain or were removed, and passes the update to
// the policy.
func (i *instance) handleEndpoints(kind balancer.UpdateKind, list []balancer.Endpoint) {
	if i.endpoints.cached == nil || kind != balancer.Delta {
		previous := i.endpoints.cached
		i.endpoints.cached = map[string]balancer.Endpoint{}
		for name := range previous { // a node that is missing in a complete list has been removed
			i.noteEndpointState(i.sim.nodesByName[name], balancer.Removed)
		}
	}
	for _, e := range list {
		i.endpoints.cached[e.ID] = e
		i.noteEndpointState(i.sim.nodesByName[e.ID], e.State)
	}
	i.handle(balancer.EndpointUpdate{Kind: kind, Endpoints: list})
}

// noteEndpointState records the time at which an instance is first notified that a node drains or was removed.
func (i *instance) noteEndpointState(n *node, state balancer.EndpointState) {
	notifiedAt := &i.endpoints.removalNotifiedAt[n.index]
	if state == balancer.Active {
		*notifiedAt = 0
	} else if *notifiedAt == 0 {
		*notifiedAt = i.sim.now
	}
}
