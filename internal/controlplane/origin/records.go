package origin

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// The store has these records: "founding", the bootstrap configuration; "root", which references the valid entries and
// the valid snapshot; "e/INDEX/TERM/PART", a part of an entry of the log; and "s/INDEX/PART", a part of a snapshot of
// the state machine. Entries and snapshots do not change once a root references them. A Persist first writes entries
// and the snapshot, then the root, and then deletes the records that the root no longer references. So a crash between
// any two writes leaves either the previous root or the new one, with all that it references.
const (
	bootstrapRecordKey = "founding"
	rootRecordKey      = "root"
	maxPartSize        = 60 << 10 // bytes; a record of the store has at most 64 KiB
)

// rootRecord references the valid records of the store, and has raft's hard state.
type rootRecord struct {
	WriteNumber    uint64    `cbor:"1,keyasint"` // write number of the Persist that wrote this root
	WriteNumbers   []uint64  `cbor:"2,keyasint"` // highest known write number by origin ID
	Term           uint64    `cbor:"3,keyasint"`
	Vote           uint64    `cbor:"4,keyasint"`
	Commit         uint64    `cbor:"5,keyasint"`
	SnapshotIndex  uint64    `cbor:"6,keyasint"`
	SnapshotTerm   uint64    `cbor:"7,keyasint"`
	LastIndex      uint64    `cbor:"8,keyasint"` // index of the last entry; SnapshotIndex if there is none
	TermRuns       []termRun `cbor:"9,keyasint"` // terms of the entries, in order of the index
	RollbackReason string    `cbor:"10,keyasint,omitempty"`
}

// termRun says that the entries from Index to the one before the next run have the term Term.
type termRun struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
}

// termOf returns the term of an entry; ok is false if there are no runs.
func (r *rootRecord) termOf(index uint64) (term uint64, ok bool) {
	if len(r.TermRuns) == 0 {
		return 0, false
	}
	term = r.TermRuns[0].Term
	for _, run := range r.TermRuns[1:] {
		if run.Index > index {
			break
		}
		term = run.Term
	}
	return term, true
}

func entryKey(index, term uint64) string { return fmt.Sprintf("e/%016x/%016x", index, term) }
func snapshotKey(index uint64) string    { return fmt.Sprintf("s/%016x", index) }

// partKey returns the key of one part of a value that is stored in several records.
func partKey(key string, part int) string { return fmt.Sprintf("%s/%x", key, part) }

// splitValue splits a value, preceded by its length, into records of at most maxPartSize.
func splitValue(key string, value []byte) (records []Record) {
	value = append(binary.AppendUvarint(nil, uint64(len(value))), value...)
	for part := 0; part == 0 || len(value) > 0; part++ {
		n := min(len(value), maxPartSize)
		records = append(records, Record{Key: partKey(key, part), Value: value[:n]})
		value = value[n:]
	}
	return records
}

// joinValue joins the parts of a value that splitValue has split; ok is false if parts are missing or damaged.
func joinValue(records map[string][]byte, key string) (value []byte, ok bool) {
	var all []byte
	for i := 0; ; i++ {
		part, ok := records[partKey(key, i)]
		if !ok {
			return nil, false
		}
		all = append(all, part...)
		length, prefix := binary.Uvarint(all)
		switch have := uint64(len(all) - prefix); {
		case prefix <= 0 || have > length:
			return nil, false
		case have == length:
			return all[prefix:], true
		}
	}
}

// countParts returns the number of parts in which a value is stored.
func countParts(records map[string][]byte, key string) (n int) {
	for {
		if _, ok := records[partKey(key, n)]; !ok {
			return n
		}
		n++
	}
}

// bootstrapRecords returns the records that bootstrap an origin.
func bootstrapRecords(c BootstrapConfig) []Record {
	c.Origins = slices.Sorted(slices.Values(c.Origins))
	root := rootRecord{
		WriteNumber:   1,
		WriteNumbers:  make([]uint64, len(c.Origins)),
		Term:          1,
		Commit:        1,
		SnapshotIndex: 1,
		SnapshotTerm:  1,
		LastIndex:     1,
	}
	records := splitValue(snapshotKey(1), new(stateMachine).marshal())
	return append(records,
		Record{Key: rootRecordKey, Value: encode(root)},
		Record{Key: bootstrapRecordKey, Value: encode(c)})
}
