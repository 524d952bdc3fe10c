package simulator

import (
	"math/rand/v2"
	"time"
)

// request is what a client wants, over all of its tries.
type request struct {
	number   int
	class    *Class
	key      int
	work     time.Duration
	hint     time.Duration
	came     time.Duration
	end      time.Duration // when its client has given up all tries
	inst     *instance
	tries    int
	patience time.Duration // of a client that asks once; 0: the class's
	think    time.Duration // before next
	next     *request      // of its session
}

// Kind says how a try or a request ended.
type Kind int

// The kinds.
const (
	Served Kind = iota
	Refused
	Failed
	Unanswered // no final answer in the client's time
)

// traffic draws requests. All of a session is drawn when it begins, so that no contestant's answers move the chance of
// what follows.
type traffic struct {
	w             *World
	rng           *rand.Rand
	shares, total float64 // of the classes, and the instances' weights
	number        int
}

// clients makes the traffic come: each arrival asks for the next.
func (w *World) clients(rng *rand.Rand) {
	c := &w.cfg.Clients
	t := &traffic{w: w, rng: rng}
	for _, i := range w.instances {
		t.total += i.weight
	}
	for _, k := range w.cfg.Classes {
		t.shares += k.Share
	}
	if len(c.Recorded) > 0 {
		t.replay(0)
		return
	}
	most := 1.0
	for _, p := range c.Curve {
		most = max(most, p.Times)
	}
	var next func()
	next = func() {
		// Thinning (Lewis and Shedler 1979): at the highest rate, and each kept with the share that the curve says.
		w.after(time.Duration(rng.ExpFloat64()/(c.Rate*most)*max(c.Session, 1)*float64(time.Second)), func() {
			if w.now >= w.cfg.Length {
				return
			}
			next()
			if rng.Float64()*most < c.times(w.now) {
				w.begin(t.session())
			}
		})
	}
	next()
}

// replay plays recorded traffic from its n-th request on.
func (t *traffic) replay(n int) {
	list := t.w.cfg.Clients.Recorded
	if n == len(list) {
		return
	}
	q := list[n]
	t.w.at(q.At, func() {
		r := t.request()
		r.class, r.work, r.hint, r.key = t.w.cfg.class(q.Class), q.Work, q.Hint, q.Key
		t.w.begin(r)
		t.replay(n + 1)
	})
}

// session draws the requests of one, which are of one instance and about one thing.
func (t *traffic) session() *request {
	c := &t.w.cfg.Clients
	first := t.drawn()
	for r := first; c.Session > 1 && t.rng.Float64() > 1/c.Session; r = r.next {
		r.next = t.drawn()
		r.next.inst, r.next.key = r.inst, r.key
		r.think = time.Duration(t.rng.ExpFloat64() * float64(c.Think))
	}
	return first
}

// request numbers one and gives it an instance.
func (t *traffic) request() *request {
	t.number++
	r := &request{number: t.number}
	x := t.rng.Float64() * t.total
	for _, i := range t.w.instances {
		r.inst = i
		if x -= i.weight; x < 0 {
			break
		}
	}
	return r
}

// drawn is a request of a class, work and hint by chance.
func (t *traffic) drawn() *request {
	w := t.w
	x := t.rng.Float64() * t.shares
	var class *Class
	for n := range w.cfg.Classes {
		class = &w.cfg.Classes[n]
		if x -= class.Share; x < 0 {
			break
		}
	}
	r := t.request()
	r.class, r.work = class, class.Work.draw(w.work)
	if w.costly > 0 && w.work.Float64() < w.costly {
		r.work = time.Duration(float64(r.work) * w.times)
	}
	if s := class.HintSpan; s >= 1 {
		f := 1 + w.work.Float64()*(s-1)
		if w.work.IntN(2) == 0 {
			f = 1 / f
		}
		r.hint = time.Duration(float64(r.work) * f)
	}
	c := &w.cfg.Clients
	if c.Keys > 0 {
		r.key = 1 + t.rng.IntN(c.Keys)
	}
	if c.Impatient > 0 && t.rng.Float64() < c.Impatient {
		r.patience = time.Duration(float64(c.Patience) * (1 + t.rng.Float64()) / 2)
	}
	return r
}

// begin lets a request come now.
func (w *World) begin(r *request) {
	if r.inst.dead {
		return // and so is its client
	}
	r.came, r.end = w.now, w.now+r.class.Deadline
	if r.patience > 0 {
		r.end = w.now + r.patience
		r.tries = max(w.cfg.Clients.Tries, 1) - 1 // it asks once
	}
	w.m.asked(r)
	w.open++
	w.try(r)
}

func (c *Clients) times(at time.Duration) float64 {
	if len(c.Curve) == 0 {
		return 1
	}
	for n, p := range c.Curve {
		if at < p.At {
			if n == 0 {
				return p.Times
			}
			q := c.Curve[n-1]
			return q.Times + (p.Times-q.Times)*float64(at-q.At)/float64(p.At-q.At)
		}
	}
	return c.Curve[len(c.Curve)-1].Times
}

// try hands a request to its instance, as a try of its own.
func (w *World) try(r *request) {
	if r.inst.dead { // and so is its client
		r.tries = w.cfg.Clients.Tries
		w.ended(r, Failed, 0)
		return
	}
	r.tries++
	expires := r.end
	if s := w.cfg.Clients.TryShare; s > 0 {
		expires = min(r.end, w.now+time.Duration(s*float64(r.class.Deadline)))
	}
	w.m.tries++
	c := r.inst.request(r, expires)
	if c.answered {
		return
	}
	w.at(expires, func() {
		if !c.answered {
			if w.now >= r.inst.stalled && w.cfg.Host.Cores == 0 { // else the host's, not the policy's
				w.m.broke("%s %d had no answer in its client's time", r.class.Name, r.number)
			}
			r.inst.leave(c)
			w.ended(r, Unanswered, 0)
		}
	})
}

// answer gives a try its final answer.
func (c *call) answer(k Kind, retryIn time.Duration) {
	w := c.inst.w
	if c.answered {
		if !c.left {
			w.m.broke("%s %d was answered twice", c.req.class.Name, c.req.number)
		}
		return
	}
	c.answered = true
	w.ended(c.req, k, retryIn)
}

// ended takes a try's end, and tries again where the client does.
func (w *World) ended(r *request, k Kind, retryIn time.Duration) {
	c := &w.cfg.Clients
	wait := max(c.Wait, retryIn)
	if k != Served && r.tries < c.Tries && w.now+wait < r.end {
		w.after(wait, func() { w.try(r) })
		return
	}
	w.open--
	w.m.ended(r, k)
	if n := r.next; n != nil && w.now+r.think < w.cfg.Length {
		w.open++ // or the run would end before it
		w.after(r.think, func() {
			w.open--
			w.begin(n)
		})
	}
}
