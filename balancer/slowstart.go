package balancer

// Slow start determines how much work an endpoint that has just started is sent.
//
// Inputs: the time since the endpoint's start (duration), the settings InitialCapacity (share), WarmUp,
// OverloadMultiple and OverloadDuration, the rate of offered work (mean requests per second), the mean
// latency of its kind (s), the recent number of endpoints, and the subset.
//
// Why: if all sidecars together send a cold endpoint the load of a warm one, it is overloaded and fails
// again. Each sidecar limits itself to its own share of the load, because it does not know what the others
// send.

import "time"

const (
	// warmUpSafety is the maximum load of an endpoint that is warming up, as a share of the load that would
	// overload it. With a higher value, such endpoints get more load, but are overloaded sooner.
	warmUpSafety = 0.85
	// maxWarmUpKindRatio is the maximum of kindRatio, the speed of an endpoint's kind relative to the mean,
	// by which the endpoint's budget is multiplied. Slower kinds have a ratio below 1. With a higher value,
	// endpoints of fast kinds get more load while they warm up, but are overloaded sooner.
	maxWarmUpKindRatio = 1.5
	// burstsPerOverload determines the size of a burst, which is the maximum number of tokens that an
	// endpoint accumulates: the tokens that accrue in OverloadDuration, divided by burstsPerOverload. With
	// a higher value, bursts are smaller, but more requests wait for a token.
	burstsPerOverload = 10
	// minWarmUpBurst is the minimum size of a burst in tokens: enough for one mean request.
	minWarmUpBurst = 1
	// subsetWarmUpShare is the share of an endpoint's mean load that is sent by the sidecars that have it
	// in their subset. With a higher value, the other sidecars have smaller budgets, so that they wait
	// longer for the endpoint if no endpoint of their subsets is eligible.
	subsetWarmUpShare = 0.8
	// homeZoneSkew is the ratio of the load of the busiest zone to the mean load of a zone. It is assumed,
	// because the loads of zones are not reported. With a higher value, budgets in the home zone are
	// smaller.
	homeZoneSkew = 1.3
	// listSizeMemory is how long the size of a longer endpoint list is remembered. With a higher value, the
	// first endpoints that return after a failure of most endpoints have a small budget for longer.
	listSizeMemory = 60 * time.Second
	// maxListShrinkage is the maximum factor by which the endpoint list is assumed to have shrunk
	// permanently. A rolling deployment leaves more than half of the endpoints in place. With a higher
	// value, the first endpoints that return get more load.
	maxListShrinkage = 2
)

// slowStart is the state of slow start that concerns all endpoints.
type slowStart struct {
	listSize    listSize
	delayLogged bool // a delay was logged, and no endpoint has warmed up since
}

// warmUp is the slow start of one endpoint. It has a token bucket in mean requests, whose refill rate grows
// with the endpoint's capacity.
type warmUp struct {
	active   bool
	from     time.Duration // start of the warm-up
	tokens   float64
	tokensAt time.Duration // when tokens were last refilled
}

// end ends the warm-up if its period is over at now, and reports whether it did so.
func (w *warmUp) end(now, period time.Duration) bool {
	if !w.active || now-w.from < period {
		return false
	}
	w.active = false
	return true
}

// capacityShare returns the minimum share of its full capacity that the endpoint has at now.
func (w *warmUp) capacityShare(now time.Duration, initial float64, period time.Duration) float64 {
	if !w.active {
		return 1
	}
	progress := float64(now-w.from) / float64(period)
	return min(1, initial+(1-initial)*progress)
}

// refill adds the tokens that have accrued since the last call, up to burst.
func (w *warmUp) refill(now time.Duration, perSecond, burst float64) {
	w.tokens = min(burst, w.tokens+perSecond*(now-w.tokensAt).Seconds())
	w.tokensAt = now
}

// hasToken reports whether there is a token for another request.
func (w *warmUp) hasToken() bool { return w.tokens >= 1 }

// spend removes the tokens for a request with this expected work.
func (w *warmUp) spend(relativeWork float64) { w.tokens -= relativeWork }

// startWarmUp starts ep's slow start, whose warm-up period begins at from.
func (b *Balancer) startWarmUp(ep *endpoint, from time.Duration) {
	// The bucket starts with a random part of a token: all sidecars learn of ep at the same time, and one
	// immediate request from each of them would be a burst.
	ep.warmUp = warmUp{active: true, from: from, tokens: b.rng.Float64(), tokensAt: b.now}
	// With only part of its capacity, ep takes longer in proportion. If the estimate started at the mean of
	// its kind, ep would seem as fast as a warm endpoint and be idle, so that it would be preferred until
	// it has answered.
	ep.latency = peakEWMA{*ep.kindMean / b.capacityShare(ep), b.now}
}

// capacityShare returns the minimum share of its full capacity that ep has at present. It first ends ep's
// slow start if the warm-up period is over.
func (b *Balancer) capacityShare(ep *endpoint) float64 {
	if ep.warmUp.end(b.now, b.settings.WarmUp) {
		b.slowStart.delayLogged = false
	}
	return ep.warmUp.capacityShare(b.now, b.settings.InitialCapacity, b.settings.WarmUp)
}

