package store

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// What the store does by itself: hint files, and giving back the place of what has expired, was deleted or replaced.

const (
	// A compaction is worth it where at least compactSegments segments' worth, and this share of all, are of no use;
	// and where the store is fuller than compactFull of what it may be, each time that it has grown by compactStep of that.
	compactSegments = 2
	compactShare    = 0.5
	compactFull     = 0.75
	compactStep     = 0.0625
)

// maintain runs Maintain whenever there may be something to do.
func (s *Store) maintain() {
	defer close(s.idle)
	tick := time.NewTicker(s.o.MaintainEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-s.tidy:
		case <-tick.C:
		}
		if err := s.Maintain(); err != nil && !errors.Is(err, ErrClosed) {
			s.o.Log.Warn("store: maintenance; it is tried again", "err", err)
		}
	}
}

// wanted says that there may be something to maintain. It does not block.
func (s *Store) wanted() {
	select {
	case s.tidy <- struct{}{}:
	default:
	}
}

// Maintain writes the hint files that are missing, drops the oldest segments as far as nothing in them counts, and
// compacts where enough of the rest is of no use. It may be called at any time; reads and writes go on meanwhile.
func (s *Store) Maintain() error {
	err := s.drop()
	if err == nil && s.worthIt() {
		err = s.Compact()
	}
	return errors.Join(err, s.hint())
}

// sealed lists the closed segments, oldest first.
func (s *Store) sealed() (list []*segment) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range s.segments {
		if g.sealed {
			list = append(list, g)
		}
	}
	slices.SortFunc(list, func(a, b *segment) int { return int(int64(a.number) - int64(b.number)) })
	return list
}

func (s *Store) hint() (err error) {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	for _, g := range s.sealed() {
		select {
		case <-s.closed:
			return err
		default:
		}
		if !g.hinted {
			g.hinted = true // once a life: a segment without one is only slower to start with
			err = errors.Join(err, s.writeHint(g))
		}
	}
	return err
}

// drop removes the oldest closed segments while nothing in them counts. Only from that end: a delete in one of them is
// still needed while a put of its key may lie in an older one.
func (s *Store) drop() error {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	for _, g := range s.sealed() {
		now := s.o.Now().UnixMilli()
		s.mu.Lock()
		if g.entries > 0 && g.lastExpires > now {
			s.mu.Unlock()
			return nil
		}
		if g.entries > 0 {
			for key, p := range s.index {
				if p.segment == g.number {
					delete(s.index, key)
				}
			}
		}
		delete(s.segments, g.number)
		s.count.dropped++
		s.mu.Unlock()
		g.f.Close()
		if err := s.remove(g); err != nil {
			return err
		}
	}
	return nil
}

// remove removes the files of segments in order, each durably before the next and all before those of a later call: no
// put outlives its delete. What it could not remove it tries again the next time.
func (s *Store) remove(list ...*segment) error {
	s.doomed = append(s.doomed, list...)
	for len(s.doomed) > 0 {
		g := s.doomed[0]
		if g.hinted {
			s.fs.Remove(hintName(g.number)) // one that stays is removed at the next start
		}
		if err := s.fs.Remove(segmentName(g.number)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("store: %s: %w", segmentName(g.number), err)
		}
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
		s.doomed = s.doomed[1:]
	}
	return nil
}

// worthIt says whether a compaction would give back enough.
func (s *Store) worthIt() bool {
	s.compacting.Lock()
	last := s.compacted
	s.compacting.Unlock()
	now := s.o.Now().UnixMilli()
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all, waste int64
	for _, g := range s.segments {
		all += g.size
		if g.lastExpires <= now {
			waste += g.size
		} else {
			waste += g.size - g.live
		}
	}
	if waste >= compactSegments*s.o.SegmentSize && float64(waste) >= compactShare*float64(all) {
		return true
	}
	limit := float64(s.o.MaxBytes)
	return float64(all) > compactFull*limit && float64(all-last) > compactStep*limit
}
