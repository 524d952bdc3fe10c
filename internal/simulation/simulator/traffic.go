package simulator

import (
	"math/rand/v2"
	"time"
)

// request is a request of a client. It can take several calls.
type request struct {
	number       int
	class        *Class
	affinityKey  int // 0 if the request has none
	work         time.Duration
	expectedWork time.Duration
	arrivedAt    time.Duration
	expiresAt    time.Duration // time at which the client gives up
	instance     *instance
	calls        int
	// patience is how long an impatient client waits for its only call. It is 0 if the client is not impatient.
	patience time.Duration
	// next is the session's next request, which begins thinkTime after the end of this one. It is nil if there is none.
	next      *request
	thinkTime time.Duration
}

// traffic draws requests. A session is drawn as a whole when it begins, so that a policy's answers do not change the
// random numbers of later requests.
type traffic struct {
	sim         *simulation
	rng         *rand.Rand
	totalShare  float64 // the sum of the classes' shares
	totalWeight float64 // the sum of the instances' weights
	lastNumber  int
}

// startTraffic schedules the first request; each arrival schedules the next.
func (sim *simulation) startTraffic(rng *rand.Rand) {
	t := &traffic{sim: sim, rng: rng}
	for _, i := range sim.instances {
		t.totalWeight += i.weight
	}
	for _, class := range sim.config.Classes {
		t.totalShare += class.Share
	}
	if len(sim.config.Clients.Recorded) > 0 {
		t.replay(0)
		return
	}
	maxFactor := 1.0
	for _, p := range sim.config.Clients.RateCurve {
		maxFactor = max(maxFactor, p.Factor)
	}
	t.scheduleArrival(maxFactor)
}

// scheduleArrival schedules the next session by thinning (Lewis and Shedler 1979): candidates arrive at the highest
// rate of the curve, or at Clients.Rate if that is higher, and each is kept with a probability that is the rate at its
// time divided by the rate of the candidates.
func (t *traffic) scheduleArrival(maxFactor float64) {
	sim, clients := t.sim, &t.sim.config.Clients
	interval := t.rng.ExpFloat64() / (clients.Rate * maxFactor) * max(clients.SessionLength, 1)
	sim.after(time.Duration(interval*float64(time.Second)), func() {
		if sim.now >= sim.config.Duration {
			return
		}
		t.scheduleArrival(maxFactor)
		if t.rng.Float64()*maxFactor < clients.rateFactor(sim.now) {
			sim.beginRequest(t.session())
		}
	})
}

// rateFactor returns the factor of the rate curve at a time.
func (c *Clients) rateFactor(at time.Duration) float64 {
	if len(c.RateCurve) == 0 {
		return 1
	}
	for n, p := range c.RateCurve {
		if at >= p.At {
			continue
		}
		if n == 0 {
			return p.Factor
		}
		q := c.RateCurve[n-1]
		return q.Factor + (p.Factor-q.Factor)*float64(at-q.At)/float64(p.At-q.At)
	}
	return c.RateCurve[len(c.RateCurve)-1].Factor
}

// replay schedules the recorded requests, beginning with index from.
func (t *traffic) replay(from int) {
	recorded := t.sim.config.Clients.Recorded
	if from == len(recorded) {
		return
	}
	q := recorded[from]
	t.sim.at(q.At, func() {
		r := t.newRequest()
		r.class, r.affinityKey = t.sim.config.class(q.Class), q.AffinityKey
		r.work, r.expectedWork = q.Work, q.ExpectedWork
		t.sim.beginRequest(r)
		t.replay(from + 1)
	})
}

// session draws the requests of a session, which share an instance and an affinity key. It returns the first request.
func (t *traffic) session() *request {
	clients := &t.sim.config.Clients
	first := t.sampleRequest()
	for r := first; clients.SessionLength > 1 && t.rng.Float64() > 1/clients.SessionLength; r = r.next {
		r.next = t.sampleRequest()
		r.next.instance, r.next.affinityKey = r.instance, r.affinityKey
		r.thinkTime = time.Duration(t.rng.ExpFloat64() * float64(clients.ThinkTime))
	}
	return first
}

// newRequest returns a new request with a number and a randomly drawn instance.
func (t *traffic) newRequest() *request {
	t.lastNumber++
	r := &request{number: t.lastNumber}
	x := t.rng.Float64() * t.totalWeight
	for _, i := range t.sim.instances {
		r.instance = i
		if x -= i.weight; x < 0 {
			break
		}
	}
	return r
}

// sampleRequest draws a request with its class, work, affinity key and patience.
func (t *traffic) sampleRequest() *request {
	class := t.sampleClass()
	r := t.newRequest()
	r.class = class
	t.sampleWork(r)
	clients := &t.sim.config.Clients
	if clients.AffinityKeys > 0 {
		r.affinityKey = 1 + t.rng.IntN(clients.AffinityKeys)
	}
	if clients.ImpatientShare > 0 && t.rng.Float64() < clients.ImpatientShare {
		r.patience = time.Duration(float64(clients.Patience) * (1 + t.rng.Float64()) / 2)
	}
	return r
}

// sampleClass draws a class, with probabilities according to the classes' shares.
func (t *traffic) sampleClass() (class *Class) {
	x := t.rng.Float64() * t.totalShare
	for n := range t.sim.config.Classes {
		class = &t.sim.config.Classes[n]
		if x -= class.Share; x < 0 {
			break
		}
	}
	return class
}

// sampleWork draws a request's work and the expected work that it states.
func (t *traffic) sampleWork(r *request) {
	sim, rng := t.sim, t.sim.workRand
	r.work = r.class.Work.sample(rng)
	if sim.costlyShare > 0 && rng.Float64() < sim.costlyShare {
		r.work = time.Duration(float64(r.work) * sim.costFactor)
	}
	if spread := r.class.ExpectedWorkSpread; spread >= 1 {
		factor := 1 + rng.Float64()*(spread-1)
		if rng.IntN(2) == 0 {
			factor = 1 / factor
		}
		r.expectedWork = time.Duration(float64(r.work) * factor)
	}
}

// beginRequest makes a request arrive now, and makes its first call.
func (sim *simulation) beginRequest(r *request) {
	if r.instance.stopped {
		return // its client has stopped with the instance
	}
	r.arrivedAt, r.expiresAt = sim.now, sim.now+r.class.Deadline
	if r.patience > 0 {
		r.expiresAt = sim.now + r.patience
		r.calls = max(sim.config.Clients.MaxCalls, 1) - 1 // the client calls once
	}
	sim.metrics.requestArrived(r)
	sim.openRequests++
	sim.beginCall(r)
}
