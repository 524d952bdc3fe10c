package middleware

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/idempotency"
	"hazelwing/internal/store"
)

// This file contains the write-ahead log of the records. No goroutine holds Deduplicator.mu while it waits for a write.
// If an attempt is abandoned while its record is being written, the write continues. Once the write has ended, the
// record is deleted unless another attempt may have run.

const (
	// clockKey is the key of the clock's state in the store. All other keys are fingerprints, which are longer.
	clockKey = "clock"
	// clockRetention is how long the clock's state is stored. It is longer than any record is stored.
	clockRetention = 100 * 365 * 24 * time.Hour
	// retryWriteAfter is the time after a failed write during which no other write is tried, with RejectOnFailure. With
	// a higher value requests are rejected for longer after the disk works again; with a lower one more attempts wait
	// for a disk that fails.
	retryWriteAfter = time.Second
	// storeSlack is added to the expiry times of records in the store, so that a record expires by the tracker's clock
	// before the store drops it. A higher value costs disk space; with a lower one a difference between the clocks
	// could drop a record that is still needed.
	storeSlack = time.Minute
)

// writeFailure describes the current series of failed writes. Deduplicator.mu protects writeFailure.
type writeFailure struct {
	err     error     // error of the latest write; nil if it succeeded
	since   time.Time // time of the first failure of the series
	retryAt time.Time // time until which RejectOnFailure tries no further write
}

// openLog opens the store and restores its records.
func (d *Deduplicator) openLog(logger *slog.Logger) error {
	options := d.config.Store
	options.Logger = logger
	// The store's clock follows the records' timeline, whose current time is known only after restore has read the
	// records. Until then d.clock is zero and Now returns a time near 1970, at which no record has expired.
	options.Now = func() time.Time { return wallTime(d.now().Time) }
	if d.config.Durability == DurabilityAlways {
		options.SyncEvery = 0
	}
	var err error
	if d.store, err = store.Open(d.config.FS, options); err != nil {
		return err
	}
	if err := d.restore(); err != nil {
		return errors.Join(err, d.store.Close())
	}
	return nil
}

// restore restores the clock and the records of earlier runs of the program.
func (d *Deduplicator) restore() error {
	records, stored, err := d.readLog()
	if err != nil {
		return fmt.Errorf("reading the stored idempotency records: %w", err)
	}
	var latest idempotency.Instant
	for _, record := range records {
		latest = latest.Max(record.Latest())
	}
	d.clock = idempotency.ResumeClock(stored, latest, d.config.Clocks())
	if d.clock.ClockState != stored {
		expires := wallTime(d.clock.Time).Add(clockRetention)
		if err := d.store.Put(clockKey, d.clock.Append(nil), expires); err != nil {
			return fmt.Errorf("storing the clock state of the idempotency records: %w", err)
		}
	}
	now := d.now()
	for fp, record := range records {
		d.tracker.Restore(now, fp, record)
	}
	if s := d.tracker.Stats(); s.Entries > 0 {
		d.logger.Info("idempotency records restored", "remembered", s.Entries, "left_open", s.RestoredOpen)
	}
	return nil
}

// readLog reads the records and the clock's state. It skips records that it cannot decode, and logs their number. If it
// cannot decode the clock's state, it logs the error and returns the zero state. ResumeClock then continues at the
// later of wall time and the latest time of an intent in any record, as in a boot after those of all records.
func (d *Deduplicator) readLog() (map[idempotency.Fingerprint]idempotency.Record, idempotency.ClockState, error) {
	records := map[idempotency.Fingerprint]idempotency.Record{}
	var clock idempotency.ClockState
	undecodable := 0
	err := d.store.Each(func(key string, value []byte, _ time.Time) bool {
		if key == clockKey {
			var err error
			if clock, err = idempotency.ParseClockState(value); err != nil {
				d.logger.Error("cannot decode the stored clock state; resuming from wall time and the stored records",
					"error", err)
			}
			return true
		}
		if fp, record, ok := parseEntry(key, value); ok {
			records[fp] = record
		} else {
			undecodable++
		}
		return true
	})
	if err == nil && undecodable > 0 {
		d.logger.Error("skipped stored idempotency records that cannot be decoded", "count", undecodable)
	}
	return records, clock, err
}

// parseEntry decodes an entry of the store as a record. ok is false if the entry is not a record.
func parseEntry(key string, value []byte) (fp idempotency.Fingerprint, record idempotency.Record, ok bool) {
	if len(key) != len(fp) {
		return fp, idempotency.Record{}, false
	}
	copy(fp[:], key)
	record, err := idempotency.ParseRecord(value)
	return fp, record, err == nil
}

// wallTime converts a point on the records' timeline to a time.Time, as the store uses it.
func wallTime(t idempotency.Time) time.Time { return time.UnixMilli(int64(t)) }

// storeExpiry returns when a record that expires at t expires in the store.
func storeExpiry(t idempotency.Time) time.Time { return wallTime(t).Add(storeSlack) }

