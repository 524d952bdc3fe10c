package origin

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwing/internal/store"
)

// State is the content of an origin's store, as Load reads it.
type State struct {
	Bootstrap BootstrapConfig
	Records   map[string][]byte
}

// ErrNotBootstrapped says that a store has no bootstrap configuration.
var ErrNotBootstrapped = errors.New("the store was never bootstrapped: run hazelwing origin found")

// errDamagedStore says that the store has no valid root, or that a record that the root references is missing or
// invalid. The errors that wrap it name the record. Operators see these texts as the reason why the origin withdrew.
var errDamagedStore = errors.New("its store lacks what it had made durable")

// alreadyBootstrappedError says that a store was bootstrapped for the same or a higher epoch, or for another cluster.
type alreadyBootstrappedError struct{ stored BootstrapConfig }

func (e *alreadyBootstrappedError) Error() string {
	return fmt.Sprintf("the store belongs to fleet %q, epoch %d: choose a higher epoch, or another directory",
		e.stored.Cluster, e.stored.Epoch)
}

// Bootstrap writes the records of a new origin to a store. It overwrites a store of a lower epoch of the same cluster.
// It returns an error if the store is of the same or a higher epoch, or of another cluster.
func Bootstrap(st *store.Store, c BootstrapConfig) error {
	if err := c.Validate(); err != nil {
		return err
	}
	s, err := readState(st)
	if err != nil {
		return err
	}
	old, ok, err := s.bootstrapConfig()
	if err != nil {
		return err
	}
	if ok && (old.Cluster != c.Cluster || old.Epoch >= c.Epoch) {
		return &alreadyBootstrappedError{old}
	}
	var p Persist
	for _, key := range slices.Sorted(maps.Keys(s.Records)) {
		p.Records = append(p.Records, Record{Key: key, Delete: true})
	}
	p.Records = append(p.Records, bootstrapRecords(c)...)
	return Write(st, p)
}

// NewBootstrappedState returns the state of a newly bootstrapped origin, without a store.
func NewBootstrappedState(c BootstrapConfig) (*State, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	s := &State{Records: map[string][]byte{}}
	s.Write(Persist{bootstrapRecords(c)})
	return s, s.validate()
}

// Load reads the state from a store. The error is ErrNotBootstrapped if the store was never bootstrapped.
func Load(st *store.Store) (*State, error) {
	s, err := readState(st)
	if err != nil {
		return nil, err
	}
	return s, s.validate()
}

// Write makes a Persist durable. It blocks. After an error the process must exit.
func Write(st *store.Store, p Persist) error {
	// Records of the store need an expiry time, but an origin's records must never expire.
	noExpiry := time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, r := range p.Records {
		var err error
		if r.Delete {
			err = st.Delete(r.Key)
		} else {
			err = st.Put(r.Key, r.Value, noExpiry)
		}
		if err != nil {
			return fmt.Errorf("writing record %q to the origin's store: %w", r.Key, err)
		}
	}
	return nil
}

// Write applies a Persist to the state in memory.
func (s *State) Write(p Persist) {
	for _, r := range p.Records {
		if r.Delete {
			delete(s.Records, r.Key)
		} else {
			s.Records[r.Key] = r.Value
		}
	}
}

func readState(st *store.Store) (*State, error) {
	s := &State{Records: map[string][]byte{}}
	err := st.Each(func(key string, value []byte, _ time.Time) bool {
		s.Records[key] = slices.Clone(value)
		return true
	})
	return s, err
}

// bootstrapConfig decodes the bootstrap configuration; ok is false if there is none.
func (s *State) bootstrapConfig() (c BootstrapConfig, ok bool, err error) {
	data, ok := s.Records[bootstrapRecordKey]
	if !ok {
		return c, false, nil
	}
	if err := decode(data, &c); err != nil {
		return c, false, fmt.Errorf("decoding the bootstrap configuration in the store: %w", err)
	}
	return c, true, nil
}

// validate sets Bootstrap from the records and checks it.
func (s *State) validate() error {
	c, ok, err := s.bootstrapConfig()
	if err != nil {
		return err
	}
	if !ok {
		return ErrNotBootstrapped
	}
	s.Bootstrap = c
	return c.Validate()
}

