package store

// Stats describes the state of a Store.
type Stats struct {
	Entries  int   `json:"entries"` // entries, including expired ones whose space has not been reclaimed yet
	Segments int   `json:"segments"`
	Bytes    int64 `json:"bytes"`    // size of all segments
	Live     int64 `json:"live"`     // bytes of the records of all entries
	Damaged  int64 `json:"damaged"`  // bytes that Open or Compact found damaged on disk
	Unsynced int   `json:"unsynced"` // changes that were confirmed with Options.SyncEvery and have not been synced

	// Counts since the store was opened:
	Syncs       uint64 `json:"syncs"`
	Failures    uint64 `json:"failures"` // failed attempts to write or sync ops, including repeated attempts
	Compactions uint64 `json:"compactions"`
	Dropped     uint64 `json:"dropped"` // segments that were removed without a compaction, as they had no live record
	// Lost is the current number of changes that were confirmed with Options.SyncEvery, could not be synced, and could
	// not be written again either. The store keeps trying to write them.
	Lost uint64 `json:"lost"`
}

// counters holds the counters of Stats.
type counters struct{ syncs, failures, compactions, dropped, lost uint64 }

// Stats returns the current statistics. Its cost is proportional to the number of segments, not of entries.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	stats := Stats{
		Entries:     len(s.index),
		Segments:    len(s.segments),
		Damaged:     s.damaged,
		Unsynced:    len(s.unsynced),
		Syncs:       s.counters.syncs,
		Failures:    s.counters.failures,
		Compactions: s.counters.compactions,
		Dropped:     s.counters.dropped,
		Lost:        s.counters.lost,
	}
	for _, g := range s.segments {
		stats.Bytes += g.size
		stats.Live += g.live
	}
	return stats
}

func (s *Store) countFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.failures++
}

// totalSize returns the size of all segments in bytes.
func (s *Store) totalSize() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var sum int64
	for _, g := range s.segments {
		sum += g.size
	}
	return sum
}
