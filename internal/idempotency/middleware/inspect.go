package middleware

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/idempotency"
	"hazelwing/internal/store"
)

// RecordInfo describes a stored record for operators.
type RecordInfo struct {
	Fingerprint string    `json:"fingerprint"`
	Class       string    `json:"class"`
	Effect      string    `json:"effect"`
	State       string    `json:"state"` // "open" (no outcome stored), "unknown" (may have run) or "ran" (answered)
	IntendedAt  time.Time `json:"intended"`
	ExpiresAt   time.Time `json:"expires"`
	Locations   string    `json:"where"` // idempotency.Locations as ZONE/CELL, separated by spaces
}

var (
	effectNames = map[balancer.Effect]string{
		balancer.Keyed:         "keyed",
		balancer.NonIdempotent: "unsafe",
	}
	stateNames = map[idempotency.State]string{
		idempotency.StateOpen:     "open",
		idempotency.StateUnknown:  "unknown",
		idempotency.StateExecuted: "ran",
	}
)

// Inspect returns the records of a write-ahead log, including expired ones, oldest first. It skips entries that cannot
// be decoded. It changes nothing, so the daemon may be running. The times are on the records' timeline, which differs
// from wall time if wall time was changed.
func Inspect(fs store.FS) ([]RecordInfo, error) {
	list := []RecordInfo{}
	err := store.Read(fs, func(key string, value []byte, _ time.Time) {
		if fp, record, ok := parseEntry(key, value); ok { // false for the entry at clockKey, and for a corrupt record
			list = append(list, newRecordInfo(fp, &record))
		}
	})
	slices.SortFunc(list, func(a, b RecordInfo) int {
		return cmp.Or(a.IntendedAt.Compare(b.IntendedAt), strings.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list, err
}

func newRecordInfo(fp idempotency.Fingerprint, record *idempotency.Record) RecordInfo {
	var locations []string
	for _, l := range record.Locations {
		if l.Unknown {
			locations = append(locations, "unknown")
			continue
		}
		locations = append(locations, fmt.Sprintf("%s/%d", l.Zone, l.Cell))
	}
	return RecordInfo{
		Fingerprint: fp.String(),
		Class:       record.Class,
		Effect:      effectNames[record.Effect],
		State:       stateNames[record.State],
		IntendedAt:  wallTime(record.IntendedAt),
		ExpiresAt:   wallTime(record.ExpiresAt),
		Locations:   strings.Join(locations, " "),
	}
}

// CompactionClock returns a clock for compacting a write-ahead log while no daemon runs. The clock always returns the
// latest time of an intent in any record. The records' timeline has certainly reached this time, so that compaction
// drops no record that a daemon would still remember.
func CompactionClock(fs store.FS) func() time.Time {
	var latest time.Time
	// If the directory cannot be read, the clock returns the zero time, at which no record has expired. The caller gets
	// the error when it opens the store.
	_ = store.Read(fs, func(key string, value []byte, _ time.Time) {
		if _, record, ok := parseEntry(key, value); ok {
			if t := wallTime(record.Latest().Time); t.After(latest) {
				latest = t
			}
		}
	})
	return func() time.Time { return latest }
}
