package simulator

import (
	"slices"
	"time"
)

// node is a machine and the process on it.
type node struct {
	Node
	w        *World
	index    int
	life     int // counts processes
	born     time.Duration
	dead     bool // refuses connections
	vanished bool // says nothing
	drains   bool
	cold     bool
	slow     float64
	paused   bool
	breaks   float64 // share of the answers that break
	running  []*job
	waiting  []*job // with gone ones among them
	queued   int
	got      []arrival // while cold
	sum      time.Duration
	halfOpen time.Duration // connections from before it are half open

	conns, connsMost int
	opens            perSecond // connections
	probes           int
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

// job is an attempt at a node.
type job struct {
	a       *attempt
	n       *node
	left    float64 // work, in seconds at speed 1
	since   time.Duration
	speed   float64
	version int
	state   jobState
}

type jobState int8

const (
	queued jobState = iota
	runs
	over
)

// severed says whether a connection is half open: neither side hears the other, and neither knows.
func (n *node) severed(c conn) bool { return c.opened < n.halfOpen }

func (n *node) speed() float64 {
	if n.paused {
		return 0
	}
	return n.pace()
}

// pace is the speed but for pauses.
func (n *node) pace() float64 { return n.Speed * n.warmth() / max(n.slow, 1) }

// shut says that it turns away what comes.
func (n *node) shut() bool {
	return n.drains || n.queued >= n.Queue && len(n.running) >= n.Cores
}

// remains is the work that a running job still needs, in seconds at speed 1.
func (j *job) remains() float64 { return max(0, j.left-(j.n.w.now-j.since).Seconds()*j.speed) }

func (n *node) warmth() float64 {
	r := &n.w.cfg.Rules
	if !n.cold || r.WarmUp == 0 {
		return 1
	}
	return min(1, r.ColdFrom+(1-r.ColdFrom)*float64(n.w.now-n.born)/float64(r.WarmUp))
}

func (n *node) held() int { return len(n.running) + n.queued }

// take takes an attempt whose request has arrived whole, and says whether it was turned away unseen.
func (n *node) take(a *attempt) (ok bool) {
	if n.shut() {
		return false
	}
	n.chill(a)
	if n.dead {
		return true // pushed over by it
	}
	j := &job{a: a, n: n, left: a.call.req.work.Seconds()}
	a.job = j
	if len(n.running) < n.Cores {
		n.start(j)
	} else {
		n.waiting = append(n.waiting, j)
		n.queued++
	}
	return true
}

func (n *node) start(j *job) {
	if !n.w.begins(j.a) { // the repeat of a key that is remembered: the first one's answer, at once
		j.state = over
		n.w.reply(j.a, true)
		n.next()
		return
	}
	j.state = runs
	n.running = append(n.running, j)
	n.run(j)
}

// run lets a job go on at the present speed.
func (n *node) run(j *job) {
	j.since, j.speed = n.w.now, n.speed()
	j.version++
	if j.speed <= 0 {
		return
	}
	v := j.version
	n.w.after(time.Duration(j.left/j.speed*float64(time.Second)), func() {
		if j.version == v && j.state == runs {
			n.finish(j)
		}
	})
}

// changed is called before and after the speed changes.
func (n *node) changed(change func()) {
	for _, j := range n.running {
		j.left = j.remains()
	}
	change()
	for _, j := range n.running {
		n.run(j)
	}
}

func (n *node) finish(j *job) {
	n.remove(j)
	if n.breaks > 0 && n.w.chance.Float64() < n.breaks {
		n.w.reset(j.a)
		if n.w.cfg.Network.Multiplexed {
			n.cut(j.a.call.inst)
		}
	} else {
		n.w.reply(j.a, true)
	}
	n.next()
}

// cut ends all that an instance has here: its only connection broke.
func (n *node) cut(i *instance) {
	for _, j := range append(slices.Clone(n.running), n.waiting...) {
		if j != nil && j.state != over && j.a.call.inst == i {
			n.stop(j)
			n.w.reset(j.a)
		}
	}
}

func (n *node) remove(j *job) {
	j.state = over
	n.running = slices.DeleteFunc(n.running, func(x *job) bool { return x == j })
}

func (n *node) next() {
	for len(n.running) < n.Cores && len(n.waiting) > 0 {
		j := n.waiting[0]
		n.waiting[0] = nil
		n.waiting = n.waiting[1:]
		if j.state == queued {
			n.queued--
			n.start(j)
			return // start goes on where the next one did not run
		}
	}
}

// stop ends a job whose attempt was cancelled.
func (n *node) stop(j *job) {
	switch j.state {
	case queued:
		j.state = over
		n.queued--
	case runs:
		n.remove(j)
		n.next()
	}
}

// die ends the process: what it held is reset, or says nothing where the machine has vanished.
func (n *node) die(vanish bool) {
	if n.dead || n.vanished {
		return
	}
	n.dead, n.vanished = !vanish, vanish
	n.life++
	all := append(slices.Clone(n.running), n.waiting...)
	n.running, n.waiting, n.queued = nil, nil, 0
	for _, j := range all {
		if j.state != over {
			j.state = over
			if !vanish {
				n.w.reset(j.a)
			}
		}
	}
	if !vanish { // else nobody is told: what is open stays so, and says nothing
		n.w.lost(n)
	}
}

// rise starts a new process, cold.
func (n *node) rise() {
	n.die(false)
	n.dead, n.vanished, n.drains = false, false, false
	n.born, n.cold, n.slow, n.paused, n.breaks = n.w.now, n.w.cfg.Rules.WarmUp > 0, 1, false, 0
	n.got, n.sum = nil, 0
	const steps = 20
	life := n.life
	for i := 1; i <= steps && n.cold; i++ {
		n.w.after(n.w.cfg.Rules.WarmUp*time.Duration(i)/steps, func() {
			if n.life == life {
				n.changed(func() { n.cold = n.w.now-n.born < n.w.cfg.Rules.WarmUp })
			}
		})
	}
}

// chill counts what is sent to a cold process, and pushes it over where that is too much.
func (n *node) chill(a *attempt) {
	r := &n.w.cfg.Rules
	if !n.cold || r.FallMultiple == 0 {
		return
	}
	n.got = append(n.got, arrival{n.w.now, a.call.req.work})
	n.sum += a.call.req.work
	for n.w.now-n.got[0].at > r.FallTime {
		n.sum -= n.got[0].work
		n.got = n.got[1:]
	}
	n.w.m.cold = max(n.w.m.cold, n.sum.Seconds()/n.bears())
	if n.sum.Seconds() > n.bears() {
		n.w.m.broke("%s was pushed over while cold", n.Name)
		n.die(false)
	}
}

// bears is the work, in seconds at speed 1, that may come to a cold process within the rules' time.
func (n *node) bears() float64 {
	r := &n.w.cfg.Rules
	return r.FallMultiple * n.Speed * float64(n.Cores) * n.warmth() * r.FallTime.Seconds()
}
