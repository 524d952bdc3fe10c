package simulator

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"hazelwing/balancer"
)

// instance is one balancer with its clients: it carries out what its policy says.
type instance struct {
	w          *World
	index      int
	zone       int
	policy     Policy
	life       int                          // counts its processes
	dead       bool                         // killed, and not started again
	has        map[string]balancer.Endpoint // the list, as it was told last; where it has to be asked for
	subscribed bool                         // discovery tells it of changes
	set        balancer.Settings
	calls      map[string]*call
	wake       time.Duration // when the policy is to be woken; 0: not
	acts       []balancer.Action
	conns      []connections // by node
	told       []time.Duration
	stalled    time.Duration // it handles nothing until then
	silent     time.Duration // the list tells it nothing until then
	news       []func()      // that waits for the end of silence, or of a stall
	weight     float64
	number     int
	skew       time.Duration // of its clock
	heard      time.Duration // when the last news on its way arrives
	busy       time.Duration // its processor is, until then
	used       time.Duration // of a whole core's time, in all
	period     int64         // the last in which it was used, and what was left of its quota
	left       time.Duration
}

// connections are an instance's to one node.
type connections struct {
	open int
	idle []conn // oldest first
	one  conn   // where all share it
}

// conn is a connection: to which process, since when, and when it was last used.
type conn struct {
	life         int
	opened, idle time.Duration
}

// call is one try of a client's: a request as an instance sees it.
type call struct {
	inst     *instance
	id       string
	req      *request
	expires  time.Duration
	attempts []*attempt
	out      int
	read     bool // the policy knows of it
	answered bool
	left     bool // the client; the policy may not know yet
	leaving  bool // it does not
	runs     int  // executions
}

func (w *World) instance(index int, seed uint64) error {
	c := &w.cfg.Clients
	s := w.cfg.Settings
	zone := ""
	if len(c.Zones) > 0 {
		zone = c.Zones[index%len(c.Zones)]
	}
	s.Zone, s.Balancers = zone, c.Instances
	s.InitialCapacity, s.WarmUp = w.cfg.Rules.ColdFrom, w.cfg.Rules.WarmUp
	s.OverloadMultiple, s.OverloadDuration = w.cfg.Rules.FallMultiple, w.cfg.Rules.FallTime
	s.ConnectTimeout = w.cfg.Network.ConnectTimeout
	s.MustSubscribe = w.asked()
	s.Classes = nil
	for _, k := range w.cfg.Classes {
		s.Classes = append(s.Classes, k.Class)
	}
	i := &instance{w: w, period: -1, index: index, zone: w.zone(zone), set: s, calls: map[string]*call{},
		conns: make([]connections, len(w.nodes)), told: make([]time.Duration, len(w.nodes)), weight: 1}
	if len(c.Weights) > 0 {
		i.weight = c.Weights[index]
	}
	w.instances = append(w.instances, i)
	if c.Skew > 0 {
		i.skew = time.Duration((2*rand.New(rand.NewPCG(seed, 5)).Float64() - 1) * float64(c.Skew))
	}
	if err := i.load(seed); err != nil {
		return err
	}
	if w.asked() {
		w.at(0, func() { i.listed(balancer.CachedList, w.list(i)) })
	} else {
		w.at(0, func() { i.handle(balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: w.list(i)}) })
	}
	return nil
}

// load gives an instance a policy that has seen nothing.
func (i *instance) load(seed uint64) (err error) {
	if i.policy, err = i.w.policy(i.set, i.index, seed); err != nil {
		return err
	}
	if t, ok := i.policy.(Told); ok {
		t.Tell(truth{i})
	}
	return nil
}

// handle lets the policy decide, or later where the host stands still.
func (i *instance) handle(e balancer.Event) {
	w := i.w
	if i.dead {
		return
	}
	if w.now < i.stalled {
		w.at(i.stalled, func() { i.handle(e) })
		return
	}
	acts := i.policy.Handle(w.now+past, e, i.acts[:0])
	i.acts = nil // an action may come back here
	for n := range acts {
		i.act(&acts[n])
	}
	i.acts = acts
}

func (i *instance) act(a *balancer.Action) {
	w := i.w
	switch a.Kind {
	case balancer.Send:
		i.send(a)
	case balancer.Cancel:
		if c := i.calls[a.ID]; c != nil && a.Attempt < len(c.attempts) {
			x := c.attempts[a.Attempt]
			w.after(0, func() { w.giveUp(x, balancer.Cancelled) }) // its outcome is an event of its own
		}
	case balancer.Reject:
		if c := i.calls[a.ID]; c != nil {
			c.answer(Refused, a.RetryAfter)
			i.forget(c)
		}
	case balancer.Fail:
		if c := i.calls[a.ID]; c != nil {
			c.answer(Failed, 0)
			i.forget(c)
		}
	case balancer.SetTimer:
		at := max(a.At-past, w.now)
		if i.wake == 0 || at < i.wake {
			i.wake = at
			w.at(at, func() {
				if i.wake == at {
					i.behind(func() {
						if i.wake == at {
							i.wake = 0
							i.handle(balancer.TimerFired{})
						}
					})
				}
			})
		}
	case balancer.Subscribe:
		i.subscribe()
	case balancer.CloseIdle:
		if n := w.byName[a.Endpoint]; n != nil {
			i.closeIdle(n)
		}
	case balancer.Probe:
		i.probe(w.byName[a.Endpoint])
	}
}

