package balancer

// Probes: whether two endpoints are probed for their load before one of them is chosen, and how long a
// request waits for the answers.
//
// Inputs: the price of a probe (share of service), the number of sidecars, the latency of probes and the
// mean normalized latency (s), and the tick; the settings Probes and ProbesReportLoad.
//
// Why: where each of many sidecars sends an endpoint little, its own outstanding attempts show nothing of
// the endpoint's load. A probe does, at a price and at the cost of a wait.

import (
	"math"
	"slices"
	"time"
)

const (
	// probesPerPair is the number of probes before one choice.
	probesPerPair = 2
	// maxPairProbePrice is the share of service that probing a pair may cost. Higher: probes are used more
	// often, and cost more than they bring.
	maxPairProbePrice = 0.02
	// cheapPairProbePrice is the price of a pair up to which probes are cheap: then they also serve
	// admission control, and any sidecar uses them. Higher: as for maxPairProbePrice.
	cheapPairProbePrice = 0.01
	// maxProbeLatencies is the latency of probes, in mean latencies of a request, above which they are
	// slow. Higher: more requests wait longer for them.
	maxProbeLatencies = 0.25
	// slowProbeInterval: where probes are slow, one request in this many still probes. Higher: fewer requests
	// wait, and probes that are fast again are noticed later.
	slowProbeInterval = 32
	// probeProbability is the quantile of probe latency by which the wait for probes is measured;
	// probeWaitLatencies times it, and probeWaitTicks, are waited. Higher: fewer probes are in vain, and
	// lost ones delay requests longer.
	probeProbability   = 0.75
	probeWaitLatencies = 4
	probeWaitTicks     = 2
)

// probing is the state of probes at all endpoints.
type probing struct {
	latency  quantile   // of probes, in seconds
	awaiting []*request // that wait for a probe's answer
}

// newProbing returns the state before any probe was answered.
func newProbing(tick time.Duration) probing {
	return probing{latency: quantile{probeProbability, tick.Seconds()}}
}

// wait is how long a probe's answer is waited for.
func (p *probing) wait(tick time.Duration) time.Duration {
	return probeWaitTicks*tick + seconds(probeWaitLatencies*p.latency.value)
}

// isSlow reports whether probes take too long beside the mean latency of a request, in seconds.
func (p *probing) isSlow(meanLatency float64) bool {
	return p.latency.value > maxProbeLatencies*meanLatency
}

// probedPair is the two endpoints that were drawn and probed for a request's next attempt.
type probedPair struct {
	endpoints [2]*endpoint // nil: none were drawn
	drawnAt   time.Duration
}

func (p *probedPair) isDrawn() bool { return p.endpoints[0] != nil }

func (p *probedPair) contains(ep *endpoint) bool { return slices.Contains(p.endpoints[:], ep) }

// hasReport reports whether ep, one of the pair, has reported its load since the pair was drawn.
func (p *probedPair) hasReport(ep *endpoint) bool { return ep.reportedAt >= p.drawnAt }

// awaitsReport reports whether one of the pair has neither reported nor failed to since it was drawn.
func (p *probedPair) awaitsReport() bool {
	return slices.ContainsFunc(p.endpoints[:], func(ep *endpoint) bool {
		return ep != nil && max(ep.reportedAt, ep.reportFailedAt) < p.drawnAt
	})
}

// minInFlight is the lower number of requests in flight that one of the pair has reported, or infinity.
func (p *probedPair) minInFlight() float64 {
	lowest := math.Inf(1)
	for _, ep := range p.endpoints {
		if ep != nil && p.hasReport(ep) {
			lowest = min(lowest, ep.inFlight)
		}
	}
	return lowest
}

// pairProbePrice is the price of the probes before one choice.
func (b *Balancer) pairProbePrice() float64 { return probesPerPair * b.settings.PriceProbe }

// probesAreCheap reports whether probes may be used freely; others only serve the choice of an endpoint.
func (b *Balancer) probesAreCheap() bool { return b.pairProbePrice() <= cheapPairProbePrice }

// probesBeforePick reports whether endpoints are probed before one is chosen. Dearer probes pay off only
// among many sidecars.
func (b *Balancer) probesBeforePick() bool {
	tooDear := b.pairProbePrice() > maxPairProbePrice ||
		!b.probesAreCheap() && b.settings.Balancers < smallFleet
	return b.settings.Probes && b.settings.ProbesReportLoad && !tooDear
}

// startProbes draws the pair for r's next attempt and probes both; it reports whether it did. Probes help
// where a sidecar's own outstanding attempts show nothing: of many sidecars each sends an endpoint little.
// They are used where they report an endpoint's load, cost little (the more sidecars there are, the less one
// sees by itself) and are answered fast.
func (b *Balancer) startProbes(r *request) bool {
	if !b.probesBeforePick() || r.outstanding > 0 {
		return false
	}
	if b.probes.isSlow(b.latency.meanNormalized) && b.rng.IntN(slowProbeInterval) > 0 {
		return false
	}
	if !b.drawPair(r) {
		return false
	}
	wait := b.probes.wait(b.settings.Tick)
	for _, ep := range r.pair.endpoints {
		b.probe(ep, wait)
	}
	b.probes.awaiting = append(b.probes.awaiting, r)
	b.schedule(b.now+wait, timerAdvance, r)
	return true
}

// awaitsProbes reports whether r waits for the answers of the pair that was drawn for it earlier. It changes
// nothing.
func (b *Balancer) awaitsProbes(r *request) bool {
	if !b.probesBeforePick() || r.outstanding > 0 || !r.pair.isDrawn() {
		return false
	}
	return r.pair.awaitsReport() && b.now < r.pair.drawnAt+b.probes.wait(b.settings.Tick)
}

// probe probes ep unless a probe is outstanding that may still be answered.
func (b *Balancer) probe(ep *endpoint, wait time.Duration) {
	if ep.probeSentAt != 0 && b.now-ep.probeSentAt <= wait {
		return
	}
	ep.probeSentAt = b.now
	b.emit(Action{Kind: Probe, Endpoint: ep.id})
}

// drawPair draws the pair to probe for r; it reports whether there are two.
func (b *Balancer) drawPair(r *request) bool {
	c := candidates{request: r}
	if b.crossZoneCost() != 0 {
		c.zones = homeZone
	}
	c.exclude = b.draw(&c)
	one, two := c.exclude, b.draw(&c)
	if two == nil {
		return false
	}
	r.pair = probedPair{endpoints: [2]*endpoint{one, two}, drawnAt: b.now}
	r.pairsProbed++
	return true
}

// handleProbeResult records a probe's answer, and calls advance for the requests that wait for one of this
// endpoint. It does not end an ejection: that a process answers probes does not show that it serves requests.
func (b *Balancer) handleProbeResult(e ProbeResult) {
	ep := b.endpointsByID[e.Endpoint]
	if ep == nil || ep.probeSentAt == 0 {
		return
	}
	b.probes.latency.add(e.Elapsed.Seconds())
	ep.probeSentAt = 0
	if e.Result == OK && e.Load.isUsable() {
		b.recordLoad(ep, e.Load.InFlight)
	} else {
		ep.reportFailedAt = b.now
	}
	// advance may draw a further pair for a request, and append it to the list that is being filtered.
	// That is lost, and harmless: the request stays in the list by the entry that is looked at.
	b.probes.awaiting = slices.DeleteFunc(b.probes.awaiting, func(r *request) bool {
		if !r.done && r.pair.isDrawn() && r.pair.contains(ep) {
			b.advance(r)
		}
		return r.done || !r.pair.isDrawn()
	})
}
