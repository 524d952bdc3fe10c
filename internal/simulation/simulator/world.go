package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/simulation/simtime"
)

// Policy decides for one instance, as balancer.Balancer does: it is told what happens and answers with what to do, under
// the contract of that package's interface.
type Policy interface {
	Handle(now time.Duration, e balancer.Event, acts []balancer.Action) []balancer.Action
}

// NewPolicy makes an instance's, which are numbered from 0; its settings are those of the world and the instance.
type NewPolicy func(s balancer.Settings, instance int, seed uint64) (Policy, error)

// past is how long the instances' clocks have run when the traffic begins: a node that came up before has a time on them.
const past = time.Hour

// World is one run.
type World struct {
	cfg   Config
	now   time.Duration
	queue simtime.Queue

	// Chance, by what it decides: a contestant that asks more of one does not change the others.
	chance, network, work *rand.Rand

	nodes     []*node
	byName    map[string]*node
	instances []*instance
	zones     map[string]int
	cuts      []cut
	times     float64 // of the work of Share of the requests
	costly    float64
	discovery discovery
	policy    NewPolicy
	memory    map[string]time.Duration // of keyed requests: when the first began, by group and key
	forgets   []remembered
	m         *measures
	open      int // requests that have not ended
	through   bool
}

type cut struct {
	zone   int
	oneway bool
	until  time.Duration
}

type remembered struct {
	key string
	at  time.Duration
}

// Run plays a world with a policy.
func Run(cfg Config, policy NewPolicy, seed uint64) (*Result, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	w := &World{cfg: cfg, chance: stream(1), network: stream(2), work: stream(3), byName: map[string]*node{}, zones: map[string]int{},
		memory: map[string]time.Duration{}, times: 1, policy: policy}
	w.discovery.knows = make([]entry, len(cfg.Nodes))
	w.m = newMeasures(w)
	for i, c := range cfg.Nodes {
		n := &node{Node: c, w: w, index: i, slow: 1}
		w.nodes = append(w.nodes, n)
		w.byName[c.Name] = n
		w.zone(c.Zone)
	}
	for i := range cfg.Clients.Instances {
		if err := w.instance(i, stream(1000+uint64(i)).Uint64()); err != nil {
			return nil, err
		}
	}
	for _, f := range cfg.Faults {
		w.at(f.At, func() { w.fault(f) })
	}
	w.clients(stream(4))
	w.at(cfg.Length, func() { w.through = true })
	for w.queue.Len() > 0 && !(w.through && w.open == 0) {
		w.m.waiting = max(w.m.waiting, w.queue.Len())
		at, do := w.queue.Pop()
		w.now = at
		w.m.events++
		do()
	}
	return w.m.result(seed), nil
}

func (w *World) at(t time.Duration, do func()) { w.queue.Push(max(t, w.now), do) }

func (w *World) after(d time.Duration, do func()) { w.queue.Push(w.now+max(d, 0), do) }

func (w *World) zone(name string) int {
	z, ok := w.zones[name]
	if !ok {
		z = len(w.zones)
		w.zones[name] = z
	}
	return z
}

// cut says whether nothing arrives from one zone in another one.
func (w *World) cut(from, to int) bool {
	return from != to && slices.ContainsFunc(w.cuts, func(c cut) bool {
		return w.now < c.until && (c.zone == from || c.zone == to && !c.oneway)
	})
}

// way is the least time between zones.
func (w *World) way(from, to int) time.Duration {
	if from != to {
		return w.cfg.Network.Cross
	}
	return w.cfg.Network.Same
}

// delay is how long a message takes between zones, and whether it arrives.
func (w *World) delay(from, to int) (time.Duration, bool) {
	if w.cut(from, to) {
		return 0, false
	}
	n := &w.cfg.Network
	d := w.way(from, to)
	if n.Jitter > 0 {
		d += time.Duration(w.network.ExpFloat64() * float64(n.Jitter))
	}
	if n.Loss > 0 && w.network.Float64() < n.Loss {
		d += n.RetransmitTime
	}
	return d, true
}

// ---- an attempt's way ----

// attempt is one, from its Send to its outcome.
type attempt struct {
	call  *call
	n     int
	node  *node
	zone  int
	sent  time.Duration
	conn  conn
	ended bool // its outcome is told
	gone  bool // given up: what comes back is not listened to
	fresh bool // on a new connection
	out   bool // its last byte is on its way, or further
	job   *job
}

// send starts an attempt.
func (w *World) send(a *attempt, timeout time.Duration) {
	i, n := a.call.inst, a.node
	a.sent = w.now
	a.zone = w.zones[n.Zone]
	w.after(timeout, func() { w.giveUp(a, balancer.Timeout) })
	if i.takeIdle(n, a) {
		i.turn(w.cfg.Host.Attempt/2, func() { w.write(a) })
		return
	}
	a.fresh = true
	i.open(n)
	i.turn(w.cfg.Host.Connect, func() { w.connect(a) })
}

