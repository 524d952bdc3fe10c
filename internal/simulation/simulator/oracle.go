package simulator

import "time"

// Oracle gives access to the true state of the cluster, which no instance can know. A policy that consults it shows an
// upper limit for policies that choose nodes: a request that this policy cannot serve would not have been served at any
// node.
type Oracle interface {
	// ResponseTime returns how long a request that is sent to a node now would take until its answer, if nothing
	// changes: the round trip, the work in flight at the node, and the request's own work. The argument work is a time
	// at speed 1. ResponseTime returns false if there would be no answer.
	ResponseTime(node string, work time.Duration) (time.Duration, bool)
	// Work returns the real work of the request with the given ID as a time at speed 1, or 0 if there is no such
	// request.
	Work(requestID string) time.Duration
}

// OraclePolicy is a policy that consults an Oracle. The simulation calls SetOracle once, before any event. The policy
// may consult the oracle only within Handle.
type OraclePolicy interface {
	Policy
	SetOracle(Oracle)
}

// oracleColdShare is the share of a warming node's capacity up to which the oracle predicts an answer. The rest is left
// for requests that other instances have sent and that have not arrived yet.
const oracleColdShare = 0.7

// oracle implements Oracle for one instance.
type oracle struct{ instance *instance }

// Work implements Oracle.
func (o oracle) Work(id string) time.Duration {
	if c := o.instance.calls[id]; c != nil {
		return c.request.work
	}
	return 0
}

// ResponseTime implements Oracle.
func (o oracle) ResponseTime(name string, work time.Duration) (time.Duration, bool) {
	sim, n := o.instance.sim, o.instance.sim.nodesByName[name]
	if n == nil || n.dead || n.vanished || n.rejects() {
		return 0, false
	}
	zone := sim.zoneIndex(n.Zone)
	if sim.partitioned(o.instance.zone, zone) || sim.partitioned(zone, o.instance.zone) {
		return 0, false
	}
	if n.warmingUp && sim.config.Rules.OverloadMultiple > 0 &&
		(n.recentWork+work).Seconds() > oracleColdShare*n.coldCapacity() {
		return 0, false
	}
	wait := 0.0
	if n.inFlight() >= n.Cores {
		wait = n.workLeft() / float64(n.Cores)
	}
	// Pauses are ignored: the oracle assumes that a pause ends before any instance knows of it.
	atNode := time.Duration((wait + work.Seconds()) / n.unpausedSpeed() * float64(time.Second))
	return 2*sim.minLatency(o.instance.zone, zone) + atNode, true
}

// workLeft returns the remaining work of all jobs that run or wait at a node, in seconds at speed 1.
func (n *node) workLeft() float64 {
	left := 0.0
	for _, j := range n.running {
		left += j.remaining()
	}
	for _, j := range n.waiting {
		if j.state == jobQueued {
			left += j.remainingWork
		}
	}
	return left
}
