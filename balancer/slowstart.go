package balancer

// Slow start: how much work an endpoint that has just started is sent.
//
// Inputs: the times since its start (durations), the settings InitialCapacity (share), WarmUp,
// OverloadMultiple and OverloadDuration, the rate of offered work (mean requests a second), the mean
// latency of its kind (s), the recent number of endpoints, and the subset.
//
// Why: a cold endpoint that all sidecars together send the load of a warm one is overloaded and fails
// again. Each sidecar keeps to its own part, because nobody tells it what the others send.

import "time"

const (
	// warmUpSafety is the share to use of the load that would overload an endpoint. Higher: endpoints warm
	// up under more load, and are overloaded sooner.
	warmUpSafety = 0.85
	// maxWarmUpKindRatio is the maximum factor for kinds faster than the mean; slower ones get less.
	// Higher: as for warmUpSafety, for fast kinds.
	maxWarmUpKindRatio = 1.5
	// burstsPerOverload is how many bursts, of all the tokens that an endpoint may have saved, fill
	// OverloadDuration. Higher: smaller bursts, and more requests wait for a token.
	burstsPerOverload = 10
	// minWarmUpBurst is the number of tokens that may be saved at least: those of one request.
	minWarmUpBurst = 1
	// subsetWarmUpShare is the share of an endpoint's mean load that the sidecars with it in their subset send.
	// Higher: the others send it less, and spill over to it later.
	subsetWarmUpShare = 0.8
	// homeZoneSkew is the load of the busiest zone over the mean, which nobody reports. Higher: budgets in
	// the home zone are smaller.
	homeZoneSkew = 1.3
	// listSizeMemory is how long a longer endpoint list is remembered. Higher: after a failure of most
	// endpoints the first that return keep a small budget for longer.
	listSizeMemory = 60 * time.Second
	// maxListShrinkage is the factor by which a remembered list is taken to be shorter than it was: a rolling
	// deployment leaves more than half in place. Higher: the first endpoints that return get more.
	maxListShrinkage = 2
)

// slowStart is the state of slow start over all endpoints.
type slowStart struct {
	listSize    listSize
	delayLogged bool // it has delayed a request, and no endpoint has warmed up since
}

// warmUp is the slow start of one endpoint: a token bucket in mean requests, which is refilled as its
// capacity grows.
type warmUp struct {
	active   bool
	from     time.Duration
	tokens   float64
	tokensAt time.Duration // when they were last refilled
}

// end ends the warm-up if its time is over by now, and reports whether it did.
func (w *warmUp) end(now, period time.Duration) bool {
	if !w.active || now-w.from < period {
		return false
	}
	w.active = false
	return true
}

// capacityShare is the minimum share of its capacity that the endpoint has by now.
func (w *warmUp) capacityShare(now time.Duration, initial float64, period time.Duration) float64 {
	if !w.active {
		return 1
	}
	progress := float64(now-w.from) / float64(period)
	return min(1, initial+(1-initial)*progress)
}

// refill adds the tokens that have come since the last call, up to burst.
func (w *warmUp) refill(now time.Duration, perSecond, burst float64) {
	w.tokens = min(burst, w.tokens+perSecond*(now-w.tokensAt).Seconds())
	w.tokensAt = now
}

// hasToken reports whether one more request may be sent.
func (w *warmUp) hasToken() bool { return w.tokens >= 1 }

// spend takes the tokens of a request of this expected work.
func (w *warmUp) spend(relativeWork float64) { w.tokens -= relativeWork }

// startWarmUp begins an endpoint's slow start, counted from the time from.
func (b *Balancer) startWarmUp(ep *endpoint, from time.Duration) {
	// A random part of the first token: all sidecars learn of ep together, and one request each is a burst.
	ep.warmUp = warmUp{active: true, from: from, tokens: b.rng.Float64(), tokensAt: b.now}
	// With a part of its capacity ep takes that much longer. A start at the mean of its kind would make it look
	// as fast as a warm endpoint, and idle besides: it would be preferred until it has answered.
	ep.latency = peakEWMA{*ep.kindMean / b.capacityShare(ep), b.now}
}

