// Package discovery merges the endpoint lists of several sources into one. It does no I/O and reads no clock:
// its caller passes each update with the time of its arrival, and gets back the changes of the merged list.
// docs/design/membership.md has the rules as a table.
//
// In short, a removal wins. An endpoint that a source reports as draining or removed is left out until the same
// source lists it again, or until any source reports a newer start of it; a late copy of an old list never
// brings it back. A source that has failed keeps its last list for a while, and after that only loses the right
// to add endpoints. The removal of an endpoint that a source merely no longer lists may be deferred, so that
// one source alone can neither empty the list nor remove more than a share of it within a time window. Removals
// are returned at once, additions at most once in Config.AdditionInterval.
//
// # Limits
//
// The list of a source holds at most Config.MaxEndpoints endpoints; those beyond it are dropped and counted. A
// tombstone is kept for Config.TombstoneTTL after its endpoint was last listed by any source, and each source
// has at most Config.MaxEndpoints of them. A Merger is not safe for concurrent use.
package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Merger merges the updates of its sources into one endpoint list. Times are durations since an origin that the
// caller chooses, and must not decrease from call to call.
type Merger struct {
	cfg     Config
	sources map[string]*source // by name
	byRank  []*source
	listed  map[string]*listedEndpoint // the merged list, by ID

	lastAdditionAt time.Duration
	hasAdded       bool // lastAdditionAt is valid
	dropped        int
}

// listedEndpoint is an endpoint of the merged list.
type listedEndpoint struct {
	Endpoint
	reason string
	since  time.Duration
}

// New returns a Merger with an empty list. The error wraps ErrInvalidConfig.
func New(cfg Config) (*Merger, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	m := &Merger{cfg: cfg, sources: map[string]*source{}, listed: map[string]*listedEndpoint{}}
	for _, sourceConfig := range cfg.Sources {
		s := newSource(sourceConfig)
		m.sources[s.Name] = s
		m.byRank = append(m.byRank, s)
	}
	slices.SortStableFunc(m.byRank, func(a, b *source) int { return cmp.Compare(a.Rank, b.Rank) })
	return m, nil
}

// Apply processes an update of a source. An update of an unknown source, or one whose sequence number is not
// higher than that of the source's last one, is ignored. Apply returns the changes of the list, and when Tick
// is to be called next; 0 means that no call is needed before the next event.
func (m *Merger) Apply(now time.Duration, update Update) (changes []Change, nextTick time.Duration) {
	s := m.sources[update.Source]
	if s == nil || s.hasUpdate && update.Seq <= s.seq {
		return m.reconcile(now)
	}
	s.seq, s.hasUpdate, s.failedAt = update.Seq, true, notFailed
	endpoints := update.Endpoints
	if len(endpoints) > m.cfg.MaxEndpoints {
		m.dropped += len(endpoints) - m.cfg.MaxEndpoints
		endpoints = endpoints[:m.cfg.MaxEndpoints]
	}
	received := s.apply(now, endpoints, m.cfg.MaxEndpoints)
	if update.Complete {
		s.removeAbsent(now, received)
	}
	return m.reconcile(now)
}

// SourceFailed notes that the named source has failed. The source counts as failed until its next update. The
// results are those of Apply.
func (m *Merger) SourceFailed(now time.Duration, name string) (changes []Change, nextTick time.Duration) {
	if s := m.sources[name]; s != nil && !s.hasFailed() {
		s.failedAt = now
	}
	return m.reconcile(now)
}

// Tick is to be called at the time that the last event returned. The results are those of Apply.
func (m *Merger) Tick(now time.Duration) (changes []Change, nextTick time.Duration) {
	return m.reconcile(now)
}

// Status returns the endpoints of the merged list, followed by those that a source lists and that are left out
// of it, each part sorted by ID.
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

// Dropped returns how many endpoints of updates were left out because the update had more than Config.MaxEndpoints.
func (m *Merger) Dropped() int { return m.dropped }
