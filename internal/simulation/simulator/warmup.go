package simulator

import "time"

// warmUpSteps is the number of times that the speed of a process is updated while it warms up.
const warmUpSteps = 20

// arrival is the arrival of a request at a process that warms up.
type arrival struct {
	at   time.Duration
	work time.Duration
}

// restart starts a new process, which has to warm up.
func (n *node) restart() {
	n.terminate(false)
	n.dead, n.vanished, n.draining = false, false, false
	n.startedAt = n.sim.now
	n.warmingUp = n.sim.config.Rules.WarmUp > 0
	n.slowdown, n.paused, n.resetShare = 1, false, 0
	n.recentArrivals, n.recentWork = nil, 0
	incarnation := n.incarnation
	for step := 1; step <= warmUpSteps && n.warmingUp; step++ {
		n.sim.after(n.sim.config.Rules.WarmUp*time.Duration(step)/warmUpSteps, func() {
			if n.incarnation == incarnation {
				n.updateSpeed(func() { n.warmingUp = n.sim.now-n.startedAt < n.sim.config.Rules.WarmUp })
			}
		})
	}
}

// warmUpShare returns the share of its full speed that a process has reached.
func (n *node) warmUpShare() float64 {
	rules := &n.sim.config.Rules
	if !n.warmingUp || rules.WarmUp == 0 {
		return 1
	}
	progress := (1 - rules.InitialCapacity) * float64(n.sim.now-n.startedAt) / float64(rules.WarmUp)
	return min(1, rules.InitialCapacity+progress)
}

// checkColdLoad adds an attempt to the load of a process that warms up. A load above coldCapacity ends the process and
// is a violation.
func (n *node) checkColdLoad(a *attempt) {
	rules := &n.sim.config.Rules
	if !n.warmingUp || rules.OverloadMultiple == 0 {
		return
	}
	n.recentArrivals = append(n.recentArrivals, arrival{n.sim.now, a.call.request.work})
	n.recentWork += a.call.request.work
	for n.sim.now-n.recentArrivals[0].at > rules.OverloadDuration {
		n.recentWork -= n.recentArrivals[0].work
		n.recentArrivals = n.recentArrivals[1:]
	}
	n.sim.metrics.maxColdLoad = max(n.sim.metrics.maxColdLoad, n.recentWork.Seconds()/n.coldCapacity())
	if n.recentWork.Seconds() > n.coldCapacity() {
		n.sim.metrics.violation("%s was pushed over while cold", n.Name)
		n.terminate(false)
	}
}

// coldCapacity returns the work that a process that warms up can take within Rules.OverloadDuration, in seconds at
// speed 1.
func (n *node) coldCapacity() float64 {
	rules := &n.sim.config.Rules
	return rules.OverloadMultiple * n.Speed * float64(n.Cores) * n.warmUpShare() * rules.OverloadDuration.Seconds()
}
