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

// A start from hint files finds the same as one from the segments. A hint file that is cut, spoilt, of another segment
// or of a longer one is not believed.
func TestHints(t *testing.T) {
	fs := faultfs.New()
	m, keys, _ := history(fs, rand.New(rand.NewPCG(9, 0)), 200)
	s, err := store.Open(fs, options())
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(s.Maintain(), s.Close()); err != nil {
		t.Fatal(err)
	}
	names, _ := fs.List()
	var hints, logs []string
	for _, name := range names {
		if strings.HasSuffix(name, ".hint") {
			hints = append(hints, name)
			logs = append(logs, strings.TrimSuffix(name, ".hint")+".log")
		}
	}
	if len(hints) < 2 {
		t.Fatalf("%v: want two segments with a hint file", names)
	}
	hinted := fs.Killed()
	hinted.Flip(logs[0], 40, 0) // noticed only by who reads the segment
	if s, err = store.Open(hinted, options()); err != nil || s.Stats().Damaged != 0 {
		t.Fatalf("%v: the hint files were not used", err)
	}
	s.Close()
	reopen(t, "from hint files", fs.Killed(), m, keys)
	if list, err := store.Check(fs); err != nil || list[0].Hint != "good" || list[0].Damaged != 0 || list[0].Puts == 0 {
		t.Errorf("%+v, %v", list, err)
	}
	if list, err := store.Check(hinted); err != nil || list[0].Hint != "spoilt" || list[0].Damaged == 0 {
		t.Errorf("%+v, %v", list, err)
	}
	size := len(fs.Content(hints[0]))
	for at := range size {
		bad := fs.Killed()
		bad.Flip(hints[0], int64(at), uint(at%8))
		reopen(t, fmt.Sprint("hint file spoilt at ", at), bad, m, keys)
		bad = fs.Killed()
		bad.Cut(hints[0], int64(at))
		reopen(t, fmt.Sprint("hint file cut at ", at), bad, m, keys)
	}
	for name, spoil := range map[string]func(f *faultfs.FS){
		"another segment's": func(f *faultfs.FS) { f.Put(hints[0], fs.Content(hints[1])) },
		"an empty one":      func(f *faultfs.FS) { f.Put(hints[0], nil) },
		"of none":           func(f *faultfs.FS) { f.Put("00000000000000ff.hint", fs.Content(hints[0])) },
	} {
		bad := fs.Killed()
		spoil(bad)
		reopen(t, name, bad, m, keys)
		if left, _ := bad.List(); strings.Contains(strings.Join(left, " "), "ff.hint") {
			t.Errorf("%s: it stays: %v", name, left)
		}
	}
}

// Entries that live shortly cost no more disk for ever: their segments are dropped whole, one long-lived entry among
// them makes for compactions, and a store that was full goes on by itself.
func TestChurn(t *testing.T) {
	for name, long := range map[string]bool{"short lives": false, "one that stays": true} {
		fs, now := faultfs.New(), epoch
		s, err := store.Open(fs, store.Options{SegmentSize: 2 << 10, MaxBytes: 64 << 10, Manual: true, Now: func() time.Time { return now }})
		if err != nil {
			t.Fatal(err)
		}
		if long {
			if err := s.Put("long", []byte("x"), now.Add(time.Hour)); err != nil {
				t.Fatal(err)
			}
		}
		most := int64(0)
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
			most = max(most, s.Stats().Bytes)
		}
		st := s.Stats()
		if most > 24<<10 || st.Entries > 300 || long != (st.Dropped == 0) || long != (st.Compactions > 0) {
			t.Errorf("%s: at most %d bytes, %+v", name, most, st)
		}
		if _, ok, err := s.Get("long"); ok != long || err != nil {
			t.Errorf("%s: %v, %v", name, ok, err)
		}
		s.Close()
	}
}

