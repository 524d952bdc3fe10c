package balancer

// This rule maintains the endpoint list: which endpoints exist and may be sent new attempts.
//
// Inputs: endpoint updates, with the state of each endpoint and the time of its latest start (of Handle's
// clock).
//
// Why: a draining or removed endpoint gets no new attempts from the update on. A restarted process is a new
// endpoint, and nothing that was learned about the former process applies to it.

import (
	"slices"
	"time"
)

// endpoint is an endpoint that is listed, or that requests still refer to.
type endpoint struct {
	id        string
	location  Location
	hash      uint64 // hash of id
	listed    bool   // listed as active
	inSubset  bool
	startedAt time.Duration
	// processEnded means that the listed process has ended: nothing listened at its address. Whoever answers
	// there is another process, of which the list does not tell yet.
	processEnded bool
	// replacedBy is the endpoint that takes this one's place in the list at the end of an update; nil if
	// there is none.
	replacedBy *endpoint

	kindMean    *float64   // mean normalized latency of its kind in its zone, in seconds
	latency     peakEWMA   // normalized latency
	outstanding []*attempt // oldest first

	inFlight       float64       // requests in flight at the latest load report, plus attempts sent since
	reportedAt     time.Duration // when a load report was last received; 0 if never
	reportFailedAt time.Duration // when a probe last ended without a load report
	probeSentAt    time.Duration // when the outstanding probe was sent; 0 if there is none

	health health
	warmUp warmUp
}

// handleEndpointUpdate applies an update of the endpoint list, and subscribes if needed.
func (b *Balancer) handleEndpointUpdate(e EndpointUpdate) {
	b.recentListSize() // records the size before the update
	if e.Kind == WatchFailed {
		b.handleWatchFailed(e)
		return
	}
	// The subscription is also confirmed if the Balancer did not request it: the sidecar may have
	// subscribed by itself.
	if e.Kind != OutOfBand && (b.subscription.pending || e.Kind != CachedList) {
		b.confirmSubscription()
	}
	if e.Kind != Delta && e.Kind != OutOfBand {
		for _, ep := range b.endpoints {
			ep.listed = false
		}
	}
	for _, entry := range e.Endpoints {
		b.applyEndpoint(entry)
	}
	for i, ep := range b.endpoints {
		b.endpoints[i] = ep.latestReplacement()
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(ep *endpoint) bool {
		if !ep.listed {
			delete(b.endpointsByID, ep.id)
		}
		return !ep.listed
	})
	b.recentListSize()
	b.subset.countZones(b.endpoints)
	b.chooseSubset()
	if e.Kind == CachedList && b.settings.MustSubscribe {
		b.subscribeIfNeeded()
	}
}

// latestReplacement returns the endpoint that takes ep's place in the list, which is ep unless it was
// replaced.
func (ep *endpoint) latestReplacement() *endpoint {
	for ep.replacedBy != nil {
		ep = ep.replacedBy
	}
	return ep
}

// currentLocation returns the location of the process that an attempt to ep reaches now.
//
// Guard: prevents a keyed request that has run at a new process at the address of one that has gone from
// being sent to the former one's zone, which does not know its key: it would run twice. This holds because
// the location is unknown from the end of the former process until the list names another one.
func (ep *endpoint) currentLocation() Location {
	if ep.processEnded {
		return Location{Unknown: true}
	}
	return ep.location
}

// applyEndpoint applies one entry of the endpoint list.
func (b *Balancer) applyEndpoint(entry Endpoint) {
	ep := b.endpointsByID[entry.ID]
	if entry.State != Active {
		if ep != nil {
			ep.listed = false
		}
		return
	}
	if ep == nil || ep.startedAt != entry.StartedAt {
		ep = b.addEndpoint(entry, ep)
	}
	ep.listed = true
	ep.location = Location{Zone: entry.Zone, Cell: entry.Cell, Unknown: entry.LocationUnknown}
}

// addEndpoint adds an endpoint for entry. The new endpoint replaces previous, the former process with the
// same ID, at the end of the update. If previous is nil, the new endpoint is appended to the list. Nothing
// that was learned about the former process is kept.
func (b *Balancer) addEndpoint(entry Endpoint, previous *endpoint) *endpoint {
	ep := &endpoint{
		id:        entry.ID,
		hash:      hash(entry.ID),
		startedAt: entry.StartedAt,
		kindMean:  b.latency.kindMeanOf(entry.Kind, entry.Zone),
	}
	ep.latency = peakEWMA{*ep.kindMean, b.now}
	if entry.StartedAt > 0 && b.now-entry.StartedAt < b.settings.WarmUp {
		b.startWarmUp(ep, entry.StartedAt)
	}
	b.endpointsByID[ep.id] = ep
	if previous == nil {
		b.endpoints = append(b.endpoints, ep)
		return ep
	}
	previous.replacedBy = ep
	previous.listed = false // requests whose probed pair contains previous still refer to it
	return ep
}
