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

// storedOrigin is a copy of one's directory.
func storedOrigin(t *testing.T, name string) store.FS {
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

// keepDisk brings a store to what an origin's disk of the world holds.
func keepDisk(t *testing.T, st *store.Store, disk map[string][]byte) {
	t.Helper()
	before, err := read(st)
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

// fromStores is a world of three origins on what their directories hold; each of them has to be at a version.
func fromStores(t *testing.T, dirs []store.FS, version uint64, text string) *world {
	t.Helper()
	w := newWorld(t, len(dirs), 7)
	w.epoch = 3
	for i, fs := range dirs {
		list, err := store.Check(fs)
		if err != nil {
			t.Fatal(err)
		}
		for _, g := range list {
			if g.Damaged != 0 || g.Tail != 0 || g.Fault != "" {
				t.Errorf("%+v", g)
			}
		}
		st := opened(t, fs)
		s, err := Load(st)
		if err != nil {
			t.Fatal(err)
		}
		if f := s.Bootstrap; f.Cluster != "stored" || f.Epoch != 3 || !slices.Equal(f.Origins, originNames(3)) {
			t.Errorf("founded %+v", f)
		}
		w.places[i].disk = s.Records
		if err := st.Close(); err != nil {
			t.Fatal(err)
		}
		n, _, err := NewNode(Config{Self: w.places[i].name}, &State{Records: maps.Clone(s.Records), Bootstrap: s.Bootstrap}, 0)
		if err != nil {
			t.Fatal(err)
		}
		want := controlplane.Revision{Epoch: 3, Version: version, Hash: controlplane.HashText([]byte(text))}
		if got := n.state.stamp(3); n.rolled != "" || got != want || string(n.state.Text) != text {
			t.Errorf("%s is at %v, %q, rolled %q, want %v", w.places[i].name, got, n.state.Text, n.rolled, want)
		}
	}
	for i := range dirs {
		w.start(i)
	}
	return w
}

// The origins of 593ba64 go on in the new version: they hold what was pushed and what became of it, take another push,
// and hold all of it after one more restart from their directories.
func TestOriginsOfTheVersionBefore(t *testing.T) {
	var dirs []store.FS
	for _, name := range originNames(3) {
		dirs = append(dirs, storedOrigin(t, name))
	}
	w := fromStores(t, dirs, 2, storedSecond)
	ready := func() {
		t.Helper()
		w.until(10*time.Second, "a leader", func() bool { return w.leader() >= 0 })
		w.run(4 * time.Second)
		for _, p := range w.places {
			if p.node.rolled != "" {
				t.Errorf("%s takes its store for one that was rolled back: %s", p.name, p.node.rolled)
			}
		}
	}
	ready()
	expect(t, "what became of the first", w.ask(0, "push-1"), OutcomeAccepted, 1)
	expect(t, "what became of the second", w.ask(1, "push-2"), OutcomeAccepted, 2)
	expect(t, "what was never pushed", w.ask(2, "push-3"), OutcomeNotFound, 2)
	expect(t, "the second again", w.push(2, "push-2", 1, []byte(storedSecond)), OutcomeAccepted, 2)
	expect(t, "a third", w.push(1, "push-3", 2, textOf("third")), OutcomeAccepted, 3)
	w.until(4*time.Second, "all hold it", func() bool { return w.agreed() && w.places[0].node.state.Version == 3 })
	w.run(4 * time.Second)

	for i, fs := range dirs {
		w.stop(i)
		st := opened(t, fs)
		keepDisk(t, st, w.places[i].disk)
		if err := st.Close(); err != nil {
			t.Fatal(err)
		}
	}
	w = fromStores(t, dirs, 3, string(textOf("third")))
	ready()
	for v, id := range []string{"push-1", "push-2", "push-3"} {
		expect(t, "what became of "+id, w.ask(v, id), OutcomeAccepted, uint64(v+1))
	}
}

// The entries of a directory are byte for byte those that the new version writes of the same values.
func TestOriginsEntriesKeepTheirBytes(t *testing.T) {
	for _, name := range originNames(3) {
		st := opened(t, storedOrigin(t, name))
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
		add(Record{Key: foundingKey, Value: encode(s.Bootstrap)}, Record{Key: rootKey, Value: encode(r)})
		add(split(snapshotKey(r.Index), new(machine).marshal())...)
		last, err := ms.LastIndex()
		if err != nil || last != r.Last || r.Index != 1 {
			t.Fatal(last, r, err)
		}
		m := new(machine)
		for i := r.Index + 1; i <= last; i++ {
			list, err := ms.Entries(i, i+1, 1<<20)
			if err != nil {
				t.Fatal(err)
			}
			e := list[0]
			if data := e.GetData(); len(data) > 0 {
				c := new(change)
				if err := decode(data, c); err != nil {
					t.Fatal(err)
				}
				e.Data = encode(c)
				m.apply(c)
			}
			add(split(entryKey(i, e.GetTerm()), marshalEntry(e))...)
		}
		if m.Version != 2 || string(m.Text) != storedSecond {
			t.Errorf("%s: the entries make %+v", name, m)
		}
		if !maps.EqualFunc(s.Records, want, bytes.Equal) {
			t.Errorf("%s holds\n%q, want\n%q", name, s.Records, want)
		}
	}
}
