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

// storedDir has the directories of three origins, written by the program of commit 593ba64. Its README describes them.
const storedDir = "testdata/version-593ba64"

const (
	storedFirst  = "# first\n[limits]\nmax_attempts = 3\n"
	storedSecond = "# second\n[limits]\nmax_attempts = 2\n"
)

// copyStoredOrigin returns a copy of the directory of one of the origins in storedDir.
func copyStoredOrigin(t *testing.T, name string) store.FS {
	t.Helper()
	path := t.TempDir()
	logs, err := filepath.Glob(filepath.Join(storedDir, name, "*.log"))
	if err != nil || len(logs) != 2 {
		t.Fatalf("%s has %d segments, error %v; want 2 segments", name, len(logs), err)
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

// writeDisk makes the records of a store equal to the records on a simulated disk.
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

// simulationFromStores starts origins from the content of their directories, each of which must have the given version
// and text.
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
			t.Errorf("%s starts at %v with text %q, rollback reason %q; want %v with text %q, no rollback reason",
				m.name, got, n.state.Text, n.rollbackReason, want, text)
		}
	}
	for i := range dirs {
		w.start(i)
	}
	return w
}

// loadIntact loads the state from a directory, which must not be damaged.
func loadIntact(t *testing.T, fs store.FS) *State {
	t.Helper()
	segments, err := store.Check(fs)
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range segments {
		if g.Damaged != 0 || g.Tail != 0 || g.Fault != "" {
			t.Errorf("a segment of the store is damaged, want none: %+v", g)
		}
	}
	st := openStore(t, fs)
	s, err := Load(st)
	if err != nil {
		t.Fatal(err)
	}
	if c := s.Bootstrap; c.Cluster != "stored" || c.Epoch != 3 || !slices.Equal(c.Origins, originNames(3)) {
		t.Errorf("the bootstrap configuration is %+v, want fleet stored, epoch 3, origins %q", c, originNames(3))
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	return s
}

// Origins that start from the stores of commit 593ba64 have the two stored changes with their outcomes, and accept
// another change. After one more restart from their directories they have all three changes.
func TestOriginsLoadStoresOfEarlierVersion(t *testing.T) {
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
				t.Errorf("%s has withdrawn, although its store was not rolled back: %s", p.name, p.node.rollbackReason)
			}
		}
	}
	ready()
	checkResult(t, "query of push-1", w.query(0, "push-1"), OutcomeAccepted, 1)
	checkResult(t, "query of push-2", w.query(1, "push-2"), OutcomeAccepted, 2)
	checkResult(t, "query of an ID that was never pushed", w.query(2, "push-3"), OutcomeNotFound, 2)
	checkResult(t, "push-2 again", w.push(2, "push-2", 1, []byte(storedSecond)), OutcomeAccepted, 2)
	checkResult(t, "push-3", w.push(1, "push-3", 2, textOf("third")), OutcomeAccepted, 3)
	w.waitUntil(4*time.Second, "all have push-3",
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
		checkResult(t, "query of "+id, w.query(v, id), OutcomeAccepted, uint64(v+1))
	}
}

// The records in the stores of commit 593ba64 are byte for byte those that this version writes for the same values.
func TestStoredRecordsAreReproduced(t *testing.T) {
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
			t.Fatalf("last index %d, root %+v, error %v; want last index %d and a snapshot at index 1",
				last, r, err, r.LastIndex)
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
			t.Errorf("%s: the stored entries result in state %+v, want version 2 and text %q", name, m, storedSecond)
		}
		if !maps.EqualFunc(s.Records, want, bytes.Equal) {
			t.Errorf("the store of %s has the records\n%q, want\n%q", name, s.Records, want)
		}
	}
}
