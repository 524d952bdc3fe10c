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

// storedDir is a member's directory that the code of 593ba64 has written: see its README.
const storedDir = "testdata/version-593ba64"

const storedText = "# second\n[limits]\nmax_attempts = 2\n"

func storedMember(t *testing.T) string {
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

// holds checks what a member's directory keeps.
func holds(t *testing.T, dir string, version, highest uint64, text string) {
	t.Helper()
	k, at, err := loadCachedSnapshot(dir)
	if err != nil || k == nil {
		t.Fatalf("%v, %v", k, err)
	}
	want := frame(version, text)
	if got := k.Frame; got.Cluster != "f" || got.Revision != want.Revision || string(got.Text) != text {
		t.Errorf("it keeps %+v, %q, want %+v", got, got.Text, want)
	}
	if k.Highest.Epoch != 1 || k.Highest.Version != highest || time.Since(at) > time.Minute {
		t.Errorf("the highest is %v, confirmed at %v", k.Highest, at)
	}
}

// What a member of 593ba64 has kept is in force in the new version while no origin answers; an older snapshot than
// the highest that the other one has taken is not; a newer one is, and is kept in its place.
func TestLastKnownOfTheVersionBefore(t *testing.T) {
	t.Parallel()
	dir := storedMember(t)
	holds(t, dir, 2, 2, storedText)
	m := startMember(t, "m", dir, "127.0.0.1:9")
	testutil.Until(t, "what was kept is in force", func() bool { return m.acts() == 2 })
	if s, _ := m.State(); s.Active != frame(2, storedText).Revision || !s.FromCache {
		t.Errorf("%+v", s)
	}
	m.stop()

	old := newSource(t, "o1", nil)
	old.publish(frame(1, "# first\n"))
	m = startMember(t, "m", dir, old.addr)
	testutil.Until(t, "the origin that holds an older one is followed", func() bool { s, _ := m.State(); return s.Upstream == "o1" })
	old.publish(frame(3, "# third\n"))
	testutil.Until(t, "a newer one is in force", func() bool { return m.acts() == 3 })
	testutil.Until(t, "it is kept", func() bool {
		k, _, err := loadCachedSnapshot(dir)
		return err == nil && k != nil && k.Frame.Revision.Version == 3
	})
	m.stop()
	if !slices.Equal(m.applied, []uint64{2, 3}) {
		t.Errorf("versions %d were in force, want 2 and 3", m.applied)
	}

	holds(t, dir, 3, 3, "# third\n")
	m = startMember(t, "m", dir, "127.0.0.1:9")
	testutil.Until(t, "it is in force after a restart", func() bool { return m.acts() == 3 })
	m.stop()
	holds(t, dir, 3, 3, "# third\n")
}

// A member keeps the same bytes of the same snapshot.
func TestLastKnownKeepsItsBytes(t *testing.T) {
	dir := t.TempDir()
	f := frame(2, storedText)
	if err := saveCachedSnapshot(dir, &controlplane.CachedSnapshot{Frame: f, Highest: f.Revision}); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(storedDir, "last-known.json"))
	if err != nil {
		t.Fatal(err)
	}
	list, err := os.ReadDir(dir)
	if err != nil || len(list) != 1 || list[0].Name() != "last-known.json" {
		t.Fatalf("%v, %v", list, err)
	}
	if got, err := os.ReadFile(filepath.Join(dir, "last-known.json")); err != nil || string(got) != string(want) {
		t.Errorf("it is\n%s, %v, want\n%s", got, err, want)
	}
}
