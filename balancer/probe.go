package balancer

// This rule determines whether two endpoints are probed for their load before one of them is picked, and
// how long a request waits for the results.
//
// Inputs: the price of a probe (share of service), the number of sidecars, the latency of probes and the
// mean normalized latency (s), the tick, and the settings Probes and ProbesReportLoad.
//
// Why: if there are many sidecars and each sends an endpoint few requests, a sidecar's own outstanding
// attempts do not show the load of the endpoint. A probe shows it, but has a price, and the request has to
// wait.

import (
	"math"
	"slices"
	"time"
)

const (
	// probesPerPair is the number of probes before one pick.
	probesPerPair = 2
	// maxPairProbePrice is the maximum price of probing a pair, as a share of service. With a higher value,
	// probes are used more often, but may cost more than they gain.
	maxPairProbePrice = 0.02
	// cheapPairProbePrice is the price of probing a pair up to which probes are cheap. Cheap probes are
	// used by any sidecar, and also for admission control. With a higher value, small fleets and admission
	// control use probes at higher prices, at which probes may cost more than they gain.
	cheapPairProbePrice = 0.01
	// maxProbeLatencies is the latency of probes, as a multiple of the mean latency of requests, above
	// which probes are slow. With a higher value, more requests wait longer for probes.
	maxProbeLatencies = 0.25
	// If probes are slow, one request in slowProbeInterval still probes. With a higher value, fewer
	// requests wait, but it takes longer to notice that probes are fast again.
	slowProbeInterval = 32
	// probeProbability is the quantile of probe latency from which the wait for probes is computed. The
	// wait is probeWaitLatencies times that latency plus probeWaitTicks ticks. With higher values, fewer
	// probe results come too late, but lost probes delay requests longer.
	probeProbability   = 0.75
	probeWaitLatencies = 4
	probeWaitTicks     = 2
)

// probing is the state of probes at all endpoints.
type probing struct {
	latency  quantile   // latency of probes, in seconds
	awaiting []*request // requests that wait for a probe result
}

// newProbing returns the state before the first probe result.
func newProbing(tick time.Duration) probing {
	return probing{latency: quantile{probeProbability, tick.Seconds()}}
}

// wait returns how long a request waits for the results of its probes.
func (p *probing) wait(tick time.Duration) time.Duration {
	return probeWaitTicks*tick + seconds(probeWaitLatencies*p.latency.value)
}

// isSlow reports whether probes take too long relative to the mean latency of a request, in seconds.
func (p *probing) isSlow(meanLatency float64) bool {
	return p.latency.value > maxProbeLatencies*meanLatency
}

// probedPair holds the two endpoints that were drawn and probed for a request's next attempt.
type probedPair struct {
	endpoints [2]*endpoint // nil if no pair was drawn
	drawnAt   time.Duration
}

func (p *probedPair) isDrawn() bool { return p.endpoints[0] != nil }

func (p *probedPair) contains(ep *endpoint) bool { return slices.Contains(p.endpoints[:], ep) }

// hasReport reports whether ep, which belongs to the pair, has reported its load since the pair was drawn.
func (p *probedPair) hasReport(ep *endpoint) bool { return ep.reportedAt >= p.drawnAt }

// awaitsReport reports whether the probe of an endpoint of the pair has neither returned a load report nor
// failed since the pair was drawn.
func (p *probedPair) awaitsReport() bool {
	return slices.ContainsFunc(p.endpoints[:], func(ep *endpoint) bool {
		return ep != nil && max(ep.reportedAt, ep.reportFailedAt) < p.drawnAt
	})
}

// minInFlight returns the lowest number of requests in flight that the pair has reported, or infinity if
// there is no report.
func (p *probedPair) minInFlight() float64 {
	lowest := math.Inf(1)
	for _, ep := range p.endpoints {
		if ep != nil && p.hasReport(ep) {
			lowest = min(lowest, ep.inFlight)
		}
	}
	return lowest
}

// pairProbePrice returns the price of the probes before one pick.
func (b *Balancer) pairProbePrice() float64 { return probesPerPair * b.settings.PriceProbe }

// probesAreCheap reports whether probes are cheap enough for any sidecar and for admission control.
// Expensive probes are used only to pick an endpoint.
func (b *Balancer) probesAreCheap() bool { return b.pairProbePrice() <= cheapPairProbePrice }

// probesBeforePick reports whether endpoints are probed before one is picked. Probes that are not cheap are
// worth their price only if there are many sidecars.
func (b *Balancer) probesBeforePick() bool {
	tooExpensive := b.pairProbePrice() > maxPairProbePrice ||
		!b.probesAreCheap() && b.settings.Balancers < smallFleet
	return b.settings.Probes && b.settings.ProbesReportLoad && !tooExpensive
}

// startProbes draws the pair for r's next attempt, probes both endpoints, and reports whether it did so.
// Probes help if each of many sidecars sends an endpoint few requests, so that a sidecar's own outstanding
// attempts do not show the load. They are used if they report an endpoint's load, are fast, and are cheap;
// with many sidecars they may be more expensive, because each sidecar sees less of the load itself.
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

// awaitsProbes reports whether r waits for results of probes of its pair. It changes no state.
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

// drawPair draws a pair of endpoints to probe for r, and reports whether two were available.
func (b *Balancer) drawPair(r *request) bool {
	c := candidates{request: r}
	if b.crossZoneCost() != 0 {
		c.zones = homeZone
	}
	c.exclude = b.draw(&c)
	first, second := c.exclude, b.draw(&c)
	if second == nil {
		return false
	}
	r.pair = probedPair{endpoints: [2]*endpoint{first, second}, drawnAt: b.now}
	r.pairsProbed++
	return true
}

// handleProbeResult records the result of a probe, and calls advance for the requests that wait for a probe
// of this endpoint. A probe does not end an ejection: a process that answers probes does not necessarily
// serve requests.
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
	// advance may draw another pair for a request and append the request to the list that is being
	// filtered. The appended entry is lost, which is harmless: the request stays in the list through its
	// current entry.
	b.probes.awaiting = slices.DeleteFunc(b.probes.awaiting, func(r *request) bool {
		if !r.done && r.pair.isDrawn() && r.pair.contains(ep) {
			b.advance(r)
		}
		return r.done || !r.pair.isDrawn()
	})
}
