package callgraph

import (
	"time"

	"hazelwing/balancer"
)

// instance is one of a service: one core, a queue, and a sidecar for each service that it calls.
type instance struct {
	sim      *simulation
	service  *service
	sidecars []*sidecar // in the order of service.calls
	busy     bool
	waiting  []*attempt // whose own work has not begun
}

// attempt is one at an instance.
type attempt struct {
	// call is what it is an attempt of; nil: it is a user's.
	call      *call
	index     int
	at        *instance
	path      uint64
	depth     int
	sentAt    time.Duration
	expiresAt time.Duration
	// endedAt is when its caller got an answer or gave up; 0: it waits.
	endedAt time.Duration
	end     func(balancer.Result)
}

// accept queues an attempt, or rejects it if too many wait.
func (n *instance) accept(a *attempt) {
	n.sim.metrics.attemptArrived(a)
	if len(n.waiting) >= n.sim.experiment.QueueLimit {
		a.answer(balancer.Overloaded)
		return
	}
	n.waiting = append(n.waiting, a)
	n.startNext()
}

// startNext begins the work of the attempt that has waited longest, if the core is free.
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

// drawFault draws whether an attempt has the fault of the service.
func (n *instance) drawFault() bool {
	sim := n.sim
	hasBegun := sim.now >= time.Duration(sim.experiment.WarmUpTime)
	return n.service == sim.faulty && hasBegun && sim.faultRand.Float64() < sim.faultyShare
}

// callNext makes the calls of an attempt from the i-th service on, one after the other, and then answers the attempt.
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

// answer sends an answer back; a user's arrives at once.
func (a *attempt) answer(result balancer.Result) {
	if a.call == nil {
		a.end(result)
		return
	}
	sim := a.at.sim
	sim.after(time.Duration(sim.experiment.HopLatency), func() { a.end(result) })
}
