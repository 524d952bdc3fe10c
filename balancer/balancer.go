package balancer

// All decisions of the load balancer. The interface (Settings, events, actions) is in api.go.
//
// A request's way: admission may refuse it; pick chooses the lower of two random ready upstreams by peak-
// EWMA latency x (pending+1); send starts an attempt; an outcome, a timer or a hedge moves it on; giveUp
// or an outcome ends it. Latencies are in seconds and normalised: divided by the work that is expected of
// the request, relative to the mean request. Plain statistics and timers are in stats.go and timers.go.
// What the file guards:
//
//   - one final answer for each request, in time: every request has an end timer (arrive, giveUp);
//   - no effect twice: every attempt passes mayTry, every refusal mayRefuse;
//   - drains and cold upstreams: mayTry turns down what the list does not show active, or its budget forbids.
//
// Nothing depends on names; nothing but Handle's clock and New's seed makes time or chance.

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/internal/backoff"
)

// Tunables. Times are derived from Settings (aims, deadlines, rules) or learnt; these are the rest.
const (
	decayAims    = 4.0              // mean aims over which estimates decay: long enough to hear from all
	penaltyAims  = 1.0              // mean aims that a failure answer counts as: as bad as a miss
	crossAims    = 3.5              // a crossing's price p weighs as p x this many aims of latency
	crossFleet   = 32.0             // among more sidecars than this, less in proportion
	meanWeight   = 0.02             // weight of a new sample in plain means: about the last 50
	kindWeight   = 0.05             // the same for one kind of upstream, heard of less often
	quantStep    = 0.1              // step of the learnt quantiles, in logarithm
	lateQuant    = 0.8              // an attempt out for longer than this share of its like is late: hedge it
	retryRatio   = 0.25             // further attempts per first attempt, over time
	retryBurst   = 10.0             // and this many at once, so that a quiet sidecar can retry at all
	rateMemory   = 20 * time.Second // offered load is averaged over this
	ejectBase    = time.Second      // first ejection; doubles with each failed trial
	ejectMax     = 8 * time.Second
	ejectErrors  = 3                // error answers, or broken connections, in a row: two happen by chance
	silentAims   = 3.0              // no answer for this many mean aims, with failures: silent
	limitMax     = 0.65             // requests in hand may wait this share of their aim
	limitMin     = 0.33             // or down to this where upstreams are crowded
	limitStep    = 0.06             // down for one that a crowded upstream made late
	lateAllowed  = 0.05             // and up this part of a step for one in time: so many may be late
	limitAge     = 0.25             // below a mean age of this share of their aim the limit is wider
	copyPressure = 0.7              // no copies above: they take room in hand, and first attempts come first
	pressureMax  = 2.0              // after a lull what is served tells too little
	servedMemory = 2 * time.Second  // what is served is averaged over this
	slowMemory   = 10 * time.Second // few in hand are chance: their mean over this counts beside them
	fewHand      = 8.0              // as much at this many in hand, the more the fewer
	trustUp      = 1.3              // a request sent and served in time admits so many more
	trustDown    = 0.7              // and one that missed so many: both even out where 4 in 10 miss
	trustMin     = 0.1              // down to this share of what comes
	trustMax     = 2.5              // a few misses in a row are chance
	subsetLeast  = 10.0             // upstreams that a quiet sidecar draws its pairs from, or more:
	subsetTime   = time.Second / 2  // as many as requests come in this
	tryVotes     = 20               // requests that settle what time left is usual
	fleetMemory  = 60 * time.Second // a list that was longer is remembered for it
	coldPart     = 0.85             // share used of what pushes a cold upstream over
	coldKind     = 1.5              // times that at most for kinds faster than the mean; less for slower ones
	coldSubset   = 0.8              // of that, what sidecars may send in whose subset it is
	subsetHome   = 0.85             // of a subset, where crossings cost and hardly weigh in the pick
	homeSkew     = 1.3              // times the mean that a zone's traffic may be: nobody tells

	probePrice   = 0.02  // share of service that asking a pair may cost; half of it is cheap
	fewBalancers = 10    // fewer sidecars see a fair part of an upstream's pending themselves
	probeAgain   = 32    // where probes are slow, one request in so many asks again
	keyWidth     = 2.0   // a key with a share of traffic is kept to this many times that share of upstreams
	keyMemory    = 200.0 // requests over which such shares are counted
	pairTries    = 4     // pairs asked before a request is refused for what they hold
	crowdedLow   = 0.6   // time that a request of the least worth may be told to take, of what it has
	unitWeight   = 0.1   // weight of a new sample of the time for each request held: jams form fast
	drawTries    = 8     // draws before the whole list is looked at
)

