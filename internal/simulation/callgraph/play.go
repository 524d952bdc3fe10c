package callgraph

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/simulation/simtime"
)

// past is how long the sidecars' clocks have run when the traffic begins.
const past = time.Hour

// class is the one class of calls that there is.
const class = "call"

// world is one run.
type world struct {
	cfg      *Config
	now      time.Duration
	queue    simtime.Queue
	services []*service
	faulty   *service
	share    float64
	rng      *rand.Rand // of work
	fault    *rand.Rand // of what fails or is slow
	number   int
	m        measures
}

// node is an instance: one core, a queue, and the balancer of its sidecar for each service that it calls.
type node struct {
	w       *world
	service *service
	out     []*sidecar
	busy    bool
	waiting []*attempt // whose own work has not begun
}

// sidecar is a balancer and what it has in hand.
type sidecar struct {
	w       *world
	to      *service
	policy  *balancer.Balancer
	byName  map[string]*node
	calls   map[string]*call
	wake    time.Duration // 0: none is set
	number  int
	buffers [][]balancer.Action
}

// call is one of an instance to the next service.
type call struct {
	from     *sidecar
	id       string
	path     uint64
	depth    int
	attempts []*attempt
	done     bool
	end      func(ok bool)
}

// attempt is one at an instance; call is nil where a user asks it.
type attempt struct {
	call   *call
	n      int
	at     *node
	path   uint64
	depth  int
	sent   time.Duration
	due    time.Duration // what it was told to answer by
	closed time.Duration // when its caller went on without it; 0: it waits
	end    func(balancer.Result)
}

func (w *world) after(d time.Duration, do func()) { w.queue.Push(w.now+max(d, 0), do) }

// play plays one point: a mode of failing, and the share of the faulty service's calls that it takes.
func play(c *Config, mode string, share float64, seed uint64) (Point, error) {
	draw := rand.New(rand.NewPCG(seed, 1))
	w := &world{cfg: c, share: share, rng: rand.New(rand.NewPCG(seed, 2)), fault: rand.New(rand.NewPCG(seed, 3)), services: graph(c, draw)}
	w.faulty = w.services[len(w.services)-1]
	w.m.mode = mode
	counts := give(w.services, c.Instances)
	for i, s := range w.services {
		for range counts[i] {
			s.nodes = append(s.nodes, &node{w: w, service: s})
		}
	}
	for _, s := range w.services {
		for _, n := range s.nodes {
			for _, t := range s.calls {
				x, err := w.sidecar(s, t, draw.Uint64())
				if err != nil {
					return Point{}, err
				}
				n.out = append(n.out, x)
			}
		}
	}
	arrivals := rand.New(rand.NewPCG(seed, 4))
	rate := c.Calls / callsOf(w.services)
	w.m.begin(w, rate)
	var user func()
	user = func() {
		if w.now < time.Duration(c.Warm+c.Length) {
			w.user(arrivals)
			w.after(time.Duration(arrivals.ExpFloat64()/rate*float64(time.Second)), user)
		}
	}
	w.after(0, user)
	for w.queue.Len() > 0 {
		at, do := w.queue.Pop()
		w.now = at
		w.m.events++
		do()
	}
	return w.m.point(), nil
}

// sidecar makes the balancer of one of s's instances for calls to t.
func (w *world) sidecar(s, t *service, seed uint64) (*sidecar, error) {
	x := &sidecar{w: w, to: t, byName: map[string]*node{}, calls: map[string]*call{}}
	var err error
	aim := time.Duration(w.cfg.Deadline)
	x.policy, err = balancer.New(balancer.Settings{Balancers: len(s.nodes), Zone: "a", MaxAttempts: w.cfg.Attempts, Cancellation: true, Hedging: w.cfg.Copies,
		ConnectTimeout: time.Second, Classes: []balancer.Class{{Name: class, LatencyObjective: aim, Deadline: aim, LateWeight: 0.5, Effect: balancer.Idempotent}}}, seed)
	if err != nil {
		return nil, err
	}
	var list []balancer.Endpoint
	for i, n := range t.nodes {
		name := fmt.Sprint(t.index, ".", i)
		x.byName[name] = n
		list = append(list, balancer.Endpoint{ID: name, Zone: "a", Kind: "m"})
	}
	x.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: list})
	return x, nil
}

// user is a call of a user, who asks an instance of the first service, and asks once.
func (w *world) user(rng *rand.Rand) {
	w.number++
	path := below(rng.Uint64(), 0)
	entry := w.services[0].nodes
	began := w.now
	counted := w.m.user(w, path)
	a := &attempt{at: entry[rng.IntN(len(entry))], path: path, sent: w.now, due: w.now + time.Duration(w.cfg.Deadline)}
	a.end = func(r balancer.Result) {
		if a.closed == 0 {
			a.closed = w.now
			if counted {
				w.m.answered(r == balancer.OK, w.now-began)
			}
		}
	}
	w.after(time.Duration(w.cfg.Deadline), func() { a.end(balancer.Timeout) })
	a.at.take(a)
}

// ---- instances ----