// capacityShare ends ep's slow start if its time is over, and returns the minimum share of its capacity
// that ep has by now.
func (b *Balancer) capacityShare(ep *endpoint) float64 {
	if ep.warmUp.end(b.now, b.settings.WarmUp) {
		b.slowStart.delayLogged = false
	}
	return ep.warmUp.capacityShare(b.now, b.settings.InitialCapacity, b.settings.WarmUp)
}

// warmUpAllows holds an endpoint that is warming up to a part of the load that would overload it. It prevents
// that the sidecars, each of which sees only its own load, together overload an endpoint that is cold.
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

// warmUpRate is this sidecar's budget for ep, in mean requests a second, while ep has the given share of its
// capacity:
//
//	rate = capacity × warmUpSafety × OverloadMultiple × kindRatio × offeredRate × shareOfOwnLoad
//
// where offeredRate is in mean requests a second and all other factors have no unit. Warm endpoints are
// loaded below their capacity. A sidecar does its part when it sends ep no more than OverloadMultiple of the
// mean load that it sends each endpoint, as far as ep is warm and its kind is as fast as the mean. Without an
// OverloadMultiple, that and the two factors beside it are left out.
//
// For example, 10 sidecars send 40 mean requests a second each to 50 endpoints: 8 for each endpoint. A
// subset has 20 of the 50, so that 4 sidecars have ep in theirs. An endpoint that has just started has 0.3 of
// its capacity, and 3 times that would overload it. With 0.3 × 0.85 × 3 × 1 = 0.765, each of the 4 sends at
// most 0.765 × 40 × 0.8/50/0.4 = 1.22 a second and each of the other 6 at most 0.765 × 40 × 0.2/50 = 0.12:
// together 5.6, less than the 0.3 × 3 × 8 = 7.2 that would overload an endpoint whose capacity is the mean
// load.
func (b *Balancer) warmUpRate(ep *endpoint, capacity float64) float64 {
	share := capacity
	if b.settings.OverloadMultiple > 0 {
		kindRatio := min(maxWarmUpKindRatio, b.latency.meanNormalized / *ep.kindMean)
		share *= warmUpSafety * b.settings.OverloadMultiple * kindRatio
	}
	return share * b.offeredRate.perSecond(b.now) * b.shareOfOwnLoad(ep)
}

// shareOfOwnLoad is the part of its own load that this sidecar counts as its part of ep's mean load. Where
// pairs are drawn from subsets, ep gets most from the few sidecars that have it in their subset, and the
// others leave it little: together they stay at one mean load. Equal budgets would be left unused by most
// sidecars, and endpoints that return would stand idle.
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

// shareOfSidecars is the share of sidecars that have ep in their subset, if all are like this one and spread
// evenly over the zones, but for homeZoneSkew. Where most of a subset is from the home zone, the few
// endpoints of a small zone are in more subsets and those of a busy zone in busier ones: one budget for all
// would be wrong.
func (s *subset) shareOfSidecars(ep *endpoint, endpoints int) float64 {
	all, zones := float64(endpoints), float64(len(s.zoneSizes))
	if s.homeSize == 0 || zones <= 1 {
		return float64(s.size) / all
	}
	home, others := float64(s.homeSize), float64(s.size-s.homeSize)
	fromHome := min(1, home/float64(s.zoneSizes[ep.zone]))
	return homeZoneSkew*fromHome/zones + (1-1/zones)*others/(all-all/zones)
}

// recentListSize is the number of endpoints over which the load was spread recently.
func (b *Balancer) recentListSize() int {
	return b.slowStart.listSize.observe(len(b.endpoints), b.now)
}

// listSize remembers the longest endpoint list of the last listSizeMemory. It prevents the first few
// endpoints that return after all have failed from being taken for all endpoints: their mean load would
// be that of all, and they are warming up. A rolling deployment, which leaves more than half in
// place, does not matter.
type listSize struct {
	longest   int
	longestAt time.Duration
}

// observe takes the present length of the list into account and returns the length that counts.
func (s *listSize) observe(n int, now time.Duration) int {
	if n >= s.longest || now-s.longestAt > listSizeMemory {
		s.longest, s.longestAt = n, now
	}
	return max(n, s.longest/maxListShrinkage)
}

// logWarmUpDelay logs that slow start may delay a request, once until the next endpoint has warmed up.
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
