package origin

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"hazelwing/internal/controlplane"
)

// The log is compacted to a new snapshot when this many entries or bytes have been applied since the previous one.
// Higher values write fewer snapshots, but take more disk space and make a start slower.
const (
	maxAppliedEntries = 16
	maxAppliedBytes   = 2 * controlplane.MaxSnapshotSize
)

// storedEntry is an entry of the log in the store.
type storedEntry struct {
	index, term uint64
	parts       int // number of records in which it is stored
}

// deletes returns the deletions of all records in which the entry is stored.
func (e storedEntry) deletes() []Record { return deleteParts(entryKey(e.index, e.term), e.parts) }

func deleteParts(key string, parts int) (deletes []Record) {
	for i := range parts {
		deletes = append(deletes, Record{Key: partKey(key, i), Delete: true})
	}
	return deletes
}

// persist returns a Persist that writes new entries, a new snapshot (unless it is nil) and the root that references
// them. The Persist also deletes the records that the root no longer references.
func (n *Node) persist(entries []*raftpb.Entry, snapshot *raftpb.Snapshot) Persist {
	var puts, deletes []Record
	if snapshot != nil {
		puts, deletes = n.persistSnapshot(snapshot)
	}
	for _, e := range entries {
		deletes = append(deletes, n.truncateStored(e)...)
		parts := splitValue(entryKey(e.GetIndex(), e.GetTerm()), marshalEntry(e))
		puts = append(puts, parts...)
		n.storedEntries = append(n.storedEntries, storedEntry{
			index: e.GetIndex(),
			term:  e.GetTerm(),
			parts: len(parts),
		})
	}
	n.updateRoot()
	puts = append(puts, Record{Key: rootRecordKey, Value: encode(n.root)})
	return Persist{append(puts, deletes...)}
}

// persistSnapshot returns records that write a snapshot, and records that delete the previous snapshot and the entries
// that the new snapshot covers.
func (n *Node) persistSnapshot(snapshot *raftpb.Snapshot) (puts, deletes []Record) {
	index, term := snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetTerm()
	puts = splitValue(snapshotKey(index), snapshot.GetData())
	deletes = deleteParts(snapshotKey(n.root.SnapshotIndex), n.snapshotParts)
	n.snapshotParts = len(puts)
	n.root.SnapshotIndex = index
	n.root.SnapshotTerm = term
	for len(n.storedEntries) > 0 && n.storedEntries[0].index <= index {
		deletes = append(deletes, n.storedEntries[0].deletes()...)
		n.storedEntries = n.storedEntries[1:]
	}
	if logTerm, err := n.log.Term(index); err != nil || logTerm != term {
		panic("origin: the log does not begin at its snapshot")
	}
	if last, _ := n.log.LastIndex(); last == index { // raft has dropped the entries after the snapshot, too
		for _, e := range n.storedEntries {
			deletes = append(deletes, e.deletes()...)
		}
		n.storedEntries = nil
	}
	return puts, deletes
}

// truncateStored removes the stored entries that a new entry replaces. It returns the deletions of their records,
// except for records that the new entry overwrites.
func (n *Node) truncateStored(e *raftpb.Entry) (deletes []Record) {
	for last := len(n.storedEntries) - 1; last >= 0 && n.storedEntries[last].index >= e.GetIndex(); last-- {
		if old := n.storedEntries[last]; old.index != e.GetIndex() || old.term != e.GetTerm() {
			deletes = append(deletes, old.deletes()...)
		}
		n.storedEntries = n.storedEntries[:last]
	}
	return deletes
}

// updateRoot advances the root to the next write number, and makes it reference the stored entries.
func (n *Node) updateRoot() {
	n.writeNumber++
	n.writeNumbers[n.id-1] = n.writeNumber
	n.root.WriteNumber = n.writeNumber
	n.root.WriteNumbers = n.writeNumbers
	n.root.LastIndex = n.root.SnapshotIndex
	n.root.TermRuns = nil
	for _, e := range n.storedEntries {
		if k := len(n.root.TermRuns); k == 0 || n.root.TermRuns[k-1].Term != e.term {
			n.root.TermRuns = append(n.root.TermRuns, termRun{Index: e.index, Term: e.term})
		}
		n.root.LastIndex = e.index
	}
}

func marshalEntry(e *raftpb.Entry) []byte {
	data, err := proto.Marshal(e)
	if err != nil {
		panic(err) // unreachable: raft created the entry
	}
	return data
}

// compactLog replaces the applied entries by a snapshot of the state machine once maxAppliedEntries or maxAppliedBytes
// is reached.
func (n *Node) compactLog(actions []Action) []Action {
	first, _ := n.log.FirstIndex() // a MemoryStorage returns no error here
	if n.applied < first || n.applied-first+1 < maxAppliedEntries && n.appliedBytes < maxAppliedBytes {
		return actions
	}
	snapshot, err := n.log.CreateSnapshot(n.applied, voters(len(n.names)), n.state.marshal())
	if err != nil {
		panic(err) // unreachable: the index is in the log
	}
	if err := n.log.Compact(n.applied); err != nil {
		panic(err)
	}
	n.appliedBytes = 0
	return append(actions, n.persist(nil, snapshot))
}