// beginAttempt registers the intent of an attempt, and starts to write its record if necessary. The returned channel is
// closed when the write that the attempt has to wait for has ended. It is nil if the attempt does not have to wait. If
// the returned attempt is nil, the error is the reason why the attempt must not be sent.
//
// Guard: prevents a request from running twice after its first attempt was sent without being remembered, because the
// table was full. This holds because, with either policy, an attempt is sent only once the tracker has its entry.
// Config.OnFailure decides whether an entry that is in memory and not durable is enough.
func (d *Deduplicator) beginAttempt(
	fp idempotency.Fingerprint, at balancer.Location,
) (*idempotency.Attempt, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decision, attempt, record := d.tracker.BeginAttempt(d.now(), fp, at)
	switch decision {
	case idempotency.Forbid:
		return nil, nil, errForbidden
	case idempotency.TableFull:
		d.tableFull()
		d.counters.rejected++
		return nil, nil, errTableFull
	case idempotency.SendUnstored:
		d.tableFull()
		return attempt, nil, nil
	case idempotency.WriteRecord:
		d.tableHasRoom()
		if d.rejectsWrites() {
			d.counters.rejected++
			d.tracker.RecordWritten(attempt, false)
			d.tracker.EndAttempt(attempt, false, false)
			return nil, nil, fmt.Errorf("%w: %w", errNotDurable, d.failure.err)
		}
		return attempt, d.startWrite(fp, attempt, record), nil
	case idempotency.AwaitWrite:
		return attempt, d.writes[fp], nil
	}
	return attempt, nil, nil
}

// startWrite starts to write the record of an attempt. It returns a channel that is closed when the write has ended, or
// nil if there is no store. The caller holds the lock.
func (d *Deduplicator) startWrite(
	fp idempotency.Fingerprint, attempt *idempotency.Attempt, record idempotency.Record,
) <-chan struct{} {
	if d.store == nil {
		d.tracker.RecordWritten(attempt, true)
		return nil
	}
	written := make(chan struct{})
	d.writes[fp] = written
	d.writers.Go(func() {
		start := time.Now()
		err := d.store.Put(string(fp[:]), record.Append(nil), storeExpiry(record.ExpiresAt))
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waits.add(time.Since(start))
		if err != nil {
			d.writeFailed(err)
		} else {
			d.writeSucceeded()
		}
		d.tracker.RecordWritten(attempt, err == nil)
		delete(d.writes, fp)
		close(written)
	})
	return written
}

// checkDurable decides whether an attempt whose write has ended may be sent. With RejectOnFailure it returns an error
// if the attempt's record is not durable; with ContinueOnFailure it always returns nil.
func (d *Deduplicator) checkDurable(attempt *idempotency.Attempt) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tracker.IsDurable(attempt) {
		return nil
	}
	if d.config.OnFailure == ContinueOnFailure {
		d.counters.notDurable++
		return nil
	}
	d.counters.rejected++
	return errNotDurable
}

// abandonAttempt ends an attempt that was not sent. If the record is being written, it first waits, in another
// goroutine, until the write has ended: otherwise the store could execute the delete of the record before the put, and
// the record would stay.
func (d *Deduplicator) abandonAttempt(
	fp idempotency.Fingerprint, attempt *idempotency.Attempt, written <-chan struct{},
) {
	if written == nil {
		d.endAttempt(fp, attempt, false, false)
		return
	}
	d.writers.Go(func() {
		<-written
		d.endAttempt(fp, attempt, false, false)
	})
}

// endAttempt ends an attempt in the tracker and queues the resulting update of the stored record. It holds the lock
// during both, so that the next intent with the same fingerprint is passed to the store after the update.
func (d *Deduplicator) endAttempt(
	fp idempotency.Fingerprint, attempt *idempotency.Attempt, mayHaveRun, wasAnswered bool,
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	update := d.tracker.EndAttempt(attempt, mayHaveRun, wasAnswered)
	if d.store == nil {
		return
	}
	ok := true
	switch update.Kind {
	case idempotency.PutRecord:
		ok = d.store.PutLater(string(fp[:]), update.Record.Append(nil), storeExpiry(update.Record.ExpiresAt))
	case idempotency.DeleteRecord:
		ok = d.store.DeleteLater(string(fp[:]))
	}
	if !ok { // the stored record stays as it was; after a restart more duplicates may fail than necessary
		d.counters.unrecordedOutcomes++
	}
}

// rejectsWrites reports whether attempts are currently rejected without trying a write. With RejectOnFailure they are,
// for retryWriteAfter after writeFailed. This prevents each attempt from waiting for a disk that fails. The caller
// holds the lock.
func (d *Deduplicator) rejectsWrites() bool {
	return d.failure.err != nil && d.config.OnFailure == RejectOnFailure && time.Now().Before(d.failure.retryAt)
}

// tableFull records that there are Config.MaxEntries entries, and logs the first attempt of a series that finds so. The
// caller holds the lock.
func (d *Deduplicator) tableFull() {
	if d.tableFullSince.IsZero() {
		d.tableFullSince = time.Now()
		d.logger.Error("no room to store further idempotency records",
			"max_entries", d.config.MaxEntries, "on_failure", string(d.config.OnFailure))
	}
}

// tableHasRoom records that there are fewer than Config.MaxEntries entries, and logs it if there were not. The caller
// holds the lock.
func (d *Deduplicator) tableHasRoom() {
	if d.tableFullSince.IsZero() {
		return
	}
	d.logger.Info("room to store idempotency records again",
		"full_for", time.Since(d.tableFullSince).Round(time.Millisecond))
	d.tableFullSince = time.Time{}
}

// writeFailed records that a write failed, and logs the first failure of a series. The caller holds the lock.
func (d *Deduplicator) writeFailed(err error) {
	if d.failure.err == nil {
		d.failure.since = time.Now()
		d.logger.Error("idempotency records cannot be made durable",
			"on_failure", string(d.config.OnFailure), "error", err)
	}
	d.failure.err = err
	d.failure.retryAt = time.Now().Add(retryWriteAfter)
}

// writeSucceeded records that a write succeeded, and logs the end of a series of failures. The caller holds the lock.
func (d *Deduplicator) writeSucceeded() {
	if d.failure.err == nil {
		return
	}
	d.logger.Info("idempotency records are durable again",
		"failed_for", time.Since(d.failure.since).Round(time.Millisecond))
	d.failure.err = nil
}
