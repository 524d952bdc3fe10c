package origin

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/store"
)

// storedDir holds the directories of three origins that the program of 593ba64 has written: see its README.
const storedDir = "testdata/version-593ba64"

const (
	storedFirst  = "# first\n[limits]\nmax_attempts = 3\n"
	storedSecond = "# second\n[limits]\nmax_attempts = 2\n"
)

// copyStoredOrigin returns a copy of one's directory.
func copyStoredOrigin(t *testing.T, name string) store.FS {
	t.Helper()
	path := t.TempDir()
	logs, err := filepath.Glob(filepath.Join(storedDir, name, "*.log"))
	if err != nil || len(logs) != 2 {
		t.Fatalf("%d segments, %v", len(logs), err)
	}
	for _, file := range logs {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(path, filepath.Base(file)), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	fs, err := store.Dir(path)
	if err != nil {
		t.Fatal(err)
	}
	return fs
}

// writeDisk brings a store to the content of a simulated disk.
func writeDisk(t *testing.T, st *store.Store, disk map[string][]byte) {
	t.Helper()
	before, err := readState(st)
	if err != nil {
		t.Fatal(err)
	}
	var p Persist
	for _, key := range slices.Sorted(maps.Keys(disk)) {
		if old, ok := before.Records[key]; !ok || !bytes.Equal(old, disk[key]) {
			p.Records = append(p.Records, Record{Key: key, Value: disk[key]})
		}
	}
	for key := range before.Records {
		if _, ok := disk[key]; !ok {
			p.Records = append(p.Records, Record{Key: key, Delete: true})
		}
	}
	if err := Write(st, p); err != nil {
		t.Fatal(err)
	}
}

// simulationFromStores runs three origins on the content of their directories, each of which must be at a version.
func simulationFromStores(t *testing.T, dirs []store.FS, version uint64, text string) *simulation {
	t.Helper()
	w := newSimulation(t, len(dirs), 7)
	w.epoch = 3
	want := controlplane.Revision{Epoch: 3, Version: version, Hash: controlplane.HashText([]byte(text))}
	for i, fs := range dirs {
		m := w.machines[i]
		s := loadIntact(t, fs)
		m.disk = s.Records
		copied := &State{Records: maps.Clone(s.Records), Bootstrap: s.Bootstrap}
		n, _, err := NewNode(Config{Self: m.name}, copied, 0)
		if err != nil {
			t.Fatal(err)
		}
		got := n.state.revision(3)
		if n.rollbackReason != "" || got != want || string(n.state.Text) != text {
			t.Errorf("%s is at %v, %q, rolled back %q, want %v", m.name, got, n.state.Text, n.rollbackReason, want)
		}
	}
	for i := range dirs {
		w.start(i)
	}
	return w
}

// loadIntact loads the state from a directory, which must have no damage.
func loadIntact(t *testing.T, fs store.FS) *State {
	t.Helper()
	segments, err := store.Check(fs)
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range segments {
		if g.Damaged != 0 || g.Tail != 0 || g.Fault != "" {
			t.Errorf("%+v", g)
		}
	}
	st := openStore(t, fs)
	s, err := Load(st)
	if err != nil {
		t.Fatal(err)
	}
	if c := s.Bootstrap; c.Cluster != "stored" || c.Epoch != 3 || !slices.Equal(c.Origins, originNames(3)) {
		t.Errorf("bootstrapped %+v", c)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	return s
}

// The origins of 593ba64 continue in the new version: they have the changes and their outcomes, accept another change,
// and have all of it after one more restart from their directories.
func TestOriginsOfTheVersionBefore(t *testing.T) {
	var dirs []store.FS
	for _, name := range originNames(3) {
		dirs = append(dirs, copyStoredOrigin(t, name))
	}
	w := simulationFromStores(t, dirs, 2, storedSecond)
	ready := func() {
		t.Helper()
		w.waitUntil(10*time.Second, "a leader", func() bool { return w.leader() >= 0 })
		w.run(4 * time.Second)
		for _, p := range w.machines {
			if p.node.rollbackReason != "" {
				t.Errorf("%s takes its store for a rolled back one: %s", p.name, p.node.rollbackReason)
			}
		}
	}
	ready()
	checkResult(t, "what became of the first", w.query(0, "push-1"), OutcomeAccepted, 1)
	checkResult(t, "what became of the second", w.query(1, "push-2"), OutcomeAccepted, 2)
	checkResult(t, "what was never pushed", w.query(2, "push-3"), OutcomeNotFound, 2)
	checkResult(t, "the second again", w.push(2, "push-2", 1, []byte(storedSecond)), OutcomeAccepted, 2)
	checkResult(t, "a third", w.push(1, "push-3", 2, textOf("third")), OutcomeAccepted, 3)
	w.waitUntil(4*time.Second, "all hold it",
		func() bool { return w.allAgree() && w.machines[0].node.state.Version == 3 })
	w.run(4 * time.Second)

	for i, fs := range dirs {
		w.stop(i)
		st := openStore(t, fs)
		writeDisk(t, st, w.machines[i].disk)
		if err := st.Close(); err != nil {
			t.Fatal(err)
		}
	}
	w = simulationFromStores(t, dirs, 3, string(textOf("third")))
	ready()
	for v, id := range []string{"push-1", "push-2", "push-3"} {
		checkResult(t, "what became of "+id, w.query(v, id), OutcomeAccepted, uint64(v+1))
	}
}

// The entries of a directory are byte for byte those that the new version writes of the same values.
func TestOriginsEntriesKeepTheirBytes(t *testing.T) {
	for _, name := range originNames(3) {
		st := openStore(t, copyStoredOrigin(t, name))
		s, err := Load(st)
		if err != nil {
			t.Fatal(err)
		}
		ms, r, err := s.restore()
		if err != nil {
			t.Fatal(err)
		}
		want := map[string][]byte{}
		add := func(list ...Record) {
			for _, x := range list {
				want[x.Key] = x.Value
			}
		}
		add(Record{Key: bootstrapRecordKey, Value: encode(s.Bootstrap)}, Record{Key: rootRecordKey, Value: encode(r)})
		add(splitValue(snapshotKey(r.SnapshotIndex), new(stateMachine).marshal())...)
		last, err := ms.LastIndex()
		if err != nil || last != r.LastIndex || r.SnapshotIndex != 1 {
			t.Fatal(last, r, err)
		}
		m := new(stateMachine)
		for i := r.SnapshotIndex + 1; i <= last; i++ {
			list, err := ms.Entries(i, i+1, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			e := list[0]
			if data := e.GetData(); len(data) > 0 {
				c := new(logEntry)
				if err := decode(data, c); err != nil {
					t.Fatal(err)
				}
				e.Data = encode(c)
				m.apply(c)
			}
			add(splitValue(entryKey(i, e.GetTerm()), marshalEntry(e))...)
		}
		if m.Version != 2 || string(m.Text) != storedSecond {
			t.Errorf("%s: the entries make %+v", name, m)
		}
		if !maps.EqualFunc(s.Records, want, bytes.Equal) {
			t.Errorf("%s holds\n%q, want\n%q", name, s.Records, want)
		}
	}
}
