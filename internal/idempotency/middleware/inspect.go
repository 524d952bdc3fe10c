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

// parse reads an entry of the store's that is a record.
func parse(key string, value []byte) (fp idempotency.Fingerprint, r idempotency.Record, ok bool) {
	if len(key) != len(fp) {
		return fp, r, false
	}
	copy(fp[:], key)
	r, err := idempotency.ParseRecord(value)
	return fp, r, err == nil
}

// Remembered is a record of a directory, for operators.
type Remembered struct {
	Fingerprint string    `json:"fingerprint"`
	Class       string    `json:"class"`
	Effect      string    `json:"effect"`
	State       string    `json:"state"` // open: no outcome was noted; unknown: it may have run; ran: it was answered
	Since       time.Time `json:"intended"`
	Expires     time.Time `json:"expires"`
	Where       string    `json:"where"` // zone/cell of the attempts
}

// Inspect reads a ledger's directory, oldest first, and changes nothing: the daemon may run meanwhile. Times are of the
// ledger's own line, which is wall time unless that was set back.
func Inspect(fs store.FS) ([]Remembered, error) {
	list := []Remembered{}
	err := store.Read(fs, func(key string, value []byte, _ time.Time) {
		fp, r, ok := parse(key, value)
		if !ok {
			return // the line of time
		}
		var where []string
		for _, p := range r.Places {
			where = append(where, fmt.Sprintf("%s/%d", p.Zone, p.Cell))
		}
		list = append(list, Remembered{Fingerprint: fp.String(), Class: r.Class,
			Effect: map[balancer.Effect]string{balancer.Keyed: "keyed", balancer.NonIdempotent: "unsafe"}[r.Effect],
			State:  map[idempotency.State]string{idempotency.Open: "open", idempotency.Unknown: "unknown", idempotency.Ran: "ran"}[r.State],
			Since:  time.UnixMilli(int64(r.Since)), Expires: time.UnixMilli(int64(r.Expires)), Where: strings.Join(where, " ")})
	})
	slices.SortFunc(list, func(a, b Remembered) int {
		return cmp.Or(a.Since.Compare(b.Since), strings.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list, err
}

// Latest is a clock for who compacts a directory while no daemon runs: the earliest that the ledger's line of time may be
// at, so that nothing is taken that it still remembers.
func Latest(fs store.FS) func() time.Time {
	var last time.Time
	store.Read(fs, func(key string, value []byte, _ time.Time) {
		if _, r, ok := parse(key, value); ok {
			if t := time.UnixMilli(int64(r.Latest())); t.After(last) {
				last = t
			}
		}
	})
	return func() time.Time { return last }
}