// New returns the decisions of one sidecar, or an error that names the setting that cannot be used.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{set: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), classes: map[string]*class{},
		ups: map[string]*upstream{}, reqs: map[string]*request{}, kinds: map[string]*float64{},
		zones:   map[string]int{},
		tenants: make([]rate, len(s.Tenants)), limit: limitMax, trust: trustMax, retries: retryBurst,
		servedSlow: rate{memory: slowMemory}, handMean: rate{memory: slowMemory},
		offered: rate{memory: rateMemory}, served: rate{memory: servedMemory}}
	for i := range b.tenants {
		b.tenants[i].memory = rateMemory
	}
	for _, c := range s.Classes {
		b.classes[c.Name] = &class{Class: c, mean: c.LatencyObjective.Seconds() / 4}
		b.meanAim += c.LatencyObjective.Seconds() / float64(len(s.Classes))
	}
	b.fleet, b.mean = b.meanAim/4, b.meanAim/4
	b.unit.weight = unitWeight
	b.self = b.rng.Uint64()
	// Its chance is apart from that of picks, which do not depend on how often discovery was asked.
	b.pace = backoff.NewScheduler(backoff.ServiceConfig(s.Balancers), rand.New(rand.NewPCG(seed, 0x61736b)))
	b.probeTime = quantile{0.75, s.Tick.Seconds()}
	b.mid, b.late = quantile{0.5, b.meanAim / 4}, quantile{lateQuant, b.meanAim / 2}
	return b, nil
}

// Handle takes what happened at now and appends the actions that answer it to acts.
func (b *Balancer) Handle(now time.Duration, e Event, acts []Action) []Action {
	b.now, b.acts = max(now, b.now), acts
	switch e := e.(type) {
	case EndpointUpdate:
		b.members(e)
	case Request:
		b.arrive(e)
	case FirstByte:
		if r := b.reqs[e.ID]; r != nil && !r.stream {
			b.hold(r, -1) // how long the stream lasts is no sign of pressure
			r.stream = true
			b.cancelRest(r, e.Attempt)
		}
	case Outcome:
		b.outcome(e)
	case ClientDisconnected:
		if r := b.reqs[e.ID]; r != nil {
			b.close(r, false)
		}
	case ProbeResult:
		b.told(e)
	case TimerFired:
		b.wake()
	}
	b.arm()
	acts, b.acts = b.acts, nil
	return acts
}

// ---- requests ----

func (b *Balancer) arrive(e Request) {
	c := b.classes[e.Class]
	if b.reqs[e.ID] != nil {
		return
	}
	if c == nil { // no such class: nothing has run and nothing is known of it
		b.act(Action{Kind: Reject, ID: e.ID})
		return
	}
	r := &request{id: e.ID, class: c, arrived: b.now, expires: e.ExpiresAt, earlier: e.PriorAttempts,
		cost: b.cost(c, e.ExpectedWork)}
	r.tenant = slices.IndexFunc(b.set.Tenants, func(t Tenant) bool { return t.Name == e.Tenant })
	aim := c.LatencyObjective + time.Duration(c.ObjectiveStretch*float64(e.ExpectedWork))
	r.aim = b.now + min(aim, c.Deadline)
	worthUntil := r.aim + c.firstTry(b.now, e.ExpiresAt, b.set.Tick) - b.now
	r.stale = worthUntil <= b.now
	// The last answer must land before the deadline, also when the next batch comes a tick late. Past its
	// aim a request without late worth costs work and earns nothing.
	r.end = r.expires - 2*b.set.Tick
	if c.LateWeight == 0 {
		r.end = min(r.end, worthUntil-b.set.Tick)
	}
	if b.set.KeyAffinity && e.AffinityKey != "" {
		r.key = hash(e.AffinityKey)
		r.choices = 2 + int(keyWidth*b.keys.add(e.AffinityKey, keyMemory)*float64(len(b.list)))
	}
	b.reqs[r.id] = r
	b.hold(r, 1)
	b.after(r.end, timerEnd, r)
	if b.now >= r.end || !b.admit(r) {
		b.giveUp(r)
		return
	}
	if b.now-b.chosen > subsetTime/4 {
		b.choose()
	}
	b.offered.add(r.cost, b.now) // without what is refused: its repeats would count again
	b.move(r)
}

// move sends a request that has nothing out, or holds it until something is ready, or ends it.
func (b *Balancer) move(r *request) {
	if b.now+seconds(b.mid.v*r.cost) > r.end && len(r.attempts) > 0 {
		b.giveUp(r)
		return
	}
	if b.asksFirst(r) {
		return
	}
	if told, crowded := b.crowded(r); crowded || !told && r.shed && len(r.attempts) == 0 {
		if r.pair = [2]*upstream{}; !told || r.asked >= pairTries || !b.asksFirst(r) {
			b.giveUp(r)
		}
		return
	}
	if u := b.pick(r); u != nil {
		b.send(r, u)
		return
	}
	if len(r.attempts) >= b.set.MaxAttempts || b.stuck(r) {
		b.giveUp(r)
		return
	}
	if cold := b.coldCount(); cold > 0 && !b.coldHold {
		b.coldHold = true
		b.log("cold limit holds work back: %d of %d upstreams cold", cold, len(b.list))
	}
	b.after(b.now+2*b.set.Tick, timerHeld, r)
}

// mayTry is the gate that every attempt passes.
func (b *Balancer) mayTry(r *request, u *upstream) bool {
	if r.done || r.stream || len(r.attempts) >= b.set.MaxAttempts || b.now >= r.expires || !u.listed {
		return false
	}
	if r.out > 0 && (!b.set.Hedging || r.class.Effect == NonIdempotent) {
		return false
	}
	if b.stuck(r) {
		return false
	}
	for _, a := range r.attempts {
		if a.mayRun && r.class.outside(a.zone, a.cell, u) {
			return false
		}
	}
	for _, a := range r.earlier {
		if r.class.outside(a.Zone, a.Cell, u) {
			return false
		}
	}
	return b.coldAllows(u)
}

