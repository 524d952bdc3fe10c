package store_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/store"
	"hazelwing/internal/testutil"
)

// Guards against losing entries by using a hint file that is truncated, damaged or of another segment. With valid hint
// files Open has to restore the same entries as from the segments, and it must not use invalid hint files.
func TestHints(t *testing.T) {
	fs := faultfs.New()
	m, keys, _ := makeRandomCalls(fs, rand.New(rand.NewPCG(9, 0)), 200)
	s, err := store.Open(fs, testOptions())
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(s.Maintain(), s.Close()); err != nil {
		t.Fatal(err)
	}
	names, _ := fs.List()
	var hints, segments []string
	for _, name := range names {
		if base, isHint := strings.CutSuffix(name, ".hint"); isHint {
			hints = append(hints, name)
			segments = append(segments, base+".log")
		}
	}
	if len(hints) < 2 {
		t.Fatalf("the setup left the files %v, want at least two hint files", names)
	}
	damaged := fs.AfterKill()
	damaged.FlipBit(segments[0], 40, 0) // this damage is detected only if the segment itself is read
	s, err = store.Open(damaged, testOptions())
	if err != nil {
		t.Fatal(err)
	}
	if stats := s.Stats(); stats.Damaged != 0 {
		t.Fatalf("Open reports %d damaged bytes, want 0 since the hint files should be used", stats.Damaged)
	}
	s.Close()
	m.checkRecovery(t, "opened with hint files", fs.AfterKill(), keys)
	list, err := store.Check(fs)
	if err != nil || list[0].Hint != store.HintGood || list[0].Damaged != 0 || list[0].Puts == 0 {
		t.Errorf("Check returns %+v, error %v, want a first segment with puts, a good hint file and no damage",
			list, err)
	}
	list, err = store.Check(damaged)
	if err != nil || list[0].Hint != store.HintDamaged || list[0].Damaged == 0 {
		t.Errorf("Check returns %+v, error %v, want a damaged first segment with a damaged hint file", list, err)
	}
	size := len(fs.Content(hints[0]))
	for at := range size {
		flipped := fs.AfterKill()
		flipped.FlipBit(hints[0], int64(at), uint(at%8))
		m.checkRecovery(t, fmt.Sprint("hint file damaged at ", at), flipped, keys)
		cut := fs.AfterKill()
		cut.Truncate(hints[0], int64(at))
		m.checkRecovery(t, fmt.Sprint("hint file truncated at ", at), cut, keys)
	}
	for name, replaceHint := range map[string]func(f *faultfs.FS){
		"of another segment": func(f *faultfs.FS) { f.SetContent(hints[0], fs.Content(hints[1])) },
		"empty":              func(f *faultfs.FS) { f.SetContent(hints[0], nil) },
		"of no segment":      func(f *faultfs.FS) { f.SetContent("00000000000000ff.hint", fs.Content(hints[0])) },
	} {
		replaced := fs.AfterKill()
		replaceHint(replaced)
		m.checkRecovery(t, "hint file "+name, replaced, keys)
		if left, _ := replaced.List(); strings.Contains(strings.Join(left, " "), "ff.hint") {
			t.Errorf("hint file %s: after recovery the directory has the files %v, want no 00000000000000ff.hint",
				name, left)
		}
	}
}

// Guards against a store that grows without limit. The segments of short-lived entries have to be dropped without a
// compaction. If they also contain a long-lived entry, they have to be compacted.
func TestSpaceOfExpiredEntries(t *testing.T) {
	for name, hasLongLived := range map[string]bool{"short-lived only": false, "one long-lived": true} {
		fs, now := faultfs.New(), epoch
		s, err := store.Open(fs, store.Options{
			SegmentSize: 2 << 10,
			MaxBytes:    64 << 10,
			Manual:      true,
			Now:         func() time.Time { return now },
		})
		if err != nil {
			t.Fatal(err)
		}
		if hasLongLived {
			if err := s.Put("long", []byte("x"), now.Add(time.Hour)); err != nil {
				t.Fatal(err)
			}
		}
		maxBytes := int64(0)
		for i := range 4000 {
			now = now.Add(10 * time.Millisecond)
			if err := s.Put(fmt.Sprint("k", i), []byte("some value"), now.Add(time.Second)); err != nil {
				t.Fatal(err)
			}
			if i%20 == 0 {
				if err := s.Maintain(); err != nil {
					t.Fatal(err)
				}
			}
			maxBytes = max(maxBytes, s.Stats().Bytes)
		}
		stats := s.Stats()
		if maxBytes > 24<<10 || stats.Entries > 300 {
			t.Errorf("%s: maximum size is %d bytes, want at most %d; %d entries at the end, want at most 300",
				name, maxBytes, 24<<10, stats.Entries)
		}
		dropped, compacted := stats.Dropped > 0, stats.Compactions > 0
		if dropped == hasLongLived || compacted != hasLongLived {
			t.Errorf("%s: segments were dropped: %v, want %v; segments were compacted: %v, want %v",
				name, dropped, !hasLongLived, compacted, hasLongLived)
		}
		if _, ok, err := s.Get("long"); ok != hasLongLived || err != nil {
			t.Errorf("%s: Get(\"long\") finds an entry: %v, error %v, want %v and no error",
				name, ok, err, hasLongLived)
		}
		s.Close()
	}
}