// Nobody calls Maintain: closed segments get their hint files and what expired its place back, by themselves.
func TestMaintainsItself(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, store.Options{SegmentSize: 1 << 10, MaxBytes: 8 << 10, MaintainEvery: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	full := 0
	testutil.Until(t, "500 puts", func() bool {
		switch err := s.Put(fmt.Sprint(full), make([]byte, 100), time.Now().Add(20*time.Millisecond)); {
		case errors.Is(err, store.ErrFull):
			time.Sleep(time.Millisecond)
		case err != nil:
			t.Fatal(err)
		default:
			full++
		}
		return full >= 500
	})
	if st := s.Stats(); st.Dropped == 0 {
		t.Errorf("%+v", st)
	}
}

// With SyncEvery a kill takes nothing, and a sync that failed is made good in a new segment: then a loss of power takes
// nothing either.
func TestSyncEvery(t *testing.T) {
	fs := faultfs.New()
	o := options()
	o.SyncEvery = 5 * time.Millisecond
	s, err := store.Open(fs, o)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	m, keys := newModel(), []string{"a", "b", "c"}
	for i := range 30 {
		if i == 20 {
			fs.Set(func(f *faultfs.FS) { f.FailSyncs = 1 })
		}
		key, value := keys[i%3], fmt.Append(nil, i)
		m.did(key, value, s.Put(key, value, epoch.Add(time.Hour)))
	}
	reopen(t, "killed", fs.Killed(), m, keys)
	testutil.Until(t, "the syncs", func() bool { st := s.Stats(); return st.Unsynced == 0 && st.Failures > 0 })
	reopen(t, "power lost after the sync", fs.PowerLost(rand.New(rand.NewPCG(1, 1))), m, keys)
	if st := s.Stats(); st.Lost != 0 {
		t.Errorf("%+v", st)
	}
}

// What is left for later is written soon, before what is asked for after it, and no more of it waits than is stated.
func TestLater(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	hour := time.Now().Add(time.Hour)
	for i := range 200 {
		if !s.DeleteLater("k") {
			t.Fatal("it was not taken")
		}
		if err := s.Put("k", fmt.Append(nil, i), hour); err != nil {
			t.Fatal(err)
		}
		if _, ok, err := s.Get("k"); !ok || err != nil {
			t.Fatalf("%d: an older delete took a newer put (%v)", i, err)
		}
	}
	if !s.PutLater("later", nil, hour) {
		t.Fatal("it was not taken")
	}
	testutil.Until(t, "what was left for later", func() bool { _, ok, _ := s.Get("later"); return ok })
	if _, ok, err := s.Get("k"); !ok || err != nil {
		t.Errorf("an older delete took a newer put, later (%v)", err)
	}
	fs.Set(func(f *faultfs.FS) { f.SyncTime = 50 * time.Millisecond })
	n := 0
	for ; n < 20_000 && s.DeleteLater("x"); n++ {
	}
	if n == 20_000 {
		t.Error("no bound on what waits")
	}
	s.Close()
	if s.DeleteLater("x") {
		t.Error("taken after Close")
	}
}

// A write that failed closes a segment in which something waits for its sync: the next segment's sync does not stand for
// that one, and Close leaves nothing unsynced.
func TestClosedUnsynced(t *testing.T) {
	fs := faultfs.New()
	o := options()
	o.SyncEvery = time.Hour
	s, err := store.Open(fs, o)
	if err != nil {
		t.Fatal(err)
	}
	m, keys := newModel(), []string{"a", "b", "c"}
	for _, key := range keys {
		if key == "b" {
			fs.Set(func(f *faultfs.FS) { f.FailWrites = 1 })
		}
		m.did(key, []byte(key), s.Put(key, []byte(key), epoch.Add(time.Hour)))
	}
	if m.confirmed["a"] == nil || m.confirmed["b"] != nil || m.confirmed["c"] == nil {
		t.Fatalf("%q", m.confirmed)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(20) {
		reopen(t, fmt.Sprint("power lost after Close, seed ", seed), fs.PowerLost(rand.New(rand.NewPCG(seed, 1))), m, keys)
	}
}

// A disk with room for the headers of many segments and for no record: a try leaves no file behind.
func TestNoFileForEachTry(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, options())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	fs.Set(func(f *faultfs.FS) { f.Space = 1000 })
	for range 20 {
		if s.Put("k", make([]byte, 5000), epoch.Add(time.Hour)) == nil {
			t.Fatal("a full disk takes more")
		}
	}
	if names, _ := fs.List(); len(names) > 1 || s.Stats().Segments > 1 {
		t.Errorf("%v, %+v", names, s.Stats())
	}
}
