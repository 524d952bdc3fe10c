package store

import (
	"slices"
	"time"
)

// The writer: one goroutine that makes batches durable, each with one write and one sync.

func (s *Store) write() {
	defer close(s.ended)
	sync := time.NewTimer(time.Hour)
	sync.Stop()
	defer sync.Stop()
	late := time.NewTimer(time.Hour) // for what was left for later
	late.Stop()
	defer late.Stop()
	for {
		var batch []op
		select {
		case o := <-s.ops:
			batch = s.gather(nil, o)
		case o := <-s.later:
			// Others may come meanwhile: who waits for a batch takes them along.
			late.Reset(laterWait)
			batch = []op{o}
			select {
			case <-late.C:
				batch = s.left(batch)
			case o := <-s.ops:
				late.Stop()
				batch = s.gather(batch, o)
			case <-s.closed:
			}
		case <-sync.C:
			s.sync()
			if len(s.unsynced) > 0 { // it failed, and writing it again did too
				sync.Reset(s.o.SyncEvery)
			}
			continue
		case <-s.closed:
			select {
			case o := <-s.ops: // asked for before
				batch = s.gather(nil, o)
			case o := <-s.later:
				batch = s.left([]op{o})
			default:
				s.sync()
				return
			}
		}
		before := len(s.unsynced)
		if last := batch[len(batch)-1]; last.roll != nil {
			s.commit(batch[:len(batch)-1])
			s.seal(last)
		} else {
			s.commit(batch)
		}
		if before == 0 && len(s.unsynced) > 0 {
			sync.Reset(s.o.SyncEvery)
		}
	}
}

// left appends all that was left for later.
func (s *Store) left(batch []op) []op {
	for {
		select {
		case o := <-s.later:
			batch = append(batch, o)
		default:
			return batch
		}
	}
}

// gather makes a batch of what was left for later, the first that somebody waits for, and all others that wait, up to
// a roll. Of one key, what was left for later was asked for earlier.
func (s *Store) gather(later []op, first op) []op {
	batch := append(s.left(later), first)
	for n := 1; n < maxBatch && batch[len(batch)-1].roll == nil; n++ {
		select {
		case o := <-s.ops:
			batch = append(batch, o)
			continue
		default:
		}
		break
	}
	return batch
}

// commit makes a batch durable and answers all of it. What cannot be written fails as a whole, but for what is turned
// away before.
func (s *Store) commit(batch []op) {
	size := s.size()
	batch = slices.DeleteFunc(batch, func(o op) bool {
		if o.kind == put && size+o.size() > s.o.MaxBytes {
			o.end(ErrFull)
			s.wanted()
			return true
		}
		size += o.size()
		return false
	})
	if len(batch) == 0 {
		return
	}
	if len(s.unsynced) > 0 && (s.full() || len(s.unsynced) >= unsyncedOps) {
		s.sync()
	}
	var err error = errUnsynced
	if len(s.unsynced) < unsyncedOps {
		err = s.append(batch, s.o.SyncEvery == 0)
	}
	for i := range batch {
		batch[i].end(err)
	}
	if err == nil && s.o.SyncEvery > 0 {
		s.mu.Lock()
		s.unsynced = append(s.unsynced, batch...)
		s.mu.Unlock()
	}
}

