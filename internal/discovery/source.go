package discovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hazelwing/balancer"
)

// notFailed is the value of source.failedAt unless the source has failed since its last update.
const notFailed time.Duration = -1

// source is the state that a Merger keeps for one source.
type source struct {
	SourceConfig
	seq        int64 // sequence number of the last update; valid if hasUpdate
	hasUpdate  bool
	failedAt   time.Duration        // time of the failure, or notFailed
	endpoints  map[string]Endpoint  // the source's list, by endpoint key
	tombstones map[string]tombstone // endpoints that the source has removed, by endpoint key
	removals   removalBudget        // removals that this source has caused without an explicit report
}

// tombstone records that a source has removed an endpoint.
type tombstone struct {
	Endpoint
	explicit     bool          // the source reported the removal; if false, it stopped listing the endpoint
	lastListedAt time.Duration // when any source last listed the endpoint
}

func newSource(cfg SourceConfig) *source {
	return &source{
		SourceConfig: cfg,
		failedAt:     notFailed,
		endpoints:    map[string]Endpoint{},
		tombstones:   map[string]tombstone{},
	}
}

// apply applies the endpoints of an update to the source's list and tombstones. It returns the number of endpoints that
// were dropped because the list holds maxEndpoints. The list of an indirect source stays empty.
//
// Guard: prevents requests from going to removed endpoints, or to none, while the list is full. This holds because all
// removals of the update are applied, and new endpoints take the places that they leave.
func (s *source) apply(now time.Duration, endpoints []Endpoint, maxEndpoints int) (dropped int) {
	var order []string             // keys of new endpoints, in the order of the update
	added := map[string]Endpoint{} // new endpoints, by key
	for _, e := range endpoints {
		key := e.key()
		if e.State != balancer.Active {
			s.remove(now, key, e, true)
			delete(added, key)
			continue
		}
		if t, ok := s.tombstones[key]; ok && (e.StartedAtMS == 0 || e.StartedAtMS >= t.StartedAtMS) {
			delete(s.tombstones, key) // the source withdraws its removal
		}
		switch {
		case s.Indirect:
		case s.lists(key):
			s.endpoints[key] = e
		default:
			order = append(order, key)
			added[key] = e
		}
	}
	for _, key := range order {
		e, ok := added[key]
		switch {
		case !ok: // it was removed by a later entry, or its key occurs twice
		case len(s.endpoints) < maxEndpoints:
			s.endpoints[key] = e
		default:
			dropped++
		}
		delete(added, key)
	}
	return dropped
}

// lists reports whether an endpoint is in the source's list.
func (s *source) lists(key string) bool {
	_, ok := s.endpoints[key]
	return ok
}

// removeAbsent deletes from the source's list the endpoints that are missing from a complete update. Each deleted
// endpoint gets a tombstone if SourceConfig.AbsenceMeansRemoved is set.
func (s *source) removeAbsent(now time.Duration, update []Endpoint) {
	received := map[string]bool{}
	for _, e := range update {
		received[e.key()] = true
	}
	for _, key := range slices.Sorted(maps.Keys(s.endpoints)) {
		switch {
		case received[key]:
		case s.AbsenceMeansRemoved:
			s.remove(now, key, s.endpoints[key], false)
		default:
			delete(s.endpoints, key)
		}
	}
}

// remove deletes an endpoint from the source's list and adds a tombstone for it. It does nothing if the endpoint has an
// explicit tombstone already and this removal is not explicit.
func (s *source) remove(now time.Duration, key string, e Endpoint, explicit bool) {
	if old, ok := s.endpoints[key]; ok {
		e.Addr = cmp.Or(e.Addr, old.Addr)
		e.StartedAtMS = max(e.StartedAtMS, old.StartedAtMS)
	}
	if e.State == balancer.Active {
		e.State = balancer.Removed
	}
	if t, ok := s.tombstones[key]; ok && t.explicit && !explicit {
		return
	}
	s.tombstones[key] = tombstone{Endpoint: e, explicit: explicit, lastListedAt: now}
	delete(s.endpoints, key)
}

// hasFailed reports whether the source has failed since its last update.
func (s *source) hasFailed() bool { return s.failedAt != notFailed }

// mayAdd reports whether the source's list may add endpoints that are not in the merged list.
//
// A source that works may add endpoints. A source that has failed may add endpoints until StaleTTL has passed. This
// limit prevents an outdated list from adding endpoints that no longer exist. Endpoints that are in the merged list
// already stay there, because the failure of a source is no evidence that they are gone.
func (s *source) mayAdd(now time.Duration) bool { return !s.hasFailed() || now-s.failedAt < s.StaleTTL }

// expireTombstones deletes the tombstones whose endpoints no source has listed for ttl. While more than maxTombstones
// remain, it deletes the one whose endpoint was last listed the longest ago.
func (s *source) expireTombstones(now, ttl time.Duration, maxTombstones int) {
	for key, t := range s.tombstones {
		if now-t.lastListedAt >= ttl {
			delete(s.tombstones, key)
		}
	}
	for len(s.tombstones) > maxTombstones {
		oldest := ""
		for _, key := range slices.Sorted(maps.Keys(s.tombstones)) {
			if oldest == "" || s.tombstones[key].lastListedAt < s.tombstones[oldest].lastListedAt {
				oldest = key
			}
		}
		delete(s.tombstones, oldest)
	}
}

// covers reports whether the tombstone keeps an endpoint out of the merged list: the endpoint has the same ID or the
// same address, and has not started later. An endpoint with a later start is a new process, which was not removed.
func (t *tombstone) covers(e *Endpoint) bool {
	if e.StartedAtMS > t.StartedAtMS && e.StartedAtMS > 0 {
		return false
	}
	return e.ID != "" && e.ID == t.ID || e.Addr != "" && e.Addr == t.Addr
}
