package callgraph

import (
	"fmt"
	"strconv"
	"time"

	"hazelwing/balancer"
)

const (
	// zoneName and kindName are the zone and the kind of all instances.
	zoneName = "a"
	kindName = "m"
	// lateWeight is the weight of an answer after the latency objective, relative to an answer in time.
	lateWeight     = 0.5
	connectTimeout = time.Second
)

// sidecar runs the balancer of one instance for its calls to one service.
type sidecar struct {
	sim        *simulation
	balancer   *balancer.Balancer
	instances  map[string]*instance // instances of the called service, by endpoint ID
	calls      map[string]*call
	lastCallID int
	timerAt    time.Duration // time at which the balancer's timer fires; 0: no timer is set
	// buffers holds unused slices for actions. A call of handle uses one of them until it returns.
	buffers [][]balancer.Action
}

// call is a call from an instance to a service.
type call struct {
	id       string
	path     uint64
	depth    int
	attempts []*attempt
	done     bool
	end      func(ok bool) // called once; ok is true if the call was served
}

// newSidecar returns a sidecar for the calls of one instance of a service (caller) to another service (called).
func (sim *simulation) newSidecar(caller, called *service, seed uint64) (*sidecar, error) {
	deadline := time.Duration(sim.experiment.Deadline)
	b, err := balancer.New(balancer.Settings{
		Balancers:      len(caller.instances),
		Zone:           zoneName,
		MaxAttempts:    sim.experiment.MaxAttempts,
		Cancellation:   true,
		Hedging:        sim.experiment.Hedging,
		ConnectTimeout: connectTimeout,
		Classes: []balancer.Class{{
			Name:             className,
			LatencyObjective: deadline,
			Deadline:         deadline,
			LateWeight:       lateWeight,
			Effect:           balancer.Idempotent,
		}},
	}, seed)
	if err != nil {
		return nil, err
	}
	s := &sidecar{sim: sim, balancer: b, instances: map[string]*instance{}, calls: map[string]*call{}}
	var list []balancer.Endpoint
	for i, n := range called.instances {
		id := fmt.Sprint(called.index, ".", i)
		s.instances[id] = n
		list = append(list, balancer.Endpoint{ID: id, Zone: zoneName, Kind: kindName})
	}
	s.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: list})
	return s, nil
}

// call starts a call to the service. When the call has ended, end is called once; ok is true if the call was served.
func (s *sidecar) call(path uint64, depth int, expiresAt time.Duration, end func(ok bool)) {
	s.lastCallID++
	c := &call{id: strconv.Itoa(s.lastCallID), path: path, depth: depth, end: end}
	s.calls[c.id] = c
	s.handle(balancer.Request{ID: c.id, Class: className, ExpiresAt: expiresAt + clockOffset})
}

// handle passes an event to the balancer and performs the resulting actions.
func (s *sidecar) handle(event balancer.Event) {
	var actions []balancer.Action
	if n := len(s.buffers); n > 0 {
		actions, s.buffers = s.buffers[n-1], s.buffers[:n-1]
	}
	actions = s.balancer.Handle(s.sim.now+clockOffset, event, actions[:0])
	for i := range actions {
		s.perform(&actions[i])
	}
	s.buffers = append(s.buffers, actions)
}

func (s *sidecar) perform(a *balancer.Action) {
	switch a.Kind {
	case balancer.Send:
		s.send(s.calls[a.ID], s.instances[a.Endpoint], a.Timeout)
	case balancer.Cancel:
		cancelled := s.calls[a.ID].attempts[a.Attempt]
		// The outcome is a separate event, so the balancer handles it after the current event.
		s.sim.after(0, func() { cancelled.end(balancer.Cancelled) })
	case balancer.Reject, balancer.Fail:
		s.sim.metrics.callRejected(len(s.calls[a.ID].attempts))
		s.finish(s.calls[a.ID], false)
	case balancer.SetTimer:
		s.setTimer(max(a.At-clockOffset, s.sim.now))
	}
}

// setTimer sets the balancer's timer to fire at a time, unless it is already set to fire at that time or earlier.
func (s *sidecar) setTimer(at time.Duration) {
	if s.timerAt > 0 && at >= s.timerAt {
		return
	}
	s.timerAt = at
	s.sim.queue.Push(at, func() {
		if s.timerAt == at {
			s.timerAt = 0
			s.handle(balancer.TimerFired{})
		}
	})
}

// send sends a new attempt of a call to an instance.
func (s *sidecar) send(c *call, to *instance, timeout time.Duration) {
	sim := s.sim
	a := &attempt{
		call:      c,
		index:     len(c.attempts),
		at:        to,
		path:      c.path,
		depth:     c.depth,
		sentAt:    sim.now,
		expiresAt: sim.now + timeout,
	}
	c.attempts = append(c.attempts, a)
	a.end = func(result balancer.Result) {
		if a.endedAt == 0 {
			s.attemptEnded(a, result)
		}
	}
	sim.after(timeout, func() { a.end(balancer.Timeout) })
	sim.after(time.Duration(sim.experiment.HopLatency), func() { to.accept(a) })
}

// attemptEnded passes the outcome of an attempt to the balancer and finishes its call if the attempt succeeded.
func (s *sidecar) attemptEnded(a *attempt, result balancer.Result) {
	c := a.call
	a.endedAt = max(s.sim.now, 1)
	isFinal := result == balancer.OK && !c.done
	s.handle(balancer.Outcome{
		ID:       c.id,
		Attempt:  a.index,
		Result:   result,
		Elapsed:  s.sim.now - a.sentAt,
		Finished: c.done || isFinal,
	})
	if isFinal {
		s.finish(c, true)
	}
	s.releaseIfDone(c)
}

// finish ends a call, unless it has already ended. The caller is informed after the balancer has handled the current
// event.
func (s *sidecar) finish(c *call, ok bool) {
	if c.done {
		return
	}
	c.done = true
	s.sim.after(0, func() { c.end(ok) })
	s.releaseIfDone(c)
}

// releaseIfDone deletes a call that has ended and has no attempt in flight.
func (s *sidecar) releaseIfDone(c *call) {
	if !c.done {
		return
	}
	for _, a := range c.attempts {
		if a.endedAt == 0 {
			return
		}
	}
	delete(s.calls, c.id)
}
