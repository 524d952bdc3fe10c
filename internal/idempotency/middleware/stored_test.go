package middleware

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/idempotency"
	"hazelwing/internal/store"
	"hazelwing/internal/testutil"
)

// storedDir is the directory of a write-ahead log as the program of commit 593ba64 left it after a kill. Its README
// describes the content.
const storedDir = "testdata/version-593ba64"

// storedMachine returns the machine on which storedDir was written, at the time of the last intent.
func storedMachine() *machine {
	return &machine{reading: idempotency.Reading{
		BootID: "boot-of-593ba64",
		Uptime: time.Hour + 2*time.Second,
		Wall:   time.Date(2026, 12, 2, 6, 0, 2, 0, time.UTC),
	}}
}

// copyStoredLog copies storedDir to a temporary directory and returns that directory.
func copyStoredLog(t *testing.T) store.FS {
	t.Helper()
	path := t.TempDir()
	segments, err := filepath.Glob(filepath.Join(storedDir, "*.log"))
	if err != nil || len(segments) == 0 {
		t.Fatalf("found %d segments in %s, error %v, want at least 1 and no error", len(segments), storedDir, err)
	}
	for _, name := range segments {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(path, filepath.Base(name)), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	fs, err := store.Dir(path)
	if err != nil {
		t.Fatal(err)
	}
	return fs
}

// storedRecords returns the records in storedDir without their locations. The zone of the keyed record is unspecified,
// because it was chosen at random.
func storedRecords() []RecordInfo {
	start := time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)
	record := func(class, effect, key, state string, after time.Duration) RecordInfo {
		return RecordInfo{
			Fingerprint: idempotency.NewFingerprint(class, "", key).String(),
			Class:       class,
			Effect:      effect,
			State:       state,
			IntendedAt:  start.Add(after),
			ExpiresAt:   start.Add(after + 10*time.Minute),
		}
	}
	return []RecordInfo{
		record("book", "unsafe", "answered", "ran", 0),
		record("book", "unsafe", "reset", "unknown", 500*time.Millisecond),
		record("book", "unsafe", "open", "open", time.Second),
		record("pay", "keyed", "open", "open", 2*time.Second),
	}
}

// wantRecords compares the records of a log with want, which has no locations. It checks that each record has one
// location, and returns the zone of the last record.
func wantRecords(t *testing.T, fs store.FS, want []RecordInfo) (zone string) {
	t.Helper()
	got, err := Inspect(fs)
	if err != nil || len(got) != len(want) {
		t.Fatalf("Inspect returns %+v, error %v, want %d records and no error", got, err, len(want))
	}
	for i, r := range got {
		if zone = r.Locations; len(zone) != 3 || zone[1:] != "/0" {
			t.Errorf("record %s: locations %q, want one of the form ZONE/0", r.Fingerprint, zone)
		}
		r.Locations, r.IntendedAt, r.ExpiresAt = "", r.IntendedAt.UTC(), r.ExpiresAt.UTC()
		if r != want[i] {
			t.Errorf("Inspect returns record %d as\n%+v, want\n%+v", i, r, want[i])
		}
	}
	return zone[:1]
}

// wantDuplicatesFail checks that requests of class "book" with the given keys fail and that no attempt is sent.
func wantDuplicatesFail(t *testing.T, p *program, keys []string) {
	t.Helper()
	for _, key := range keys {
		got := p.wantResult(p.send("book", key), engine.Failed, "a duplicate with key "+key)
		if !errors.Is(got.Err, ErrMayHaveRun) {
			t.Errorf("a duplicate with key %q fails with the error %v, want %v", key, got.Err, ErrMayHaveRun)
		}
	}
	if len(p.transport.sent) > 0 {
		t.Errorf("duplicates of class \"book\" were sent in %d attempts, want none", len(p.transport.sent))
	}
}

