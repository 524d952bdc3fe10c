package simulator

import (
	"strconv"
	"time"

	"hazelwing/balancer"
)

// callResult is how a call or a request ended.
type callResult int

// The results of calls.
const (
	callServed callResult = iota
	callRejected
	callFailed
	// callUnanswered means that there was no final answer before the deadline of the call.
	callUnanswered

	callResultCount = iota
)

// call is one call that a client makes to an instance for a request. A request can take several calls.
type call struct {
	instance         *instance
	id               string
	request          *request
	attempts         []*attempt
	attemptsInFlight int
	// read is true once the instance has read the call and notified the policy of it.
	read bool
	// answered is true once the call has ended for the client, with a final answer or by a disconnect.
	answered bool
	// clientLeft is true once the client has disconnected. disconnectPending is true while the policy has yet to be
	// notified of the disconnect.
	clientLeft, disconnectPending bool
	// executions counts how often nodes began to execute the call.
	executions int
}

// beginCall makes the next call of a request to its instance.
func (sim *simulation) beginCall(r *request) {
	clients := &sim.config.Clients
	if r.instance.stopped { // the client has stopped with its instance
		r.calls = clients.MaxCalls
		sim.callEnded(r, callFailed, 0)
		return
	}
	r.calls++
	expiresAt := r.expiresAt
	if share := clients.CallDeadlineShare; share > 0 {
		expiresAt = min(r.expiresAt, sim.now+time.Duration(share*float64(r.class.Deadline)))
	}
	sim.metrics.calls++
	c := r.instance.acceptCall(r, expiresAt)
	if c.answered {
		return
	}
	sim.at(expiresAt, func() { sim.expire(c) })
}

// expire ends a call that has no answer at its deadline.
func (sim *simulation) expire(c *call) {
	if c.answered {
		return
	}
	r := c.request
	// The policy is not to blame if the instance is stalled, or if its simulated processor may be saturated.
	if sim.now >= r.instance.stalledUntil && sim.config.Host.Cores == 0 {
		sim.metrics.violation("%s %d had no answer in its client's time", r.class.Name, r.number)
	}
	r.instance.disconnectClient(c)
	sim.callEnded(r, callUnanswered, 0)
}

// callEnded handles the end of a call. If the call was not served, the client calls again after a delay, as far as
// MaxCalls and the request's deadline allow that. Otherwise the request has ended, and the next request of the session,
// if there is one, begins after the think time, provided that this is before Config.Duration.
func (sim *simulation) callEnded(r *request, result callResult, retryAfter time.Duration) {
	clients := &sim.config.Clients
	wait := max(clients.RetryDelay, retryAfter)
	if result != callServed && r.calls < clients.MaxCalls && sim.now+wait < r.expiresAt {
		sim.after(wait, func() { sim.beginCall(r) })
		return
	}
	sim.openRequests--
	sim.metrics.requestEnded(r, result)
	if next := r.next; next != nil && sim.now+r.thinkTime < sim.config.Duration {
		sim.openRequests++ // keeps the run from ending before the next request begins
		sim.after(r.thinkTime, func() {
			sim.openRequests--
			sim.beginRequest(next)
		})
	}
}

// acceptCall creates a client's call at an instance. The policy is notified once the processor has read the call.
func (i *instance) acceptCall(r *request, expiresAt time.Duration) *call {
	i.lastCallID++
	c := &call{instance: i, id: strconv.Itoa(i.lastCallID), request: r}
	i.calls[c.id] = c
	timeout := expiresAt - i.sim.now
	i.runOnProcessor(i.sim.config.Host.RequestCost, func() {
		if c.clientLeft { // the client left before the call was read, so the policy never learns of it
			delete(i.calls, c.id)
			return
		}
		c.read = true
		event := balancer.Request{
			ID:           c.id,
			Class:        r.class.Name,
			ExpiresAt:    i.sim.now + timeout + clockOffset,
			ExpectedWork: r.expectedWork,
		}
		if r.affinityKey > 0 {
			event.AffinityKey = strconv.Itoa(r.affinityKey)
		}
		i.handle(event)
	})
	return c
}

// finishCall carries out a policy's final answer to a call.
func (i *instance) finishCall(id string, result callResult, retryAfter time.Duration) {
	if c := i.calls[id]; c != nil {
		c.answer(result, retryAfter)
		i.releaseIfDone(c)
	}
}

// answer gives a call its final answer.
func (c *call) answer(result callResult, retryAfter time.Duration) {
	sim := c.instance.sim
	if c.answered {
		if !c.clientLeft {
			sim.metrics.violation("%s %d was answered twice", c.request.class.Name, c.request.number)
		}
		return
	}
	c.answered = true
	sim.callEnded(c.request, result, retryAfter)
}

// disconnectClient ends an unanswered call because its client disconnects. The policy is notified once the processor
// has worked off its backlog. If the call has not been read yet, the policy learns neither of the call nor of its end.
func (i *instance) disconnectClient(c *call) {
	if c.answered {
		return
	}
	c.answered, c.clientLeft = true, true
	if c.read {
		c.disconnectPending = true
		i.runAfterBacklog(func() { i.notifyDisconnected(c) })
	}
}

// notifyDisconnected notifies the policy that a client has disconnected, after the end of a stall if there is one.
func (i *instance) notifyDisconnected(c *call) {
	if i.sim.now < i.stalledUntil {
		i.sim.at(i.stalledUntil, func() { i.notifyDisconnected(c) })
		return
	}
	c.disconnectPending = false
	i.handle(balancer.ClientDisconnected{ID: c.id})
	for _, a := range c.attempts {
		i.sim.abandon(a, balancer.Cancelled)
	}
	i.releaseIfDone(c)
}

// releaseIfDone deletes a call that is answered, has no attempt in flight and no pending disconnect.
func (i *instance) releaseIfDone(c *call) {
	if c.answered && !c.disconnectPending && c.attemptsInFlight == 0 && i.calls[c.id] == c {
		delete(i.calls, c.id)
	}
}
