package store_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/store"
)

// schedules of faults; the long form is for a soak: go test ./internal/store -run Schedules -store.schedules 100000
var schedules = flag.Int("store.schedules", 2000, "seeded fault schedules to play")

var epoch = time.UnixMilli(1_800_000_000_000)

func options() store.Options {
	return store.Options{SegmentSize: 600, Manual: true, Now: func() time.Time { return epoch }}
}

// model is what a store may hold: for each key the value that was confirmed, and those in doubt, whose call returned an
// error. nil is absence.
type model struct {
	confirmed map[string][]byte
	doubt     map[string][][]byte
}

func newModel() *model { return &model{map[string][]byte{}, map[string][][]byte{}} }

// did notes a call's end.
func (m *model) did(key string, value []byte, err error) {
	if err != nil {
		m.doubt[key] = append(m.doubt[key], value)
		return
	}
	m.confirmed[key] = value
	// What was in doubt lies before it in the log: it cannot count any more.
	delete(m.doubt, key)
}

// check compares a store with the model; keys are all that were ever used.
func (m *model) check(s *store.Store, keys []string) error {
	seen := map[string][]byte{}
	if err := s.Each(func(key string, value []byte, _ time.Time) bool {
		seen[key] = append([]byte{}, value...)
		return true
	}); err != nil {
		return err
	}
	for _, key := range keys {
		got, ok, err := s.Get(key)
		if err != nil {
			return err
		}
		if !ok {
			got = nil
		}
		if other, listed := seen[key]; listed != ok || !bytes.Equal(other, got) {
			return fmt.Errorf("%s: Get gives %q, Each %q", key, got, other)
		}
		delete(seen, key)
		may := append(slices.Clone(m.doubt[key]), m.confirmed[key])
		if !slices.ContainsFunc(may, func(v []byte) bool { return (v == nil) == !ok && bytes.Equal(v, got) }) {
			return fmt.Errorf("%s: holds %q, it was confirmed as %q, in doubt are %q", key, got, m.confirmed[key], m.doubt[key])
		}
	}
	for key := range seen {
		return fmt.Errorf("%s was never put", key)
	}
	return nil
}

// history plays calls that roll segments, replace, delete and compact, until the file system stops.
func history(fs *faultfs.FS, rng *rand.Rand, calls int) (m *model, keys []string, stats store.Stats) {
	m = newModel()
	for i := range 9 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	s, err := store.Open(fs, options())
	if err != nil {
		return m, keys, stats
	}
	defer s.Close()
	for i := range calls {
		key := keys[rng.IntN(len(keys))]
		switch x := rng.IntN(20); {
		case x < 14:
			value := append(fmt.Appendf(nil, "%d:", i), bytes.Repeat([]byte{byte('a' + i%26)}, rng.IntN(60))...)
			m.did(key, value, s.Put(key, value, epoch.Add(time.Hour)))
		case x < 16:
			m.did(key, nil, s.Delete(key))
		case x < 19:
			s.Maintain()
		default:
			s.Compact() // a failed one changes nothing that counts
		}
		stats = s.Stats()
	}
	return m, keys, stats
}

// reopen opens what is left, checks it, and goes on with it.
func reopen(t *testing.T, what string, fs *faultfs.FS, m *model, keys []string) {
	t.Helper()
	s, err := store.Open(fs, options())
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	defer s.Close()
	if err := m.check(s, keys); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	if err := errors.Join(s.Put("later", []byte("x"), epoch.Add(time.Hour)), s.Compact()); err != nil {
		t.Fatalf("%s: it does not go on: %v", what, err)
	}
	after := &model{map[string][]byte{"later": []byte("x")}, m.doubt}
	for k, v := range m.confirmed {
		after.confirmed[k] = v
	}
	if err := after.check(s, append(slices.Clone(keys), "later")); err != nil {
		t.Fatalf("%s, after it went on: %v", what, err)
	}
}

// The history is cut at every byte that it writes and between any two steps, and restarted each time: as after a kill,
// and as after a loss of power with what was not synced lost in part.
func TestCutAtEveryByte(t *testing.T) {
	const seed, calls = 12, 70
	fs := faultfs.New()
	_, _, stats := history(fs, rand.New(rand.NewPCG(seed, 0)), calls)
	steps := fs.Steps
	names, _ := fs.List()
	if stats.Segments < 2 || steps < 3000 || stats.Compactions < 2 || stats.Dropped < 2 || !strings.Contains(strings.Join(names, " "), ".hint") {
		t.Fatalf("%d steps, %+v, %v: the history does not roll, compact, drop and write hint files", steps, stats, names)
	}
	for cut := range steps {
		fs := faultfs.New()
		fs.CrashAfter = cut
		m, keys, _ := history(fs, rand.New(rand.NewPCG(seed, 0)), calls)
		reopen(t, fmt.Sprintf("killed after step %d", cut), fs.Killed(), m, keys)
		reopen(t, fmt.Sprintf("power lost after step %d", cut), fs.PowerLost(rand.New(rand.NewPCG(uint64(cut), 1))), m, keys)
	}
}

