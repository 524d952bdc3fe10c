package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hazelwing/internal/backoff"
)

// What the decisions remember of classes, upstreams, attempts and requests. The decisions are in balancer.go.

type class struct {
	Class
	mean     float64       // seconds an answer takes
	tryTime  time.Duration // time left to most tries when they come
	tryVotes int           // how sure that is
	unserved arrivals      // when requests came that got no answer from an upstream
}

type upstream struct {
	id, zone string
	hash     uint64 // of id
	chosen   bool   // in the subset
	cell     int
	listed   bool // active in the list
	cameUp   time.Duration
	kind     *float64 // mean normalised latency of its kind, seconds
	est      estimate
	out      []*attempt // attempts without outcome, oldest first

	held            float64       // requests it said it holds, and those sent to it since
	toldAt, mutedAt time.Duration // when a probe last told that, or failed to
	probedAt        time.Duration // when the probe that is out was sent, 0: none

	heard       time.Duration // when it last answered
	fails       int           // attempts sent since then that failed
	silentSince time.Duration // when the first of them was sent
	errors      int           // error answers in a row
	ejections   int           // in a row, without an answer between
	until       time.Duration // ejected until
	lost        bool          // since it was silent, refused or broke, not for its errors

	cold     bool
	coldFrom time.Duration // start of its warm-up
	tokens   float64       // cold budget, in mean requests
	filled   time.Duration
}

type attempt struct {
	r      *request
	n      int
	u      *upstream
	zone   string // of the upstream when sent
	cell   int
	sent   time.Duration
	out    bool
	before float64 // what the upstream had told to hold, -1: not told
	mayRun bool    // not proved not to have run
}

type request struct {
	id       string
	class    *class
	tenant   int
	arrived  time.Duration
	expires  time.Duration
	aim      time.Duration // clock time
	end      time.Duration // clock time at which we give up
	cost     float64       // expected work, relative to the mean request
	earlier  []PriorAttempt
	attempts []*attempt
	out      int
	stale    bool // a repeat whose aim has passed
	done     bool
	key      uint64        // hash of its key, 0: none, or upstreams do not remember keys
	choices  int           // upstreams that its key is kept to
	pair     [2]*upstream  // drawn, and asked for its load
	askedAt  time.Duration // when
	asked    int           // pairs so far
	shed     bool          // refused, but for what upstreams may tell
	rank     float64       // of its worth among the latest requests, 0 to 1
	stream   bool          // the answer has begun
	lateAt   time.Duration // when its latest attempt is late
}

// Balancer is one sidecar's decisions. It is not safe for concurrent use.
type Balancer struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	acts    []Action
	classes map[string]*class
	ups     map[string]*upstream
	list    []*upstream // in order of first appearance; the only order that picks see
	reqs    map[string]*request
	timers  timerHeap
	armed   time.Duration // the earliest SetTimer out, 0: none
	meanAim float64       // seconds, over classes

	subscribed, asking bool
	pace               backoff.Scheduler // when the list is asked for after a failure

	kinds     map[string]*float64 // mean normalised latency by kind of upstream and zone
	fleet     float64             // mean normalised latency, seconds
	mean      float64             // mean latency, seconds
	hintMean  float64
	mid, late quantile   // of normalised latency
	retries   float64    // retry budget
	probeTime quantile   // seconds a probe takes
	unit      mean       // seconds for each request that an upstream told to hold, and the one sent
	heldMean  float64    // what upstreams say they hold
	keys      shares     // of requests, by key
	askers    []*request // wait for probes

	coldHold             bool           // the cold limit has held work back, and none that was cold is warm yet
	shedding             time.Duration  // when work was last refused for pressure, 0: not of late
	ranks                ranks          // of the latest requests' worth
	limit                float64        // share of their aim that requests in hand may wait
	waiting              int            // requests in hand
	inHand               float64        // sum of their 1/aim
	arrivals             time.Duration  // sum of their arrival times; may wrap around
	served               rate           // answers a second
	handMean, servedSlow rate           // inHand, and answers a second, over a longer while
	trust                float64        // share of requests admitted after misses; above 1: all
	self                 uint64         // gives the order of its subset
	subset, fromHome     int            // upstreams that are in it, and those taken for being at home
	zones                map[string]int // upstreams of each zone, where fromHome counts
	chosen               time.Duration  // when the subset was last settled
	handAt               time.Duration  // when inHand last changed
	offered              rate           // arriving work, in mean requests a second
	widest               int            // how long the list was at most, in the last fleetMemory
	widestAt             time.Duration  // until when
	tenants              []rate         // arriving requests by tenant
}

// hold counts a request in hand, or with -1 out of it.
func (b *Balancer) hold(r *request, n int) {
	b.handMean.add(b.inHand*(b.now-b.handAt).Seconds(), b.now)
	b.handAt = b.now
	b.waiting += n
	b.arrivals += time.Duration(n) * r.arrived
	b.inHand += float64(n) / (r.aim - r.arrived).Seconds()
	if b.waiting == 0 {
		b.inHand = 0 // sums of fractions drift
	}
}

func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

// usable says whether a report came and can be true.
func (l LoadReport) usable() bool { return l.Reported && l.InFlight >= 0 && l.InFlight < math.MaxInt32 }

// holds takes what u says that it holds.
func (b *Balancer) holds(u *upstream, n float64) {
	u.held, u.toldAt = n, b.now
	b.heldMean += meanWeight * (u.held - b.heldMean)
}

func (b *Balancer) log(format string, args ...any) {
	b.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (b *Balancer) coldCount() (n int) {
	for _, u := range b.list {
		if u.cold {
			n++
		}
	}
	return n
}

// first returns the n upstreams of those that are ok that come first in the order that by gives.
func first(list []*upstream, n int, ok func(*upstream) bool, by uint64) []*upstream {
	top := make([]*upstream, 0, n+1)
	for _, u := range list {
		if !ok(u) {
			continue
		}
		i := len(top)
		for i > 0 && mix(by^u.hash) > mix(by^top[i-1].hash) {
			i--
		}
		if top = slices.Insert(top, i, u); len(top) > n {
			top = top[:n]
		}
	}
	return top
}

// kindOf is the mean that upstreams of a kind in one zone share; one not met before starts from the mean of all. Zones
// have means of their own: those of a crowded home would tell that it is no better elsewhere, where nobody has looked.
func (b *Balancer) kindOf(kind, zone string) *float64 {
	name := kind + "\x00" + zone
	if b.kinds[name] == nil {
		mean := b.fleet
		b.kinds[name] = &mean
	}
	return b.kinds[name]
}