// warmUpAllows reports whether the budget of slow start allows another request to ep. An endpoint that is
// warming up gets only a share of the load that would overload it. Otherwise the sidecars, each of which
// sees only its own load, could together overload a cold endpoint.
func (b *Balancer) warmUpAllows(ep *endpoint) bool {
	capacity := b.capacityShare(ep)
	if !ep.warmUp.active {
		return true
	}
	perSecond := b.warmUpRate(ep, capacity)
	burst := max(minWarmUpBurst, perSecond*b.settings.OverloadDuration.Seconds()/burstsPerOverload)
	ep.warmUp.refill(b.now, perSecond, burst)
	return ep.warmUp.hasToken()
}

// warmUpRate returns this sidecar's budget for ep, in mean requests per second, while ep has the given
// share of its capacity:
//
//	rate = capacity × warmUpSafety × OverloadMultiple × kindRatio × offeredRate × shareOfOwnLoad
//
// offeredRate is in mean requests per second; all other factors have no unit. Warm endpoints are loaded
// below their capacity. So it is safe if each sidecar sends ep at most OverloadMultiple times the mean load
// that it sends each endpoint, in proportion to ep's capacity and to the speed of its kind. If
// OverloadMultiple is not set, it is left out, and so are warmUpSafety and kindRatio.
//
// For example, 10 sidecars send 40 mean requests per second each to 50 endpoints, which is 8 per endpoint.
// A subset has 20 of the 50 endpoints, so that 4 sidecars have ep in theirs. An endpoint that has just
// started has 0.3 of its capacity, and 3 times that would overload it. The product of the first four
// factors is 0.3 × 0.85 × 3 × 1 = 0.765. Each of the 4 sidecars sends at most 0.765 × 40 × 0.8/50/0.4 =
// 1.22 per second, and each of the other 6 at most 0.765 × 40 × 0.2/50 = 0.12. Together this is 5.6, which
// is less than the 0.3 × 3 × 8 = 7.2 that would overload an endpoint whose capacity is the mean load.
func (b *Balancer) warmUpRate(ep *endpoint, capacity float64) float64 {
	share := capacity
	if b.settings.OverloadMultiple > 0 {
		kindRatio := min(maxWarmUpKindRatio, b.latency.meanNormalized / *ep.kindMean)
		share *= warmUpSafety * b.settings.OverloadMultiple * kindRatio
	}
	return share * b.offeredRate.perSecond(b.now) * b.shareOfOwnLoad(ep)
}

// shareOfOwnLoad returns the share of this sidecar's load that is its contribution to ep's mean load. If
// pairs are drawn from subsets, most of ep's load comes from the few sidecars that have ep in their subset,
// and the others contribute little; together they send one mean load. With equal budgets, most sidecars
// would not use theirs, and endpoints that return would be idle.
func (b *Balancer) shareOfOwnLoad(ep *endpoint) float64 {
	endpointCount := float64(b.recentListSize())
	switch {
	case b.subset.size >= len(b.endpoints):
		return 1 / endpointCount
	case ep.inSubset:
		return subsetWarmUpShare / endpointCount / b.subset.shareOfSidecars(ep, len(b.endpoints))
	}
	return (1 - subsetWarmUpShare) / endpointCount
}

// shareOfSidecars returns the estimated share of sidecars that have ep in their subset. It assumes that all
// sidecars are like this one and spread evenly over the zones, except for homeZoneSkew. If most of a subset
// is from the home zone, an endpoint of a small zone is in more subsets than one of a large zone, and the
// sidecars of a busy zone send more. A common budget for all endpoints would therefore be wrong.
func (s *subset) shareOfSidecars(ep *endpoint, endpoints int) float64 {
	all, zones := float64(endpoints), float64(len(s.zoneSizes))
	if s.homeSize == 0 || zones <= 1 {
		return float64(s.size) / all
	}
	home, others := float64(s.homeSize), float64(s.size-s.homeSize)
	fromHome := min(1, home/float64(s.zoneSizes[ep.location.Zone]))
	return homeZoneSkew*fromHome/zones + (1-1/zones)*others/(all-all/zones)
}

// recentListSize records the current length of the list and returns the number of endpoints over which
// budgets assume the load to be spread (listSize).
func (b *Balancer) recentListSize() int {
	return b.slowStart.listSize.observe(len(b.endpoints), b.now)
}

// listSize remembers the longest endpoint list of the last listSizeMemory. After all endpoints have failed,
// the first few that return must not be taken for all endpoints: their mean load would then be the whole
// load, although they are warming up. A rolling deployment has no effect, because it leaves more than half
// of the endpoints in place.
type listSize struct {
	longest   int
	longestAt time.Duration
}

// observe records the current length of the list and returns the length that budgets are based on.
func (s *listSize) observe(n int, now time.Duration) int {
	if n >= s.longest || now-s.longestAt > listSizeMemory {
		s.longest, s.longestAt = n, now
	}
	return max(n, s.longest/maxListShrinkage)
}

// logWarmUpDelay logs that slow start may delay requests. It logs this only once until an endpoint has
// warmed up.
func (b *Balancer) logWarmUpDelay() {
	if warmingUp := b.warmingUpCount(); warmingUp > 0 && !b.slowStart.delayLogged {
		b.slowStart.delayLogged = true
		b.log("requests wait for endpoints that are warming up",
			Attribute{"warming_up", warmingUp}, Attribute{"endpoints", len(b.endpoints)})
	}
}

func (b *Balancer) warmingUpCount() (n int) {
	for _, ep := range b.endpoints {
		if ep.warmUp.active {
			n++
		}
	}
	return n
}
