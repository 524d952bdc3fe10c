package relay

import (
	"errors"
	"maps"
	"slices"

	"hazelwing/balancer"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/engine"
)

const (
	// maxEvents limits the changes that a ChangeLog retains for followers. A follower that has missed more changes
	// receives the complete list. A higher value sends fewer complete lists, but uses more memory.
	maxEvents = 1024
	// maxPathLength limits the members that relay the list between the discovery service and a member. A higher value
	// allows a larger tree, but changes may arrive later, because each member adds its own delay.
	maxPathLength = 8
)

// Reasons for which a follower is rejected. The texts are sent to the follower; "this one" in a text is the member that
// rejects it.
var (
	// errNoLiveList means that this member has no complete list, or that the source of its list does not work.
	errNoLiveList = errors.New("no list from a source that works")
	// errFollowerAhead means that the follower's list has a later version than the list of this member.
	errFollowerAhead = errors.New("a later version is held than this one has")
	// errFollowerInPath means that the follower is among the members that relay the list to this member.
	errFollowerInPath = errors.New("this one has its list from there")
	// errPathTooLong means that maxPathLength members or more relay the list to this member.
	errPathTooLong = errors.New("too far from discovery")
	// errOtherDiscovery means that the follower's versions come from another discovery service.
	errOtherDiscovery = errors.New("another discovery is followed here")
	// errTooManyFollowers means that this member already has Server.maxFollowers followers.
	errTooManyFollowers = errors.New("enough follow this one")
)

// ChangeLog holds an endpoint list and its latest changes. It performs no I/O, and is not safe for concurrent use.
type ChangeLog struct {
	version     int64                      // version of the list
	complete    bool                       // the log has received a complete list
	live        bool                       // the source of the list works
	endpoints   map[string]engine.Endpoint // endpoints that are active or draining, by ID
	events      []watch.Event              // retained changes, oldest first
	baseVersion int64                      // version of the list before the first retained change
	// path holds the names of the members that relay the list, nearest first. It is empty if the source is the
	// discovery service.
	path []string
}

// SourceStarted records that a source works, and the path of its list.
func (l *ChangeLog) SourceStarted(path []string) { l.live, l.path = true, path }

// SourceLost records that the source no longer works. The log keeps its list, but rejects followers until the next call
// of SourceStarted.
func (l *ChangeLog) SourceLost() { l.live = false }

// Apply applies an update of the source. A complete list replaces the present list, whatever its version. A delta is
// ignored if there is no complete list yet, or if its version is lower than the version of the list. A delta of the
// same version changes the list, but is not retained for followers. Updates of other kinds are ignored.
func (l *ChangeLog) Apply(update engine.EndpointUpdate) {
	switch update.Kind {
	case balancer.CompleteList:
		l.endpoints = map[string]engine.Endpoint{}
		l.events, l.complete = nil, true
		l.version, l.baseVersion = update.Version, update.Version
	case balancer.Delta:
		if !l.complete || update.Version < l.version {
			return
		}
	default:
		return
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.State == balancer.Removed {
			delete(l.endpoints, endpoint.ID)
		} else {
			l.endpoints[endpoint.ID] = endpoint
		}
	}
	if update.Kind == balancer.Delta && update.Version > l.version {
		l.appendEvent(update)
	}
}

// appendEvent adds a delta to the retained changes.
func (l *ChangeLog) appendEvent(update engine.EndpointUpdate) {
	l.events = append(l.events, watch.Event{
		Version:   update.Version,
		Endpoints: watch.EndpointsFromEngine(update.Endpoints),
	})
	if len(l.events) > maxEvents {
		l.baseVersion = l.events[0].Version
		l.events = slices.Delete(l.events, 0, 1)
	}
	l.version = update.Version
}

// CheckFollower returns nil if a member whose list has the given version may follow this one, otherwise an error with
// the reason.
//
// The source of this member must work, and its list must not be older than the follower's list. This prevents a
// member that is cut off from relaying an old list, whose endpoints may have been removed in the meantime. The
// follower must not be in the path of the list, which must have fewer than maxPathLength members. This prevents
// members from following each other in a cycle, which no change from the discovery service would reach.
func (l *ChangeLog) CheckFollower(version int64, follower string) error {
	switch {
	case !l.complete || !l.live:
		return errNoLiveList
	case version > l.version:
		return errFollowerAhead
	case slices.Contains(l.path, follower):
		return errFollowerInPath
	case len(l.path) >= maxPathLength:
		return errPathTooLong
	}
	return nil
}

// EventsSince returns the events for a follower whose list has the given version: the changes since that version or, if
// not all of them are retained or the version is 0, the complete list. It returns none if the list of this member has
// the same version, even if that is 0.
func (l *ChangeLog) EventsSince(version int64) []watch.Event {
	if version == l.version {
		return nil
	}
	if version > 0 && version >= l.baseVersion {
		i := slices.IndexFunc(l.events, func(event watch.Event) bool { return event.Version > version })
		if i >= 0 {
			return l.events[i:]
		}
	}
	return []watch.Event{l.completeEvent()}
}

// completeEvent returns the complete list as an event, sorted by endpoint ID.
func (l *ChangeLog) completeEvent() watch.Event {
	event := watch.Event{Version: l.version, Complete: true, Endpoints: []watch.Endpoint{}}
	for _, id := range slices.Sorted(maps.Keys(l.endpoints)) {
		endpoint := watch.EndpointsFromEngine([]engine.Endpoint{l.endpoints[id]})
		event.Endpoints = append(event.Endpoints, endpoint...)
	}
	return event
}