// Each bit of the last two records is flipped: those around them stay, and nothing comes up that nobody put.
func TestFlippedBits(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, options())
	if err != nil {
		t.Fatal(err)
	}
	keys := []string{"a", "b", "c", "d"}
	sizes := []int64{}
	for _, key := range keys {
		if err := s.Put(key, []byte("value of "+key), epoch.Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, s.Stats().Bytes)
	}
	s.Close()
	names, _ := fs.List()
	name := names[len(names)-1]
	for at := sizes[1]; at < sizes[3]; at++ {
		for bit := range uint(8) {
			after := fs.Killed()
			after.Flip(name, at, bit)
			s, err := store.Open(after, options())
			if err != nil {
				t.Fatal(err)
			}
			hit := "c"
			if at >= sizes[2] {
				hit = "d"
			}
			for _, key := range keys {
				got, ok, err := s.Get(key)
				if err != nil || key != hit && (!ok || string(got) != "value of "+key) || key == hit && ok {
					t.Fatalf("bit %d of byte %d: %s holds %q, %v, %v", bit, at, key, got, ok, err)
				}
			}
			if st := s.Stats(); hit == "c" && st.Damaged != sizes[2]-sizes[1] {
				t.Fatalf("bit %d of byte %d: %d bytes are reported as damaged", bit, at, st.Damaged)
			}
			s.Close()
		}
	}
}

// A value may hold what was a record elsewhere: when the disk spoils the record around it, it must not become one.
func TestRecordInAValue(t *testing.T) {
	other := faultfs.New()
	s, err := store.Open(other, options())
	if err != nil {
		t.Fatal(err)
	}
	before := int64(24) // a segment's header
	if err := s.Put("ghost", []byte("boo"), epoch.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	names, _ := other.List()
	ghost := other.Content(names[0])[before:]
	fs := faultfs.New()
	if s, err = store.Open(fs, options()); err != nil {
		t.Fatal(err)
	}
	if err := s.Put("a", ghost, epoch.Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	fs.Flip(names[0], before, 0) // the record's length
	if s, err = store.Open(fs, options()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if value, ok, err := s.Get("ghost"); ok || err != nil {
		t.Errorf("%q, %v, %v", value, ok, err)
	}
}

// Seeded schedules of faults of all kinds, against the model. Every fourth confirms before it syncs, and is killed only:
// a loss of power may take what was confirmed so.
func TestFaultSchedules(t *testing.T) {
	for seed := range uint64(*schedules) {
		o := options()
		if seed%4 == 3 {
			o.SyncEvery = time.Millisecond
		}
		rng := rand.New(rand.NewPCG(seed, 2))
		fs := faultfs.New()
		m := newModel()
		var keys []string
		for i := range 6 {
			keys = append(keys, fmt.Sprintf("key-%d", i))
		}
		for life := range 3 {
			s, err := store.Open(fs, o)
			if err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			if err := m.check(s, keys); err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			steps := rng.Int64N(4000)
			fs.Set(func(f *faultfs.FS) { f.CrashAfter = f.Steps + steps })
			for i := range 60 {
				switch rng.IntN(12) {
				case 0:
					n := rng.IntN(3)
					fs.Set(func(f *faultfs.FS) { f.FailSyncs = n })
				case 1:
					n := rng.IntN(3)
					fs.Set(func(f *faultfs.FS) { f.FailWrites = n })
				case 2:
					n := rng.Int64N(4000)
					fs.Set(func(f *faultfs.FS) { f.Space = n })
				case 3:
					fs.Set(func(f *faultfs.FS) { f.Space = -1 })
				}
				key := keys[rng.IntN(len(keys))]
				switch rng.IntN(8) {
				case 0, 1:
					m.did(key, nil, s.Delete(key))
				case 2:
					n := rng.IntN(2) * rng.IntN(3)
					fs.Set(func(f *faultfs.FS) { f.FailRemoves = n })
					if s.Maintain(); rng.IntN(2) == 0 {
						s.Compact()
					}
				default:
					value := append(fmt.Appendf(nil, "%d/%d:", life, i), bytes.Repeat([]byte{'v'}, rng.IntN(80))...)
					m.did(key, value, s.Put(key, value, epoch.Add(time.Hour)))
				}
			}
			s.Close()
			if rng.IntN(2) == 0 || o.SyncEvery > 0 {
				fs = fs.Killed()
			} else {
				fs = fs.PowerLost(rng)
			}
		}
	}
}

// The disk is full, in the log and in a compaction; what is there stays, and once there is room the store goes on by
// itself.
func TestDiskFull(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, options())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	m := newModel()
	keys := []string{"a", "b"}
	put := func(key, value string) error {
		err := s.Put(key, []byte(value), epoch.Add(time.Hour))
		m.did(key, []byte(value), err)
		return err
	}
	if err := put("a", "1"); err != nil {
		t.Fatal(err)
	}
	fs.Space = s.Stats().Bytes + 10
	if put("b", "2") == nil || s.Compact() == nil {
		t.Fatal("a full disk takes more")
	}
	if err := m.check(s, keys); err != nil {
		t.Fatal(err)
	}
	fs.Space = -1
	if err := errors.Join(put("b", "3"), s.Compact(), put("a", "4")); err != nil {
		t.Fatalf("with room again: %v", err)
	}
	if err := m.check(s, keys); err != nil {
		t.Fatal(err)
	}
}

// A sync that failed confirms nothing, and neither does the next one for the same bytes.
func TestFailedSync(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, options())
	if err != nil {
		t.Fatal(err)
	}
	hour := epoch.Add(time.Hour)
	if err := s.Put("a", []byte("1"), hour); err != nil {
		t.Fatal(err)
	}
	fs.FailSyncs = 1
	if s.Put("b", []byte("2"), hour) == nil {
		t.Fatal("a failed sync confirms")
	}
	if err := s.Put("c", []byte("3"), hour); err != nil {
		t.Fatal(err)
	}
	s.Close()
	again, err := store.Open(fs.PowerLost(rand.New(rand.NewPCG(1, 1))), options())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	for _, key := range []string{"a", "c"} {
		if _, ok, _ := again.Get(key); !ok {
			t.Errorf("%s was confirmed, and is lost", key)
		}
	}
}
