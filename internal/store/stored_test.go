package store_test

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/store"
)

// storedDir is the directory of a store that the program of commit 593ba64 wrote. Its README describes the content.
const storedDir = "testdata/version-593ba64"

// storedAt is the wall time at which storedDir was written.
var storedAt = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

// storedOptions returns options for small segments, whose hint files are written only when Maintain is called.
func storedOptions(now *time.Time) store.Options {
	return store.Options{SegmentSize: 256, Manual: true, Now: func() time.Time { return *now }}
}

// writeStored makes the changes to a store that produced storedDir. It waits for each change, so that it always writes
// the same bytes.
func writeStored(t *testing.T, path string) {
	t.Helper()
	now := storedAt
	s := openDir(t, path, storedOptions(&now))
	change := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	for i := range 12 {
		value := bytes.Repeat([]byte{byte(i)}, 3*i)
		change(s.Put(fmt.Sprintf("key-%02d", i), value, storedAt.Add(time.Duration(i+1)*time.Hour)))
	}
	change(s.Put("key-03", []byte("replaced"), storedAt.Add(50*time.Hour)))
	change(s.Put("\x00\xff/not text", []byte{0, 1, 0xfe, 0xff}, storedAt.Add(51*time.Hour)))
	change(s.Delete("key-05"))
	change(s.Put("short", []byte("expired by the time it is read"), storedAt.Add(time.Second)))
	if err := s.Maintain(); err != nil {
		t.Fatal(err)
	}
	change(s.Put("key-07", []byte("replaced after the hints"), storedAt.Add(52*time.Hour)))
	change(s.Delete("key-09"))
	change(s.Close())
}

type storedEntry struct {
	value     string
	expiresAt time.Time
}

// storedEntries returns the entries of storedDir that have not expired ten seconds after it was written.
func storedEntries() map[string]storedEntry {
	want := map[string]storedEntry{}
	for i := range 12 {
		value := strings.Repeat(string([]byte{byte(i)}), 3*i)
		want[fmt.Sprintf("key-%02d", i)] = storedEntry{value, storedAt.Add(time.Duration(i+1) * time.Hour)}
	}
	want["key-03"] = storedEntry{"replaced", storedAt.Add(50 * time.Hour)}
	want["\x00\xff/not text"] = storedEntry{"\x00\x01\xfe\xff", storedAt.Add(51 * time.Hour)}
	want["key-07"] = storedEntry{"replaced after the hints", storedAt.Add(52 * time.Hour)}
	delete(want, "key-05")
	delete(want, "key-09")
	return want
}

// wantEntries compares the entries that Each and Get return with the expected ones.
func wantEntries(t *testing.T, s *store.Store, want map[string]storedEntry) {
	t.Helper()
	got := map[string]storedEntry{}
	if err := s.Each(func(key string, value []byte, expiresAt time.Time) bool {
		got[key] = storedEntry{string(value), expiresAt.UTC()}
		return true
	}); err != nil {
		t.Fatal(err)
	}
	if !maps.Equal(got, want) {
		t.Errorf("the store has the entries\n%#v, want\n%#v", got, want)
	}
	for key, entry := range want {
		if value, ok, err := s.Get(key); err != nil || !ok || string(value) != entry.value {
			t.Errorf("Get(%q) returns %q, found %v, error %v, want %q and no error", key, value, ok, err, entry.value)
		}
	}
	if stats := s.Stats(); stats.Damaged != 0 {
		t.Errorf("%d bytes are reported as damaged, want 0", stats.Damaged)
	}
}

// readFiles returns the contents of the segments and hint files of a directory, by file name.
func readFiles(t *testing.T, path string) map[string][]byte {
	t.Helper()
	list, err := os.ReadDir(path)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string][]byte{}
	for _, f := range list {
		if x := filepath.Ext(f.Name()); x == ".log" || x == ".hint" {
			if out[f.Name()], err = os.ReadFile(filepath.Join(path, f.Name())); err != nil {
				t.Fatal(err)
			}
		}
	}
	return out
}

// copyStored copies storedDir to a temporary directory and returns its path.
func copyStored(t *testing.T) string {
	t.Helper()
	path := t.TempDir()
	for name, text := range readFiles(t, storedDir) {
		if err := os.WriteFile(filepath.Join(path, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

// Guards against an unintended change of the format: the same changes have to write the same segments and hint files as
// at commit 593ba64, byte by byte.
func TestSegmentsAndHintsAreStable(t *testing.T) {
	path := t.TempDir()
	writeStored(t, path)
	got, want := readFiles(t, path), readFiles(t, storedDir)
	if names := slices.Sorted(maps.Keys(want)); len(names) != 6 || !slices.Equal(slices.Sorted(maps.Keys(got)), names) {
		t.Errorf("the store wrote the files %q, want %q", slices.Sorted(maps.Keys(got)), names)
	}
	for name, text := range want {
		if !bytes.Equal(got[name], text) {
			t.Errorf("file %s has the content\n%x, want\n%x", name, got[name], text)
		}
	}
}

// Guards against losing the entries of a store that the version of commit 593ba64 wrote. The store is opened, with and
// without its hint files, changed, compacted, and opened again.
func TestDirectoryOfPreviousVersion(t *testing.T) {
	for _, hasHints := range []bool{true, false} {
		t.Run(fmt.Sprint("hints ", hasHints), func(t *testing.T) {
			path := copyStored(t)
			fs, err := store.Dir(path)
			if err != nil {
				t.Fatal(err)
			}
			list, err := store.Check(fs)
			if err != nil || len(list) != 4 {
				t.Fatalf("Check returns %d segments, error %v, want 4 and no error", len(list), err)
			}
			for i, g := range list {
				wantHint := store.HintGood
				if i >= 2 {
					wantHint = store.HintMissing // written after Maintain was called
				}
				if g.Damaged != 0 || g.Tail != 0 || g.Fault != "" || g.Hint != wantHint {
					t.Errorf("segment report %+v, want no damage and the hint file state %q", g, wantHint)
				}
			}
			if !hasHints {
				for name := range readFiles(t, path) {
					if strings.HasSuffix(name, ".hint") {
						if err := os.Remove(filepath.Join(path, name)); err != nil {
							t.Fatal(err)
						}
					}
				}
			}
			now := storedAt.Add(10 * time.Second)
			want := storedEntries()
			s := openDir(t, path, storedOptions(&now))
			wantEntries(t, s, want)

			if err := s.Put("key-01", []byte("by the new version"), storedAt.Add(60*time.Hour)); err != nil {
				t.Fatal(err)
			}
			want["key-01"] = storedEntry{"by the new version", storedAt.Add(60 * time.Hour)}
			if err := s.Put("new", nil, storedAt.Add(61*time.Hour)); err != nil {
				t.Fatal(err)
			}
			want["new"] = storedEntry{"", storedAt.Add(61 * time.Hour)}
			if err := s.Delete("key-03"); err != nil {
				t.Fatal(err)
			}
			delete(want, "key-03")
			wantEntries(t, s, want)
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}

			s = openDir(t, path, storedOptions(&now))
			wantEntries(t, s, want)
			if err := s.Compact(); err != nil {
				t.Fatal(err)
			}
			wantEntries(t, s, want)
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}

			now = storedAt.Add(5*time.Hour + time.Minute) // key-00, 02 and 04 have expired
			for _, key := range []string{"key-00", "key-02", "key-04"} {
				delete(want, key)
			}
			s = openDir(t, path, storedOptions(&now))
			wantEntries(t, s, want)
		})
	}
}
