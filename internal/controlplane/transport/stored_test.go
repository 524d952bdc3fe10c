package transport

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/testutil"
)

// storedDir is a member's directory as the code of 593ba64 has written it: see its README.
const storedDir = "testdata/version-593ba64"

// storedText is the text of version 2, which the cache file in storedDir has.
const storedText = "# second\n[limits]\nmax_attempts = 2\n"

// copyStoredDir returns a directory with the stored cache file.
func copyStoredDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	text, err := os.ReadFile(filepath.Join(storedDir, "last-known.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "last-known.json"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// checkCache checks the content of a member's cache file.
func checkCache(t *testing.T, dir string, version, highest uint64, text string) {
	t.Helper()
	cached, confirmedAt, err := loadCachedSnapshot(dir)
	if err != nil || cached == nil {
		t.Fatalf("load: %v, %v", cached, err)
	}
	want := testFrame(version, text)
	got := cached.Frame
	if got.Cluster != "f" || got.Revision != want.Revision || string(got.Text) != text {
		t.Errorf("cached frame is %+v, %q, want %+v", got, got.Text, want)
	}
	if cached.Highest.Epoch != 1 || cached.Highest.Version != highest || time.Since(confirmedAt) > time.Minute {
		t.Errorf("highest revision is %v, confirmed at %v", cached.Highest, confirmedAt)
	}
}

// The snapshot that a member of 593ba64 has stored is in force in the new version while no origin answers. A snapshot
// that is older than the highest revision of the other version is not put in force; a newer one is, and is stored in
// its place.
func TestCachedSnapshotOfPreviousVersion(t *testing.T) {
	t.Parallel()
	dir := copyStoredDir(t)
	checkCache(t, dir, 2, 2, storedText)
	m := startMember(t, "m", dir, unreachableOrigin)
	awaitVersion(t, "the stored snapshot is in force", 2, m)
	if s, _ := m.State(); s.Active != testFrame(2, storedText).Revision || !s.FromCache {
		t.Errorf("state is %+v, want the stored snapshot in force", s)
	}
	m.stop()

	source := newFakeUpstream(t, "o1", nil)
	source.publish(testFrame(1, "# first\n"))
	m = startMember(t, "m", dir, source.addr)
	testutil.Until(t, "the member subscribes to the origin, which has an older version", func() bool {
		return m.subscribesTo("o1")
	})
	source.publish(testFrame(3, "# third\n"))
	awaitVersion(t, "the newer version is in force", 3, m)
	testutil.Until(t, "the newer version is stored", func() bool { return cachedVersion(t, dir) == 3 })
	m.stop()
	if !slices.Equal(m.applied, []uint64{2, 3}) {
		t.Errorf("versions %d were in force, want 2 and 3", m.applied)
	}

	checkCache(t, dir, 3, 3, "# third\n")
	m = startMember(t, "m", dir, unreachableOrigin)
	awaitVersion(t, "the newer version is in force after a restart", 3, m)
	m.stop()
	checkCache(t, dir, 3, 3, "# third\n")
}

// The cache file of the same snapshot has the same bytes as in 593ba64.
func TestCacheFileBytesOfPreviousVersion(t *testing.T) {
	dir := t.TempDir()
	frame := testFrame(2, storedText)
	if err := saveCachedSnapshot(dir, &controlplane.CachedSnapshot{Frame: frame, Highest: frame.Revision}); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(storedDir, "last-known.json"))
	if err != nil {
		t.Fatal(err)
	}
	list, err := os.ReadDir(dir)
	if err != nil || len(list) != 1 || list[0].Name() != "last-known.json" {
		t.Fatalf("directory has %v, %v, want last-known.json", list, err)
	}
	got, err := os.ReadFile(filepath.Join(dir, "last-known.json"))
	if err != nil || string(got) != string(want) {
		t.Errorf("file is\n%s, %v, want\n%s", got, err, want)
	}
}
