package world

import (
	"math/rand/v2"
	"time"
)

// request is what a client wants, over all of its tries.
type request struct {
	number int
	class  *Class
	key    int
	work   time.Duration
	hint   time.Duration
	came   time.Duration
	end    time.Duration // when its client has given up all tries
	inst   *instance
	tries  int
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

// clients makes the traffic come: each arrival asks for the next.
func (w *World) clients(rng *rand.Rand) {
	c := &w.cfg.Clients
	total := 0.0
	for _, i := range w.instances {
		total += i.weight
	}
	shares := 0.0
	for _, k := range w.cfg.Classes {
		shares += k.Share
	}
	most := 1.0
	for _, p := range c.Curve {
		most = max(most, p.Times)
	}
	number := 0
	var next func()
	next = func() {
		// Thinning (Lewis and Shedler 1979): at the highest rate, and each kept with the share that the curve says.
		w.after(time.Duration(rng.ExpFloat64()/(c.Rate*most)*float64(time.Second)), func() {
			if w.now >= w.cfg.Length {
				return
			}
			next()
			if rng.Float64()*most >= c.times(w.now) {
				return
			}
			number++
			r := &request{number: number, came: w.now}
			x := rng.Float64() * shares
			for n := range w.cfg.Classes {
				r.class = &w.cfg.Classes[n]
				if x -= r.class.Share; x < 0 {
					break
				}
			}
			x = rng.Float64() * total
			for _, i := range w.instances {
				r.inst = i
				if x -= i.weight; x < 0 {
					break
				}
			}
			r.work = r.class.Work.draw(w.work)
			if w.costly > 0 && w.work.Float64() < w.costly {
				r.work = time.Duration(float64(r.work) * w.times)
			}
			if s := r.class.HintSpan; s >= 1 {
				f := 1 + w.work.Float64()*(s-1)
				if w.work.IntN(2) == 0 {
					f = 1 / f
				}
				r.hint = time.Duration(float64(r.work) * f)
			}
			if c.Keys > 0 {
				r.key = 1 + rng.IntN(c.Keys)
			}
			r.end = w.now + r.class.Deadline
			if c.Impatient > 0 && rng.Float64() < c.Impatient {
				r.end = w.now + time.Duration(float64(c.Patience)*(1+rng.Float64())/2)
				r.tries = max(c.Tries, 1) - 1 // it asks once
			}
			w.m.asked(r)
			w.open++
			w.try(r)
		})
	}
	next()
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
			if w.now >= r.inst.stalled { // else the host's, not the policy's
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
}
