package store

import (
	"errors"
	"fmt"
)

// copyBufferSize is the size at which Compact writes its buffer to the file, in bytes.
const copyBufferSize = 256 << 10

// Compact reclaims the space of entries that have expired, were deleted or were replaced. Reads and writes continue
// meanwhile. Entries that are damaged on disk are dropped, and counted in Stats.Damaged. After an error no other entry
// is lost, but files that could not be removed may remain; the next removal of segments tries to remove them again.
func (s *Store) Compact() error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	var output uint64
	var sealed []*segment
	rotate := func(number uint64, list []*segment) { output, sealed = number, list }
	if err := s.submit(op{rotate: rotate}); err != nil {
		return err
	}
	if len(sealed) == 0 {
		return nil
	}
	g, moved, err := s.copyLive(output, sealed)
	if err != nil {
		return err
	}
	s.replaceSegments(sealed, g, moved)
	for _, old := range sealed {
		err = errors.Join(err, old.file.Close())
	}
	return errors.Join(err, s.removeFiles(sealed...))
}

// replaceSegments replaces old segments by a compacted one in the index. moved holds the locations of the entries in
// the compacted segment.
func (s *Store) replaceSegments(old []*segment, compacted *segment, moved map[string]location) {
	now := s.options.Now().UnixMilli()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments[compacted.number] = compacted
	compacted.sealed = true
	for key, l := range moved {
		if s.index[key].sequence == l.sequence {
			s.index[key] = l
			compacted.addEntry(l)
		}
	}
	isOld := map[uint64]bool{}
	for _, g := range old {
		isOld[g.number] = true
	}
	for key, l := range s.index { // entries that were not copied have expired or cannot be read
		if isOld[l.segment] {
			if l.expiresAt > now {
				s.damaged += int64(l.size)
			}
			delete(s.index, key)
		}
	}
	for _, g := range old {
		delete(s.segments, g.number)
	}
	s.counters.compactions++
	s.sizeAfterCompaction = 0
	for _, g := range s.segments {
		s.sizeAfterCompaction += g.size
	}
}

// copier copies records to a new segment.
type copier struct {
	*Store
	output *segment
	buffer []byte              // encoded records that have not been written yet
	moved  map[string]location // locations of the copies, by key
	now    int64               // Unix ms
}

// copyLive copies the live records of sealed segments to a new segment, and syncs it. It returns the new segment and
// the locations of the copies.
func (s *Store) copyLive(output uint64, sealed []*segment) (*segment, map[string]location, error) {
	g, err := s.createSegment(output)
	if err != nil {
		return nil, nil, err
	}
	c := &copier{Store: s, output: g, moved: map[string]location{}, now: s.options.Now().UnixMilli()}
	for _, source := range sealed {
		if err = c.copySegment(source); err != nil {
			break
		}
	}
	if err == nil {
		err = c.flush()
	}
	if err == nil {
		err = g.file.Sync()
	}
	if err != nil {
		// The copies have to be removed before a later compaction removes the delete of a copied key: otherwise a
		// restart after that compaction would restore the copy.
		_ = g.file.Close() // the segment is not used
		return nil, nil, errors.Join(err, s.removeFiles(g))
	}
	return g, c.moved, nil
}

// copySegment copies the live records of a segment.
func (c *copier) copySegment(source *segment) error {
	b, err := readAll(source.file)
	if err != nil {
		return fmt.Errorf("store: reading %s: %w", segmentName(source.number), err)
	}
	scan(b[:min(int64(len(b)), source.size)], source.number, func(r record, _, _ int64) {
		if err == nil && c.isLive(&r, source.number) {
			err = c.copyRecord(&r)
		}
	})
	return err
}

// isLive reports whether a record of a segment is the current one of its key in the index, and has not expired.
func (c *copier) isLive(r *record, segment uint64) bool {
	c.mu.RLock()
	l := c.index[r.key]
	c.mu.RUnlock()
	return r.kind == kindPut && l.sequence == r.sequence && l.segment == segment && l.expiresAt > c.now
}

func (c *copier) copyRecord(r *record) error {
	offset := c.output.size + int64(len(c.buffer))
	c.buffer = r.appendTo(c.buffer, c.output.number, offset)
	c.moved[r.key] = location{
		sequence:  r.sequence,
		expiresAt: r.expiresAt,
		segment:   c.output.number,
		offset:    offset,
		size:      int32(r.size()),
	}
	if len(c.buffer) >= copyBufferSize {
		return c.flush()
	}
	return nil
}

func (c *copier) flush() error {
	_, err := c.output.file.Write(c.buffer)
	c.output.size += int64(len(c.buffer))
	c.buffer = c.buffer[:0]
	return err
}