// connect opens a connection and goes on with it.
func (w *World) connect(a *attempt) {
	i, n := a.call.inst, a.node
	there, ok := w.delay(i.zone, a.zone)
	back, okBack := w.delay(a.zone, i.zone)
	if !ok || !okBack || n.vanished {
		w.after(w.cfg.Network.ConnectTimeout, func() { w.fail(a, balancer.ConnectFailed) })
		return
	}
	w.after(there+back, func() {
		switch {
		case a.ended:
		case n.dead:
			w.fail(a, balancer.ConnectFailed)
		case n.vanished:
			w.after(max(0, w.cfg.Network.ConnectTimeout-there-back), func() { w.fail(a, balancer.ConnectFailed) })
		default:
			a.conn = conn{life: n.life, opened: w.now}
			i.conns[n.index].one = a.conn
			i.turn(w.cfg.Host.Attempt/2, func() { w.write(a) })
		}
	})
}

// write puts the request on its connection.
func (w *World) write(a *attempt) {
	i, n := a.call.inst, a.node
	if a.gone {
		return
	}
	w.m.written(a)
	a.out = true
	d, ok := w.delay(i.zone, a.zone)
	if !ok || n.severed(a.conn) {
		return // nothing comes back
	}
	w.after(d, func() {
		switch {
		case n.vanished:
		case n.dead || n.life != a.conn.life:
			w.reset(a)
		case a.gone: // its connection was closed, and that came first
		case !n.take(a):
			w.reply(a, false)
		}
	})
}

// reply brings an answer back: served, or turned away unseen.
func (w *World) reply(a *attempt, served bool) {
	held := float64(a.node.held())
	i := a.call.inst
	d, ok := w.delay(a.zone, i.zone)
	if !ok || a.node.severed(a.conn) {
		return
	}
	w.after(d, func() {
		i.turn(w.cfg.Host.Attempt/2, func() {
			if a.ended || a.gone {
				return
			}
			i.putIdle(a)
			r := balancer.OK
			if !served {
				r = balancer.Overloaded
			}
			load := balancer.LoadReport{}
			if w.cfg.Settings.ProbesReportLoad {
				load = balancer.LoadReport{Reported: true, InFlight: held}
			}
			w.end(a, r, load)
		})
	})
}

// reset breaks an attempt's connection.
func (w *World) reset(a *attempt) {
	d, ok := w.delay(a.zone, a.call.inst.zone)
	if ok {
		w.after(d, func() { w.fail(a, balancer.Reset) })
	}
}

// fail ends an attempt whose connection is of no further use.
func (w *World) fail(a *attempt, r balancer.Result) {
	if a.ended || a.gone {
		return
	}
	a.call.inst.drop(a.node)
	w.end(a, r, balancer.LoadReport{})
}

// giveUp ends an attempt from the instance's side. The node hears of it.
func (w *World) giveUp(a *attempt, r balancer.Result) {
	if a.ended || a.gone {
		return
	}
	a.gone = true
	if !w.cfg.Network.Multiplexed || !a.out {
		a.call.inst.drop(a.node)
	}
	if !a.out {
		r = balancer.NotSent
		if w.now-a.sent >= w.cfg.Network.ConnectTimeout {
			r = balancer.ConnectFailed
		}
	} else if d, ok := w.delay(a.call.inst.zone, a.zone); ok {
		w.after(d, func() {
			if a.job != nil {
				a.node.stop(a.job)
			}
		})
	}
	w.end(a, r, balancer.LoadReport{})
}

// end tells an attempt's outcome, once.
func (w *World) end(a *attempt, r balancer.Result, load balancer.LoadReport) {
	a.ended = true
	w.outcome(a, r, load)
}

// outcome takes it in, later where the host stands still.
func (w *World) outcome(a *attempt, r balancer.Result, load balancer.LoadReport) {
	c := a.call
	if w.now < c.inst.stalled {
		w.at(c.inst.stalled, func() { w.outcome(a, r, load) })
		return
	}
	c.out--
	served := r == balancer.OK && !c.answered
	if served {
		c.answer(Served, 0)
	}
	c.inst.handle(balancer.Outcome{ID: c.id, Attempt: a.n, Result: r, Elapsed: w.now - a.sent, Finished: c.answered, Load: load})
	c.inst.forget(c)
}

// begins notes that a node begins to execute an attempt; false: it is the repeat of a key that its group remembers.
func (w *World) begins(a *attempt) bool {
	c := a.call
	k := c.req.class
	if k.Effect == balancer.Keyed {
		for len(w.forgets) > 0 && w.now-w.forgets[0].at >= k.IdempotencyWindow {
			if x := w.forgets[0]; w.memory[x.key] == x.at {
				delete(w.memory, x.key)
			}
			w.forgets = w.forgets[1:]
		}
		group := ""
		switch k.IdempotencyScope {
		case balancer.ScopeZone:
			group = a.node.Zone
		case balancer.ScopeCell:
			group = fmt.Sprint(a.node.Cell)
		}
		key := fmt.Sprintf("%s/%s/%d", k.Name, group, c.req.number)
		if _, ok := w.memory[key]; ok {
			return false
		}
		w.memory[key] = w.now
		w.forgets = append(w.forgets, remembered{key, w.now})
	}
	c.runs++
	w.m.ran(a)
	return true
}
