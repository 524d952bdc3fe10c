package balancer

// Admission to a probed pair: whether the load that a pair of endpoints has reported leaves room for a
// request. It corrects the verdict on arrival both ways: a request that was undecided is sent if the pair has
// capacity, and one that was admitted is shed if the pair is overloaded and no better one is found.
//
// Inputs: the pair's reported requests in flight and the seconds for each of them (load.go), the time left to
// the objective (s), the request's rank (0 to 1) and expected work (relative to the mean request), and the
// verdict on arrival (admission.go).
//
// Why: pressure is a coarse measure, which with two requests in flight is mostly chance; a request that is
// sent to an overloaded pair ends late.

import "math"

const (
	// maxProbedPairs is the number of pairs to probe before a request is shed for their load. Higher: fewer
	// are shed by chance, and they wait longer.
	maxProbedPairs = 4
	// minOverloadTolerance is the share of its time that the request of the lowest rank may take at the
	// pair; that of the highest may take all. Higher: less is shed, and more ends late.
	minOverloadTolerance = 0.6
)

// pairVerdict is what the load of a probed pair says of a request's next attempt.
type pairVerdict int

const (
	pairAdmits   pairVerdict = iota // the attempt may be sent; also where no pair was probed
	pairReplaced                    // another pair is being probed, and will decide
	pairRejects                     // the request is to be given up
)

// admitToPair decides on an attempt after the pair for it was probed. An overloaded pair is replaced by
// another one, up to maxProbedPairs in all and as long as one can be probed, before the request is shed.
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

// pairCapacity is what a pair's load reports say of its capacity for a request.
type pairCapacity int

const (
	pairUnknown     pairCapacity = iota // it has not reported, or its reports come too late to be relied on
	pairHasCapacity                     // for the request to be served in time
	pairOverloaded
)

// pairCapacity tells whether the lower load that one of the pair has reported is too much for r to be served
// in time, the sooner the lower r's rank is. It applies where probes are cheap: expensive ones report late.
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