// outside: u does not share the memory of repeats with where an attempt went.
func (c *class) outside(zone string, cell int, u *upstream) bool {
	return c.Effect == Keyed &&
		(c.IdempotencyScope == ScopeZone && zone != u.zone || c.IdempotencyScope == ScopeCell && cell != u.cell)
}

// stuck: an attempt may have run, and nothing may follow it any more.
func (b *Balancer) stuck(r *request) bool {
	first, ok := r.firstRun()
	return ok && (r.class.Effect == NonIdempotent || r.class.Effect == Keyed && b.now > b.forgotten(r, first))
}

// firstRun is when the first attempt was sent that may have run; false: none may.
func (r *request) firstRun() (at time.Duration, ok bool) {
	for _, a := range r.attempts {
		if a.mayRun && (!ok || a.sent < at) {
			at, ok = a.sent, true
		}
	}
	for _, a := range r.earlier {
		if !ok || a.SentAt < at {
			at, ok = a.SentAt, true
		}
	}
	return at, ok
}

// forgotten is when those who saw a keyed request first no longer drop its repeats, less what the way takes.
func (b *Balancer) forgotten(r *request, first time.Duration) time.Duration {
	return first + r.class.IdempotencyWindow - 2*b.set.Tick
}

// mayRefuse: a refusal tells the client that trying again is harmless.
func mayRefuse(r *request) bool {
	if r.class.Effect == Idempotent || r.class.Effect == Keyed && r.class.IdempotencyScope == ScopeAll {
		return true
	}
	return len(r.earlier) == 0 && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayRun })
}

// send starts the next attempt. Its caller asked mayTry, through pick.
func (b *Balancer) send(r *request, u *upstream) {
	var before time.Duration
	if first, ok := r.firstRun(); ok && r.class.Effect == Keyed {
		before = b.forgotten(r, first)
	}
	a := &attempt{r: r, n: len(r.attempts), u: u, zone: u.zone, cell: u.cell, sent: b.now}
	a.out, a.mayRun, a.before = true, true, -1
	if u.toldAt >= r.askedAt && r.pair[0] != nil {
		a.before = u.held
	}
	if a.n == 0 {
		b.retries = min(b.retries+retryRatio, max(retryBurst, retryRatio*b.offered.per(b.now)))
	} else {
		b.retries = max(b.retries-1, 0) // refused connections cost nothing and are not held to it
	}
	r.attempts = append(r.attempts, a)
	r.out++
	u.out = append(u.out, a)
	u.tokens -= r.cost
	u.held++
	r.pair = [2]*upstream{}
	timeout := max(r.end-b.now, b.set.Tick)
	b.act(Action{Kind: Send, ID: r.id, Endpoint: u.id, Timeout: timeout, NotAfter: before})
	if r.class.Effect != NonIdempotent {
		r.lateAt = b.now + b.patience(r)
		b.after(r.lateAt, timerLate, r)
	}
}

// patience is how long an attempt may be out before it is late. Where no second copy may run beside it,
// ending it costs its place in the queue: it then waits as long as leaves time for another attempt.
func (b *Balancer) patience(r *request) time.Duration {
	d := seconds(b.late.v * r.cost * float64(int(1)<<max(r.out-1, 0)))
	if !b.set.Hedging {
		d = max(d, r.end-b.now-seconds(b.mid.v*r.cost))
	}
	return d
}

// lateAttempt answers a request whose attempt is late: a second copy beside it, or where that is ruled out
// another attempt in its place, if the upstream has not been heard since. Guards against pauses and hung
// upstreams. It dies out in overload: the budget is relative to first attempts, lateness to what is usual,
// and pressure stops it.
func (b *Balancer) lateAttempt(r *request) {
	if r.out == 0 || b.now < r.lateAt || b.retries < 1 || b.pressure() > copyPressure {
		return
	}
	if b.set.Hedging {
		if u := b.pick(r); u != nil {
			b.send(r, u)
		}
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if b.set.Cancellation && last.u.heard < last.sent && b.now+seconds(b.mid.v*r.cost) < r.end {
		b.cancelRest(r, -1)
	}
}

func (b *Balancer) outcome(e Outcome) {
	r := b.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].out {
		return
	}
	a := r.attempts[e.Attempt]
	a.out = false
	r.out--
	a.mayRun = e.Result.MayHaveRun()
	a.u.out = slices.DeleteFunc(a.u.out, func(x *attempt) bool { return x == a })
	b.letGo(a.u)
	if e.Load.usable() {
		b.holds(a.u, e.Load.InFlight)
	}
	b.observe(a, e.Result, e.Elapsed)
	b.health(a, e.Result, e.Elapsed)
	if e.Finished && !r.done {
		b.cancelRest(r, e.Attempt)
		b.learnLimit(r)
		b.close(r, e.Result == OK)
	}
	if r.done {
		b.forget(r)
		return
	}
	if r.out > 0 || r.stream {
		return // another copy is still out, or the stream's end is the client's
	}
	if e.Result != ConnectFailed && b.retries < 1 {
		b.giveUp(r)
		return
	}
	b.move(r)
}

