package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/store"
	"hazelwing/internal/testutil"
)

// openDir opens a store in a directory of the operating system. The store is closed at the end of the test if the test
// has not closed it before.
func openDir(t testing.TB, path string, options store.Options) *store.Store {
	t.Helper()
	fs, err := store.Dir(path)
	if err != nil {
		t.Fatal(err)
	}
	s, err := store.Open(fs, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// Checks on a real disk that entries are found after a restart, that expired ones are not, and that a second process
// cannot open the store.
func TestRestart(t *testing.T) {
	path := t.TempDir()
	now := epoch
	options := store.Options{SegmentSize: 4096, Manual: true, Now: func() time.Time { return now }}
	s := openDir(t, path, options)
	for i := range 300 {
		if err := s.Put(fmt.Sprint("k", i%100), fmt.Append(nil, i), now.Add(time.Duration(i)*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Delete("k7"); err != nil {
		t.Fatal(err)
	}
	fs, _ := store.Dir(path)
	if _, err := store.Open(fs, options); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opening the store a second time returns the error %v, want %v", err, store.ErrLocked)
	}
	s.Close()
	s = openDir(t, path, options)
	check := func(when string, lastExpired int) { // the last put of key k<i> was number i+200, which is also its value
		t.Helper()
		for i := range 100 {
			value, ok, err := s.Get(fmt.Sprint("k", i))
			wantOK, want := false, ""
			if i != 7 && i+200 > lastExpired {
				wantOK, want = true, fmt.Sprint(i+200)
			}
			if err != nil || ok != wantOK || string(value) != want {
				t.Errorf("%s: Get(\"k%d\") returns %q, found %v, error %v, want %q, found %v, no error",
					when, i, value, ok, err, want, wantOK)
			}
		}
	}
	check("after a restart", 0)
	before := s.Stats()
	now = now.Add(250 * time.Second)
	check("after 250 s", 250)
	if err := s.Compact(); err != nil {
		t.Fatal(err)
	}
	check("after a compaction", 250)
	if after := s.Stats(); after.Bytes >= before.Bytes/4 || after.Entries != 49 {
		t.Errorf("the compaction changed %+v to %+v, want 49 entries and less than a quarter of the bytes",
			before, after)
	}
	s.Close()
	s = openDir(t, path, options)
	check("after a compaction and a restart", 250)
	now = epoch // when the clock is set back, the remaining entries must only live longer
	if _, ok, _ := s.Get("k60"); !ok {
		t.Error("Get(\"k60\") finds no entry after the clock was set back, want the entry")
	}
}

// Writers, readers and compactions run concurrently. Concurrent writers have to share syncs.
func TestConcurrent(t *testing.T) {
	fs := faultfs.New()
	fs.SyncTime = time.Millisecond
	s, err := store.Open(fs, store.Options{SegmentSize: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	const writers, each = 32, 40
	var all sync.WaitGroup
	stop := make(chan struct{})
	var compactor sync.WaitGroup
	compactor.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if err := s.Compact(); err != nil {
				t.Error(err)
			}
		}
	})
	for w := range writers {
		all.Go(func() {
			for i := range each {
				key, value := fmt.Sprint("w", w, "-", i%5), fmt.Sprint(i)
				if err := s.Put(key, []byte(value), time.Now().Add(time.Hour)); err != nil {
					t.Error(err)
				}
				if got, ok, err := s.Get(key); !ok || err != nil || string(got) != value {
					t.Errorf("Get(%q) returns %q, found %v, error %v, want %q and no error", key, got, ok, err, value)
				}
			}
		})
	}
	all.Wait()
	close(stop)
	compactor.Wait()
	if stats := s.Stats(); stats.Entries != writers*5 || stats.Syncs > writers*each/2 {
		t.Errorf("statistics %+v, want %d entries and at most %d syncs, since %d writers should share them",
			stats, writers*5, writers*each/2, writers)
	}
}

// Guards against a store that grows without limit, or that stays unusable once it is full. Entries beyond the limits
// have to be rejected, and after a compaction a full store has to accept entries again.
func TestLimits(t *testing.T) {
	s, err := store.Open(faultfs.New(), store.Options{
		SegmentSize: 1 << 10,
		MaxBytes:    4 << 10,
		Manual:      true,
		Now:         func() time.Time { return epoch },
	})
	if err != nil {
		t.Fatal(err)
	}
	hour := epoch.Add(time.Hour)
	for name, err := range map[string]error{
		"put with an empty key":      s.Put("", nil, hour),
		"put with a long key":        s.Put(strings.Repeat("k", store.MaxKey+1), nil, hour),
		"put with a long value":      s.Put("k", make([]byte, store.MaxValue+1), hour),
		"deletion with an empty key": s.Delete(""),
	} {
		if !errors.Is(err, store.ErrSize) {
			t.Errorf("%s: error %v, want %v", name, err, store.ErrSize)
		}
	}
	isFull := false
	for i := 0; i < 100 && !isFull; i++ {
		isFull = errors.Is(s.Put("k", make([]byte, 300), hour), store.ErrFull)
	}
	if !isFull {
		t.Errorf("none of 100 puts was rejected with %v, want a rejection", store.ErrFull)
	}
	if stats := s.Stats(); stats.Bytes > 4<<10 {
		t.Errorf("statistics %+v, want at most %d bytes", stats, 4<<10)
	}
	if err := s.Delete("k"); err != nil {
		t.Errorf("Delete in a full store: %v, want no error", err)
	}
	if err := s.Compact(); err != nil {
		t.Errorf("Compact after Delete in a full store: %v, want no error", err)
	}
	if err := s.Put("k", make([]byte, 300), hour); err != nil {
		t.Errorf("Put after Delete and Compact in a full store: %v, want no error", err)
	}
	s.Close()
	if err := s.Put("k", nil, hour); !errors.Is(err, store.ErrClosed) {
		t.Errorf("put after Close returns the error %v, want %v", err, store.ErrClosed)
	}
}

// Guards against a damaged segment header that makes all records of the segment unreadable. The damaged header has to
// be ignored, and the records have to be read.
func TestDamagedHeader(t *testing.T) {
	path := t.TempDir()
	s := openDir(t, path, store.Options{})
	if err := s.Put("k", nil, time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	name := filepath.Join(path, "0000000000000001.log")
	b, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	b[7] = 9                         // the version of the format
	copy(b[16:], []byte{0, 0, 0, 0}) // the checksum
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	again := openDir(t, path, store.Options{})
	if _, ok, err := again.Get("k"); !ok || err != nil {
		t.Errorf("Get(\"k\") finds an entry: %v, error %v, want true and no error", ok, err)
	}
}

// Guards against a slow sync that blocks readers. Writers have to wait for the sync, readers must not.
func TestSlowSync(t *testing.T) {
	fs := faultfs.New()
	s, err := store.Open(fs, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	hour := time.Now().Add(time.Hour)
	if err := s.Put("a", []byte("1"), hour); err != nil {
		t.Fatal(err)
	}
	fs.SyncTime = 300 * time.Millisecond
	done := make(chan error, 1)
	start := time.Now()
	go func() { done <- s.Put("b", nil, hour) }()
	reads := 0
	for len(done) == 0 {
		if _, ok, err := s.Get("a"); !ok || err != nil {
			t.Fatalf("Get(\"a\") finds an entry: %v, error %v, want true and no error", ok, err)
		}
		reads++
	}
	err = testutil.Receive(t, done, "the put")
	if err != nil || time.Since(start) < 300*time.Millisecond || reads < 100 {
		t.Errorf("put returned error %v after %v, with %d reads meanwhile, want no error, at least 300ms and 100 reads",
			err, time.Since(start), reads)
	}
}
