package idempotency

import (
	"cmp"
	"slices"
	"time"

	"hazelwing/balancer"
)

// Config configures a Tracker.
type Config struct {
	Classes []balancer.Class
	// Retention is how long the Tracker remembers that an attempt may have run, counted from the intent of the first
	// attempt. It has to be longer than any request can be in flight, and longer than the idempotency window of any
	// class. A higher value costs memory and disk, and makes duplicates fail for longer; with a lower one a duplicate
	// may run a second time.
	Retention time.Duration
	// MaxEntries limits the number of fingerprints that are remembered and stored. A higher value costs memory and
	// disk; with a lower one, requests are rejected, or remembered without being stored, at a lower request rate.
	MaxEntries int
	// MaxUnstored limits the number of fingerprints beyond MaxEntries that are remembered without being stored, so that
	// a restart of the program forgets them. When it is reached, BeginAttempt returns TableFull.
	MaxUnstored int
}

// Tracker tracks which requests may have run. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	classes map[string]balancer.Class
	entries map[Fingerprint]*entry

	// byExpiry holds the entries with an intent, in order of expiresAt. After a restart with a shorter
	// Config.Retention, new entries may follow restored ones that expire later. It includes released entries that have
	// not been removed yet.
	byExpiry      []*entry
	releasedCount int // number of released entries in byExpiry

	// open holds the entries with attempts in flight, and those that an earlier run of the program left open.
	open map[Fingerprint]*entry
}

// Attempt is an attempt that BeginAttempt accepted. Only the Tracker reads or changes its fields.
type Attempt struct {
	entry    *entry
	location *location
	ended    bool
}

// New returns an empty Tracker.
func New(config Config) *Tracker {
	t := &Tracker{
		config:  config,
		classes: map[string]balancer.Class{},
		entries: map[Fingerprint]*entry{},
		open:    map[Fingerprint]*entry{},
	}
	for _, class := range config.Classes {
		t.classes[class.Name] = class
	}
	return t
}

// Restore adds a record of an earlier run of the program. Records may be restored in any order, before any other method
// is called. Restore ignores a record that has expired or has no location, and a second record of a fingerprint. It
// does not apply Config.MaxEntries.
func (t *Tracker) Restore(now Instant, fp Fingerprint, record Record) {
	if record.ExpiresAt <= now.Time || t.entries[fp] != nil || len(record.Locations) == 0 {
		return
	}
	e := &entry{
		fingerprint:    fp,
		effect:         record.Effect,
		class:          record.Class,
		state:          record.State,
		intendedAt:     record.IntendedAt,
		expiresAt:      record.ExpiresAt,
		isRestored:     true,
		writeAttempted: true,
	}
	for _, l := range record.Locations {
		e.locations = append(e.locations, &location{Location: l, possibleRuns: 1, isDurable: true})
	}
	if record.State == StateOpen {
		t.open[fp] = e
	}
	t.entries[fp] = e
	index, _ := slices.BinarySearchFunc(t.byExpiry, e, func(a, b *entry) int {
		return cmp.Compare(a.expiresAt, b.expiresAt)
	})
	t.byExpiry = slices.Insert(t.byExpiry, index, e)
}

// RecordWritten tells the Tracker that the record of an attempt is durable, or could not be written. For attempts that
// waited for the same write, IsDurable returns the result.
func (t *Tracker) RecordWritten(a *Attempt, isDurable bool) {
	a.entry.writeInFlight = false
	a.location.isDurable = isDurable
}

// IsDurable reports whether a durable record contains the location of an attempt.
func (t *Tracker) IsDurable(a *Attempt) bool { return a.location.isDurable }

// Update is a change of a fingerprint's stored record for which no attempt has to wait.
type Update struct {
	Kind   UpdateKind
	Record Record // the new record, if Kind is PutRecord
}

// UpdateKind is the kind of an Update.
type UpdateKind int

// The kinds of updates.
const (
	NoUpdate     UpdateKind = iota // the stored record stays
	PutRecord                      // the stored record is replaced
	DeleteRecord                   // the stored record is deleted, because no attempt has run
)

// EndAttempt tells the Tracker that an attempt has ended, and returns the update of the stored record. mayHaveRun is
// false if the attempt is proved not to have run; wasAnswered is true if it was answered. If the attempt's record is
// being written, the caller calls RecordWritten first.
func (t *Tracker) EndAttempt(a *Attempt, mayHaveRun, wasAnswered bool) Update {
	if a.ended {
		return Update{}
	}
	a.ended = true
	e := a.entry
	e.attempts--
	if !mayHaveRun {
		e.removePossibleRun(a.location)
	}
	if wasAnswered && mayHaveRun {
		e.state = StateExecuted
	}
	if e.attempts > 0 {
		return Update{}
	}
	delete(t.open, e.fingerprint)
	if len(e.locations) == 0 {
		t.release(e)
		if e.writeAttempted { // also after a failed write, since the record may be stored nevertheless
			return Update{Kind: DeleteRecord}
		}
		return Update{}
	}
	if e.state == StateOpen {
		e.state = StateUnknown
	}
	if e.isUnstored {
		return Update{}
	}
	return Update{Kind: PutRecord, Record: e.record()}
}

// EndRequest tells the Tracker that an admitted request has its final answer. It reports whether any attempt with its
// fingerprint may have run.
func (t *Tracker) EndRequest(fp Fingerprint) (mayHaveRun bool) {
	e := t.entries[fp]
	if e == nil {
		return false
	}
	e.requests--
	mayHaveRun = len(e.locations) > 0
	t.release(e)
	return mayHaveRun
}

// MayHaveRun reports whether an attempt with the fingerprint may have run, or may run because a request with the
// fingerprint is in flight.
func (t *Tracker) MayHaveRun(now Instant, fp Fingerprint) bool {
	t.expire(now)
	e := t.entries[fp]
	return e != nil && (len(e.locations) > 0 || e.requests > 0)
}

// Stats describes the state of a Tracker.
type Stats struct {
	Entries      int // number of fingerprints, including those of requests in flight that have had no attempt
	Open         int // number of fingerprints with an attempt in flight
	RestoredOpen int // number of fingerprints whose attempt was in flight when an earlier run of the program ended
	// OldestOpen is the time of the oldest intent of the fingerprints in Open and RestoredOpen, 0 if there are none.
	OldestOpen Time
}

// Stats returns the current statistics. Its cost is proportional to the number of open entries.
func (t *Tracker) Stats() Stats {
	s := Stats{Entries: len(t.entries)}
	for _, e := range t.open {
		if e.isRestored && e.attempts == 0 {
			s.RestoredOpen++
		} else {
			s.Open++
		}
		if s.OldestOpen == 0 || e.intendedAt < s.OldestOpen {
			s.OldestOpen = e.intendedAt
		}
	}
	return s
}
