package store_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/store"
)

// schedules is the number of schedules of TestFaultSchedules. For a long run:
//
//	go test ./internal/store -run Schedules -store.schedules 100000
var schedules = flag.Int("store.schedules", 2000, "number of seeded fault schedules to run")

// Guards against losing a confirmed entry, or returning one that was never put, after a crash. The test crashes the
// store after each written byte and each other change of the disk, by a kill of the process and by a power loss, and
// opens the store again. The store has to hold all confirmed entries, may also hold entries whose calls returned an
// error, and has to stay usable.
func TestCrashAtEveryStep(t *testing.T) {
	const seed, calls = 12, 70
	fs := faultfs.New()
	_, _, stats := makeRandomCalls(fs, rand.New(rand.NewPCG(seed, 0)), calls)
	steps := fs.Steps
	names, _ := fs.List()
	hasHint := strings.Contains(strings.Join(names, " "), ".hint")
	if stats.Segments < 2 || steps < 3000 || stats.Compactions < 2 || stats.Dropped < 2 || !hasHint {
		t.Fatalf("the setup took %d steps, want at least 3000; statistics %+v, want at least 2 segments, "+
			"2 compactions and 2 dropped segments; files %v, want a hint file", steps, stats, names)
	}
	for cut := range steps {
		fs := faultfs.New()
		fs.CrashAfter = cut
		m, keys, _ := makeRandomCalls(fs, rand.New(rand.NewPCG(seed, 0)), calls)
		m.checkRecovery(t, fmt.Sprintf("killed after step %d", cut), fs.AfterKill(), keys)
		powerLost := fs.AfterPowerLoss(rand.New(rand.NewPCG(uint64(cut), 1)))
		m.checkRecovery(t, fmt.Sprintf("power lost after step %d", cut), powerLost, keys)
	}
}

// Guards against a damaged record that makes other records unreadable or is read as an entry that was never put. The
// test flips each bit of the last two records in turn. The other records have to stay, and the damaged one must not be
// found.
func TestFlippedBits(t *testing.T) {
	fs, s := openStore(t)
	keys := []string{"a", "b", "c", "d"}
	ends := []int64{} // offsets of the ends of the records
	for _, key := range keys {
		if err := s.Put(key, []byte("value of "+key), epoch.Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, s.Stats().Bytes)
	}
	s.Close()
	names, _ := fs.List()
	name := names[len(names)-1]
	for at := ends[1]; at < ends[3]; at++ {
		damagedKey := "c"
		if at >= ends[2] {
			damagedKey = "d"
		}
		for bit := range uint(8) {
			flipped := fs.AfterKill()
			flipped.FlipBit(name, at, bit)
			s, err := store.Open(flipped, testOptions())
			if err != nil {
				t.Fatal(err)
			}
			for _, key := range keys {
				got, ok, err := s.Get(key)
				wantOK, want := true, "value of "+key
				if key == damagedKey {
					wantOK, want = false, ""
				}
				if err != nil || ok != wantOK || string(got) != want {
					t.Fatalf("bit %d of byte %d flipped, in the record of key %q: "+
						"Get(%q) returns %q, found %v, error %v, want %q, found %v, no error",
						bit, at, damagedKey, key, got, ok, err, want, wantOK)
				}
			}
			if stats := s.Stats(); damagedKey == "c" && stats.Damaged != ends[2]-ends[1] {
				t.Fatalf("bit %d of byte %d flipped: %d bytes are reported as damaged, want %d",
					bit, at, stats.Damaged, ends[2]-ends[1])
			}
			s.Close()
		}
	}
}

// Guards against a value that is read as a record. The value contains the bytes of a record of another store, and the
// record around it is damaged on disk, so that recovery searches the value for the next record. It must not accept the
// record inside the value.
func TestRecordInsideValue(t *testing.T) {
	other := faultfs.New()
	s, err := store.Open(other, testOptions())
	if err != nil {
		t.Fatal(err)
	}
	const headerSize = 24
	if err := s.Put("inner", []byte("foreign"), epoch.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	names, _ := other.List()
	innerRecord := other.Content(names[0])[headerSize:]
	fs := faultfs.New()
	s, err = store.Open(fs, testOptions())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Put("a", innerRecord, epoch.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	fs.FlipBit(names[0], headerSize, 0) // changes the length of the record
	s, err = store.Open(fs, testOptions())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if value, ok, err := s.Get("inner"); ok || err != nil {
		t.Errorf("Get(\"inner\") returns %q, found %v, error %v, want no entry and no error", value, ok, err)
	}
}

// Guards against combinations of faults that lose an entry. Syncs, writes and removals fail and the disk fills up in
// random order, with kills and power losses in between, and the store is compared with the model. Every fourth schedule
// uses SyncEvery and only kills the process, because a power loss may lose entries that were confirmed before their
// sync.
func TestFaultSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		options := testOptions()
		if seed%4 == 3 {
			options.SyncEvery = time.Millisecond
		}
		rng := rand.New(rand.NewPCG(seed, 2))
		fs := faultfs.New()
		m := newModel()
		keys := numberedKeys(6)
		for run := range 3 {
			s, err := store.Open(fs, options)
			if err != nil {
				t.Fatalf("seed %d, run %d: opening the store: %v", seed, run, err)
			}
			if err := m.check(s, keys); err != nil {
				t.Fatalf("seed %d, run %d: the store differs from the model: %v", seed, run, err)
			}
			steps := rng.Int64N(4000)
			fs.Update(func(f *faultfs.FS) { f.CrashAfter = f.Steps + steps })
			for i := range 60 {
				injectFault(fs, rng)
				makeRandomCall(s, fs, rng, m, keys, fmt.Sprintf("%d/%d:", run, i))
			}
			s.Close()
			if rng.IntN(2) == 0 || options.SyncEvery > 0 {
				fs = fs.AfterKill()
			} else {
				fs = fs.AfterPowerLoss(rng)
			}
		}
	}
}

