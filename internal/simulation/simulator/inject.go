package simulator

import (
	"slices"
	"time"

	"hazelwing/balancer"
)

const (
	// drainPollInterval is the interval at which a draining node checks whether it has requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// minFlapInterval is the shortest time between two changes of a flapping node.
	minFlapInterval = 100 * time.Millisecond
)

// nodesOf returns the nodes that a fault affects.
func (sim *simulation) nodesOf(f Fault) []*node {
	if f.Node != "" {
		return []*node{sim.nodesByName[f.Node]}
	}
	candidates := sim.nodes
	if f.Zone != "" {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(n *node) bool { return n.Zone != f.Zone })
	}
	if f.Share == 0 {
		return candidates
	}
	return sampleShare(sim, candidates, f.Share)
}

// sampleShare draws a share of a list at random, but at least one element.
func sampleShare[T any](sim *simulation, all []T, share float64) (sample []T) {
	n := max(1, int(share*float64(len(all))+0.5))
	for _, x := range sim.faultRand.Perm(len(all))[:min(n, len(all))] {
		sample = append(sample, all[x])
	}
	return sample
}

// inject applies a fault now.
func (sim *simulation) inject(f Fault) {
	switch f.Kind {
	case FaultCut, FaultOneWayCut:
		p := partition{zone: sim.zoneIndex(f.Zone), oneWay: f.Kind == FaultOneWayCut, until: sim.now + f.Duration}
		sim.partitions = append(sim.partitions, p)
	case FaultUpdatesBlocked:
		for _, i := range sim.instances {
			i.endpoints.blockedUntil = max(i.endpoints.blockedUntil, sim.now+f.Duration)
			sim.at(i.endpoints.blockedUntil, i.deliverPendingUpdates)
		}
	case FaultEmptyList:
		for _, i := range sim.instances {
			i.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList})
			sim.after(f.Duration, func() {
				i.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: sim.endpoints(i)})
			})
		}
	case FaultStall:
		for _, i := range sampleShare(sim, sim.instances, f.Share) {
			i.stalledUntil = max(i.stalledUntil, sim.now+f.Duration)
			sim.at(i.stalledUntil, i.deliverPendingUpdates)
		}
	case FaultKill:
		for _, i := range sampleShare(sim, sim.instances, f.Share) {
			i.stop(f.Duration)
		}
	case FaultDiscoveryDown:
		sim.failDiscovery(f.Duration)
	case FaultCost:
		sim.costlyShare, sim.costFactor = f.Share, f.Factor
		sim.after(f.Duration, func() { sim.costlyShare = 0 })
	default:
		for _, n := range sim.nodesOf(f) {
			n.inject(f)
		}
	}
}

// inject applies a fault to one node.
func (n *node) inject(f Fault) {
	switch f.Kind {
	case FaultSlow:
		n.updateSpeed(func() { n.slowdown = f.Factor })
		n.afterUnlessTerminated(f.Duration, func() { n.updateSpeed(func() { n.slowdown = 1 }) })
	case FaultPause:
		n.pauseRepeatedly(f)
	case FaultCrash, FaultVanish:
		n.terminate(f.Kind == FaultVanish)
		n.sim.publishDetected(n, balancer.Removed)
	case FaultRestart:
		n.restart()
		n.sim.publishDetected(n, balancer.Active)
	case FaultHalfOpen:
		n.halfOpenSince = n.sim.now
	case FaultDrain, FaultReplace:
		n.drain(f.Kind == FaultReplace)
	case FaultReset:
		n.resetShare = f.Factor
		n.afterUnlessTerminated(f.Duration, func() { n.resetShare = 0 })
	case FaultFlap:
		n.flap(f)
	}
}

// afterUnlessTerminated calls do after a delay, unless the node's present process has ended by then.
func (n *node) afterUnlessTerminated(delay time.Duration, do func()) {
	incarnation := n.incarnation
	n.sim.after(delay, func() {
		if n.incarnation == incarnation {
			do()
		}
	})
}

// pauseRepeatedly pauses a node for the fault's duration or, if the fault has an interval, for the first half of each
// interval within the duration.
func (n *node) pauseRepeatedly(f Fault) {
	if f.Interval == 0 {
		n.pause(f.Duration)
		return
	}
	for at := time.Duration(0); at < f.Duration; at += f.Interval {
		n.afterUnlessTerminated(at, func() { n.pause(f.Interval / 2) })
	}
}

func (n *node) pause(duration time.Duration) {
	n.updateSpeed(func() { n.paused = true })
	n.afterUnlessTerminated(duration, func() { n.updateSpeed(func() { n.paused = false }) })
}

// drain shuts a node down gracefully. Once the endpoint update has had time to arrive everywhere and the drain grace
// has passed, the process ends as soon as nothing is in flight. If replace is true, a new process starts afterwards.
func (n *node) drain(replace bool) {
	if n.draining || n.dead || n.vanished {
		return
	}
	sim := n.sim
	n.draining = true
	sim.publish(n, balancer.Draining)
	var leave func()
	leave = func() {
		if n.inFlight() > 0 {
			n.afterUnlessTerminated(drainPollInterval, leave)
			return
		}
		n.terminate(false)
		sim.publishDetected(n, balancer.Removed)
		if replace {
			sim.after(sim.config.EndpointUpdates.MaxDelay, func() {
				n.restart()
				sim.publishDetected(n, balancer.Active)
			})
		}
	}
	n.afterUnlessTerminated(sim.config.EndpointUpdates.MaxDelay+sim.config.Rules.DrainGrace, leave)
}

// flap alternately removes a node from the endpoint list and adds it again.
func (n *node) flap(f Fault) {
	interval := max(f.Interval, minFlapInterval)
	state := balancer.Active
	for at := time.Duration(0); at < f.Duration; at += interval {
		n.sim.after(at, func() {
			state = balancer.Removed - state // toggles between Active and Removed
			n.sim.publish(n, state)
		})
	}
	n.sim.after(f.Duration, func() { n.sim.publish(n, balancer.Active) })
}
