package balancer

// Admission to a probed pair determines whether the load that a pair of endpoints has reported leaves
// capacity for a request. It corrects the decision on arrival in both directions: an undecided request is
// sent if the pair has capacity, and an admitted one is given up if the pair is overloaded and no better
// pair is found.
//
// Inputs: the requests in flight that the pair has reported and the latency per request in flight (s,
// load.go), the time left to the objective (s), the request's rank (0 to 1) and expected work (relative to
// the mean request), and the decision on arrival (admission.go).
//
// Why: pressure is a coarse measure: with two requests in flight, it depends mostly on chance. A request
// that is sent to an overloaded pair ends late.

import "math"

const (
	// maxProbedPairs is the number of pairs that are probed before a request is given up because of their
	// load. With a higher value, fewer requests are given up by chance, but they wait longer.
	maxProbedPairs = 4
	// minOverloadTolerance limits the expected time of a request at the pair: a request of the lowest rank
	// may take this share of the time left to its objective, one of the highest rank all of that time. With
	// a higher value, fewer requests are shed and more end late.
	minOverloadTolerance = 0.6
)

// pairVerdict is the decision about a request's next attempt according to the load of a probed pair.
type pairVerdict int

const (
	pairAdmits   pairVerdict = iota // the attempt may be sent
	pairReplaced                    // another pair is being probed, and its load will decide
	pairRejects                     // the request is to be given up
)

// admitToPair decides about an attempt after its pair was probed. An overloaded pair is replaced with
// another one, as long as one can be probed and up to maxProbedPairs in total, before the request is given
// up. If the capacity is unknown, also because no pair was probed, the first attempt of an undecided
// request is rejected, and any other attempt is admitted.
func (b *Balancer) admitToPair(r *request) pairVerdict {
	switch b.pairCapacity(r) {
	case pairOverloaded:
		r.pair = probedPair{}
		if r.pairsProbed < maxProbedPairs && b.startProbes(r) {
			return pairReplaced
		}
		return pairRejects
	case pairUnknown:
		if r.admission == undecided && len(r.attempts) == 0 {
			return pairRejects
		}
	}
	return pairAdmits
}

// pairCapacity is the capacity of a probed pair for a request according to its load reports.
type pairCapacity int

const (
	pairUnknown     pairCapacity = iota // no load report was received, or probes are not cheap
	pairHasCapacity                     // the request can be served in time
	pairOverloaded
)

// pairCapacity returns whether r can be served in time at the endpoint of the pair that reported the lower
// load. The lower r's rank is, the sooner the pair counts as overloaded. The result is pairUnknown if there
// is no load report, or if probes are expensive, because expensive probes report too late.
func (b *Balancer) pairCapacity(r *request) pairCapacity {
	lowest := r.pair.minInFlight()
	if math.IsInf(lowest, 1) || !b.probesAreCheap() {
		return pairUnknown
	}
	tolerance := minOverloadTolerance + (1-minOverloadTolerance)*r.rank
	available := (r.objectiveAt - b.now).Seconds() * tolerance
	if b.load.secondsPerRequest.value*(lowest+r.relativeWork) > available {
		return pairOverloaded
	}
	return pairHasCapacity
}