// injectFault does one of the following with a probability of a third: it makes some of the next syncs or writes fail,
// limits the space on the disk, or removes that limit.
func injectFault(fs *faultfs.FS, rng *rand.Rand) {
	switch rng.IntN(12) {
	case 0:
		n := rng.IntN(3)
		fs.Update(func(f *faultfs.FS) { f.FailSyncs = n })
	case 1:
		n := rng.IntN(3)
		fs.Update(func(f *faultfs.FS) { f.FailWrites = n })
	case 2:
		n := rng.Int64N(4000)
		fs.Update(func(f *faultfs.FS) { f.Capacity = n })
	case 3:
		fs.Update(func(f *faultfs.FS) { f.Capacity = -1 })
	}
}

// makeRandomCall makes a random call to the store. A value that it puts begins with prefix, which makes it unique.
func makeRandomCall(s *store.Store, fs *faultfs.FS, rng *rand.Rand, m *model, keys []string, prefix string) {
	key := keys[rng.IntN(len(keys))]
	switch rng.IntN(8) {
	case 0, 1:
		m.record(key, nil, s.Delete(key))
	case 2:
		n := rng.IntN(2) * rng.IntN(3)
		fs.Update(func(f *faultfs.FS) { f.FailRemoves = n })
		_ = s.Maintain() // must not change any entry, also if it fails
		if rng.IntN(2) == 0 {
			_ = s.Compact() // must not change any entry, also if it fails
		}
	default:
		value := append([]byte(prefix), bytes.Repeat([]byte{'v'}, rng.IntN(80))...)
		m.record(key, value, s.Put(key, value, epoch.Add(time.Hour)))
	}
}

// Guards against a full disk that makes a put or a compaction lose entries, or leaves the store unusable. Existing
// entries have to stay, and the store has to be usable once there is space again.
func TestDiskFull(t *testing.T) {
	fs, s := openStore(t)
	defer s.Close()
	m := newModel()
	keys := []string{"a", "b"}
	put := func(key, value string) error {
		err := s.Put(key, []byte(value), epoch.Add(time.Hour))
		m.record(key, []byte(value), err)
		return err
	}
	if err := put("a", "1"); err != nil {
		t.Fatal(err)
	}
	fs.Capacity = s.Stats().Bytes + 10
	if put("b", "2") == nil || s.Compact() == nil {
		t.Fatal("on a full disk, Put or Compact returns no error, want an error from both")
	}
	if err := m.check(s, keys); err != nil {
		t.Fatal(err)
	}
	fs.Capacity = -1
	if err := errors.Join(put("b", "3"), s.Compact(), put("a", "4")); err != nil {
		t.Fatalf("using the store after the disk has space again: error %v, want none", err)
	}
	if err := m.check(s, keys); err != nil {
		t.Fatal(err)
	}
}

// Guards against an entry that is confirmed and then lost by a power loss, because the sync after a failed sync
// succeeds although the bytes of the failed sync are not on the disk. A failed sync must not confirm an entry, and
// neither may a later sync of the same bytes.
func TestFailedSync(t *testing.T) {
	fs, s := openStore(t)
	hour := epoch.Add(time.Hour)
	if err := s.Put("a", []byte("1"), hour); err != nil {
		t.Fatal(err)
	}
	fs.FailSyncs = 1
	if s.Put("b", []byte("2"), hour) == nil {
		t.Fatal("Put(\"b\") returns no error although its sync failed, want an error")
	}
	if err := s.Put("c", []byte("3"), hour); err != nil {
		t.Fatal(err)
	}
	s.Close()
	recovered, err := store.Open(fs.AfterPowerLoss(rand.New(rand.NewPCG(1, 1))), testOptions())
	if err != nil {
		t.Fatal(err)
	}
	defer recovered.Close()
	for _, key := range []string{"a", "c"} {
		if _, ok, _ := recovered.Get(key); !ok {
			t.Errorf("Get(%q) finds no entry after the power loss, want the confirmed entry", key)
		}
	}
}