// take takes a call in, or turns it away where too many wait.
func (n *node) take(a *attempt) {
	w := n.w
	w.m.arrived(w, a)
	if len(n.waiting) >= w.cfg.Queue {
		a.answer(balancer.Overloaded)
		return
	}
	n.waiting = append(n.waiting, a)
	n.next()
}

// next begins the work of the one that has waited longest, if the core is free.
func (n *node) next() {
	if n.busy || len(n.waiting) == 0 {
		return
	}
	w := n.w
	a := n.waiting[0]
	n.waiting = n.waiting[1:]
	n.busy = true
	took := time.Duration(w.rng.ExpFloat64() * float64(w.cfg.Work))
	hit := n.service == w.faulty && w.now >= time.Duration(w.cfg.Warm) && w.fault.Float64() < w.share
	if hit && w.m.mode == Slow {
		took = time.Duration(float64(took) * w.cfg.Times)
	}
	began := w.now
	w.after(took, func() {
		n.busy = false
		w.m.worked(w, a, began)
		if hit && w.m.mode == Fail {
			a.answer(balancer.ServerError)
		} else {
			n.onward(a, 0)
		}
		n.next()
	})
}

// onward makes the calls that one brings about from the i-th on, one after the other, and answers it then.
func (n *node) onward(a *attempt, i int) {
	for ; i < len(n.out); i++ {
		path := below(a.path, i)
		if !drawn(path, n.service.each) {
			continue
		}
		n.w.m.placed(n.w, a)
		n.out[i].call(path, a.depth+1, a.due, func(ok bool) {
			if ok {
				n.onward(a, i+1)
			} else {
				a.answer(balancer.ServerError)
			}
		})
		return
	}
	a.answer(balancer.OK)
}

// answer sends an answer back; a user's arrives at once.
func (a *attempt) answer(r balancer.Result) {
	if a.call == nil {
		a.end(r)
		return
	}
	w := a.at.w
	w.after(time.Duration(w.cfg.Hop), func() { a.end(r) })
}

// ---- sidecars ----

// call takes a call; end hears once whether it was served.
func (x *sidecar) call(path uint64, depth int, due time.Duration, end func(ok bool)) {
	x.number++
	c := &call{from: x, id: strconv.Itoa(x.number), path: path, depth: depth, end: end}
	x.calls[c.id] = c
	x.handle(balancer.Request{ID: c.id, Class: class, ExpiresAt: due + past})
}

// handle lets the policy decide, and does what it says.
func (x *sidecar) handle(e balancer.Event) {
	var acts []balancer.Action
	if n := len(x.buffers); n > 0 { // an action may come back here
		acts, x.buffers = x.buffers[n-1], x.buffers[:n-1]
	}
	acts = x.policy.Handle(x.w.now+past, e, acts[:0])
	for i := range acts {
		x.act(&acts[i])
	}
	x.buffers = append(x.buffers, acts)
}

func (x *sidecar) act(a *balancer.Action) {
	w := x.w
	switch a.Kind {
	case balancer.Send:
		x.send(x.calls[a.ID], x.byName[a.Endpoint], a.Timeout)
	case balancer.Cancel:
		try := x.calls[a.ID].attempts[a.Attempt]
		w.after(0, func() { try.end(balancer.Cancelled) }) // its outcome is an event of its own
	case balancer.Reject, balancer.Fail:
		w.m.refused(w, len(x.calls[a.ID].attempts))
		x.finish(x.calls[a.ID], false)
	case balancer.SetTimer:
		at := max(a.At-past, w.now)
		if x.wake == 0 || at < x.wake {
			x.wake = at
			w.queue.Push(at, func() {
				if x.wake == at {
					x.wake = 0
					x.handle(balancer.TimerFired{})
				}
			})
		}
	}
}

func (x *sidecar) send(c *call, to *node, timeout time.Duration) {
	w := x.w
	a := &attempt{call: c, n: len(c.attempts), at: to, path: c.path, depth: c.depth, sent: w.now, due: w.now + timeout}
	c.attempts = append(c.attempts, a)
	a.end = func(r balancer.Result) {
		if a.closed != 0 {
			return
		}
		a.closed = max(w.now, 1)
		final := r == balancer.OK && !c.done
		x.handle(balancer.Outcome{ID: c.id, Attempt: a.n, Result: r, Elapsed: w.now - a.sent, Finished: c.done || final})
		if final {
			x.finish(c, true)
		}
		x.forget(c)
	}
	w.after(timeout, func() { a.end(balancer.Timeout) })
	w.after(time.Duration(w.cfg.Hop), func() { to.take(a) })
}

// finish gives a call its one answer.
func (x *sidecar) finish(c *call, ok bool) {
	if c.done {
		return
	}
	c.done = true
	x.w.after(0, func() { c.end(ok) }) // the instance hears of it after the policy is through
	x.forget(c)
}

// forget lets a call go that is answered and has nothing out.
func (x *sidecar) forget(c *call) {
	if !c.done {
		return
	}
	for _, a := range c.attempts {
		if a.closed == 0 {
			return
		}
	}
	delete(x.calls, c.id)
}
