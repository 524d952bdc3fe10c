package simulator

import (
	"time"

	"hazelwing/balancer"
)

// attempt is one attempt of a call at a node, from its Send action to its outcome.
type attempt struct {
	call   *call
	index  int
	node   *node
	zone   int
	sentAt time.Duration
	conn   connection
	// completed is true once the outcome is known. Its delivery to the policy may still wait for the end of a stall.
	completed bool
	// abandoned is true once the instance has given the attempt up, by a timeout or a cancellation. A later answer is
	// ignored.
	abandoned bool
	// written is true once the request has been written on the attempt's connection.
	written bool
	job     *job
}

// startAttempt sends an attempt on an idle connection or on a new one.
func (sim *simulation) startAttempt(a *attempt, timeout time.Duration) {
	i, n := a.call.instance, a.node
	a.sentAt = sim.now
	a.zone = sim.zones[n.Zone]
	sim.after(timeout, func() { sim.abandon(a, balancer.Timeout) })
	if i.takeIdle(n, a) {
		i.runOnProcessor(sim.config.Host.AttemptCost/2, func() { sim.writeRequest(a) })
		return
	}
	i.openConnection(n)
	i.runOnProcessor(sim.config.Host.ConnectCost, func() { sim.connect(a) })
}

// connect opens a connection and writes the request on it.
func (sim *simulation) connect(a *attempt) {
	i, n := a.call.instance, a.node
	there, arrives := sim.messageDelay(i.zone, a.zone)
	back, returns := sim.messageDelay(a.zone, i.zone)
	timeout := sim.config.Network.ConnectTimeout
	if !arrives || !returns || n.vanished {
		sim.after(timeout, func() { sim.fail(a, balancer.ConnectFailed) })
		return
	}
	sim.after(there+back, func() {
		switch {
		case a.completed:
		case n.dead:
			sim.fail(a, balancer.ConnectFailed)
		case n.vanished:
			sim.after(max(0, timeout-there-back), func() { sim.fail(a, balancer.ConnectFailed) })
		default:
			a.conn = connection{incarnation: n.incarnation, openedAt: sim.now}
			i.connections[n.index].shared = a.conn
			i.runOnProcessor(sim.config.Host.AttemptCost/2, func() { sim.writeRequest(a) })
		}
	})
}

// writeRequest writes the request on the attempt's connection.
func (sim *simulation) writeRequest(a *attempt) {
	i, n := a.call.instance, a.node
	if a.abandoned {
		return
	}
	sim.metrics.attemptWritten(a)
	a.written = true
	delay, arrives := sim.messageDelay(i.zone, a.zone)
	if !arrives || n.isHalfOpen(a.conn) {
		return // the request is lost, so that no answer comes
	}
	sim.after(delay, func() {
		switch {
		case n.vanished:
		case n.dead || n.incarnation != a.conn.incarnation:
			sim.reset(a)
		case a.abandoned: // the instance gave the attempt up before the request arrived, so that the node ignores it
		case !n.accept(a):
			sim.reply(a, balancer.Overloaded)
		}
	})
}

// reply sends the node's answer to the instance: OK, or Overloaded for a request that the node rejected.
func (sim *simulation) reply(a *attempt, result balancer.Result) {
	inFlight := float64(a.node.inFlight())
	i := a.call.instance
	delay, arrives := sim.messageDelay(a.zone, i.zone)
	if !arrives || a.node.isHalfOpen(a.conn) {
		return
	}
	sim.after(delay, func() {
		i.runOnProcessor(sim.config.Host.AttemptCost/2, func() {
			if a.completed || a.abandoned {
				return
			}
			i.putIdle(a)
			load := balancer.LoadReport{}
			if sim.config.Settings.ProbesReportLoad {
				load = balancer.LoadReport{Reported: true, InFlight: inFlight}
			}
			sim.complete(a, result, load)
		})
	})
}

// reset resets the attempt's connection from the node's side.
func (sim *simulation) reset(a *attempt) {
	delay, arrives := sim.messageDelay(a.zone, a.call.instance.zone)
	if arrives {
		sim.after(delay, func() { sim.fail(a, balancer.Reset) })
	}
}

// fail completes an attempt whose connection has failed, and closes the connection.
func (sim *simulation) fail(a *attempt, result balancer.Result) {
	if a.completed || a.abandoned {
		return
	}
	a.call.instance.closeConnection(a.node)
	sim.complete(a, result, balancer.LoadReport{})
}

// abandon completes an attempt that the instance gives up, and cancels it at the node if its request was written. It
// closes the connection, except for a multiplexed one on which the request was written. If the request was not written,
// the outcome is NotSent, or ConnectFailed once ConnectTimeout has passed.
func (sim *simulation) abandon(a *attempt, result balancer.Result) {
	if a.completed || a.abandoned {
		return
	}
	a.abandoned = true
	if !sim.config.Network.Multiplexed || !a.written {
		a.call.instance.closeConnection(a.node)
	}
	if !a.written {
		result = balancer.NotSent
		if sim.now-a.sentAt >= sim.config.Network.ConnectTimeout {
			result = balancer.ConnectFailed
		}
	} else if delay, arrives := sim.messageDelay(a.call.instance.zone, a.zone); arrives {
		sim.after(delay, func() {
			if a.job != nil {
				a.node.cancel(a.job)
			}
		})
	}
	sim.complete(a, result, balancer.LoadReport{})
}

// complete ends an attempt and delivers its outcome. It is called once per attempt.
func (sim *simulation) complete(a *attempt, result balancer.Result, load balancer.LoadReport) {
	a.completed = true
	sim.deliverOutcome(a, result, load)
}

// deliverOutcome passes an outcome to the policy. If the instance is stalled, it does so at the end of the stall.
func (sim *simulation) deliverOutcome(a *attempt, result balancer.Result, load balancer.LoadReport) {
	c := a.call
	if sim.now < c.instance.stalledUntil {
		sim.at(c.instance.stalledUntil, func() { sim.deliverOutcome(a, result, load) })
		return
	}
	c.attemptsInFlight--
	if result == balancer.OK && !c.answered {
		c.answer(callServed, 0)
	}
	c.instance.handle(balancer.Outcome{
		ID:       c.id,
		Attempt:  a.index,
		Result:   result,
		Elapsed:  sim.now - a.sentAt,
		Finished: c.answered,
		Load:     load,
	})
	c.instance.releaseIfDone(c)
}
