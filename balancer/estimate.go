package balancer

// Estimates of latencies and work are learned from the outcomes of attempts.
//
// Inputs: the result and elapsed time (s) of each attempt, the expected work of its request (relative to
// the mean request), and the load that its endpoint had reported (requests in flight). Latencies are in
// seconds; normalized latencies are divided by the relative expected work.
//
// Why: decisions compare endpoints by the time that they take for the same work. An error answer, a
// rejection or a cancelled attempt must not make an endpoint look fast, and a costly request must not make
// an endpoint look slow.

import "time"

// Constants whose names contain "Objectives" are multiples of the mean latency objective over all classes.
const (
	// decayObjectives is the time in which the weight of an endpoint's latency estimate falls to 1/e. The
	// time is long enough to get answers from all endpoints. A higher value makes estimates steadier, and a
	// change of an endpoint is noticed later.
	decayObjectives = 4.0
	// penaltyObjectives is the minimum latency that an error answer or a rejection counts as: it is as bad
	// as a missed objective. With a higher value, endpoints that return errors or reject requests get fewer
	// requests.
	penaltyObjectives = 1.0
	// objectivePerLatency is the ratio of the latency objective to the mean latency that the initial
	// estimates assume.
	objectivePerLatency = 4.0
	// initialOverdueObjectives is the initial estimate of the latency beyond which an attempt is overdue.
	initialOverdueObjectives = 0.5
	// meanWeight is the weight of a new sample in exponentially weighted means: roughly the last 50 samples
	// count. A higher value makes the means follow a change sooner and makes them noisier.
	meanWeight = 0.02
	// kindWeight is the weight of a new sample in the mean of one kind of endpoint. It is higher than
	// meanWeight, because each kind gets fewer samples.
	kindWeight = 0.05
	// medianProbability is the quantile of normalized latency that counts as the usual latency.
	medianProbability = 0.5
	// overdueProbability is the quantile of normalized latency beyond which an attempt is overdue. With a
	// higher value, fewer attempts count as overdue, but hung attempts are noticed later.
	overdueProbability = 0.8
	// minRelativeWork and maxRelativeWork are the bounds of a request's expected work, as a multiple of
	// that of the mean request (relativeWork). With a wider range, unusually cheap and costly requests are
	// estimated more exactly if their expected work is right, and less exactly if it is wrong.
	minRelativeWork = 0.25
	maxRelativeWork = 8.0
	// offeredRateMemory is the time over which the rate of arriving work and the rates of the tenants'
	// requests are averaged. A higher value makes the rates steadier, and they follow a change of the load
	// later.
	offeredRateMemory = 20 * time.Second
)

// latencyEstimates holds the sidecar's latency estimates over all endpoints.
type latencyEstimates struct {
	mean             float64             // mean latency, in seconds
	meanNormalized   float64             // mean normalized latency
	kindMeans        map[string]*float64 // mean normalized latency by kind and zone
	meanExpectedWork float64             // mean expected work, in seconds; 0 until it is known for a request
	median           quantile            // median of normalized latency
	overdue          quantile            // normalized latency beyond which an attempt is overdue
}

// newLatencyEstimates returns the estimates before any outcome, derived from the mean latency objective in
// seconds.
func newLatencyEstimates(meanObjective float64) latencyEstimates {
	mean := meanObjective / objectivePerLatency
	return latencyEstimates{
		mean:           mean,
		meanNormalized: mean,
		kindMeans:      map[string]*float64{},
		median:         quantile{medianProbability, mean},
		overdue:        quantile{overdueProbability, initialOverdueObjectives * meanObjective},
	}
}

// kindMeanOf returns the mean normalized latency, in seconds, of the endpoints of one kind in one zone. A
// new mean starts from the mean of all endpoints. Each zone has its own means: with a mean for all zones,
// the high latencies of an overloaded home zone would also be assumed for other zones that have not
// answered yet.
func (l *latencyEstimates) kindMeanOf(kind, zone string) *float64 {
	name := kind + "\x00" + zone
	if l.kindMeans[name] == nil {
		mean := l.meanNormalized
		l.kindMeans[name] = &mean
	}
	return l.kindMeans[name]
}

// relativeWork returns the expected work of a request, relative to the mean request. It is based on
// expectedWork if that is known, and otherwise on the mean latency of the class.
func (l *latencyEstimates) relativeWork(class *classState, expectedWork time.Duration) float64 {
	relative := class.meanSeconds / l.mean
	if expectedWork > 0 {
		if l.meanExpectedWork == 0 {
			l.meanExpectedWork = expectedWork.Seconds()
		}
		moveTowards(&l.meanExpectedWork, expectedWork.Seconds(), meanWeight)
		relative = expectedWork.Seconds() / l.meanExpectedWork
	}
	return min(max(relative, minRelativeWork), maxRelativeWork)
}

// decayTime returns the time in which the weight of an endpoint's latency estimate falls to 1/e.
func (b *Balancer) decayTime() time.Duration { return seconds(decayObjectives * b.meanObjective) }

// usualLatency returns the median latency of attempts with the expected work of r.
func (b *Balancer) usualLatency(r *request) time.Duration {
	return seconds(b.latency.median.value * r.relativeWork)
}

// observeOutcome updates the estimates with the outcome of an attempt. Samples are normalized by the
// expected work of the request, so that a costly request does not make its endpoint look slow. A time-out
// and a failed or broken connection count with their elapsed time, even if that is below the estimate;
// ejection.go excludes endpoints that fail fast.
func (b *Balancer) observeOutcome(a *attempt, result Result, elapsed time.Duration) {
	sample := elapsed.Seconds()
	normalized := sample / a.request.relativeWork
	switch result {
	case OK:
		b.observeAnswer(a, sample, normalized)
	case ServerError, Overloaded:
		normalized = max(normalized, penaltyObjectives*b.meanObjective)
	case NotSent:
		return
	case Cancelled, Timeout:
		b.observeCutShort(a, sample, normalized)
		if result == Cancelled && normalized <= a.endpoint.latency.value {
			return
		}
	}
	a.endpoint.latency.add(normalized, b.now, b.decayTime())
}

func (b *Balancer) observeAnswer(a *attempt, sample, normalized float64) {
	b.admission.meter.recordAnswer(b.now)
	moveTowards(&a.request.class.meanSeconds, sample, meanWeight)
	moveTowards(&b.latency.mean, sample, meanWeight)
	moveTowards(&b.latency.meanNormalized, normalized, meanWeight)
	moveTowards(a.endpoint.kindMean, normalized, kindWeight)
	b.latency.median.add(normalized)
	b.latency.overdue.add(normalized)
	if a.reportedInFlight != unreported {
		b.load.secondsPerRequest.add(sample / (a.reportedInFlight + a.request.relativeWork))
	}
}

// observeCutShort records an attempt that was cancelled or timed out in the estimates over several
// endpoints. Its elapsed time is a lower bound of the latency, so it counts only where it is above the
// estimate.
func (b *Balancer) observeCutShort(a *attempt, sample, normalized float64) {
	if a.reportedInFlight != unreported {
		inFlight := a.reportedInFlight + a.request.relativeWork
		if sample > b.load.secondsPerRequest.value*inFlight {
			b.load.secondsPerRequest.add(sample / inFlight)
		}
	}
	if kindMean := a.endpoint.kindMean; normalized > *kindMean {
		moveTowards(kindMean, normalized, kindWeight)
	}
	if normalized > b.latency.overdue.value {
		b.latency.overdue.add(normalized)
		b.latency.median.add(normalized)
	}
}
