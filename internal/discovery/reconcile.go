package discovery

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"hazelwing/balancer"
)

// targetList is the merged list that the sources require at a given time, without the limits on changes.
type targetList struct {
	endpoints map[string]Endpoint // endpoints that should be in the merged list, by ID
	sources   map[string][]string // names of the sources of each endpoint in endpoints, lowest rank first, by ID
	excluded  map[string]string   // reasons why endpoints that sources list should not be in the merged list, by ID
}

// target returns the merged list that should result, regardless of the limits on additions and removals.
func (m *Merger) target(now time.Duration) targetList {
	target := targetList{
		endpoints: map[string]Endpoint{},
		sources:   map[string][]string{},
		excluded:  map[string]string{},
	}
	ids := m.idsByAddr()
	for _, s := range m.byRank {
		for _, key := range slices.Sorted(maps.Keys(s.endpoints)) {
			e := s.endpoints[key]
			if e.ID == "" { // the source knows the address only: use the ID that another source lists for it
				e.ID = cmp.Or(ids[e.Addr], addrKeyPrefix+e.Addr)
			}
			m.addToTarget(now, &target, s, e)
		}
	}
	for id := range target.endpoints {
		delete(target.excluded, id)
	}
	return target
}

// idsByAddr returns the IDs of the endpoints that any source lists, by address. If sources list different IDs for an
// address, the ID of the source with the lowest rank is used.
func (m *Merger) idsByAddr() map[string]string {
	ids := map[string]string{}
	for _, s := range m.byRank {
		for _, key := range slices.Sorted(maps.Keys(s.endpoints)) {
			if e := s.endpoints[key]; e.ID != "" && ids[e.Addr] == "" {
				ids[e.Addr] = e.ID
			}
		}
	}
	return ids
}

// addToTarget adds an endpoint that a source lists to the target, or records why it is excluded. If several sources
// list the endpoint, its attributes come from the source with the lowest rank, and its address from the source that
// reports its latest start.
func (m *Merger) addToTarget(now time.Duration, target *targetList, s *source, e Endpoint) {
	if reason := m.removalReason(now, &e); reason != "" {
		target.excluded[e.ID] = reason
		return
	}
	old, exists := target.endpoints[e.ID]
	if m.listed[e.ID] == nil && !s.mayAdd(now) {
		if !exists {
			target.excluded[e.ID] = s.Name + reasonSourceFailed
		}
		return
	}
	target.sources[e.ID] = append(target.sources[e.ID], s.Name)
	switch {
	case !exists:
		target.endpoints[e.ID] = e
	case e.StartedAtMS > old.StartedAtMS: // a later start time means a newer process, whichever source reports it
		old.StartedAtMS, old.Addr = e.StartedAtMS, e.Addr
		target.endpoints[e.ID] = old
	}
}

// removalReason returns why a tombstone excludes an endpoint from the merged list; empty if no tombstone covers it. It
// also updates tombstone.lastListedAt of each tombstone that covers the endpoint.
//
// A tombstone of any source takes precedence over all sources that list the endpoint. This prevents a delayed copy of
// an old list from restoring an endpoint that is draining or gone, to which requests would be sent and fail. Other
// sources cannot withdraw the tombstone; they can only list the endpoint with a later start time, which the tombstone
// does not cover.
func (m *Merger) removalReason(now time.Duration, e *Endpoint) string {
	reason := ""
	for _, s := range m.byRank {
		for key, t := range s.tombstones {
			if !t.covers(e) {
				continue
			}
			t.lastListedAt = now
			s.tombstones[key] = t
			reason = s.Name + reasonNotListed
			if t.explicit {
				reason = s.Name + reasonReportedRemoved
			}
		}
	}
	return reason
}

// reconciliation is the state of one call of Merger.reconcile.
type reconciliation struct {
	now    time.Duration
	target targetList
	// restarted has the IDs of endpoints that are replaced by a newer process. The newer process is added without
	// delay, because the endpoint would be missing from the list in the meantime.
	restarted map[string]bool
	changes   []Change
	nextTick  time.Duration // when Tick must be called; 0 means that no call is needed
}

// tickAt requests a call of Tick at the given time or earlier. It ignores times that are not in the future.
func (r *reconciliation) tickAt(at time.Duration) {
	if at > r.now && (r.nextTick == 0 || at < r.nextTick) {
		r.nextTick = at
	}
}

// reconcile changes the merged list towards its target, as far as the limits allow. It applies removals first.
func (m *Merger) reconcile(now time.Duration) (changes []Change, nextTick time.Duration) {
	r := &reconciliation{now: now, target: m.target(now), restarted: map[string]bool{}}
	m.updateListed(r)
	m.addMissing(r)
	for _, s := range m.byRank {
		s.expireTombstones(now, m.cfg.TombstoneTTL, m.cfg.MaxEndpoints)
	}
	for _, s := range m.byRank {
		if s.hasFailed() && len(s.endpoints) > 0 {
			r.tickAt(s.failedAt + s.StaleTTL)
		}
	}
	return r.changes, r.nextTick
}

