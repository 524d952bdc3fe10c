package engine

import (
	"time"

	"hazelwing/balancer"
)

// applyUpdate passes an update to the transport and the Balancer, and records the active processes and the drains.
func (e *Engine) applyUpdate(u EndpointUpdate) {
	complete := u.Kind == balancer.CompleteList || u.Kind == balancer.CachedList
	var dropped []string
	if u.Endpoints, dropped = e.addressOwners.dropFormer(complete, u.Endpoints); len(dropped) > 0 {
		e.log.Info("endpoints removed, their addresses have later processes", "endpoints", dropped)
	}
	e.updateLocations(complete, u.Endpoints)
	e.transport.Update(complete, u.Endpoints, time.Now())
	before := e.activeProcesses
	if complete {
		e.activeProcesses = make(map[string]float64, len(u.Endpoints))
	}
	drained := 0
	endpoints := make([]balancer.Endpoint, len(u.Endpoints))
	for i, ep := range u.Endpoints {
		if isActive(ep) {
			e.activeProcesses[ep.ID] = ep.StartedAtMS
		} else if startedAtMS, active := before[ep.ID]; active {
			delete(e.activeProcesses, ep.ID)
			drained++
			e.drains[ep.ID] = drain{startedAtMS, u.Version, time.Now()}
		} else if d, ok := e.drains[ep.ID]; ok && d.startedAtMS == ep.StartedAtMS {
			d.version = max(d.version, u.Version) // the version of a partial update may not have been known
			e.drains[ep.ID] = d
		}
		endpoints[i] = balancer.Endpoint{
			ID:              ep.ID,
			Zone:            ep.Zone,
			Kind:            ep.Kind,
			Cell:            ep.Cell,
			LocationUnknown: ep.LocationUnknown,
			State:           ep.State,
			StartedAt:       e.clock.fromUnixMS(ep.StartedAtMS),
		}
	}
	e.decide(balancer.EndpointUpdate{Kind: u.Kind, Endpoints: endpoints})
	e.traceUpdate(&u, drained)
}

// updateLocations records the locations of the endpoints that may get requests.
func (e *Engine) updateLocations(complete bool, entries []Endpoint) {
	if complete {
		clear(e.locations)
	}
	for _, ep := range entries {
		if isActive(ep) {
			e.locations[ep.ID] = balancer.Location{Zone: ep.Zone, Cell: ep.Cell, Unknown: ep.LocationUnknown}
		} else {
			delete(e.locations, ep.ID)
		}
	}
}

func isActive(ep Endpoint) bool { return ep.State == balancer.Active }