// restore returns raft's log and the root. If the store is damaged, the error wraps errDamagedStore, the log ends
// before the first entry that cannot be read, and the root or the log is nil if it cannot be read at all. The origin
// may then serve the snapshot in the log, but must not participate in consensus.
func (s *State) restore() (log *raft.MemoryStorage, root *rootRecord, err error) {
	root = new(rootRecord)
	data, ok := s.Records[rootRecordKey]
	if !ok || decode(data, root) != nil || len(root.WriteNumbers) != len(s.Bootstrap.Origins) {
		return nil, nil, fmt.Errorf("%w: no root", errDamagedStore)
	}
	snapshot, ok := joinValue(s.Records, snapshotKey(root.SnapshotIndex))
	if !ok {
		return nil, root, fmt.Errorf("%w: the snapshot of %d", errDamagedStore, root.SnapshotIndex)
	}
	log = raft.NewMemoryStorage()
	err = log.ApplySnapshot(&raftpb.Snapshot{
		Data: snapshot,
		Metadata: &raftpb.SnapshotMetadata{
			Index:     &root.SnapshotIndex,
			Term:      &root.SnapshotTerm,
			ConfState: voters(len(root.WriteNumbers)),
		},
	})
	if err != nil {
		return nil, root, err
	}
	last, err := s.restoreEntries(log, root)
	if err != nil && !errors.Is(err, errDamagedStore) {
		return nil, root, err
	}
	commit := min(root.Commit, last)
	state := &raftpb.HardState{Term: &root.Term, Vote: &root.Vote, Commit: &commit}
	return log, root, errors.Join(err, log.SetHardState(state))
}

// restoreEntries appends the entries after the snapshot to the log, up to the first that is missing or damaged. It
// returns the index of the last entry in the log.
func (s *State) restoreEntries(log *raft.MemoryStorage, root *rootRecord) (last uint64, err error) {
	last = root.SnapshotIndex
	for last < root.LastIndex {
		e, err := s.restoreEntry(root, last+1)
		if err != nil {
			return last, err
		}
		if err := log.Append([]*raftpb.Entry{e}); err != nil {
			return last, err
		}
		last++
	}
	return last, nil
}

func (s *State) restoreEntry(root *rootRecord, index uint64) (*raftpb.Entry, error) {
	term, ok := root.termOf(index)
	if !ok {
		return nil, fmt.Errorf("%w: no term of entry %d", errDamagedStore, index)
	}
	e := new(raftpb.Entry)
	data, ok := joinValue(s.Records, entryKey(index, term))
	if !ok || proto.Unmarshal(data, e) != nil || e.GetIndex() != index || e.GetTerm() != term {
		return nil, fmt.Errorf("%w: entry %d", errDamagedStore, index)
	}
	return e, nil
}

// voters returns raft's configuration of a cluster of n origins.
func voters(n int) *raftpb.ConfState {
	c := new(raftpb.ConfState)
	for i := range n {
		c.Voters = append(c.Voters, uint64(i+1))
	}
	return c
}

// unreferenced returns the deletions of all records that the root does not reference. A crash may have left such
// records. If the store is damaged, this includes the entries from the first one that could not be read, which are
// missing in the log.
func (s *State) unreferenced(root *rootRecord, log *raft.MemoryStorage) (deletes []Record) {
	referenced := map[string]bool{snapshotKey(root.SnapshotIndex): true}
	for i := root.SnapshotIndex + 1; i <= root.LastIndex; i++ {
		if term, err := log.Term(i); err == nil {
			referenced[entryKey(i, term)] = true
		}
	}
	for key := range s.Records {
		value := key[:max(strings.LastIndexByte(key, '/'), 0)] // key without the part number
		if value != "" && !referenced[value] {
			deletes = append(deletes, Record{Key: key, Delete: true})
		}
	}
	slices.SortFunc(deletes, func(x, y Record) int { return strings.Compare(x.Key, y.Key) })
	return deletes
}
