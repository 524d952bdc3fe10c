package middleware

import (
	"slices"
	"time"

	"hazelwing/internal/store"
)

// Status describes a Deduplicator for operators.
type Status struct {
	Durability   Durability    `json:"durability"`
	WriteFailure string        `json:"trouble,omitempty"` // latest failure, or a full table; empty once it is over
	OnFailure    FailurePolicy `json:"on_failure"`

	Remembered        int     `json:"remembered"`    // number of fingerprints
	Open              int     `json:"open"`          // number of fingerprints with an attempt in flight
	RestoredOpen      int     `json:"left_open"`     // number of fingerprints that an earlier process left in flight
	OldestOpenSeconds float64 `json:"oldest_open_s"` // age of the oldest intent of these fingerprints

	Failed     uint64 `json:"failed"`    // requests that failed because their operation may already have run
	Rejected   uint64 `json:"refused"`   // requests and attempts whose intent could not be made durable or remembered
	NotDurable uint64 `json:"undurable"` // attempts that were sent without a durable intent, with ContinueOnFailure
	// UnrecordedOutcomes is the number of outcomes that could not be stored. Their records on disk stay as they were.
	UnrecordedOutcomes uint64 `json:"unclosed"`

	// Quantiles of the latest writes that attempts waited for, in milliseconds.
	WaitP50 float64 `json:"wait_p50_ms"`
	WaitP99 float64 `json:"wait_p99_ms"`

	Store *store.Stats `json:"store,omitempty"` // nil with DurabilityOff
}

// Status returns the current status.
func (d *Deduplicator) Status() Status {
	now := d.now()
	d.mu.Lock()
	tracked := d.tracker.Stats()
	status := Status{
		Durability:         d.config.Durability,
		OnFailure:          d.config.OnFailure,
		Remembered:         tracked.Entries,
		Open:               tracked.Open,
		RestoredOpen:       tracked.RestoredOpen,
		Failed:             d.counters.failed,
		Rejected:           d.counters.rejected,
		NotDurable:         d.counters.notDurable,
		UnrecordedOutcomes: d.counters.unrecordedOutcomes,
	}
	if tracked.OldestOpen > 0 {
		status.OldestOpenSeconds = float64(now.Time-tracked.OldestOpen) / msPerSecond
	}
	switch {
	case d.failure.err != nil:
		status.WriteFailure = d.failure.err.Error()
	case !d.tableFullSince.IsZero():
		status.WriteFailure = errTableFull.Error()
	}
	waits := d.waits
	d.mu.Unlock()

	status.WaitP50, status.WaitP99 = waits.quantiles()
	if d.store != nil {
		stats := d.store.Stats()
		status.Store = &stats
	}
	return status
}

const (
	msPerSecond     = 1000
	median          = 0.5
	percentile99    = 0.99
	waitTimesInRing = 1024
)

// waitTimes holds the latest wait times in a ring buffer.
type waitTimes struct {
	ring  [waitTimesInRing]time.Duration
	count int // number of wait times added so far
}

func (w *waitTimes) add(d time.Duration) {
	w.ring[w.count%len(w.ring)] = d
	w.count++
}

// quantiles returns the median and the 99th percentile in milliseconds, 0 if there are no wait times. It sorts the ring
// in place, so it is called on a copy.
func (w *waitTimes) quantiles() (p50, p99 float64) {
	sorted := w.ring[:min(w.count, len(w.ring))]
	if len(sorted) == 0 {
		return 0, 0
	}
	slices.Sort(sorted)
	quantile := func(q float64) float64 {
		return sorted[int(q*float64(len(sorted)-1))].Seconds() * msPerSecond
	}
	return quantile(median), quantile(percentile99)
}
