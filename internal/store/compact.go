package store

import (
	"errors"
	"fmt"
)

// copyBuffer is how much Compact writes at a time.
const copyBuffer = 256 << 10

// Compact gives back the place of what has expired, was deleted or was replaced. Reads and writes go on meanwhile. After
// an error the store is as it was, but for a file that the next one takes up.
func (s *Store) Compact() error {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	var output uint64
	var sealed []*segment
	if err := s.do(op{roll: func(n uint64, list []*segment) { output, sealed = n, list }}); err != nil {
		return err
	}
	if len(sealed) == 0 {
		return nil
	}
	g, moved, err := s.copy(output, sealed)
	if err != nil {
		return err
	}
	now := s.o.Now().UnixMilli()
	s.mu.Lock()
	s.segments[output] = g
	g.sealed = true
	for key, p := range moved {
		if s.index[key].seq == p.seq {
			s.index[key] = p
			g.holds(p)
		}
	}
	old := map[uint64]bool{}
	for _, x := range sealed {
		old[x.number] = true
	}
	for key, p := range s.index { // what was not copied has expired, or cannot be read
		if old[p.segment] {
			if p.expires > now {
				s.damaged += int64(p.size)
			}
			delete(s.index, key)
		}
	}
	for _, x := range sealed {
		delete(s.segments, x.number)
	}
	s.count.compactions++
	s.compacted = 0
	for _, x := range s.segments {
		s.compacted += x.size
	}
	s.mu.Unlock()
	for _, x := range sealed {
		err = errors.Join(err, x.f.Close())
	}
	return errors.Join(err, s.remove(sealed...))
}

// copy writes what counts in sealed segments to a new one, and syncs it.
func (s *Store) copy(output uint64, sealed []*segment) (*segment, map[string]place, error) {
	g, err := s.create(output)
	if err != nil {
		return nil, nil, err
	}
	moved := map[string]place{}
	var buf []byte
	now := s.o.Now().UnixMilli()
	flush := func() error {
		_, err := g.f.Write(buf)
		g.size += int64(len(buf))
		buf = buf[:0]
		return err
	}
	for _, x := range sealed {
		b, e := whole(x.f)
		if e != nil {
			err = fmt.Errorf("store: %s: %w", segmentName(x.number), e)
			break
		}
		scan(b[:min(int64(len(b)), x.size)], x.number, func(r record, offset, _ int64) {
			s.mu.RLock()
			p := s.index[r.key]
			s.mu.RUnlock()
			if r.kind != put || p.seq != r.seq || p.segment != x.number || p.expires <= now || err != nil {
				return
			}
			at := g.size + int64(len(buf))
			buf = r.add(buf, output, at)
			moved[r.key] = place{r.seq, r.expires, output, at, int32(r.size())}
			if len(buf) >= copyBuffer {
				err = flush()
			}
		})
		if err != nil {
			break
		}
	}
	if err == nil {
		err = flush()
	}
	if err == nil {
		err = g.f.Sync()
	}
	if err != nil {
		// Copies do no harm before the next compaction, and would after it: deletes that it takes away may be of them.
		g.f.Close()
		return nil, nil, errors.Join(err, s.remove(g))
	}
	return g, moved, nil
}
