package balancer

// The load of an endpoint is an estimate of the time that a request to it would take. Two endpoints are
// compared by their loads.
//
// Inputs: the endpoint's latency estimate and the mean of its kind (s), the age (s) and number of the
// sidecar's outstanding attempts at the endpoint, and the requests in flight that the endpoint has reported
// with an answer or in response to a probe.
//
// Why: neither latency nor the number of outstanding attempts alone shows a load that other sidecars cause.
// The combination does, and a recent load report is better than both.

import "math"

const (
	// secondsPerRequestWeight is the weight of a new sample of the latency per request in flight. With a
	// higher value, the estimate follows a slowdown sooner and is noisier.
	secondsPerRequestWeight = 0.1
	// maxPlausibleInFlight is the value from which a reported load is considered an error of the endpoint.
	// The transports have their own limits on the reports that they pass on.
	maxPlausibleInFlight = math.MaxInt32
)

// loadEstimates holds estimates from load reports, over all endpoints.
type loadEstimates struct {
	secondsPerRequest runningMean // latency per request in flight at the endpoint, including the request itself
	meanInFlight      float64     // mean of reported requests in flight
}

func newLoadEstimates() loadEstimates {
	return loadEstimates{secondsPerRequest: runningMean{weight: secondsPerRequestWeight}}
}

// loadOf returns latency × (requests in flight + 1). The latency estimate of an idle endpoint decays
// towards the mean of its kind, not to zero, because an idle endpoint is not necessarily fast. The latency
// is at least the age of the oldest outstanding attempt, divided by the expected work of its request. If ep
// has recently reported its load, the requests in flight are those of the report plus the attempts sent
// since; otherwise they are the mean of the reported numbers. They are at least the sidecar's own
// outstanding attempts.
func (b *Balancer) loadOf(ep *endpoint) float64 {
	ownWeight := ep.latency.decayFactor(b.now, b.decayTime())
	latency := ep.latency.value*ownWeight + *ep.kindMean*(1-ownWeight)
	if len(ep.outstanding) > 0 {
		oldest := ep.outstanding[0]
		latency = max(latency, (b.now-oldest.sentAt).Seconds()/oldest.request.relativeWork)
	}
	inFlight := float64(len(ep.outstanding))
	if ep.reportedAt > 0 && b.now-ep.reportedAt < seconds(b.latency.meanNormalized) {
		inFlight = max(inFlight, ep.inFlight)
	} else {
		inFlight = max(inFlight, b.load.meanInFlight) // makes ep comparable to endpoints that have reported
	}
	return latency * (inFlight + 1)
}

// recordLoad records the number of requests in flight that ep has reported.
func (b *Balancer) recordLoad(ep *endpoint, inFlight float64) {
	ep.inFlight = inFlight
	ep.reportedAt = b.now
	moveTowards(&b.load.meanInFlight, inFlight, meanWeight)
}

// isUsable reports whether a load report was received and is plausible.
func (l LoadReport) isUsable() bool {
	return l.Reported && l.InFlight >= 0 && l.InFlight < maxPlausibleInFlight
}