func (i *instance) send(a *balancer.Action) {
	c, n := i.calls[a.ID], i.w.byName[a.Endpoint]
	if c == nil || n == nil {
		i.w.m.broke("an attempt that cannot be made, of %s to %s", a.ID, a.Endpoint)
		return
	}
	if c.answered && !c.left {
		i.w.m.broke("%s was sent on after its answer", a.ID)
	}
	if t := i.told[n.index]; t > 0 && i.w.now-t > i.w.cfg.Rules.DrainGrace && i.w.cfg.Rules.DrainGrace > 0 {
		i.w.m.broke("%s was sent to %v after its drain was told", n.Name, i.w.now-t)
	}
	x := &attempt{call: c, n: len(c.attempts), node: n}
	c.attempts = append(c.attempts, x)
	c.out++
	i.w.send(x, a.Timeout)
}

// forget lets a call go that is answered and has nothing out.
func (i *instance) forget(c *call) {
	if c.answered && !c.leaving && c.out == 0 && i.calls[c.id] == c {
		delete(i.calls, c.id)
	}
}

// request takes a client's try.
func (i *instance) request(r *request, expires time.Duration) *call {
	i.number++
	c := &call{inst: i, id: strconv.Itoa(i.number), req: r, expires: expires}
	i.calls[c.id] = c
	patience := expires - i.w.now
	i.turn(i.w.cfg.Host.Request, func() {
		if c.left { // and nobody has told the policy of it
			delete(i.calls, c.id)
			return
		}
		c.read = true
		e := balancer.Request{ID: c.id, Class: r.class.Name, ExpiresAt: i.w.now + patience + past, ExpectedWork: r.hint}
		if r.key > 0 {
			e.AffinityKey = strconv.Itoa(r.key)
		}
		i.handle(e)
	})
	return c
}

// turn does what costs so much of a core's time, after all that came before it. What costs nothing is done at once.
func (i *instance) turn(cost time.Duration, do func()) {
	h := &i.w.cfg.Host
	if h.Cores == 0 || cost == 0 {
		do()
		return
	}
	i.used += cost
	if h.Period > 0 {
		i.spend(cost)
	} else {
		i.busy = max(i.w.now, i.busy) + time.Duration(float64(cost)/h.Cores)
	}
	i.w.at(i.busy, do)
}

// spend takes a cost out of the quota of this period and, where that is used up, of the next ones.
func (i *instance) spend(cost time.Duration) {
	h := &i.w.cfg.Host
	at := max(i.w.now, i.busy)
	for {
		if p := int64(at / h.Period); p != i.period {
			i.period, i.left = p, time.Duration(h.Cores*float64(h.Period))
		}
		if cost <= i.left {
			i.left -= cost
			i.busy = at + cost
			return
		}
		cost -= i.left
		i.left = 0
		at = time.Duration(i.period+1) * h.Period
	}
}

// behind does what costs little after all that came before it.
func (i *instance) behind(do func()) {
	if i.busy <= i.w.now {
		do()
		return
	}
	i.w.at(i.busy, do)
}

// leave says that the client has gone. A host that stands still notices later, in its turn.
func (i *instance) leave(c *call) {
	if c.answered {
		return
	}
	c.answered, c.left = true, true
	if c.read {
		c.leaving = true
		i.behind(func() { i.gone(c) })
	}
}

func (i *instance) gone(c *call) {
	if i.w.now < i.stalled {
		i.w.at(i.stalled, func() { i.gone(c) })
		return
	}
	c.leaving = false
	i.handle(balancer.ClientDisconnected{ID: c.id})
	for _, a := range c.attempts {
		i.w.giveUp(a, balancer.Cancelled)
	}
	i.forget(c)
}

func (i *instance) probe(n *node) {
	w := i.w
	if n == nil {
		return
	}
	n.probes++
	sent := w.now
	end := func(r balancer.Result, load balancer.LoadReport) {
		i.handle(balancer.ProbeResult{Endpoint: n.Name, Result: r, Elapsed: w.now - sent, Load: load})
	}
	z := w.zones[n.Zone]
	there, ok := w.delay(i.zone, z)
	back, okBack := w.delay(z, i.zone)
	if !ok || !okBack || n.dead || n.vanished || n.paused {
		w.after(probeTime, func() { end(balancer.Timeout, balancer.LoadReport{}) })
		return
	}
	w.after(there, func() {
		held := float64(n.held())
		w.after(back, func() { end(balancer.OK, balancer.LoadReport{Reported: true, InFlight: held}) })
	})
}

