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

// storedDir is a ledger's directory that the program of 593ba64 has left when it was killed: see its README.
const storedDir = "testdata/version-593ba64"

// storedMachine is the machine that it was written on, at the time of the last intent.
func storedMachine() *machine {
	return &machine{r: idempotency.Reading{Boot: "boot-of-593ba64", Up: time.Hour + 2*time.Second,
		Wall: time.Date(2026, 12, 2, 6, 0, 2, 0, time.UTC)}}
}

// storedLedger is a copy of the directory.
func storedLedger(t *testing.T) store.FS {
	t.Helper()
	path := t.TempDir()
	logs, err := filepath.Glob(filepath.Join(storedDir, "*.log"))
	if err != nil || len(logs) == 0 {
		t.Fatalf("%d segments, %v", len(logs), err)
	}
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(path, filepath.Base(name)), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	fs, err := store.Dir(path)
	if err != nil {
		t.Fatal(err)
	}
	return fs
}

// wantStored is what the directory remembers, but for the zone of the keyed one that is open: it was drawn.
func wantStored() []Remembered {
	began := time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)
	want := func(class, effect, key, state string, after time.Duration) Remembered {
		return Remembered{Fingerprint: idempotency.FingerprintOf(class, "", key).String(), Class: class, Effect: effect, State: state,
			Since: began.Add(after), Expires: began.Add(after + 10*time.Minute)}
	}
	return []Remembered{
		want("book", "unsafe", "answered", "ran", 0),
		want("book", "unsafe", "reset", "unknown", 500*time.Millisecond),
		want("book", "unsafe", "open", "open", time.Second),
		want("pay", "keyed", "open", "open", 2*time.Second),
	}
}

// remembers holds a directory to what it is to remember, and returns where the last of these was sent.
func remembers(t *testing.T, fs store.FS, want []Remembered) (zone string) {
	t.Helper()
	got, err := Inspect(fs)
	if err != nil || len(got) != len(want) {
		t.Fatalf("%+v, %v", got, err)
	}
	for i, r := range got {
		if zone = r.Where; len(zone) != 3 || zone[1:] != "/0" {
			t.Errorf("%s: where %q", r.Fingerprint, zone)
		}
		r.Where, r.Since, r.Expires = "", r.Since.UTC(), r.Expires.UTC()
		if r != want[i] {
			t.Errorf("it remembers\n%+v, want\n%+v", r, want[i])
		}
	}
	return zone[:1]
}

// What 593ba64 has left open, unknown or answered holds in the new version: nothing unsafe goes out again, a keyed one
// goes on in its zone while its window lasts. What the new version adds is there with it after another restart, and all
// is let go when it was to be.
func TestLedgerOfTheVersionBefore(t *testing.T) {
	fs, m := storedLedger(t), storedMachine()
	list, err := store.Check(fs)
	if err != nil || len(list) != 1 || list[0].Damaged != 0 || list[0].Tail != 0 || list[0].Fault != "" {
		t.Fatalf("%+v, %v", list, err)
	}
	zone := remembers(t, fs, wantStored())

	m.pass(time.Second, -time.Minute) // the clock goes back, and the machine's run is the same
	r := life(t, m, fs, nil)
	if s := r.g.State(); s.Remembered != 4 || s.Left != 2 || s.Open != 0 || s.OldestS != 2 {
		t.Errorf("taken up: %+v", s)
	}
	unsafe := []string{"answered", "reset", "open"}
	repeats := func(r *rig) {
		t.Helper()
		for _, key := range unsafe {
			if got := r.want(r.call("book", key), engine.Failed, key); !errors.Is(got.Err, ErrMayHaveRun) {
				t.Errorf("%s: %v", key, got.Err)
			}
		}
		if len(r.wire.sent) > 0 {
			t.Error("an unsafe one went out again")
		}
	}
	repeats(r)
	keyed := r.call("pay", "open")
	for range 3 { // as many attempts as the settings allow; chance would find another zone
		a := r.attempt()
		if a.member != zone {
			t.Errorf("it went to zone %s, after %s", a.member, zone)
		}
		a.end <- engine.Outcome{Result: balancer.Overloaded}
	}
	r.want(keyed, engine.Failed, "turned away there: it may have run, so it is not refused")

	done := r.call("book", "new")
	r.attempt().answer()
	r.want(done, engine.Served, "a new one")
	r.stop()
	want := wantStored()
	want[3].State = "unknown" // its repeat ended
	last := want[0]
	last.Fingerprint = idempotency.FingerprintOf("book", "", "new").String()
	last.Since, last.Expires = last.Since.Add(3*time.Second), last.Expires.Add(3*time.Second)
	remembers(t, fs, append(slices.Clone(want), last))

	m.pass(5*time.Second, time.Hour) // six seconds after the first intent: the window is over
	r = life(t, m, fs, nil)
	if s := r.g.State(); s.Remembered != 5 || s.Left != 1 {
		t.Errorf("taken up again: %+v", s)
	}
	unsafe = append(unsafe, "new")
	repeats(r)
	r.want(r.call("pay", "open"), engine.Failed, "a keyed one after its window")
	if len(r.wire.sent) > 0 {
		t.Error("a keyed one went out after its window")
	}
	r.stop()

	m.pass(10*time.Minute, 0)
	r = life(t, m, fs, nil)
	for _, key := range unsafe {
		done := r.call("book", key)
		r.attempt().answer()
		r.want(done, engine.Served, "long after it: "+key)
	}
}

// On another run of the machine nothing tells how much time has passed: what 593ba64 had sent keyed is not sent again.
func TestLedgerOfTheVersionBeforeAfterAReboot(t *testing.T) {
	fs, m := storedLedger(t), storedMachine()
	m.r.Boot, m.r.Up = "another", time.Minute
	r := life(t, m, fs, nil)
	if s := r.g.State(); s.Remembered != 4 || s.Left != 2 {
		t.Errorf("taken up: %+v", s)
	}
	r.want(r.call("pay", "open"), engine.Failed, "a keyed one")
	r.want(r.call("book", "open"), engine.Failed, "an unsafe one")
	if len(r.wire.sent) > 0 {
		t.Error("something went out again")
	}
	testutil.Until(t, "no request is in hand", func() bool { return r.g.State().Open == 0 })
}
