package balancer

import "slices"

// handleEndpointUpdate applies an update of the endpoint list, and subscribes where that is needed.
func (b *Balancer) handleEndpointUpdate(e EndpointUpdate) {
	b.recentListSize() // remember the size until now
	if e.Kind == WatchFailed {
		b.handleWatchFailed(e)
		return
	}
	// Also when it did not subscribe: the sidecar may have its own subscription.
	if e.Kind != OutOfBand && (b.subscribing || e.Kind != CachedList) {
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
	b.endpoints = slices.DeleteFunc(b.endpoints, func(ep *endpoint) bool {
		if !ep.listed {
			delete(b.endpointsByID, ep.id)
		}
		return !ep.listed
	})
	b.recentListSize()
	b.chooseSubset()
	if e.Kind == CachedList && b.settings.MustSubscribe && !b.subscribing && !b.subscribed {
		b.subscribe()
	}
}

func (b *Balancer) handleWatchFailed(e EndpointUpdate) {
	if b.subscribed || !b.subscribeBackoff.Failing() {
		b.log("endpoint list lost; subscribing again")
	}
	b.subscribed, b.subscribing = false, false
	b.schedule(b.subscribeBackoff.CallFailed(b.now, e.NewlyReached), timerSubscribe, nil)
}

func (b *Balancer) confirmSubscription() {
	if b.subscribeBackoff.Failing() {
		b.log("endpoint list followed again")
	}
	b.subscribed, b.subscribing = true, false
	b.subscribeBackoff.CallSucceeded()
}

func (b *Balancer) subscribe() {
	b.subscribing = true
	b.subscribeBackoff.CallStarted(b.now)
	b.emit(Action{Kind: Subscribe})
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
	ep.zone = entry.Zone
	ep.cell = entry.Cell
}

// addEndpoint adds an entry in place of previous, the former process of that ID, or at the end of the list
// if previous is nil. What was learned of the former process is void.
func (b *Balancer) addEndpoint(entry Endpoint, previous *endpoint) *endpoint {
	ep := &endpoint{
		id:        entry.ID,
		hash:      hash(entry.ID),
		startedAt: entry.StartedAt,
		kindMean:  b.kindMeanOf(entry.Kind, entry.Zone),
	}
	ep.latency = peakEWMA{*ep.kindMean, b.now}
	if entry.StartedAt > 0 && b.now-entry.StartedAt < b.settings.WarmUp {
		b.startWarmUp(ep, entry.StartedAt)
	}
	b.endpointsByID[ep.id] = ep
	if i := slices.Index(b.endpoints, previous); previous != nil && i >= 0 {
		b.endpoints[i] = ep
		previous.listed = false // requests that probed it still refer to it
	} else {
		b.endpoints = append(b.endpoints, ep)
	}
	return ep
}

// recentListSize is the number of endpoints over which the load was spread of late. It prevents the first
// few that return after all have failed from being taken for the whole fleet: their mean load would be that
// of the fleet, and they are warming up. A rolling deployment, which leaves more than half in place, does
// not matter.
func (b *Balancer) recentListSize() int {
	n := len(b.endpoints)
	if n >= b.maxListSize || b.now-b.maxListSizeAt > listSizeMemory {
		b.maxListSize, b.maxListSizeAt = n, b.now
	}
	return max(n, b.maxListSize/2)
}