// letGo closes the idle connections to u. Guards against tables full of idle connections: one of each sidecar
// costs more than a new one in each round of the list where 100 handshakes a sidecar are cheaper.
func (b *Balancer) letGo(u *upstream) {
	if len(u.out) == 0 && b.set.PriceOpenConnection*float64(b.set.Balancers) > 100*b.set.PriceHandshake {
		b.act(Action{Kind: CloseIdle, Endpoint: u.id})
	}
}

// giveUp ends a request without an answer from an upstream.
func (b *Balancer) giveUp(r *request) {
	if r.done {
		return
	}
	b.cancelRest(r, -1)
	b.learnLimit(r)
	if mayRefuse(r) {
		a := Action{Kind: Reject, ID: r.id}
		if b.set.RetryAfter {
			a.RetryAfter = b.set.MaxRetryAfter
		}
		b.act(a)
	} else {
		b.act(Action{Kind: Fail, ID: r.id})
	}
	b.close(r, false)
}

// cancelRest stops the attempts still out, but for the one numbered keep.
func (b *Balancer) cancelRest(r *request, keep int) {
	for _, a := range r.attempts {
		if a.out && a.n != keep && b.set.Cancellation {
			b.act(Action{Kind: Cancel, ID: r.id, Attempt: a.n})
		}
	}
}

// close ends a request, served by an upstream or not.
func (b *Balancer) close(r *request, served bool) {
	if r.done {
		return
	}
	r.done = true
	if !served && !r.stream {
		r.class.unserved.add(r.arrived)
	}
	if !r.stream {
		b.hold(r, -1)
	}
	b.forget(r)
}

// forget lets a request go once it is done and no outcome is to come.
func (b *Balancer) forget(r *request) {
	if r.done && r.out == 0 {
		delete(b.reqs, r.id)
	}
}

// ---- pick ----

// pick returns the upstream for r's next attempt, or nil. The ordinary case is the lower load of two
// random ready upstreams of the subset that r has not tried. Where there is none, each step gives up one of
// these: the subset, the untried, and, with nothing out, the ready (better a doubtful upstream than none).
func (b *Balancer) pick(r *request) *upstream {
	for step := 0; step < 3 || step == 3 && r.out == 0; step++ {
		if u := b.zonePick(r, func(u *upstream) bool { return b.fits(r, u, step) }); u != nil {
			return u
		}
	}
	return nil
}

func (b *Balancer) fits(r *request, u *upstream, step int) bool {
	return (step > 0 || u.chosen || r.key != 0) && (step > 2 || b.ready(u, r)) && (step > 1 ||
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.u == u })) && b.mayTry(r, u)
}

// choose settles the subset that pairs are drawn from: the first of a random order of its own, as many as
// get a request each in a while, ejected ones not counted. Guards against estimates that are always stale.
// It acts where the list is longer, sidecars are many (the subsets of few load upstreams unevenly) and probes
// not cheap (those tell anew each time). What has a key or finds none ready in the subset draws from all.
// Where crossings cost, a part of it is from home first, the larger the less a crossing weighs in the pick: a
// subset of all zones holds two or three there, of which the better is often worse than the better of the far
// ones. Where the pick itself keeps to home, few far ones would leave it nowhere to go.
func (b *Balancer) choose() {
	b.chosen = b.now
	all := b.asks() && b.cheap() || b.set.Balancers < fewBalancers
	for _, u := range b.list {
		u.chosen = all
	}
	if b.subset = len(b.list); all {
		return
	}
	n := int(max(subsetLeast, b.offered.per(b.now)*subsetTime.Seconds()))
	b.subset = 0
	take := func(n int, ok func(u *upstream) bool) {
		for _, u := range first(b.list, n, ok, b.self) {
			u.chosen = true
			b.subset++
		}
	}
	clear(b.zones)
	if b.crossing() > 0 {
		for _, u := range b.list {
			b.zones[u.zone]++
		}
		take(int(math.Round(subsetHome*(1-b.crossWeight())*float64(n))), func(u *upstream) bool {
			return u.zone == b.set.Zone && b.now >= u.until
		})
	}
	b.fromHome = b.subset
	take(n-b.subset, func(u *upstream) bool { return !u.chosen && b.now >= u.until })
}

// zonePick stays in the home zone while it serves about as well as the fleet. Guards against paying for
// crossings. It acts where crossing costs, as latency, more than a quarter of what a request takes; else
// all upstreams are one.
func (b *Balancer) zonePick(r *request, ok func(*upstream) bool) *upstream {
	cross := b.crossing()
	if cross == 0 {
		return b.twoChoices(r, ok)
	}
	near := b.twoChoices(r, func(u *upstream) bool { return u.zone == b.set.Zone && ok(u) })
	far := b.twoChoices(nil, func(u *upstream) bool { return u.zone != b.set.Zone && ok(u) })
	if near == nil || far != nil && b.load(far)+cross*(b.heldMean+1) < b.load(near) {
		return far
	}
	return near
}

// crossing is what a crossing costs as latency, 0 where that matters little. It weighs against latency x
// (pending+1): of few sidecars each sees a crowded zone in its own pending count, of many none does, and
// latency is all that tells. Guards against a large fleet that refuses at home, each sidecar by its own few
// requests in hand, while other zones stand idle.
func (b *Balancer) crossing() float64 {
	cross := b.set.PriceCrossZone * crossAims * b.meanAim
	if cross < b.fleet/4 {
		return 0
	}
	return cross * b.crossWeight()
}

