package origin

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/emulator/faultfs"
	"hazelwing/internal/store"
)

func openStore(t *testing.T, fs store.FS) *store.Store {
	t.Helper()
	st, err := store.Open(fs, store.Options{Manual: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { st.Close() })
	return st
}

// An origin on the embedded store loses power after a varying number of steps of the file system, and restarts from the
// remaining files. It must not lose changes that it acknowledged. It must not withdraw either, since its store was not
// rolled back.
func TestRestartAfterPowerLoss(t *testing.T) {
	acknowledged, runs := 0, 0
	for crash := int64(3000); crash < 60_000; crash += 1900 {
		fs := faultfs.New()
		st := openStore(t, fs)
		if err := Bootstrap(st, BootstrapConfig{"f", 3, []string{"one"}}); err != nil {
			t.Fatal(err)
		}
		if err := Bootstrap(st, BootstrapConfig{"f", 3, []string{"one"}}); err == nil ||
			!strings.Contains(err.Error(), "higher epoch") {
			t.Fatalf("the second bootstrap with the same epoch returned %v, want an error about a higher epoch", err)
		}
		fs.CrashAfter = fs.Steps + crash
		version, pushed := uint64(0), uint64(0)
		for run := range 3 {
			runs++
			s, err := Load(st)
			if err != nil {
				t.Fatal(err)
			}
			n, out, err := NewNode(Config{Self: "one", StartupGracePeriod: time.Millisecond}, s, 0)
			if err != nil {
				t.Fatal(err)
			}
			ok := true
			execute := func(out []Action) {
				for _, a := range out {
					switch a := a.(type) {
					case Persist:
						if ok = ok && Write(st, a) == nil; !ok {
							return
						}
					case Result:
						if a.Outcome == OutcomeAccepted {
							version = max(version, a.Revision.Version)
							acknowledged++
						}
					}
				}
			}
			execute(out)
			for now := time.Duration(0); ok && now < 10*time.Second; now += 100 * time.Millisecond {
				execute(n.Handle(now, Tick{}))
				if ok && n.currentRole() == RoleLeader {
					pushed++
					id := fmt.Sprint("p", pushed)
					text := []byte(strings.Repeat("#", 700) + id)
					execute(n.Handle(now, Propose{ID: id, First: true, BaseVersion: n.state.Version, Text: text}))
				}
			}
			if n.rollbackReason != "" {
				t.Fatalf("power loss after %d steps, run %d: the origin has withdrawn, although its store was not "+
					"rolled back: %s", crash, run, n.rollbackReason)
			}
			if n.state.Version < version {
				t.Fatalf("power loss after %d steps, run %d: the origin is at version %d, want at least %d, which it "+
					"had acknowledged", crash, run, n.state.Version, version)
			}
			if !ok {
				fs = fs.AfterPowerLoss(rand.New(rand.NewPCG(uint64(crash), 1)))
				fs.CrashAfter = fs.Steps + crash
			}
			st.Close()
			st = openStore(t, fs)
		}
	}
	t.Logf("%d runs, %d pushes acknowledged", runs, acknowledged)
	if acknowledged < 100 {
		t.Errorf("%d pushes were acknowledged, want at least 100", acknowledged)
	}
}

// A disk loses, truncates or empties any one record of a store. The origin could vote twice, or lose changes that it
// acknowledged. It must withdraw, write nothing and accept no change. Without a valid bootstrap configuration it must
// not start. The first actions, which NewNode returns, are not checked; they may delete records.
func TestDamagedStore(t *testing.T) {
	w := newRunningSimulation(t, 1, 1)
	for v := range uint64(20) {
		id := fmt.Sprint("p", v)
		checkResult(t, id, w.push(0, id, v, []byte(strings.Repeat("#", 70<<10)+id)), OutcomeAccepted, v+1)
	}
	whole := w.machines[0].disk
	state, _ := nodeFromDisk(t, maps.Clone(whole))
	for key := range whole {
		for what, change := range map[string]func(map[string][]byte){
			"lost":  func(m map[string][]byte) { delete(m, key) },
			"short": func(m map[string][]byte) { m[key] = m[key][:len(m[key])/2] },
			"empty": func(m map[string][]byte) { m[key] = nil },
		} {
			disk := maps.Clone(whole)
			change(disk)
			got, err := nodeFromDisk(t, disk)
			switch {
			case err != nil && key == bootstrapRecordKey:
			case err != nil:
				t.Errorf("record %s %s: starting the origin returned error %v, want none", key, what, err)
			case got.rollbackReason == "":
				t.Errorf("record %s %s: the origin has not withdrawn, want a rollback reason", key, what)
			case got.state.Version > state.state.Version:
				t.Errorf("record %s %s: the origin is at version %d, want at most %d", key, what, got.state.Version,
					state.state.Version)
			}
			if err == nil { // the origin must neither write nor accept a change
				for now := range 100 {
					for _, a := range got.Handle(time.Duration(now)*100*time.Millisecond, Tick{}) {
						if _, ok := a.(Persist); ok {
							t.Errorf("record %s %s: the origin writes to its store, want no write", key, what)
						}
					}
				}
				change := Propose{ID: "x", First: true, BaseVersion: got.state.Version, Text: textOf("x")}
				out := got.Handle(10*time.Second, change)
				if out[len(out)-1].(Result).Outcome != OutcomeRejected {
					t.Errorf("record %s %s: a push returns the actions %v, want a result with outcome %q",
						key, what, out, OutcomeRejected)
				}
			}
		}
	}
}

// nodeFromDisk starts a node from a simulated disk.
func nodeFromDisk(t *testing.T, disk map[string][]byte) (*Node, error) {
	t.Helper()
	s := &State{Records: disk}
	if err := s.validate(); err != nil {
		return nil, err
	}
	n, _, err := NewNode(Config{Self: s.Bootstrap.Origins[0]}, s, 0)
	return n, err
}

// Invalid bootstrap configurations, bootstraps over an existing store, and starts with settings that do not match the
// store are rejected.
func TestBootstrapIsChecked(t *testing.T) {
	for _, c := range []struct {
		f   BootstrapConfig
		why string
	}{
		{BootstrapConfig{"", 1, []string{"a"}}, "fleet"},
		{BootstrapConfig{"f", 0, []string{"a"}}, "epoch"},
		{BootstrapConfig{"f", 1, nil}, "0 origins"},
		{BootstrapConfig{"f", 1, originNames(8)}, "8 origins"},
		{BootstrapConfig{"f", 1, []string{"a", "a"}}, "twice"},
		{BootstrapConfig{"f", 1, []string{"a/b"}}, "slashes"},
		{BootstrapConfig{"f", 1, []string{"a", ""}}, "is empty"},
		{BootstrapConfig{"f", 1, []string{strings.Repeat("a", controlplane.MaxNameLength+1)}}, "129 bytes"},
	} {
		if err := Bootstrap(openStore(t, faultfs.New()), c.f); err == nil || !strings.Contains(err.Error(), c.why) {
			t.Errorf("Bootstrap with %v returned %v, want an error with %q", c.f, err, c.why)
		}
	}
	st := openStore(t, faultfs.New())
	if _, err := Load(st); err == nil || !strings.Contains(err.Error(), "never bootstrapped") {
		t.Errorf("Load of an empty store returned %v, want ErrNotBootstrapped", err)
	}
	if err := Bootstrap(st, BootstrapConfig{"f", 4, originNames(3)}); err != nil {
		t.Fatal(err)
	}
	for _, f := range []BootstrapConfig{{"f", 3, originNames(3)}, {"f", 4, originNames(3)}, {"g", 5, originNames(3)}} {
		if err := Bootstrap(st, f); err == nil {
			t.Errorf("Bootstrap with %v over epoch 4 of cluster f returned no error, want one", f)
		}
	}
	if err := Bootstrap(st, BootstrapConfig{"f", 5, originNames(5)}); err != nil {
		t.Error(err)
	}
	s, err := Load(st)
	if err != nil || s.Bootstrap.Epoch != 5 {
		t.Fatalf("Load returned %+v, error %v; want epoch 5", s, err)
	}
	if _, _, err := NewNode(Config{Self: "o9"}, s, 0); err == nil {
		t.Error("NewNode with the name o9 returned no error, want one: the store has the origins o1 to o5")
	}
	if _, _, err := NewNode(Config{Self: "o1", BootstrapConfig: BootstrapConfig{"f", 6, originNames(5)}}, s,
		0); err == nil {
		t.Error("NewNode with settings of epoch 6 and a store of epoch 5 returned no error, want one")
	}
	if err := Write(st, Persist{[]Record{{Key: "x", Value: make([]byte, store.MaxValue+1)}}}); !errors.Is(err,
		store.ErrSize) {
		t.Errorf("Write of a value that is too long returned error %v, want %v", err, store.ErrSize)
	}
}
