package origin

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwing/internal/store"
)

// What a store holds: "founding"; "root", which names all else that counts; "e/INDEX/TERM/PART", an entry of the log, and
// "s/INDEX/PART", a snapshot of the machine, both never changed once a root names them. A Persist writes entries and snapshot, then
// the root, then deletes what no root names any more: a crash between any two of them leaves the root before or the root after.

const (
	foundingKey = "founding"
	rootKey     = "root"
	partSize    = 60 << 10 // an entry of the store holds 64 KiB
)

// forever is when the store's entries expire: they do not.
var forever = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// root is what is durable.
type root struct {
	Mark   uint64   `cbor:"1,keyasint"` // the number of this Persist
	Seen   []uint64 `cbor:"2,keyasint"` // by identity: the highest mark known
	Term   uint64   `cbor:"3,keyasint"`
	Vote   uint64   `cbor:"4,keyasint"`
	Commit uint64   `cbor:"5,keyasint"`
	Index  uint64   `cbor:"6,keyasint"` // of the snapshot
	Since  uint64   `cbor:"7,keyasint"` // its term
	Last   uint64   `cbor:"8,keyasint"` // index of the last entry; Index: there is none
	Runs   []run    `cbor:"9,keyasint"` // terms of the entries
	Rolled string   `cbor:"10,keyasint,omitempty"`
}

// run is that entries from Index on have this term.
type run struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
}

func entryKey(index, term uint64) string { return fmt.Sprintf("e/%016x/%016x", index, term) }
func snapshotKey(index uint64) string    { return fmt.Sprintf("s/%016x", index) }

// split makes the store's entries of a long value.
func split(key string, value []byte) (out []Record) {
	value = append(binary.AppendUvarint(nil, uint64(len(value))), value...)
	for i := 0; i == 0 || len(value) > 0; i++ {
		n := min(len(value), partSize)
		out = append(out, Record{Key: fmt.Sprintf("%s/%x", key, i), Value: value[:n]})
		value = value[n:]
	}
	return out
}

// joined is a long value again; false: it is not there whole.
func joined(records map[string][]byte, key string) ([]byte, bool) {
	var all []byte
	for i := 0; ; i++ {
		part, ok := records[fmt.Sprintf("%s/%x", key, i)]
		if !ok {
			return nil, false
		}
		all = append(all, part...)
		n, head := binary.Uvarint(all)
		switch have := uint64(len(all) - head); {
		case head <= 0 || have > n:
			return nil, false
		case have == n:
			return all[head:], true
		}
	}
}

// found is what a founding writes.
func found(f BootstrapConfig) []Record {
	voters := make([]uint64, len(f.Origins))
	for i := range voters {
		voters[i] = uint64(i + 1)
	}
	f.Origins = slices.Sorted(slices.Values(f.Origins))
	r := root{Mark: 1, Seen: make([]uint64, len(voters)), Term: 1, Commit: 1, Index: 1, Since: 1, Last: 1}
	out := split(snapshotKey(1), new(machine).marshal())
	return append(out, Record{Key: rootKey, Value: encode(r)}, Record{Key: foundingKey, Value: encode(f)})
}

// Found makes a store that of a founding, in place of whatever it held of a lower epoch. An error where it holds the same epoch or a
// higher one, or another fleet's.
func Bootstrap(st *store.Store, f BootstrapConfig) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s, err := read(st)
	if err != nil {
		return err
	}
	if old, ok, err := s.founding(); err != nil {
		return err
	} else if ok && (old.Cluster != f.Cluster || old.Epoch >= f.Epoch) {
		return fmt.Errorf("the store is that of fleet %q, epoch %d: found a higher epoch, or another directory", old.Cluster, old.Epoch)
	}
	var p Persist
	for _, key := range slices.Sorted(func(yield func(string) bool) {
		for k := range s.Records {
			if !yield(k) {
				return
			}
		}
	}) {
		p.Records = append(p.Records, Record{Key: key, Delete: true})
	}
	p.Records = append(p.Records, found(f)...)
	return Write(st, p)
}

func read(st *store.Store) (*State, error) {
	s := &State{Records: map[string][]byte{}}
	err := st.Each(func(key string, value []byte, _ time.Time) bool {
		s.Records[key] = slices.Clone(value)
		return true
	})
	return s, err
}

func (s *State) founding() (f BootstrapConfig, ok bool, err error) {
	data, ok := s.Records[foundingKey]
	if !ok {
		return f, false, nil
	}
	if err := decode(data, &f); err != nil {
		return f, false, fmt.Errorf("the store's founding cannot be read: %w", err)
	}
	return f, true, nil
}