const probeTime = 400 * time.Millisecond

// ---- connections ----

func (i *instance) open(n *node) {
	i.conns[n.index].open++
	n.conns++
	n.connsMost = max(n.connsMost, n.conns)
	i.w.m.handshakes++
	n.opens = n.opens.add(i.w.now)
}

// drop closes one.
func (i *instance) drop(n *node) {
	c := &i.conns[n.index]
	if i.w.cfg.Network.Multiplexed { // all that is on it learns the same
		n.conns -= c.open
		c.open, c.one = 0, conn{}
		return
	}
	c.open--
	n.conns--
}

// takeIdle takes the connection that was used last, if there is one.
func (i *instance) takeIdle(n *node, a *attempt) bool {
	c := &i.conns[n.index]
	if i.w.cfg.Network.Multiplexed && c.open > 0 && c.one.opened > 0 {
		a.conn = c.one
		return true
	}
	if last := len(c.idle) - 1; last >= 0 && !n.dead {
		a.conn, c.idle = c.idle[last], c.idle[:last]
		return true
	}
	return false
}

func (i *instance) putIdle(a *attempt) {
	n := a.node
	if i.w.cfg.Network.Multiplexed {
		return
	}
	c := &i.conns[n.index]
	a.conn.idle = i.w.now
	c.idle = append(c.idle, a.conn)
	if len(c.idle) == 1 {
		i.w.after(i.w.cfg.Network.Idle, func() { i.sweep(n) })
	}
}

// sweep closes what has been idle for long, and looks again while there is more.
func (i *instance) sweep(n *node) {
	c := &i.conns[n.index]
	for len(c.idle) > 0 && i.w.now-c.idle[0].idle >= i.w.cfg.Network.Idle {
		c.idle = slices.Delete(c.idle, 0, 1)
		i.drop(n)
	}
	if len(c.idle) > 0 {
		i.w.at(c.idle[0].idle+i.w.cfg.Network.Idle, func() { i.sweep(n) })
	}
}

// lost closes all idle connections to a process that has ended. Those in use end with their attempts.
func (w *World) lost(n *node) {
	for _, i := range w.instances {
		i.closeIdle(n)
	}
}

// closeIdle closes all idle connections to a node.
func (i *instance) closeIdle(n *node) {
	for range i.conns[n.index].idle {
		i.drop(n)
	}
	i.conns[n.index].idle = nil
}

// ---- the list ----

// member is how an instance sees a node: when it came up is told by the node's clock, and read by the instance's.
func (n *node) member(i *instance, s balancer.EndpointState, born time.Duration) balancer.Endpoint {
	m := balancer.Endpoint{ID: n.Name, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: s}
	if born > 0 {
		m.StartedAt = max(1, born+past+i.skew)
	}
	return m
}

// list is the whole list as it is now, for an instance.
func (w *World) list(i *instance) (list []balancer.Endpoint) {
	for _, n := range w.nodes {
		switch {
		case n.dead || n.vanished:
		case n.drains:
			list = append(list, n.member(i, balancer.Draining, n.born))
		default:
			list = append(list, n.member(i, balancer.Active, n.born))
		}
	}
	return list
}

// tell tells all instances of a node's state, each late by a time of its own, and in order.
func (w *World) tell(n *node, s balancer.EndpointState) {
	if w.asked() {
		w.learn(n, s)
		return
	}
	for _, i := range w.instances {
		m := n.member(i, s, n.born)
		d := w.cfg.List.Least + time.Duration(w.network.Float64()*float64(w.cfg.List.Most-w.cfg.List.Least))
		at := w.now + d
		if !w.cfg.List.Reorder {
			at = max(at, i.heard)
			i.heard = at
		}
		w.at(at, func() {
			i.hear(func() {
				i.note(n, s)
				i.handle(balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: []balancer.Endpoint{m}})
			})
		})
	}
}

// hear takes news of the list, or keeps it until silence ends or the host goes on. Then it goes before all else that
// waits, as in the engine.
func (i *instance) hear(news func()) {
	i.news = append(i.news, news)
	i.listen()
}

// listen takes all news that can be heard by now. It is called at the end of silence and of a stall, before anything that
// came meanwhile: those who call it asked for that time first.
func (i *instance) listen() {
	if i.w.now < i.silent || i.w.now < i.stalled {
		return
	}
	news := i.news
	i.news = nil
	for _, do := range news {
		do()
	}
}
