package store

import "slices"

// This file contains the functions with which the writer creates, fills, syncs and seals the active segment.

// appendBatch writes a batch to the active segment, syncs it if sync is set, and then adds it to the index.
func (s *Store) appendBatch(batch []op, sync bool) error {
	if err := s.ensureActive(); err != nil {
		s.countFailure()
		return err
	}
	locations := s.encodeBatch(batch)
	_, err := s.active.file.Write(s.buffer)
	if err == nil && sync {
		err = s.syncActive()
	}
	if err != nil {
		s.countFailure()
		s.abandonActive()
		return err
	}
	s.indexBatch(batch, locations)
	return nil
}

// encodeBatch encodes a batch to the buffer. It returns the locations that the records will have once the buffer has
// been written to the active segment.
func (s *Store) encodeBatch(batch []op) []location {
	var locations []location
	s.buffer = s.buffer[:0]
	for i := range batch {
		r := &batch[i].record
		r.sequence = s.nextSequence
		s.nextSequence++
		offset := s.active.size + int64(len(s.buffer))
		s.buffer = r.appendTo(s.buffer, s.active.number, offset)
		locations = append(locations, location{
			sequence:  r.sequence,
			expiresAt: r.expiresAt,
			segment:   s.active.number,
			offset:    offset,
			size:      int32(r.size()),
		})
	}
	return locations
}

// indexBatch adds a batch that was written to the index.
func (s *Store) indexBatch(batch []op, locations []location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active.size += int64(len(s.buffer))
	for i, o := range batch {
		if old, ok := s.index[o.key]; ok {
			s.segments[old.segment].removeEntry(old)
		}
		if o.kind == kindPut {
			s.index[o.key] = locations[i]
			s.active.addEntry(locations[i])
		} else {
			delete(s.index, o.key)
		}
	}
}

// abandonActive seals the active segment after a failed write or sync. It is unknown whether the bytes after the
// confirmed ones are on the disk, and a later successful sync would not show whether they are. Sealing the segment
// prevents an entry from being confirmed and then lost by a power loss. If no record of the segment is confirmed, its
// file is removed.
func (s *Store) abandonActive() {
	g := s.active
	// If truncating fails, recovery skips incomplete records and may restore complete ones, whose ops had an error.
	_ = g.file.Truncate(g.size)
	s.sealActive()
	if g.size > headerSize {
		return
	}
	// Removing the segment prevents each failed batch from leaving a segment without records while the disk fails. A
	// segment that cannot be removed is compacted like any other.
	if s.fs.Remove(segmentName(g.number)) == nil {
		s.mu.Lock()
		delete(s.segments, g.number)
		s.mu.Unlock()
		_ = g.file.Close() // the segment has no confirmed records
	}
}

// ensureActive creates an active segment if there is none, or if the current one is full.
func (s *Store) ensureActive() error {
	if s.active != nil && !s.isActiveFull() {
		return nil
	}
	s.sealActive()
	number := s.nextSegment
	s.nextSegment++ // also if creating the segment fails, since a part of its file may exist
	g, err := s.createSegment(number)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.segments[g.number] = g
	s.mu.Unlock()
	s.active = g
	return nil
}

// isActiveFull reports whether the active segment has reached Options.SegmentSize, so that the next batch has to be
// written to a new segment.
func (s *Store) isActiveFull() bool { return s.active != nil && s.active.size >= s.options.SegmentSize }

// createSegment creates a segment and makes its header and file name durable. After a failure it tries to remove the
// file.
func (s *Store) createSegment(number uint64) (*segment, error) {
	f, err := s.fs.Create(segmentName(number))
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(encodeHeader(number)); err == nil {
		if err = f.Sync(); err == nil {
			err = s.fs.SyncDir()
		}
	}
	if err != nil {
		// If removing the file fails, recovery removes it, since the segment has no records.
		_ = f.Close()
		_ = s.fs.Remove(segmentName(number))
		return nil, err
	}
	return &segment{number: number, file: f, size: headerSize}, nil
}

// sealActive seals the active segment, if there is one.
func (s *Store) sealActive() {
	if s.active == nil {
		return
	}
	s.mu.Lock()
	s.active.sealed = true
	s.mu.Unlock()
	s.mustRewrite = s.mustRewrite || len(s.unsynced) > 0
	s.active = nil
	s.requestMaintenance()
}

func (s *Store) syncActive() error {
	err := s.active.file.Sync()
	s.mu.Lock()
	s.counters.syncs++
	s.mu.Unlock()
	return err
}

// syncConfirmed syncs the ops that were confirmed with SyncEvery. After a failed sync none of them counts as durable,
// and the latest op of each key is written again. If this write fails as well, the ops stay in unsynced and are written
// again later, so that no entry is lost while the process runs.
func (s *Store) syncConfirmed() {
	if len(s.unsynced) == 0 {
		return
	}
	if s.active != nil && !s.mustRewrite {
		if s.syncActive() == nil {
			s.markSynced()
			return
		}
		s.countFailure()
		s.sealActive()
	}
	if s.appendBatch(latestPerKey(s.unsynced), true) == nil {
		s.markSynced()
		return
	}
	s.mu.Lock()
	s.counters.lost = uint64(len(s.unsynced))
	s.mu.Unlock()
}

func (s *Store) markSynced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsynced = nil
	s.mustRewrite = false
	s.counters.lost = 0
}

// latestPerKey returns the last op of each key, in order. Older ops of a key must not be written again, since each
// record that is written gets a higher sequence number. If a crash then left the second record of an older op on the
// disk, but not that of the last op, the older op would apply.
func latestPerKey(ops []op) []op {
	seen := map[string]bool{}
	var latest []op
	for _, o := range slices.Backward(ops) {
		if !seen[o.key] {
			seen[o.key] = true
			latest = append(latest, o)
		}
	}
	slices.Reverse(latest)
	return latest
}
