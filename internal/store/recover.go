package store

import (
	"errors"
	"fmt"
	"slices"
)

// recovery is the state of recover while it reads the directory.
type recovery struct {
	*Store
	hints   map[uint64]bool   // numbers of the hint files whose segment has not been loaded
	deletes map[string]uint64 // sequence number of the latest delete of each key
}

// recover reads the directory: for each segment its hint file if it can be used, and the segment itself otherwise. It
// removes hint files without a segment, and segments without valid records, which a crash may leave.
func (s *Store) recover() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	r := &recovery{Store: s, hints: map[uint64]bool{}, deletes: map[string]uint64{}}
	r.findHints(names)
	if err := r.loadSegments(names); err != nil {
		return err
	}
	for number := range r.hints { // the hint files without a segment; loadSegments has deleted the others from r.hints
		if err := s.fs.Remove(hintName(number)); err != nil {
			return fmt.Errorf("store: removing %s: %w", hintName(number), err)
		}
	}
	for key, sequence := range r.deletes {
		if l, ok := s.index[key]; ok && l.sequence < sequence {
			delete(s.index, key)
		}
	}
	for _, l := range s.index {
		s.segments[l.segment].addEntry(l)
	}
	return nil
}

// findHints adds the hint files to r.hints. The number of a hint file is not used for a new segment.
func (r *recovery) findHints(names []string) {
	for _, name := range names {
		if number := fileNumber(name, hintSuffix); number > 0 {
			r.hints[number] = true
			r.nextSegment = max(r.nextSegment, number+1)
		}
	}
}

func (r *recovery) loadSegments(names []string) error {
	for _, name := range names {
		number := fileNumber(name, segmentSuffix)
		if number == 0 {
			continue
		}
		r.nextSegment = max(r.nextSegment, number+1)
		g, err := r.loadSegment(number)
		if err != nil {
			return fmt.Errorf("store: loading %s: %w", name, err)
		}
		delete(r.hints, number)
		if g != nil {
			r.segments[number] = g
		}
	}
	return nil
}

// loadSegment reads a segment, or its hint file instead. It returns nil if the segment had no valid record and was
// removed.
func (r *recovery) loadSegment(number uint64) (*segment, error) {
	f, err := r.fs.Open(segmentName(number))
	if err != nil {
		return nil, err
	}
	g := &segment{number: number, file: f, sealed: true, hintTried: r.hints[number]}
	add := func(rec *record, offset, size int64) { r.addRecord(number, rec, offset, size) }
	if g.hintTried {
		if end, ok := r.loadHint(g, add); ok {
			g.size = end
			return g, nil
		}
		g.hintTried = false
		if err := r.fs.Remove(hintName(number)); err != nil { // Maintain writes it again
			return nil, errors.Join(err, f.Close())
		}
	}
	b, err := readAll(f)
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if v := headerVersion(b); v > 0 && v != formatVersion {
		_ = f.Close() // the file was only read
		return nil, &versionError{v}
	}
	records := 0
	end, damaged := scan(b, number, func(rec record, offset, size int64) {
		records++
		add(&rec, offset, size)
	})
	r.damaged += damaged
	if records == 0 && damaged == 0 {
		return nil, errors.Join(f.Close(), r.fs.Remove(segmentName(number)))
	}
	g.size = end
	return g, nil
}

// addRecord adds a put to the index, unless the index has a newer put of its key, or a delete to r.deletes.
func (r *recovery) addRecord(segment uint64, rec *record, offset, size int64) {
	r.nextSequence = max(r.nextSequence, rec.sequence+1)
	if rec.kind == kindDelete {
		r.deletes[rec.key] = max(r.deletes[rec.key], rec.sequence)
		return
	}
	if old, ok := r.index[rec.key]; ok && old.sequence >= rec.sequence {
		return
	}
	r.index[rec.key] = location{
		sequence:  rec.sequence,
		expiresAt: rec.expiresAt,
		segment:   segment,
		offset:    offset,
		size:      int32(size),
	}
}
