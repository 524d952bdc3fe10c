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
	State       string    `json:"state"` // open: no outcome was stored; unknown: it may have run; ran: it was answered
	IntendedAt  time.Time `json:"intended"`
	ExpiresAt   time.Time `json:"expires"`
	Locations   string    `json:"where"` // zone/cell of the attempts, separated by spaces
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

// Inspect reads the records of a write-ahead log, oldest first, and changes nothing: the daemon may run meanwhile.
// Times are of the records' own timeline, which is wall time unless that was set back.
func Inspect(fs store.FS) ([]RecordInfo, error) {
	list := []RecordInfo{}
	err := store.Read(fs, func(key string, value []byte, _ time.Time) {
		if fp, record, ok := parseEntry(key, value); ok { // otherwise it is the clock's state
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

// CompactionClock returns a clock for compacting a write-ahead log while no daemon runs. It stands at the earliest time
// that the records' timeline may have reached, so that no record is dropped that a daemon would still remember.
func CompactionClock(fs store.FS) func() time.Time {
	var latest time.Time
	// A directory that cannot be read leaves the clock at zero, at which nothing has expired; opening it says why.
	_ = store.Read(fs, func(key string, value []byte, _ time.Time) {
		if _, record, ok := parseEntry(key, value); ok {
			if t := wallTime(record.Latest()); t.After(latest) {
				latest = t
			}
		}
	})
	return func() time.Time { return latest }
}