// Guards against executing an operation twice after an upgrade from the version of commit 593ba64, whose records are
// open, unknown or answered. A request that is not idempotent must not be sent again, and a keyed request must stay in
// its zone while its window lasts. After a further restart the new version has to restore its own records as well, and
// all records have to expire after the retention.
func TestStoredRecordsOfPreviousVersion(t *testing.T) {
	fs, m := copyStoredLog(t), storedMachine()
	segments, err := store.Check(fs)
	if err != nil || len(segments) != 1 {
		t.Fatalf("Check returns %+v, error %v, want 1 segment and no error", segments, err)
	}
	if s := segments[0]; s.Damaged != 0 || s.Tail != 0 || s.Fault != "" {
		t.Fatalf("Check reports the segment %+v, want no damaged bytes, no tail and no fault", s)
	}
	zone := wantRecords(t, fs, storedRecords())

	m.advance(time.Second, -time.Minute) // wall time is set back, in the same boot of the machine
	p := startProgram(t, m, fs, nil)
	s := p.deduplicator.Status()
	if s.Remembered != 4 || s.RestoredOpen != 2 || s.Open != 0 || s.OldestOpenSeconds != 2 {
		t.Errorf("after the first start: status %+v, want 4 records, 2 of them open, the oldest for 2 s", s)
	}
	keys := []string{"answered", "reset", "open"}
	wantDuplicatesFail(t, p, keys)
	keyed := p.send("pay", "open")
	for range maxAttempts { // several, since a wrong implementation could choose the right zone at random
		a := p.nextAttempt()
		if a.endpoint != zone {
			t.Errorf("attempt was sent to zone %s, want zone %s, in which the first attempt may have run",
				a.endpoint, zone)
		}
		a.outcome <- engine.Outcome{Result: balancer.Overloaded}
	}
	p.wantResult(keyed, engine.Failed, "a keyed request that is rejected although an earlier attempt may have run")

	done := p.send("book", "new")
	p.nextAttempt().answer()
	p.wantResult(done, engine.Served, "a request with a new key")
	p.stop()
	want := storedRecords()
	want[3].State = "unknown" // since the further attempts have ended
	last := want[0]
	last.Fingerprint = idempotency.NewFingerprint("book", "", "new").String()
	last.IntendedAt, last.ExpiresAt = last.IntendedAt.Add(3*time.Second), last.ExpiresAt.Add(3*time.Second)
	wantRecords(t, fs, append(slices.Clone(want), last))

	m.advance(5*time.Second, time.Hour) // six seconds after the first intent of "pay": its window has passed
	p = startProgram(t, m, fs, nil)
	if s := p.deduplicator.Status(); s.Remembered != 5 || s.RestoredOpen != 1 {
		t.Errorf("after the second start: status %+v, want 5 records, 1 of them open", s)
	}
	keys = append(keys, "new")
	wantDuplicatesFail(t, p, keys)
	p.wantResult(p.send("pay", "open"), engine.Failed, "a keyed request after its window")
	if len(p.transport.sent) > 0 {
		t.Errorf("a keyed request was sent in %d attempts after its window, want none", len(p.transport.sent))
	}
	p.stop()

	m.advance(10*time.Minute, 0)
	p = startProgram(t, m, fs, nil)
	for _, key := range keys {
		done := p.send("book", key)
		p.nextAttempt().answer()
		p.wantResult(done, engine.Served, "a request after the retention, with key "+key)
	}
}

// Guards against executing a keyed request twice when the machine is restarted during an upgrade from the version of
// commit 593ba64. The time since the first attempt is unknown then, and the window may have passed, so the request must
// not be sent again.
func TestStoredRecordsOfPreviousVersionAfterReboot(t *testing.T) {
	fs, m := copyStoredLog(t), storedMachine()
	m.reading.BootID, m.reading.Uptime = "another", time.Minute
	p := startProgram(t, m, fs, nil)
	if s := p.deduplicator.Status(); s.Remembered != 4 || s.RestoredOpen != 2 {
		t.Errorf("after the start: status %+v, want 4 records, 2 of them open", s)
	}
	p.wantResult(p.send("pay", "open"), engine.Failed, "a keyed request")
	p.wantResult(p.send("book", "open"), engine.Failed, "a request that is not idempotent")
	if len(p.transport.sent) > 0 {
		t.Errorf("duplicates were sent in %d attempts after the restart, want none", len(p.transport.sent))
	}
	testutil.Until(t, "the end of all requests", func() bool { return p.deduplicator.Status().Open == 0 })
}