// Without Options.Manual, the store drops segments with only expired entries in the background. More entries than fit
// into the store can then be put, one after another.
func TestMaintenanceInBackground(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, store.Options{SegmentSize: 1 << 10, MaxBytes: 8 << 10, MaintainEvery: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	puts := 0
	testutil.Until(t, "500 puts", func() bool {
		switch err := s.Put(fmt.Sprint(puts), make([]byte, 100), time.Now().Add(20*time.Millisecond)); {
		case errors.Is(err, store.ErrFull):
			time.Sleep(time.Millisecond)
		case err != nil:
			t.Fatal(err)
		default:
			puts++
		}
		return puts >= 500
	})
	if stats := s.Stats(); stats.Dropped == 0 {
		t.Errorf("statistics %+v, want at least one dropped segment", stats)
	}
}

// Guards against losing entries that were confirmed with SyncEvery and whose sync then fails. They have to be written
// again to a new segment, so that neither a kill nor a later power loss loses them.
func TestSyncEvery(t *testing.T) {
	fs := faultfs.New()
	options := testOptions()
	options.SyncEvery = 5 * time.Millisecond
	s, err := store.Open(fs, options)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	m, keys := newModel(), []string{"a", "b", "c"}
	for i := range 30 {
		if i == 20 {
			fs.Update(func(f *faultfs.FS) { f.FailSyncs = 1 })
		}
		key, value := keys[i%3], fmt.Append(nil, i)
		m.record(key, value, s.Put(key, value, epoch.Add(time.Hour)))
	}
	m.checkRecovery(t, "killed", fs.AfterKill(), keys)
	testutil.Until(t, "the sync of all entries after a failed sync", func() bool {
		stats := s.Stats()
		return stats.Unsynced == 0 && stats.Failures > 0
	})
	m.checkRecovery(t, "power lost after the sync", fs.AfterPowerLoss(rand.New(rand.NewPCG(1, 1))), keys)
	if stats := s.Stats(); stats.Lost != 0 {
		t.Errorf("%d entries are reported as lost, want 0", stats.Lost)
	}
}

// Deferred changes have to be written soon and before later changes of the same key, and their number has to be
// limited.
func TestDeferredChanges(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	hour := time.Now().Add(time.Hour)
	for i := range 200 {
		if !s.DeleteLater("k") {
			t.Fatalf("round %d: DeleteLater returns false, want true", i)
		}
		if err := s.Put("k", fmt.Append(nil, i), hour); err != nil {
			t.Fatal(err)
		}
		if _, ok, err := s.Get("k"); !ok || err != nil {
			t.Fatalf("round %d: Get(\"k\") finds an entry: %v, error %v, want true and no error, "+
				"since the delete is older than the put", i, ok, err)
		}
	}
	if !s.PutLater("later", nil, hour) {
		t.Fatal("PutLater returns false, want true")
	}
	testutil.Until(t, "the entry of the deferred put", func() bool {
		_, ok, _ := s.Get("later")
		return ok
	})
	if _, ok, err := s.Get("k"); !ok || err != nil {
		t.Errorf("after the deferred put: Get(\"k\") finds an entry: %v, error %v, want true and no error, "+
			"since all deletes are older than the last put", ok, err)
	}
	fs.Update(func(f *faultfs.FS) { f.SyncTime = 50 * time.Millisecond })
	const tooMany = 20_000
	accepted := 0
	for accepted < tooMany && s.DeleteLater("x") {
		accepted++
	}
	if accepted == tooMany {
		t.Errorf("all %d calls of DeleteLater return true, want false once too many changes are waiting", accepted)
	}
	s.Close()
	if s.DeleteLater("x") {
		t.Error("DeleteLater returns true after Close, want false")
	}
}

// Guards against an entry that is lost by a power loss after Close. A failed write seals a segment with an entry that
// has not been synced, and a sync of the next segment does not cover that entry. Close has to make it durable.
func TestCloseSyncsSealedSegment(t *testing.T) {
	fs := faultfs.New()
	options := testOptions()
	options.SyncEvery = time.Hour
	s, err := store.Open(fs, options)
	if err != nil {
		t.Fatal(err)
	}
	m, keys := newModel(), []string{"a", "b", "c"}
	for _, key := range keys {
		if key == "b" {
			fs.Update(func(f *faultfs.FS) { f.FailWrites = 1 })
		}
		m.record(key, []byte(key), s.Put(key, []byte(key), epoch.Add(time.Hour)))
	}
	if m.confirmed["a"] == nil || m.confirmed["b"] != nil || m.confirmed["c"] == nil {
		t.Fatalf("the setup confirmed the entries %q, want those of the keys a and c only", m.confirmed)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(20) {
		powerLost := fs.AfterPowerLoss(rand.New(rand.NewPCG(seed, 1)))
		m.checkRecovery(t, fmt.Sprint("power lost after Close, seed ", seed), powerLost, keys)
	}
}

// Guards against failed puts that fill the disk with segments without records. The disk has space for the headers of
// many segments but not for a record, and failed puts must not leave files behind.
func TestFailedAttemptsLeaveNoSegments(t *testing.T) {
	fs, s := openStore(t)
	defer s.Close()
	fs.Update(func(f *faultfs.FS) { f.Capacity = 1000 })
	for range 20 {
		if s.Put("k", make([]byte, 5000), epoch.Add(time.Hour)) == nil {
			t.Fatal("Put of 5000 bytes returns no error on a disk of 1000 bytes, want an error")
		}
	}
	if names, _ := fs.List(); len(names) > 1 || s.Stats().Segments > 1 {
		t.Errorf("the directory has the files %v, statistics %+v, want at most 1 file and 1 segment", names, s.Stats())
	}
}
