package simulator

import (
	"time"

	"hazelwing/balancer"
)

// probeTimeout is the time after which a probe without an answer ends.
const probeTimeout = 400 * time.Millisecond

// probe sends a probe to a node, which answers with its load if it is reachable and not paused.
func (i *instance) probe(n *node) {
	sim := i.sim
	if n == nil {
		return
	}
	n.probes++
	sentAt := sim.now
	end := func(result balancer.Result, load balancer.LoadReport) {
		i.handle(balancer.ProbeResult{Endpoint: n.Name, Result: result, Elapsed: sim.now - sentAt, Load: load})
	}
	zone := sim.zones[n.Zone]
	there, arrives := sim.messageDelay(i.zone, zone)
	back, returns := sim.messageDelay(zone, i.zone)
	if !arrives || !returns || n.dead || n.vanished || n.paused {
		sim.after(probeTimeout, func() { end(balancer.Timeout, balancer.LoadReport{}) })
		return
	}
	sim.after(there, func() {
		inFlight := float64(n.inFlight())
		sim.after(back, func() { end(balancer.OK, balancer.LoadReport{Reported: true, InFlight: inFlight}) })
	})
}