// updateListed removes the listed endpoints that are not in the target, unless their removal is deferred, and those
// that a newer process replaces. It updates the attributes of the others.
func (m *Merger) updateListed(r *reconciliation) {
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		current := m.listed[id]
		e, ok := r.target.endpoints[id]
		switch {
		case !ok:
			m.removeOrDefer(r, current)
		case e.StartedAtMS > current.StartedAtMS: // addMissing adds the newer process
			r.restarted[id] = true
			m.remove(r, current, reasonRestarted)
		default:
			current.reason = reasonListed
			if e != current.Endpoint {
				current.Endpoint = e
				r.changes = append(r.changes, Change{e, reasonDescription})
			}
		}
	}
}

// removeOrDefer removes an endpoint from the list, or records why its removal is deferred.
func (m *Merger) removeOrDefer(r *reconciliation, current *listedEndpoint) {
	if reason, retryAt := m.deferRemoval(r.now, &current.Endpoint); reason != "" {
		current.reason = reason
		r.tickAt(retryAt)
		return
	}
	m.remove(r, current, r.target.excluded[current.ID])
}

// remove removes an endpoint from the list. If reason is empty, the reason comes from the endpoint's tombstones, or is
// reasonUnlisted if there are none.
func (m *Merger) remove(r *reconciliation, current *listedEndpoint, reason string) {
	removed := current.Endpoint
	removed.State = m.removedState(&current.Endpoint)
	// removalReason is called even if a reason is given, because it records in the tombstones that the endpoint was
	// listed until now.
	tombstoneReason := m.removalReason(r.now, &current.Endpoint)
	r.changes = append(r.changes, Change{removed, cmp.Or(reason, tombstoneReason, reasonUnlisted)})
	delete(m.listed, current.ID)
}

// removedState returns the state with which the removal of an endpoint is reported: draining if a source reports the
// endpoint as draining and none reports it as removed, otherwise removed.
func (m *Merger) removedState(e *Endpoint) balancer.EndpointState {
	state := balancer.Removed
	for _, s := range m.byRank {
		for _, t := range s.tombstones {
			if !t.covers(e) {
				continue
			}
			if t.State == balancer.Removed {
				return balancer.Removed
			}
			state = t.State
		}
	}
	return state
}

// deferRemoval returns why the removal of an endpoint is deferred, and when to try it again. An empty reason means that
// the endpoint may be removed now; a retryAt of 0 means that waiting does not make the removal possible.
//
// This limits how many endpoints the list loses because one source stops listing them: the source may remove
// Config.MaxRemovalShare of the list within Config.RemovalWindow, and the last endpoint stays. A removal that a source
// reported explicitly is not deferred, unless the source is indirect. The endpoints without a tombstone, which all
// sources have stopped listing, have the same limit together: the list of a source may be partial, as a DNS answer may
// be.
func (m *Merger) deferRemoval(now time.Duration, e *Endpoint) (reason string, retryAt time.Duration) {
	s, confirmed := m.removingSource(e)
	switch {
	case confirmed:
		return "", 0
	case len(m.listed) == 1:
		return reasonLastEndpoint, 0
	}
	budget, cause := &m.unlisted, unlistedCause
	if s != nil {
		budget, cause = &s.removals, s.Name
	}
	ok, retryAt := budget.mayRemoveOne(now, len(m.listed), &m.cfg)
	switch {
	case ok:
		budget.use(now)
		return "", 0
	case retryAt == 0:
		return fmt.Sprintf(reasonShareFormat, cause), 0
	}
	return fmt.Sprintf(reasonWindowFormat, cause), retryAt
}

// removingSource returns a source that has a tombstone for an endpoint; nil if there is none. confirmed reports
// whether the source has reported the removal explicitly and is not indirect. Among several sources, removingSource
// prefers one that confirms the removal; if none does, it returns the source with the highest Rank.
func (m *Merger) removingSource(e *Endpoint) (removing *source, confirmed bool) {
	for _, s := range m.byRank {
		for _, t := range s.tombstones {
			if !t.covers(e) {
				continue
			}
			if t.explicit && !s.Indirect {
				return s, true
			}
			removing = s
		}
	}
	return removing, false
}

// addMissing adds the endpoints of the target that are missing from the list, at most once per
// Config.AdditionInterval.
//
// The interval prevents a source that reports endpoints one by one from changing the balancer's choice of endpoints
// with each of them. The newer process of an endpoint that has restarted is added at once, because the endpoint would
// be missing from the list in the meantime.
func (m *Merger) addMissing(r *reconciliation) {
	var missing []string
	for _, id := range slices.Sorted(maps.Keys(r.target.endpoints)) {
		if m.listed[id] == nil {
			missing = append(missing, id)
		}
	}
	delayed := m.hasAdded && r.now-m.lastAdditionAt < m.cfg.AdditionInterval
	if delayed {
		numMissing := len(missing)
		missing = slices.DeleteFunc(missing, func(id string) bool { return !r.restarted[id] })
		if len(missing) < numMissing {
			r.tickAt(m.lastAdditionAt + m.cfg.AdditionInterval)
		}
	}
	for _, id := range missing {
		e := r.target.endpoints[id]
		m.listed[id] = &listedEndpoint{Endpoint: e, reason: reasonListed, since: r.now}
		r.changes = append(r.changes, Change{e, reasonListed})
	}
	if len(missing) > 0 && !delayed {
		m.lastAdditionAt, m.hasAdded = r.now, true
	}
}