// crossWeight is what a crossing weighs in a fleet of this size, of what it weighs in a small one.
func (b *Balancer) crossWeight() float64 { return min(1, crossFleet/float64(b.set.Balancers)) }

// twoChoices is the design's pick: the lower load of two distinct random upstreams. A pair asked for its
// load was drawn before; one of them that keeps silent counts as the higher.
func (b *Balancer) twoChoices(r *request, ok func(*upstream) bool) *upstream {
	var one, two *upstream
	if r != nil && r.pair[0] != nil {
		for _, u := range r.pair {
			if u != nil && ok(u) && u.toldAt >= r.askedAt {
				one, two = u, one
			}
		}
	}
	if one == nil {
		if r != nil && r.key != 0 {
			ok = b.keep(r, ok)
		}
		if one = b.draw(ok); one == nil {
			return nil
		}
		two = b.draw(func(u *upstream) bool { return u != one && ok(u) })
	}
	if two == nil || b.load(one) <= b.load(two) {
		return one
	}
	return two
}

// keep narrows ok to the upstreams that r's key is kept to: the first of an order that the key gives, the
// same at every sidecar. Guards against work that another upstream has done before. It acts where upstreams
// remember keys; a key that draws much traffic is kept to more of them. The lower load still decides.
func (b *Balancer) keep(r *request, ok func(*upstream) bool) func(*upstream) bool {
	top := first(b.list, r.choices, ok, r.key)
	return func(u *upstream) bool { return slices.Contains(top, u) }
}

// draw returns a random upstream of those that are ok: it draws anew a few times, and only then looks at all.
func (b *Balancer) draw(ok func(*upstream) bool) *upstream {
	for range min(drawTries, 2*len(b.list)) {
		if u := b.list[b.rng.IntN(len(b.list))]; ok(u) {
			return u
		}
	}
	var found *upstream
	n := 0
	for _, u := range b.list {
		if ok(u) {
			if n++; b.rng.IntN(n) == 0 {
				found = u
			}
		}
	}
	return found
}

// load is the design's: latency x (pending+1). Two exceptions: an idle estimate decays towards the mean of
// its kind, not to nothing (idleness is not speed), and an attempt still out takes at least its age.
func (b *Balancer) load(u *upstream) float64 {
	w := u.est.weight(b.now, b.decay())
	latency := u.est.value*w + *u.kind*(1-w)
	if len(u.out) > 0 {
		a := u.out[0]
		latency = max(latency, (b.now-a.sent).Seconds()/a.r.cost)
	}
	pending := float64(len(u.out))
	if u.toldAt > 0 && b.now-u.toldAt < seconds(b.fleet) {
		pending = max(pending, u.held)
	} else {
		pending = max(pending, b.heldMean) // to compare with those that told
	}
	return latency * (pending + 1)
}

// ---- probes ----

// asksFirst draws the pair of r's next attempt and asks both for what they hold, unless it has. It says
// whether r still waits for that. Guards against own pending counts that tell nothing: of many sidecars each
// sends an upstream little. It acts where probes tell what an upstream holds, cost little (the more sidecars
// there are, the less one sees by itself), and answer fast.
func (b *Balancer) asksFirst(r *request) bool {
	if !b.asks() || r.out > 0 {
		return false
	}
	wait := 2*b.set.Tick + seconds(4*b.probeTime.v)
	if r.pair[0] != nil {
		waits := slices.ContainsFunc(r.pair[:], func(u *upstream) bool {
			return u != nil && max(u.toldAt, u.mutedAt) < r.askedAt
		})
		return waits && b.now < r.askedAt+wait
	}
	if b.probeTime.v > b.fleet/4 && b.rng.IntN(probeAgain) > 0 {
		return false
	}
	ok := func(u *upstream) bool { return (b.crossing() == 0 || u.zone == b.set.Zone) && b.fits(r, u, 0) }
	one := b.draw(ok)
	two := b.draw(func(u *upstream) bool { return u != one && ok(u) })
	if two == nil {
		return false
	}
	r.pair, r.askedAt, r.asked = [2]*upstream{one, two}, b.now, r.asked+1
	for _, u := range r.pair {
		if u.probedAt == 0 || b.now-u.probedAt > wait {
			u.probedAt = b.now
			b.act(Action{Kind: Probe, Endpoint: u.id})
		}
	}
	b.askers = append(b.askers, r)
	b.after(b.now+wait, timerHeld, r)
	return true
}

// cheap probes may be used freely; dearer ones only for the pick, and among many sidecars.
func (b *Balancer) cheap() bool { return 4*b.set.PriceProbe <= probePrice }

func (b *Balancer) asks() bool {
	dear := 2*b.set.PriceProbe > probePrice || !b.cheap() && b.set.Balancers < fewBalancers
	return b.set.Probes && b.set.ProbesReportLoad && !dear
}

