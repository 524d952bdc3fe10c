package store

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// This file contains the maintenance of the store: it writes hint files, and reclaims the space of entries that have
// expired, were deleted or were replaced.

const (
	// Segments are compacted when the bytes that are not part of live records amount to at least minWasteSegments times
	// Options.SegmentSize, and to at least the share minWasteShare of all bytes. With higher values fewer copies are
	// written, but the store takes more disk space.
	minWasteSegments = 2
	minWasteShare    = 0.5
	// Segments are also compacted when their size exceeds the share fullShare of Options.MaxBytes, and has grown by
	// more than the share fullStep of Options.MaxBytes since the last compaction. With higher values compactions come
	// later and less often, but the store is more likely to reject entries with ErrFull.
	fullShare = 0.75
	fullStep  = 0.0625
)

// runMaintainer calls Maintain whenever it is requested and every Options.MaintainEvery, until the store is closed.
func (s *Store) runMaintainer() {
	defer close(s.maintainerDone)
	ticker := time.NewTicker(s.options.MaintainEvery)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-s.maintenanceRequests:
		case <-ticker.C:
		}
		if err := s.Maintain(); err != nil && !errors.Is(err, ErrClosed) {
			s.logger.Warn("maintenance failed and will be retried", "error", err)
		}
	}
}

// requestMaintenance makes the maintainer call Maintain. It does not block.
func (s *Store) requestMaintenance() {
	select {
	case s.maintenanceRequests <- struct{}{}:
	default:
	}
}

// Maintain drops the oldest segments as long as they contain no live record, compacts the others if that reclaims
// enough space, and writes missing hint files. It may be called at any time; reads and writes continue meanwhile.
func (s *Store) Maintain() error {
	err := s.dropSegments()
	if err == nil && s.shouldCompact() {
		err = s.Compact()
	}
	return errors.Join(err, s.writeHints())
}

// sealedSegments returns the sealed segments, oldest first.
func (s *Store) sealedSegments() []*segment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []*segment
	for _, g := range s.segments {
		if g.sealed {
			list = append(list, g)
		}
	}
	slices.SortFunc(list, func(a, b *segment) int { return cmp.Compare(a.number, b.number) })
	return list
}

// writeHints writes missing hint files. It tries each file only once, since a segment without a hint file merely takes
// longer to load.
func (s *Store) writeHints() error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	var err error
	for _, g := range s.sealedSegments() {
		if s.isClosed() {
			return err
		}
		if !g.hintTried {
			g.hintTried = true
			err = errors.Join(err, s.writeHint(g))
		}
	}
	return err
}

// dropSegments removes the oldest sealed segments as long as they contain no live record. It stops at the first segment
// with a live record: a delete in a later segment has to stay as long as an earlier segment may contain a put of its
// key.
func (s *Store) dropSegments() error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	for _, g := range s.sealedSegments() {
		if !s.drop(g) {
			return nil
		}
		_ = g.file.Close() // an error does not matter, since the segment has no live record
		if err := s.removeFiles(g); err != nil {
			return err
		}
	}
	return nil
}

// drop removes a segment and its expired entries from the index. It returns false, and does nothing, if the segment may
// contain a live record.
func (s *Store) drop(g *segment) bool {
	now := s.options.Now().UnixMilli()
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.entries > 0 && g.lastExpiry > now {
		return false
	}
	if g.entries > 0 {
		for key, l := range s.index {
			if l.segment == g.number {
				delete(s.index, key)
			}
		}
	}
	delete(s.segments, g.number)
	s.counters.dropped++
	return true
}

// removeFiles removes the files of segments in the given order, after the files that earlier calls could not remove.
// Each removal is made durable before the next, so that a put never stays on the disk longer than the delete of its
// key. Files that could not be removed stay in pendingRemovals, and the next call tries again. The caller holds
// compactMu.
func (s *Store) removeFiles(list ...*segment) error {
	s.pendingRemovals = append(s.pendingRemovals, list...)
	for len(s.pendingRemovals) > 0 {
		g := s.pendingRemovals[0]
		if g.hintTried {
			_ = s.fs.Remove(hintName(g.number)) // if this fails, recovery removes the file at the next start
		}
		if err := s.fs.Remove(segmentName(g.number)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("store: removing %s: %w", segmentName(g.number), err)
		}
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
		s.pendingRemovals = s.pendingRemovals[1:]
	}
	return nil
}

// shouldCompact decides whether a compaction would reclaim enough space, from the size of all segments, the bytes in
// them that are not part of live records, and the size after the last compaction. Records that have expired count as
// live until the latest expiry of their segment.
func (s *Store) shouldCompact() bool {
	s.compactMu.Lock()
	lastSize := s.sizeAfterCompaction
	s.compactMu.Unlock()
	now := s.options.Now().UnixMilli()
	s.mu.RLock()
	defer s.mu.RUnlock()
	var size, waste int64
	for _, g := range s.segments {
		size += g.size
		if g.lastExpiry <= now {
			waste += g.size
		} else {
			waste += g.size - g.live
		}
	}
	if waste >= minWasteSegments*s.options.SegmentSize && float64(waste) >= minWasteShare*float64(size) {
		return true
	}
	limit := float64(s.options.MaxBytes)
	return float64(size) > fullShare*limit && float64(size-lastSize) > fullStep*limit
}
