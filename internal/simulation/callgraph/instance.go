package callgraph

import (
	"time"

	"hazelwing/balancer"
)

// instance is an instance of a service. It has one core, a queue, and a sidecar for each service that it calls.
type instance struct {
	sim      *simulation
	service  *service
	sidecars []*sidecar // in the order of service.calls
	busy     bool
	waiting  []*attempt // queued attempts, the oldest first
}

// attempt is an attempt of a call, made at one instance of the called service.
type attempt struct {
	// call is the call that the attempt belongs to; nil for a user's call.
	call      *call
	index     int       // number of earlier attempts of the same call
	at        *instance // instance that the attempt is sent to
	path      uint64    // path of the call; see childPath
	depth     int       // layer of the called service; 0 for the service that users call
	sentAt    time.Duration
	expiresAt time.Duration
	// endedAt is the time at which the caller got an answer or gave up; 0 while the caller waits.
	endedAt time.Duration
	// end ends the attempt for its caller; calls after the first one have no effect.
	end func(balancer.Result)
}

// accept queues an attempt, or rejects it if the queue is full.
func (n *instance) accept(a *attempt) {
	n.sim.metrics.attemptArrived(a)
	if len(n.waiting) >= n.sim.experiment.QueueLimit {
		a.answer(balancer.Overloaded)
		return
	}
	n.waiting = append(n.waiting, a)
	n.startNext()
}

// startNext starts the work of the oldest queued attempt if the core is free.
func (n *instance) startNext() {
	if n.busy || len(n.waiting) == 0 {
		return
	}
	sim := n.sim
	a := n.waiting[0]
	n.waiting = n.waiting[1:]
	n.busy = true
	work := time.Duration(sim.workRand.ExpFloat64() * float64(sim.experiment.MeanWork))
	isFaulty := n.drawFault()
	if isFaulty && sim.mode == ModeSlow {
		work = time.Duration(float64(work) * sim.experiment.Slowdown)
	}
	begin := sim.now
	sim.after(work, func() {
		n.busy = false
		sim.metrics.workDone(a, begin)
		if isFaulty && sim.mode == ModeFail {
			a.answer(balancer.ServerError)
		} else {
			n.callNext(a, 0)
		}
		n.startNext()
	})
}

// drawFault draws whether an attempt at this instance is faulty. After the warm-up, each attempt at the faulty service
// is faulty with the probability faultyShare.
func (n *instance) drawFault() bool {
	sim := n.sim
	hasBegun := sim.now >= time.Duration(sim.experiment.WarmUpTime)
	return n.service == sim.faulty && hasBegun && sim.faultRand.Float64() < sim.faultyShare
}

// callNext makes the planned calls of an attempt to the services of the next layer, one after the other, beginning with
// the one of n.sidecars[i]. It answers the attempt with OK after the last call, or with an error as soon as a call
// fails.
func (n *instance) callNext(a *attempt, i int) {
	for ; i < len(n.sidecars); i++ {
		path := childPath(a.path, i)
		if !isPlanned(path, n.service.callProbability) {
			continue
		}
		n.sim.metrics.callStarted(a)
		n.sidecars[i].call(path, a.depth+1, a.expiresAt, func(ok bool) {
			if ok {
				n.callNext(a, i+1)
			} else {
				a.answer(balancer.ServerError)
			}
		})
		return
	}
	a.answer(balancer.OK)
}

// answer sends an attempt's answer to its caller. An answer to another service arrives after HopLatency, an answer to a
// user without delay.
func (a *attempt) answer(result balancer.Result) {
	if a.call == nil {
		a.end(result)
		return
	}
	sim := a.at.sim
	sim.after(time.Duration(sim.experiment.HopLatency), func() { a.end(result) })
}
