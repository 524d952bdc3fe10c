package baseline

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hazelwing/balancer"
)

// ewmaDecay is the time constant of the exponential decay of peakEWMA's estimates.
const ewmaDecay = 10 * time.Second

// maxRoundRobinStart limits the random number with which roundRobin starts.
const maxRoundRobinStart = 1 << 20

// picker picks endpoints for a policy.
type picker interface {
	// pick returns one of the candidates, of which there is at least one. It returns nil if the policy is to give up
	// the request.
	pick(r *request, candidates []*endpoint) *endpoint
	// endpointsChanged is called when the endpoint list has changed.
	endpointsChanged()
	// attemptEnded is called with the outcome of each attempt.
	attemptEnded(e *endpoint, result balancer.Result, elapsed time.Duration, load balancer.LoadReport)
}

// pickerDefinition holds a picker's constructor. The field source describes the picker, and names the publication or
// program that it follows, if any.
type pickerDefinition struct {
	source    string
	newPicker func(p *policy) picker
}

// pickers maps the names of the policies to their pickers.
var pickers = map[string]pickerDefinition{
	"round_robin": {
		"gRPC's round_robin (grpc/doc/load-balancing.md)",
		func(p *policy) picker { return &roundRobin{next: p.rng.IntN(maxRoundRobinStart)} },
	},
	"random": {
		"uniform choice",
		func(p *policy) picker { return &random{basePicker{p}} },
	},
	"pick_first": {
		"gRPC's pick_first with a shuffled list (gRFC A62)",
		func(p *policy) picker { return &pickFirst{basePicker: basePicker{p}} },
	},
	"least": {
		"least requests of all, as NGINX's least_conn",
		func(p *policy) picker { return &leastRequests{basePicker{p}} },
	},
	"p2c": {
		"least requests of two: Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001",
		func(p *policy) picker { return &powerOfTwo{basePicker{p}} },
	},
	Oracle: {
		"no policy: each request goes where its answer would come first, told what really holds, and is refused " +
			"where none would come in time",
		func(p *policy) picker { return &oraclePicker{basePicker{p}} },
	},
	"weighted": {
		"gRPC's weighted_round_robin (gRFC A58), by reports of what a server holds",
		func(p *policy) picker { return &weighted{basePicker: basePicker{p}} },
	},
	"peak_ewma": {
		"Finagle's P2C peak EWMA (twitter.github.io/finagle/guide/Clients.html)",
		func(p *policy) picker { return &peakEWMA{basePicker{p}} },
	},
	"ring_bounded": {
		"consistent hashing with bounded loads: Mirrokni, Thorup, Zadimoghaddam, 2016; factor 1.25",
		func(p *policy) picker { return &ring{basePicker: basePicker{p}} },
	},
	"subset_random": {
		"p2c in a random subset of 10 (Site Reliability Engineering, chapter 20)",
		func(p *policy) picker { return &subset{basePicker: basePicker{p}, choose: randomSubset} },
	},
	"subset_deterministic": {
		"p2c in a deterministic subset of 10 (Site Reliability Engineering, chapter 20)",
		func(p *policy) picker { return &subset{basePicker: basePicker{p}, choose: deterministicSubset} },
	},
}

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }

// basePicker is the common part of pickers. It ignores outcomes and changes of the endpoint list.
type basePicker struct{ policy *policy }

func (basePicker) endpointsChanged() {}

func (basePicker) attemptEnded(*endpoint, balancer.Result, time.Duration, balancer.LoadReport) {}

// pickFirst picks the same endpoint as long as it is a candidate.
type pickFirst struct {
	basePicker
	current *endpoint
}

func (p *pickFirst) pick(_ *request, candidates []*endpoint) *endpoint {
	if !slices.Contains(candidates, p.current) {
		p.current = candidates[p.policy.rng.IntN(len(candidates))]
	}
	return p.current
}

// roundRobin picks the candidates in turn.
type roundRobin struct {
	basePicker
	next int
}

func (p *roundRobin) pick(_ *request, candidates []*endpoint) *endpoint {
	p.next++
	return candidates[p.next%len(candidates)]
}

// oraclePicker picks the endpoint that would answer first. It picks none if that answer would be too late to earn any
// weight: after the deadline, or after the latency objective if late answers of the class earn nothing.
type oraclePicker struct{ basePicker }

func (p *oraclePicker) pick(r *request, candidates []*endpoint) *endpoint {
	work := p.policy.oracle.Work(r.id)
	var best *endpoint
	shortest := r.expiresAt - p.policy.now
	if r.class.LateWeight == 0 {
		shortest = min(shortest, r.arrivedAt+r.class.LatencyObjective-p.policy.now)
	}
	for _, e := range candidates {
		if d, ok := p.policy.oracle.ResponseTime(e.id, work); ok && d < shortest {
			best, shortest = e, d
		}
	}
	return best
}

// random picks a random candidate.
type random struct{ basePicker }

func (p *random) pick(_ *request, candidates []*endpoint) *endpoint {
	return candidates[p.policy.rng.IntN(len(candidates))]
}

// leastRequests picks the candidate with the fewest requests in flight. If several have the fewest, it picks the first
// of them from a random position in the list on.
type leastRequests struct{ basePicker }

func (p *leastRequests) pick(_ *request, candidates []*endpoint) *endpoint {
	from := p.policy.rng.IntN(len(candidates))
	best := candidates[from]
	for i := range candidates {
		if e := candidates[(from+i)%len(candidates)]; e.inFlight < best.inFlight {
			best = e
		}
	}
	return best
}

// powerOfTwo picks the one of two random candidates with fewer requests in flight.
type powerOfTwo struct{ basePicker }

func (p *powerOfTwo) pick(_ *request, candidates []*endpoint) *endpoint {
	return p.policy.lessLoadedOfTwo(candidates)
}

func (p *policy) lessLoadedOfTwo(candidates []*endpoint) *endpoint {
	first, second := p.sampleTwo(candidates)
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}

// peakEWMA picks the one of two random candidates with the lower cost: estimated latency times requests in flight, the
// new one included. The estimate rises to a higher latency at once and decays towards lower ones.
type peakEWMA struct{ basePicker }

func (p *peakEWMA) cost(e *endpoint) float64 {
	if e.ewma == 0 && e.inFlight > 0 {
		return math.Inf(1) // avoids a second request until the first one has shown the latency
	}
	return e.ewma * float64(e.inFlight+1)
}

func (p *peakEWMA) pick(_ *request, candidates []*endpoint) *endpoint {
	first, second := p.policy.sampleTwo(candidates)
	if p.cost(second) < p.cost(first) {
		return second
	}
	return first
}

func (p *peakEWMA) attemptEnded(e *endpoint, result balancer.Result, elapsed time.Duration, _ balancer.LoadReport) {
	latency := elapsed.Seconds()
	if result == balancer.Cancelled || result == balancer.NotSent {
		return
	}
	weight := math.Exp(-float64(p.policy.now-e.updatedAt) / float64(ewmaDecay))
	e.updatedAt = p.policy.now
	if latency > e.ewma {
		e.ewma = latency
	} else {
		e.ewma = e.ewma*weight + latency*(1-weight)
	}
}
