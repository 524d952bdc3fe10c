package store

import "slices"

// The writer: one goroutine that makes batches durable, each with one write and one sync.

func (s *Store) write() {
	defer close(s.ended)
	for {
		var batch []op
		select {
		case o := <-s.ops:
			batch = append(batch, o)
		case <-s.closed:
			select {
			case o := <-s.ops: // asked for before
				batch = append(batch, o)
			default:
				return
			}
		}
		for len(batch) < maxBatch && batch[len(batch)-1].roll == nil {
			select {
			case o := <-s.ops:
				batch = append(batch, o)
				continue
			default:
			}
			break
		}
		if last := batch[len(batch)-1]; last.roll != nil {
			s.commit(batch[:len(batch)-1])
			s.seal(last)
			continue
		}
		s.commit(batch)
	}
}

// commit makes a batch durable and answers all of it. What cannot be written fails as a whole, but for what is turned
// away before.
func (s *Store) commit(batch []op) {
	size := s.size()
	batch = slices.DeleteFunc(batch, func(o op) bool {
		if o.kind == put && size+o.size() > s.o.MaxBytes {
			o.done <- ErrFull
			return true
		}
		size += o.size()
		return false
	})
	if len(batch) == 0 {
		return
	}
	err := s.room()
	var places []place
	if err == nil {
		s.buf = s.buf[:0]
		for i := range batch {
			r := &batch[i].record
			r.seq = s.seq
			s.seq++
			offset := s.active.size + int64(len(s.buf))
			s.buf = r.add(s.buf, s.active.number, offset)
			places = append(places, place{r.seq, r.expires, s.active.number, offset, int32(r.size())})
		}
		err = s.append()
	}
	if err == nil {
		s.mu.Lock()
		s.active.size += int64(len(s.buf))
		for i, o := range batch {
			if o.kind == put {
				s.index[o.key] = places[i]
			} else {
				delete(s.index, o.key)
			}
		}
		s.mu.Unlock()
	}
	s.buf = s.buf[:0]
	for _, o := range batch {
		o.done <- err
	}
}

// append writes and syncs the buffer. After a failure the segment is closed at what was confirmed: what lies behind may
// or may not be on the disk, and a later sync would not tell.
func (s *Store) append() error {
	_, err := s.active.f.Write(s.buf)
	if err == nil {
		err = s.active.f.Sync()
		s.mu.Lock()
		s.syncs++
		s.mu.Unlock()
	}
	if err != nil {
		s.active.f.Truncate(s.active.size) // as far as it goes: recovery knows what is no record
		s.active = nil
	}
	return err
}

// room sees to it that there is a segment to write to.
func (s *Store) room() error {
	if s.active != nil && s.active.size < s.o.SegmentSize {
		return nil
	}
	s.active = nil
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
	return &segment{n, f, headerSize}, nil
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
	s.active = nil
	output := s.next
	s.next++
	s.mu.RLock()
	var sealed []*segment
	for _, g := range s.segments {
		sealed = append(sealed, g)
	}
	s.mu.RUnlock()
	slices.SortFunc(sealed, func(a, b *segment) int { return int(int64(a.number) - int64(b.number)) })
	o.roll(output, sealed)
	o.done <- nil
}
