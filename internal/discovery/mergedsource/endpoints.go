package mergedsource

import (
	"maps"
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/discovery"
	"hazelwing/internal/engine"
)

// applyPlatformUpdate passes an update of the platform's discovery service to the merger. The listed endpoints that
// are missing from a complete list are passed as explicitly removed, as the platform's protocol defines. If they were
// only absent from the update, the merger could defer their removal.
func (s *Source) applyPlatformUpdate(
	now time.Duration,
	received engine.EndpointUpdate,
) (changes []discovery.Change, nextTick time.Duration) {
	s.platformSeq++
	update := discovery.Update{
		Source:   PlatformSourceName,
		Seq:      s.platformSeq,
		Complete: received.Kind == balancer.CompleteList,
	}
	listed := map[string]bool{}
	for _, e := range received.Endpoints {
		listed[e.ID] = true
		update.Endpoints = append(update.Endpoints, fromEngine(e))
		if e.State == balancer.Active {
			s.platformStarts[e.ID] = e.StartedAtMS
		} else {
			delete(s.platformStarts, e.ID)
		}
	}
	if update.Complete {
		for _, id := range slices.Sorted(maps.Keys(s.platformStarts)) {
			if !listed[id] {
				update.Endpoints = append(update.Endpoints, discovery.Endpoint{ID: id, State: balancer.Removed})
				delete(s.platformStarts, id)
			}
		}
	}
	return s.merger.Apply(now, update)
}

// reportDepartures calls Config.OnDeparture for the endpoints that the platform reports as draining or removed.
// It ignores endpoints that are only absent from a complete list, because the list may be outdated.
func (s *Source) reportDepartures(update engine.EndpointUpdate) {
	if s.cfg.OnDeparture == nil {
		return
	}
	for _, e := range update.Endpoints {
		if e.State != balancer.Active {
			s.cfg.OnDeparture(e)
		}
	}
}

// notifyOutOfBand notifies the engine of changes that were not caused by an update of the platform's discovery service.
// The engine does not count them as evidence that the watch of the platform works.
func (s *Source) notifyOutOfBand(changes []discovery.Change) {
	if endpoints := s.engineEndpoints(changes); len(endpoints) > 0 {
		s.notify(engine.EndpointUpdate{Kind: balancer.OutOfBand, Endpoints: endpoints})
	}
}

// notify passes an update to the caller of the current Watch. If the caller has stopped that watch, the endpoints of
// the update are kept for the next one.
//
// Guard: prevents a change that the merger has taken over from never reaching the engine, because it came between two
// watches: a new endpoint would never be used. This holds because notifyUndelivered passes it on.
func (s *Source) notify(update engine.EndpointUpdate) {
	if s.current.ctx.Err() == nil {
		s.current.notify(update)
		return
	}
	for _, e := range update.Endpoints {
		_, isKept := s.undelivered[e.ID]
		if !isKept && len(s.undelivered) >= maxUndeliveredFactor*s.cfg.MaxEndpoints {
			s.log.Error("endpoint change lost, too many while the list is not watched", "id", e.ID)
			continue
		}
		s.undelivered[e.ID] = e
	}
}

// notifyUndelivered passes on the changes that could not be passed to the caller of an earlier Watch.
func (s *Source) notifyUndelivered() {
	if len(s.undelivered) == 0 {
		return
	}
	endpoints := slices.Collect(maps.Values(s.undelivered))
	clear(s.undelivered)
	s.notify(engine.EndpointUpdate{Kind: balancer.OutOfBand, Endpoints: endpoints})
}

// engineEndpoints logs changes of the merged list and returns them as endpoints of the engine.
//
// An endpoint without a start time counts as started at the time of each change, also if only its description changes,
// if the platform does not list it and no additional source listed its address in its first update. This prevents an
// endpoint that has just started from being treated as warm and overloaded by all sidecars: a name service does not
// report start times, and may be the first source to list a new endpoint.
func (s *Source) engineEndpoints(changes []discovery.Change) []engine.Endpoint {
	var list []engine.Endpoint
	for _, change := range changes {
		e := change.Endpoint
		isListed := e.State == balancer.Active
		s.log.Info("endpoint list changed", "id", e.ID, "addr", e.Addr, "listed", isListed, "reason", change.Reason)
		_, platformLists := s.platformStarts[e.ID]
		if isListed && e.StartedAtMS == 0 && !platformLists && !s.initialAddrs[e.Addr] {
			e.StartedAtMS = float64(s.cfg.Now().UnixMilli())
		}
		list = append(list, toEngine(e))
	}
	return list
}

func fromEngine(e engine.Endpoint) discovery.Endpoint {
	return discovery.Endpoint{
		ID:              e.ID,
		Addr:            e.Addr,
		Zone:            e.Zone,
		Kind:            e.Kind,
		Cell:            e.Cell,
		LocationUnknown: e.LocationUnknown,
		State:           e.State,
		StartedAtMS:     e.StartedAtMS,
	}
}

func toEngine(e discovery.Endpoint) engine.Endpoint {
	return engine.Endpoint{
		ID:              e.ID,
		Addr:            e.Addr,
		Zone:            e.Zone,
		Kind:            e.Kind,
		Cell:            e.Cell,
		LocationUnknown: e.LocationUnknown,
		State:           e.State,
		StartedAtMS:     e.StartedAtMS,
	}
}