// append writes a batch, with sync also syncs it, and then takes it into the index.
func (s *Store) append(batch []op, sync bool) error {
	err := s.room()
	if err != nil {
		s.failed()
		return err
	}
	var places []place
	g := s.active
	s.buf = s.buf[:0]
	for i := range batch {
		r := &batch[i].record
		r.seq = s.seq
		s.seq++
		offset := g.size + int64(len(s.buf))
		s.buf = r.add(s.buf, g.number, offset)
		places = append(places, place{r.seq, r.expires, g.number, offset, int32(r.size())})
	}
	if _, err = g.f.Write(s.buf); err == nil && sync {
		err = s.syncActive()
	}
	if err != nil {
		// What lies behind what was confirmed may or may not be on the disk, and a later sync would not tell.
		s.failed()
		g.f.Truncate(g.size) // as far as it goes: recovery knows what is no record
		s.close()
		if g.size == headerSize { // guards against a segment for each try while the disk fails
			if s.fs.Remove(segmentName(g.number)) == nil { // else a compaction takes it, in its turn
				s.mu.Lock()
				delete(s.segments, g.number)
				s.mu.Unlock()
				g.f.Close()
			}
		}
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g.size += int64(len(s.buf))
	for i, o := range batch {
		if old, ok := s.index[o.key]; ok {
			x := s.segments[old.segment]
			x.entries--
			x.live -= int64(old.size)
		}
		if o.kind == put {
			s.index[o.key] = places[i]
			g.holds(places[i])
		} else {
			delete(s.index, o.key)
		}
	}
	return nil
}

func (s *Store) failed() {
	s.mu.Lock()
	s.count.failures++
	s.mu.Unlock()
}

func (s *Store) syncActive() error {
	err := s.active.f.Sync()
	s.mu.Lock()
	s.count.syncs++
	s.mu.Unlock()
	return err
}

// sync makes durable what SyncEvery has confirmed before. After a failure nothing of it counts as durable in its
// segment: it is written again, to a new one. Nothing is lost while the process lives; what could not be written is
// tried again.
func (s *Store) sync() {
	if len(s.unsynced) == 0 {
		return
	}
	if s.active != nil && !s.rewrite {
		if s.syncActive() == nil {
			s.synced()
			return
		}
		s.failed()
		s.close()
	}
	if s.append(latest(s.unsynced), true) == nil {
		s.synced()
		return
	}
	s.mu.Lock()
	s.count.lost = uint64(len(s.unsynced))
	s.mu.Unlock()
}

// latest is the last of each key, in order. Guards against a crash in the middle of writing them again: an older one that
// got through would have a higher sequence than the newer one that had been written before.
func latest(ops []op) []op {
	seen := map[string]bool{}
	var out []op
	for _, o := range slices.Backward(ops) {
		if !seen[o.key] {
			seen[o.key] = true
			out = append(out, o)
		}
	}
	slices.Reverse(out)
	return out
}

func (s *Store) synced() {
	s.mu.Lock()
	s.unsynced, s.rewrite, s.count.lost = nil, false, 0
	s.mu.Unlock()
}

// close lets the segment that is written to be one of the closed.
func (s *Store) close() {
	if s.active == nil {
		return
	}
	s.mu.Lock()
	s.active.sealed = true
	s.mu.Unlock()
	s.rewrite = s.rewrite || len(s.unsynced) > 0
	s.active = nil
	s.wanted()
}

// room sees to it that there is a segment to write to.
func (s *Store) room() error {
	if s.active != nil && !s.full() {
		return nil
	}
	s.close()
	s.next++ // whatever becomes of it: what is left of a failed one is not written to
	g, err := s.create(s.next - 1)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.segments[g.number] = g
	s.mu.Unlock()
	s.active = g
	return nil
}

// full says that the next batch goes to a new segment.
func (s *Store) full() bool { return s.active != nil && s.active.size >= s.o.SegmentSize }

// create makes a segment whose header and name are durable. What is left of one that failed is removed, as far as that
// goes.
func (s *Store) create(n uint64) (*segment, error) {
	f, err := s.fs.Create(segmentName(n))
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(header(n)); err == nil {
		if err = f.Sync(); err == nil {
			err = s.fs.SyncDir()
		}
	}
	if err != nil {
		f.Close()
		s.fs.Remove(segmentName(n))
		return nil, err
	}
	return &segment{number: n, f: f, size: headerSize}, nil
}

func (s *Store) size() (sum int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range s.segments {
		sum += g.size
	}
	return sum
}

// seal closes the segment that is written to, and tells who compacts which there are, and the number for its own: the
// next one that is written to has a higher one.
func (s *Store) seal(o op) {
	s.sync()
	if len(s.unsynced) > 0 {
		o.end(errUnsynced)
		return
	}
	s.close()
	output := s.next
	s.next++
	o.roll(output, s.sealed())
	o.end(nil)
}