// crowded says whether the pair told what it holds, and that this is too much for r to be served in time, the
// sooner the less it is worth. Guards against the blunt count of pressure, which with two requests in hand is
// mostly chance, and against work that will end late. It acts where probes are cheap: dear ones tell late.
func (b *Balancer) crowded(r *request) (told, crowded bool) {
	least := math.Inf(1)
	for _, u := range r.pair {
		if u != nil && u.toldAt >= r.askedAt {
			least = min(least, u.held)
		}
	}
	if math.IsInf(least, 1) || !b.cheap() {
		return false, false
	}
	has := (r.aim - b.now).Seconds() * (crowdedLow + (1-crowdedLow)*r.rank)
	return true, b.unit.v*(least+r.cost) > has
}

// told takes a probe's answer, and sends what waited for it.
func (b *Balancer) told(e ProbeResult) {
	u := b.ups[e.Endpoint]
	if u == nil || u.probedAt == 0 {
		return
	}
	b.probeTime.add(e.Elapsed.Seconds())
	u.probedAt = 0
	if e.Result == OK && e.Load.usable() {
		b.holds(u, e.Load.InFlight)
	} else {
		u.mutedAt = b.now
	}
	b.askers = slices.DeleteFunc(b.askers, func(r *request) bool {
		if !r.done && r.pair[0] != nil && (r.pair[0] == u || r.pair[1] == u) {
			b.move(r)
		}
		return r.done || r.pair[0] == nil
	})
}

// ---- health ----

// ready says whether u may take r as far as its health goes.
func (b *Balancer) ready(u *upstream, r *request) bool {
	if b.now < u.until {
		return false
	}
	// After an ejection one trial at a time, and not with what cannot be sent again.
	return u.ejections == 0 || len(u.out) == 0 && r.class.Effect != NonIdempotent
}

// health ejects an upstream that refuses connections, breaks several in a row, answers errors only or is
// silent. Guards against crashed upstreams (instant refusals look fast), hung ones, and failing ones: beside
// queues longer than the penalty their errors look fast too. Connections may break though the process lives:
// where one answer in ten was lost, two breaks in a row took most of a healthy fleet out at once.
func (b *Balancer) health(a *attempt, res Result, elapsed time.Duration) {
	u := a.u
	switch res {
	case ServerError:
		u.heard, u.fails = b.now, 0
		if u.errors++; u.errors >= ejectErrors && b.now >= u.until {
			b.eject(u)
		}
	case OK, Overloaded:
		u.heard = b.now
		if u.ejections > 0 {
			b.log("return %s after %d ejections", u.id, u.ejections)
			if u.lost && !u.cold && b.set.WarmUp > 0 {
				b.chill(u, b.now) // a new process perhaps, of which the list tells seconds later
			}
		}
		u.fails, u.errors, u.ejections, u.until, u.lost = 0, 0, 0, 0, false
	case Timeout, ConnectFailed, Reset, Cancelled:
		// A copy's winner cuts the others short: late ones among them count. Without copies the one cut
		// short was moved, perhaps off a long queue.
		late := b.set.Hedging && elapsed.Seconds() >= b.late.v*a.r.cost
		if res == Timeout && a.sent < u.heard || res == Cancelled && (a.sent < u.heard || !late) {
			return // slow, not silent
		}
		if u.fails++; u.fails == 1 {
			u.silentSince = a.sent
		}
		dead := res == Reset && u.fails >= ejectErrors || res == ConnectFailed && elapsed < b.set.ConnectTimeout/2
		silent := u.fails > 1 && (b.now-u.silentSince).Seconds() > silentAims*b.meanAim
		if (dead || silent || u.ejections > 0) && b.now >= u.until {
			u.lost = true
			b.eject(u)
		}
	}
}

// eject takes u out of the ready ones for a while that doubles with each failed trial, jittered so that
// sidecars do not return together.
func (b *Balancer) eject(u *upstream) {
	d := min(ejectBase<<min(u.ejections, 10), ejectMax)
	d = time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
	u.ejections++
	u.until = b.now + d
	if u.ejections == 1 {
		b.log("eject %s: %d failures unheard, %d errors in a row", u.id, u.fails, u.errors)
	}
}

// ---- the list ----

// members follows the list, and asks again when it is lost.
func (b *Balancer) members(e EndpointUpdate) {
	b.fleetSize() // it was that long until now
	if e.Kind == WatchFailed {
		if b.subscribed || !b.pace.Failing() {
			b.log("list lost: asking again")
		}
		b.subscribed, b.asking = false, false
		b.after(b.pace.CallFailed(b.now, e.NewlyReached), timerAsk, nil)
		return
	}
	// Also unasked: the sidecar may subscribe elsewhere.
	if e.Kind != OutOfBand && (b.asking || e.Kind != CachedList) {
		if b.pace.Failing() {
			b.log("list regained")
		}
		b.subscribed, b.asking = true, false
		b.pace.CallSucceeded()
	}
	if e.Kind != Delta && e.Kind != OutOfBand {
		for _, u := range b.list {
			u.listed = false
		}
	}
	for _, m := range e.Endpoints {
		b.member(m)
	}
	b.list = slices.DeleteFunc(b.list, func(u *upstream) bool {
		if !u.listed {
			delete(b.ups, u.id)
		}
		return !u.listed
	})
	b.fleetSize()
	b.choose()
	if e.Kind == CachedList && b.set.MustSubscribe && !b.asking && !b.subscribed {
		b.ask()
	}
}

