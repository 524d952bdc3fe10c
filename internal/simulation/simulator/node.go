package simulator

import (
	"slices"
	"time"

	"hazelwing/balancer"
)

// node is a machine and the process on it.
type node struct {
	Node
	sim   *simulation
	index int
	// incarnation identifies the machine's process. It increases when a process ends.
	incarnation int
	startedAt   time.Duration
	dead        bool // the process has ended, and the machine refuses connections
	vanished    bool // the machine is unreachable and answers nothing
	draining    bool
	warmingUp   bool
	slowdown    float64
	paused      bool
	// resetShare is the share of the answers that are replaced by a reset of the connection.
	resetShare float64
	running    []*job
	waiting    []*job // jobs that wait for a core, including cancelled ones
	queued     int    // the number of waiting jobs that are not cancelled
	// recentArrivals are the requests of the last Rules.OverloadDuration, and recentWork is their work. Both are
	// maintained only while the process warms up.
	recentArrivals []arrival
	recentWork     time.Duration
	// halfOpenSince is the time of the last FaultHalfOpen. Connections that were opened before it are half open.
	halfOpenSince time.Duration

	connections, maxConnections int
	connectionsOpened           rateCounter
	probes                      int
}

// isHalfOpen reports whether a connection is half open: it loses all messages, and neither side knows.
func (n *node) isHalfOpen(c connection) bool { return c.openedAt < n.halfOpenSince }

// speed returns the present speed of a core.
func (n *node) speed() float64 {
	if n.paused {
		return 0
	}
	return n.unpausedSpeed()
}

// unpausedSpeed returns the speed that a core has while the node is not paused.
func (n *node) unpausedSpeed() float64 { return n.Speed * n.warmUpShare() / max(n.slowdown, 1) }

// rejects reports whether the node rejects new requests.
func (n *node) rejects() bool {
	return n.draining || n.queued >= n.QueueLimit && len(n.running) >= n.Cores
}

// inFlight returns the number of requests that run or wait at the node.
func (n *node) inFlight() int { return len(n.running) + n.queued }

// accept runs or queues an attempt whose request has arrived. It returns false if the node rejects the request.
func (n *node) accept(a *attempt) bool {
	if n.rejects() {
		return false
	}
	n.checkColdLoad(a)
	if n.dead {
		return true // the request has overloaded the process and ended it, so that nothing answers
	}
	j := &job{attempt: a, node: n, remainingWork: a.call.request.work.Seconds()}
	a.job = j
	if len(n.running) < n.Cores {
		n.startJob(j)
	} else {
		n.waiting = append(n.waiting, j)
		n.queued++
	}
	return true
}

// startJob begins to execute a job. If there is a record of the job's idempotency key, the node replays the recorded
// answer instead.
func (n *node) startJob(j *job) {
	if !n.sim.recordExecution(j.attempt) {
		j.state = jobDone
		n.sim.reply(j.attempt, balancer.OK)
		n.startWaiting()
		return
	}
	j.state = jobRunning
	n.running = append(n.running, j)
	n.scheduleCompletion(j)
}

// scheduleCompletion schedules the end of a running job at the node's present speed. It replaces an earlier schedule.
func (n *node) scheduleCompletion(j *job) {
	j.resumedAt, j.speed = n.sim.now, n.speed()
	j.version++
	if j.speed <= 0 {
		return
	}
	version := j.version
	n.sim.after(time.Duration(j.remainingWork/j.speed*float64(time.Second)), func() {
		if j.version == version && j.state == jobRunning {
			n.finish(j)
		}
	})
}

// updateSpeed calls change, which may change the node's speed, and reschedules the running jobs.
func (n *node) updateSpeed(change func()) {
	for _, j := range n.running {
		j.remainingWork = j.remaining()
	}
	change()
	for _, j := range n.running {
		n.scheduleCompletion(j)
	}
}

// finish answers a job that has been executed, or resets its connection with probability resetShare.
func (n *node) finish(j *job) {
	n.removeRunning(j)
	if n.resetShare > 0 && n.sim.faultRand.Float64() < n.resetShare {
		n.sim.reset(j.attempt)
		if n.sim.config.Network.Multiplexed {
			n.resetConnection(j.attempt.call.instance)
		}
	} else {
		n.sim.reply(j.attempt, balancer.OK)
	}
	n.startWaiting()
}

// resetConnection ends all jobs of an instance whose multiplexed connection to the node was reset.
func (n *node) resetConnection(i *instance) {
	for _, j := range append(slices.Clone(n.running), n.waiting...) {
		if j.state != jobDone && j.attempt.call.instance == i {
			n.cancel(j)
			n.sim.reset(j.attempt)
		}
	}
}

func (n *node) removeRunning(j *job) {
	j.state = jobDone
	n.running = slices.DeleteFunc(n.running, func(x *job) bool { return x == j })
}

// startWaiting starts the next waiting job that is not cancelled, if a core is free. If startJob replays an answer and
// so uses no core, it calls startWaiting again for the next job.
func (n *node) startWaiting() {
	for len(n.running) < n.Cores && len(n.waiting) > 0 {
		j := n.waiting[0]
		n.waiting[0] = nil
		n.waiting = n.waiting[1:]
		if j.state == jobQueued {
			n.queued--
			n.startJob(j)
			return
		}
	}
}

// cancel ends a job whose attempt was cancelled. It has no effect on a job that is done.
func (n *node) cancel(j *job) {
	switch j.state {
	case jobQueued:
		j.state = jobDone
		n.queued--
	case jobRunning:
		n.removeRunning(j)
		n.startWaiting()
	}
}

// terminate ends the process. If the machine vanishes, its attempts get no answer, no instance is notified, and
// connections stay open. Otherwise its attempts are reset and its idle connections closed.
func (n *node) terminate(vanish bool) {
	if n.dead || n.vanished {
		return
	}
	n.dead, n.vanished = !vanish, vanish
	n.incarnation++
	jobs := append(slices.Clone(n.running), n.waiting...)
	n.running, n.waiting, n.queued = nil, nil, 0
	for _, j := range jobs {
		if j.state == jobDone {
			continue
		}
		j.state = jobDone
		if !vanish {
			n.sim.reset(j.attempt)
		}
	}
	if !vanish {
		n.sim.closeIdleConnections(n)
	}
}
