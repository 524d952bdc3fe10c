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

// storedDir is a member's directory that the code of commit 593ba64 wrote. Its README.md describes it.
const storedDir = "testdata/version-593ba64"

// storedText is the text of version 2, the snapshot in storedDir.
const storedText = "# second\n[limits]\nmax_attempts = 2\n"

// copyStoredDir returns a new directory with a copy of the cache file in storedDir.
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

// checkCache checks the content of the cache file in dir, and that it was confirmed within the last minute.
func checkCache(t *testing.T, dir string, version, highest uint64, text string) {
	t.Helper()
	cached, confirmedAt, err := loadCachedSnapshot(dir)
	if err != nil || cached == nil {
		t.Fatalf("loadCachedSnapshot returns %v, error %v, want a snapshot", cached, err)
	}
	want := testFrame(version, text)
	got := cached.Frame
	if got.Cluster != "f" || got.Revision != want.Revision || string(got.Text) != text {
		t.Errorf("cached frame is %+v with text %q, want revision %v of cluster f with text %q",
			got, got.Text, want.Revision, text)
	}
	if cached.Highest.Epoch != 1 || cached.Highest.Version != highest || time.Since(confirmedAt) > time.Minute {
		t.Errorf("highest revision is %v, confirmed at %v, want 1.%d, confirmed in the last minute",
			cached.Highest, confirmedAt, highest)
	}
}

// The snapshot that a member of commit 593ba64 stored becomes active in this version while no origin is reachable. A
// snapshot that is older than the stored highest revision does not become active; a newer one does, and replaces the
// stored one.
func TestCachedSnapshotOfPreviousVersion(t *testing.T) {
	t.Parallel()
	dir := copyStoredDir(t)
	checkCache(t, dir, 2, 2, storedText)
	m := startMember(t, "m", dir, unreachableOrigin)
	awaitVersion(t, "the stored snapshot is active", 2, m)
	var state MemberState
	testutil.Until(t, "the state shows that the stored snapshot is active", func() bool {
		state, _ = m.State()
		return state.Active == testFrame(2, storedText).Revision
	})
	if !state.FromCache {
		t.Errorf("state is %+v, want an active snapshot from the cache", state)
	}
	m.stop()

	upstream := newFakeUpstream(t, "o1", nil)
	upstream.publish(testFrame(1, "# first\n"))
	m = startMember(t, "m", dir, upstream.addr)
	testutil.Until(t, "the member subscribes to the origin, which has an older version", func() bool {
		return m.subscribesTo("o1")
	})
	upstream.publish(testFrame(3, "# third\n"))
	awaitVersion(t, "the newer version is active", 3, m)
	testutil.Until(t, "the newer version is stored", func() bool { return cachedVersion(t, dir) == 3 })
	m.stop()
	if !slices.Equal(m.applied, []uint64{2, 3}) {
		t.Errorf("versions %d became active, want 2, then 3", m.applied)
	}

	checkCache(t, dir, 3, 3, "# third\n")
	m = startMember(t, "m", dir, unreachableOrigin)
	awaitVersion(t, "the newer version is active after a restart", 3, m)
	m.stop()
	checkCache(t, dir, 3, 3, "# third\n")
}

// For the same snapshot, this version writes the same cache file, byte for byte, as the code of commit 593ba64.
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
		t.Fatalf("directory has %v, error %v, want only last-known.json", list, err)
	}
	got, err := os.ReadFile(filepath.Join(dir, "last-known.json"))
	if err != nil || string(got) != string(want) {
		t.Errorf("file is\n%s, error %v, want\n%s", got, err, want)
	}
}