func (b *Balancer) member(m Endpoint) {
	u := b.ups[m.ID]
	if m.State != Active {
		if u != nil {
			u.listed = false
		}
		return
	}
	if u == nil || u.cameUp != m.StartedAt { // a new process: what was learnt of the old one is void
		old := u
		u = &upstream{id: m.ID, hash: hash(m.ID), cameUp: m.StartedAt, kind: b.kindOf(m.Kind, m.Zone)}
		u.est = estimate{*u.kind, b.now}
		if m.StartedAt > 0 && b.now-m.StartedAt < b.set.WarmUp {
			b.chill(u, m.StartedAt)
		}
		b.ups[u.id] = u
		if i := slices.Index(b.list, old); old != nil && i >= 0 {
			b.list[i], old.listed = u, false // requests that asked it wait still
		} else {
			b.list = append(b.list, u)
		}
	}
	u.listed, u.zone, u.cell = true, m.Zone, m.Cell
}

func (b *Balancer) ask() {
	b.asking = true
	b.pace.CallStarted(b.now)
	b.act(Action{Kind: Subscribe})
}

// ---- cold starts ----

// chill begins an upstream's warm-up at from.
func (b *Balancer) chill(u *upstream, from time.Duration) {
	// The first token is due at any time: news of u comes to all sidecars together, and one each is a burst.
	u.cold, u.coldFrom, u.filled, u.tokens = true, from, b.now, b.rng.Float64()
	u.est = estimate{*u.kind / b.warmth(u), b.now}
}

// warmth is the least share of its capacity that a starting upstream has by now.
func (b *Balancer) warmth(u *upstream) float64 {
	if u.cold && b.now-u.coldFrom >= b.set.WarmUp {
		u.cold, b.coldHold = false, false
	}
	if !u.cold {
		return 1
	}
	age := float64(b.now-u.coldFrom) / float64(b.set.WarmUp)
	return min(1, b.set.InitialCapacity+(1-b.set.InitialCapacity)*age)
}

// coldAllows holds a cold upstream to a part of what would push it over. The rule is about the work of all
// sidecars together, and a sidecar sees only its own. It does its part when it sends no more than that
// multiple of its own mean load, as far as the upstream is warm and its kind is as fast as the mean: what
// warm upstreams bear is below their capacity.
func (b *Balancer) coldAllows(u *upstream) bool {
	f := b.warmth(u)
	if !u.cold {
		return true
	}
	if b.set.OverloadMultiple > 0 {
		f *= coldPart * b.set.OverloadMultiple * min(coldKind, b.fleet / *u.kind)
	}
	perSec := f * b.offered.per(b.now) * b.coldShare(u)
	depth := max(1, perSec*b.set.OverloadDuration.Seconds()/10)
	u.tokens = min(depth, u.tokens+perSec*(b.now-u.filled).Seconds())
	u.filled = b.now
	return u.tokens >= 1
}

// coldShare is the part of its load that this sidecar counts as u's share. Where pairs are drawn from
// subsets, u gets most from the few sidecars in whose subset it is, and the rest leave it little: together
// they stay at one mean load. Guards against even budgets that most sidecars leave unused: what came back
// cold stood idle.
func (b *Balancer) coldShare(u *upstream) float64 {
	fleet := float64(b.fleetSize())
	switch {
	case b.subset >= len(b.list):
		return 1 / fleet
	case u.chosen:
		return coldSubset / fleet / b.drawn(u)
	}
	return (1 - coldSubset) / fleet
}

// drawn is the part of all sidecars in whose subset u is, as far as they are like this one and even over
// zones, but for homeSkew. Guards against cold budgets of one size for all: where most of a subset is from
// home, the few upstreams of a small zone are in more subsets, and those of a busy one in busier ones.
func (b *Balancer) drawn(u *upstream) float64 {
	all, zones := float64(len(b.list)), float64(len(b.zones))
	if b.fromHome == 0 || zones < 2 {
		return float64(b.subset) / all
	}
	home, far := float64(b.fromHome), float64(b.subset-b.fromHome)
	return homeSkew*min(1, home/float64(b.zones[u.zone]))/zones + (1-1/zones)*far/(all-all/zones)
}

// fleetSize is over how many upstreams the load was spread of late. Guards against taking the first few that
// come back after all have gone for the whole fleet: their mean load is the fleet's, and they are cold. A
// rolling deploy, which leaves more than half in place, is held to the list as it is.
func (b *Balancer) fleetSize() int {
	if n := len(b.list); n >= b.widest || b.now-b.widestAt > fleetMemory {
		b.widest, b.widestAt = n, b.now
	}
	return max(len(b.list), b.widest/2)
}

// ---- admission ----

// admit refuses what is worth least while there is more in hand than can be served in time, and after misses
// in a row. That guards against jams that many quiet sidecars keep up with the one or two each has out.
func (b *Balancer) admit(r *request) bool {
	r.rank = b.ranks.add(b.value(r), b.rng.Float64())
	ok := b.pressure() <= 1+r.rank/2 && r.rank >= 1-b.trust
	if !ok && b.shedding == 0 {
		b.log("shedding begins: %d in hand, %.0f answers a second", b.waiting, b.served.per(b.now))
	} else if ok && b.shedding != 0 && b.now-b.shedding > servedMemory {
		b.log("shedding ended")
		b.shedding = 0
	}
	if !ok {
		b.shedding = b.now
	}
	r.shed = !ok
	return ok || b.asks() && b.cheap() // then what the pair tells decides, if it does
}