// Load reads what a store holds; an error where it was never founded.
func Load(st *store.Store) (*State, error) {
	s, err := read(st)
	if err != nil {
		return nil, err
	}
	return s, s.load()
}

func (s *State) load() error {
	f, ok, err := s.founding()
	if err != nil {
		return err
	}
	if !ok {
		return errors.New("the store was never founded: hazelwing origin found")
	}
	s.Bootstrap = f
	return f.Validate()
}

// Write makes a Persist durable, in order. It blocks; after an error the process ends.
func Write(st *store.Store, p Persist) error {
	for _, r := range p.Records {
		var err error
		if r.Delete {
			err = st.Delete(r.Key)
		} else {
			err = st.Put(r.Key, r.Value, forever)
		}
		if err != nil {
			return fmt.Errorf("the origin's store: %w", err)
		}
	}
	return nil
}

// errDamaged is that the store lacks what its root names.
var errDamaged = errors.New("its store lacks what it had made durable")

// restore fills raft's view of the log from the records. With errDamaged the view holds what could be read, for serving alone.
func (s *State) restore() (*raft.MemoryStorage, *root, error) {
	r := new(root)
	ms := raft.NewMemoryStorage()
	data, ok := s.Records[rootKey]
	if !ok || decode(data, r) != nil || len(r.Seen) != len(s.Bootstrap.Origins) {
		return nil, nil, fmt.Errorf("%w: no root", errDamaged)
	}
	snap, ok := joined(s.Records, snapshotKey(r.Index))
	if !ok {
		return nil, r, fmt.Errorf("%w: the snapshot of %d", errDamaged, r.Index)
	}
	if err := ms.ApplySnapshot(&raftpb.Snapshot{Data: snap, Metadata: &raftpb.SnapshotMetadata{Index: &r.Index, Term: &r.Since, ConfState: voters(len(r.Seen))}}); err != nil {
		return nil, r, err
	}
	var damaged error
	last := r.Index
	for i, k := r.Index+1, 0; i <= r.Last; i++ {
		for k+1 < len(r.Runs) && r.Runs[k+1].Index <= i {
			k++
		}
		e := new(raftpb.Entry)
		if k >= len(r.Runs) {
			damaged = fmt.Errorf("%w: no term of entry %d", errDamaged, i)
			break
		}
		data, ok := joined(s.Records, entryKey(i, r.Runs[k].Term))
		if !ok || proto.Unmarshal(data, e) != nil || e.GetIndex() != i || e.GetTerm() != r.Runs[k].Term {
			damaged = fmt.Errorf("%w: entry %d", errDamaged, i)
			break
		}
		if err := ms.Append([]*raftpb.Entry{e}); err != nil {
			return nil, r, err
		}
		last = i
	}
	commit := min(r.Commit, last)
	return ms, r, errors.Join(damaged, ms.SetHardState(&raftpb.HardState{Term: &r.Term, Vote: &r.Vote, Commit: &commit}))
}

func voters(n int) *raftpb.ConfState {
	c := new(raftpb.ConfState)
	for i := range n {
		c.Voters = append(c.Voters, uint64(i+1))
	}
	return c
}

// garbage is what the records hold and no root names.
func (s *State) garbage(r *root, ms *raft.MemoryStorage) (out []Record) {
	named := map[string]bool{snapshotKey(r.Index): true}
	for i := r.Index + 1; i <= r.Last; i++ {
		if term, err := ms.Term(i); err == nil {
			named[entryKey(i, term)] = true
		}
	}
	for key := range s.Records {
		if blob := key[:max(strings.LastIndexByte(key, '/'), 0)]; blob != "" && !named[blob] {
			out = append(out, Record{Key: key, Delete: true})
		}
	}
	slices.SortFunc(out, func(x, y Record) int { return strings.Compare(x.Key, y.Key) })
	return out
}

// Founded is what a store holds that was founded so: for origins without a disk.
func NewBootstrappedState(f BootstrapConfig) (*State, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	s := &State{Records: map[string][]byte{}}
	s.Write(Persist{found(f)})
	return s, s.load()
}

// Write does in memory what Write does on a store.
func (s *State) Write(p Persist) {
	for _, r := range p.Records {
		if r.Delete {
			delete(s.Records, r.Key)
		} else {
			s.Records[r.Key] = r.Value
		}
	}
}
