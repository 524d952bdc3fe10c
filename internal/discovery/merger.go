// Package discovery merges the endpoint lists of several sources into one. It does no I/O and reads no clock:
// the caller passes each update with the time of its arrival, and receives the changes of the merged list.
// docs/design/membership.md contains a table of the rules.
//
// Removals take precedence over additions. An endpoint that a source reports as draining or removed stays out of the
// merged list until the same source lists it again, or until any source lists it with a later start time. A delayed
// copy of an old list therefore cannot restore the endpoint. The endpoints of a source that has failed stay in the
// merged list. After SourceConfig.StaleTTL such a source may no longer add endpoints.
//
// The removal of an endpoint that a source with SourceConfig.AbsenceMeansRemoved has stopped listing, without reporting
// its removal, may be deferred, and so may a removal that only an indirect source reports. By such removals a single
// source can neither empty the list nor remove more than Config.MaxRemovalShare of it within Config.RemovalWindow. The
// same limit applies to all endpoints together that all sources merely stop listing, but one of them may be removed in
// each window. Other removals are returned at
// once, additions at most once per Config.AdditionInterval. The newer process of an endpoint that has
// restarted is added at once.
//
// # Limits
//
// The list of a source holds at most Config.MaxEndpoints endpoints. Further endpoints are dropped and counted. The
// removals of an update have no limit, and come before its additions. A tombstone (the record of a removal) is kept for
// Config.TombstoneTTL after any source last listed its endpoint, and each source has at most Config.MaxEndpoints
// tombstones. A Merger is not safe for concurrent use.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Merger merges the updates of its sources into one endpoint list. Times are durations since an origin that the
// caller chooses. They must not decrease from one call to the next.
type Merger struct {
	cfg     Config
	sources map[string]*source         // by name
	byRank  []*source                  // lowest rank first
	listed  map[string]*listedEndpoint // the merged list, by ID

	lastAdditionAt time.Duration
	hasAdded       bool // lastAdditionAt is valid
	dropped        int  // number of endpoints that were ignored; see Dropped
	// unlisted has the removals of endpoints that all sources merely stopped listing.
	unlisted removalBudget
}

// listedEndpoint is an endpoint of the merged list.
type listedEndpoint struct {
	Endpoint
	reason string        // why the endpoint is in the list
	since  time.Duration // when the endpoint was added to the list
}

// New returns a Merger with an empty list. Its errors wrap ErrInvalidConfig.
func New(cfg Config) (*Merger, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	m := &Merger{
		cfg:      cfg,
		sources:  map[string]*source{},
		listed:   map[string]*listedEndpoint{},
		unlisted: removalBudget{alwaysOne: true},
	}
	for _, sourceConfig := range cfg.Sources {
		s := newSource(sourceConfig)
		m.sources[s.Name] = s
		m.byRank = append(m.byRank, s)
	}
	slices.SortStableFunc(m.byRank, func(a, b *source) int { return cmp.Compare(a.Rank, b.Rank) })
	return m, nil
}

// Apply processes an update of a source. It ignores an update of an unknown source, and an update whose sequence
// number is not higher than the number of the source's previous update. It returns the changes of the merged list and
// the time at which the caller must call Tick; 0 means that no call is needed before the next event.
func (m *Merger) Apply(now time.Duration, update Update) (changes []Change, nextTick time.Duration) {
	s := m.sources[update.Source]
	if s == nil || s.hasUpdate && update.Seq <= s.seq {
		return m.reconcile(now)
	}
	s.seq, s.hasUpdate, s.failedAt = update.Seq, true, notFailed
	if update.Complete {
		s.removeAbsent(now, update.Endpoints)
	}
	m.dropped += s.apply(now, update.Endpoints, m.cfg.MaxEndpoints)
	return m.reconcile(now)
}

// SourceFailed records that the named source has failed. The source counts as failed until its next update.
// SourceFailed returns the same results as Apply.
func (m *Merger) SourceFailed(now time.Duration, name string) (changes []Change, nextTick time.Duration) {
	if s := m.sources[name]; s != nil && !s.hasFailed() {
		s.failedAt = now
	}
	return m.reconcile(now)
}

// Tick makes the changes that depend on the time alone. The caller must call it at the time that the last call
// of Apply, SourceFailed or Tick returned. Tick returns the same results as Apply.
func (m *Merger) Tick(now time.Duration) (changes []Change, nextTick time.Duration) {
	return m.reconcile(now)
}

// Status returns the endpoints of the merged list, followed by the endpoints that a source lists but that are excluded
// from the merged list. Each of the two parts is sorted by ID. Endpoints whose addition is delayed are in neither part.
func (m *Merger) Status(now time.Duration) []EndpointStatus {
	var list []EndpointStatus
	target := m.target(now)
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		e := m.listed[id]
		list = append(list, EndpointStatus{
			Endpoint: e.Endpoint,
			Listed:   true,
			Reason:   e.reason,
			Sources:  target.sources[id],
			Since:    e.since,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(target.excluded)) {
		if _, ok := target.endpoints[id]; ok || m.listed[id] != nil {
			continue
		}
		list = append(list, EndpointStatus{
			Endpoint: Endpoint{ID: id},
			Reason:   target.excluded[id],
			Sources:  target.sources[id],
		})
	}
	return list
}

// Dropped returns how many endpoints were ignored because their sources listed more than Config.MaxEndpoints.
func (m *Merger) Dropped() int { return m.dropped }
