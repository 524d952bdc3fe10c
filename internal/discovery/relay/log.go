// Package relay passes a list of members on to other sidecars, in discovery's own form: who follows one goes on from the version it
// holds, here, at another peer or at discovery. Log decides what is told, without I/O; Relay is its place on a connection, and Source
// the source of members that has its list from where internal/discovery/bootstrap says.
//
// A relay tells nothing that it would not act on itself: once its own source is lost, all who follow it are let go at once, and it
// answers nobody who holds a later version than it does. So nothing that has left comes back by way of a peer that was cut off.
package relay

import (
	"slices"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
)

// mostChanges is how many changes are kept for those who follow; who is further behind gets the whole list.
const mostChanges = 1024

// mostSteps is how many peers may stand between discovery and this one.
const mostSteps = 8

// Log is a list and how it came to be.
type ChangeLog struct {
	seq     int64
	held    bool // a whole list is
	live    bool // its source works
	members map[string]engine.Endpoint
	changes []watch.Event // oldest first
	base    int64         // the version before the first of them
	path    []string      // from whom this one has it, nearest first; empty: discovery
}

// Begin is that a source works from now on, with its path.
func (l *ChangeLog) SourceStarted(path []string) { l.live, l.path = true, path }

// Lost is that it does so no more. What is held stays for its own use.
func (l *ChangeLog) SourceLost() { l.live = false }

// Apply takes what the source told.
func (l *ChangeLog) Apply(n engine.EndpointUpdate) {
	switch n.Kind {
	case balancer.CompleteList:
		l.members = map[string]engine.Endpoint{}
		l.changes, l.held = nil, true
		l.seq, l.base = n.Version, n.Version
	case balancer.Delta:
		if !l.held || n.Version < l.seq {
			return
		}
	default:
		return
	}
	for _, m := range n.Endpoints {
		if m.State == balancer.Removed {
			delete(l.members, m.ID)
		} else {
			l.members[m.ID] = m
		}
	}
	if n.Kind == balancer.Delta && n.Version > l.seq {
		l.changes = append(l.changes, watch.Event{Version: n.Version, Endpoints: hosts(n.Endpoints)})
		if len(l.changes) > mostChanges {
			l.base = l.changes[0].Version
			l.changes = slices.Delete(l.changes, 0, 1)
		}
		l.seq = n.Version
	}
}

// Serves says whether somebody who holds a version may follow; why not, in words.
func (l *ChangeLog) CheckFollower(from int64, who string) string {
	switch {
	case !l.held || !l.live:
		return "no list from a source that works"
	case from > l.seq:
		return "a later version is held than this one has"
	case slices.Contains(l.path, who):
		return "this one has its list from there"
	case len(l.path) >= mostSteps:
		return "too far from discovery"
	}
	return ""
}

// Since is what one that holds a version is to be told.
func (l *ChangeLog) EventsSince(from int64) []watch.Event {
	if from == l.seq {
		return nil
	}
	if from > 0 && from >= l.base {
		i := slices.IndexFunc(l.changes, func(c watch.Event) bool { return c.Version > from })
		if i >= 0 {
			return l.changes[i:]
		}
	}
	whole := watch.Event{Version: l.seq, Complete: true, Endpoints: []watch.Endpoint{}}
	ids := make([]string, 0, len(l.members))
	for id := range l.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		whole.Endpoints = append(whole.Endpoints, hosts([]engine.Endpoint{l.members[id]})...)
	}
	return []watch.Event{whole}
}

func hosts(list []engine.Endpoint) (out []watch.Endpoint) {
	health := map[balancer.EndpointState]string{balancer.Active: "SERVING", balancer.Draining: "DRAINING", balancer.Removed: "DELETED"}
	for _, m := range list {
		out = append(out, watch.Endpoint{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Health: health[m.State], StartedAtMS: m.StartedAtMS})
	}
	return out
}