// pressure compares the requests in hand with what is served while one of them may wait (Little's law):
// above 1 they would take more than the limit of their aim on average. Guards against queues that grow
// faster than late answers tell of, and against jams that feed on themselves. What is in hand only since a
// moment counts less, so that a burst on a calm day passes; a few requests may always be out. Few are chance
// at a quiet sidecar: the fewer there are, the more their mean over a while counts in their place.
func (b *Balancer) pressure() float64 {
	n := float64(b.waiting)
	if n < max(2, float64(len(b.list))/float64(b.set.Balancers)) {
		return 0
	}
	age := (time.Duration(b.waiting)*b.now - b.arrivals).Seconds() / n // mean
	old := min(1, age*b.inHand/n/limitAge)
	w := n / (n + fewHand)
	in := w*b.inHand + (1-w)*b.handMean.per(b.now)
	served := w*b.served.per(b.now) + (1-w)*b.servedSlow.per(b.now)
	return old * min(pressureMax, in/(b.limit*max(served, 1e-3)))
}

// learnLimit narrows the limit for a request that ended late under pressure, and widens it for one in time.
// Guards against upstreams that slow down when crowded, long before latency comes near aims that are many
// times the work. One not heard of since is paused or hung, not crowded.
func (b *Balancer) learnLimit(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if b.now < r.aim-2*b.set.Tick {
		b.trust = min(trustMax, b.trust*trustUp)
		b.limit = min(limitMax, b.limit*(1+limitStep*lateAllowed))
		return
	}
	b.trust = max(trustMin, b.trust*trustDown)
	if last.u.heard > last.sent && b.pressure() > 1 {
		b.limit = max(limitMin, b.limit*(1-limitStep))
	}
}

// value is a request's worth for each unit of work; part of what a tenant sends beyond its share counts as
// little.
func (b *Balancer) value(r *request) float64 {
	v := r.class.Weight
	if !b.set.WeightByWork {
		v /= r.cost
	}
	if r.stale {
		v *= r.class.LateWeight
	}
	if r.tenant >= 0 {
		b.tenants[r.tenant].add(1, b.now)
		use := shareOf(b.tenants, r.tenant, b.now)
		if b.rng.Float64()*use > b.set.Tenants[r.tenant].Fraction {
			v *= b.set.OverQuotaWeight
		}
	}
	return v
}

// ---- estimates ----

func (b *Balancer) decay() time.Duration { return seconds(decayAims * b.meanAim) }

// observe feeds an attempt's outcome to the estimates. Samples are normalised by the work expected of the
// request, so that one costly request does not make its upstream look slow.
func (b *Balancer) observe(a *attempt, res Result, elapsed time.Duration) {
	x := elapsed.Seconds()
	norm := x / a.r.cost
	switch res {
	case OK:
		b.served.add(1, b.now)
		b.servedSlow.add(1, b.now)
		c := a.r.class
		c.mean += meanWeight * (x - c.mean)
		b.mean += meanWeight * (x - b.mean)
		b.fleet += meanWeight * (norm - b.fleet)
		*a.u.kind += kindWeight * (norm - *a.u.kind)
		b.mid.add(norm)
		b.late.add(norm)
		if a.before >= 0 {
			b.unit.add(x / (a.before + a.r.cost))
		}
	case ServerError, Overloaded:
		norm = max(norm, penaltyAims*b.meanAim)
	case NotSent:
		return
	case Cancelled, Timeout: // took at least this long
		if a.before >= 0 && x > b.unit.v*(a.before+a.r.cost) {
			b.unit.add(x / (a.before + a.r.cost))
		}
		if norm > *a.u.kind {
			*a.u.kind += kindWeight * (norm - *a.u.kind)
		}
		if norm > b.late.v {
			b.late.add(norm)
			b.mid.add(norm)
		}
		if res == Cancelled && norm <= a.u.est.value {
			return
		}
	}
	a.u.est.add(norm, b.now, b.decay())
}

// cost is the work expected of a request, relative to the mean request: from its hint, else from its class.
func (b *Balancer) cost(c *class, hint time.Duration) float64 {
	x := c.mean / b.mean
	if hint > 0 {
		if b.hintMean == 0 {
			b.hintMean = hint.Seconds()
		}
		b.hintMean += meanWeight * (hint.Seconds() - b.hintMean)
		x = hint.Seconds() / b.hintMean
	}
	return min(max(x, 0.25), 8)
}

// ---- timers and small things ----

func (b *Balancer) wake() {
	if b.now >= b.armed {
		b.armed = 0
	}
	for len(b.timers.t) > 0 && b.timers.t[0].at <= b.now {
		switch t := heap.Pop(&b.timers).(timer); {
		case t.kind == timerAsk:
			if !b.asking && !b.subscribed {
				b.ask()
			}
		case t.r.done || t.r.stream:
		case t.kind == timerEnd:
			b.giveUp(t.r)
		case t.kind == timerLate:
			b.lateAttempt(t.r)
		case t.r.out == 0:
			b.move(t.r)
		}
	}
}
