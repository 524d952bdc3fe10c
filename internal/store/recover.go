package store

import (
	"errors"
	"fmt"
	"slices"
)

// recover reads what the directory holds: hint files where they can be used, and whole segments otherwise. A segment
// that holds no record is removed: a crash left it, and nothing in it was confirmed.
func (s *Store) recover() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	hints := map[uint64]bool{}
	for _, name := range names {
		if n := fileNumber(name, hintSuffix); n > 0 {
			hints[n] = true
			s.next = max(s.next, n+1) // a number is not used again while something tells of it
		}
	}
	removed := map[string]uint64{} // deletes seen, by key
	for _, name := range names {
		n := fileNumber(name, suffix)
		if n == 0 {
			continue
		}
		s.next = max(s.next, n+1)
		g, err := s.load(n, hints[n], removed)
		if err != nil {
			return fmt.Errorf("store: %s: %w", name, err)
		}
		delete(hints, n)
		if g != nil {
			s.segments[n] = g
		}
	}
	for n := range hints { // of a segment that is gone
		if err := s.fs.Remove(hintName(n)); err != nil {
			return fmt.Errorf("store: %s: %w", hintName(n), err)
		}
	}
	for key, seq := range removed {
		if p, ok := s.index[key]; ok && p.seq < seq {
			delete(s.index, key)
		}
	}
	for _, p := range s.index {
		s.segments[p.segment].holds(p)
	}
	return nil
}

// load reads one segment, or its hint file in its place. nil: it held nothing, and was removed.
func (s *Store) load(n uint64, hint bool, removed map[string]uint64) (*segment, error) {
	name := segmentName(n)
	f, err := s.fs.Open(name)
	if err != nil {
		return nil, err
	}
	g := &segment{number: n, f: f, sealed: true, hinted: hint}
	take := func(r *record, offset, size int64) {
		s.seq = max(s.seq, r.seq+1)
		if r.kind == remove {
			removed[r.key] = max(removed[r.key], r.seq)
		} else if old, ok := s.index[r.key]; !ok || old.seq < r.seq {
			s.index[r.key] = place{r.seq, r.expires, n, offset, int32(size)}
		}
	}
	if hint {
		if end, ok := s.loadHint(g, take); ok {
			g.size = end
			return g, nil
		}
		g.hinted = false
		if err := s.fs.Remove(hintName(n)); err != nil { // it is made anew
			return nil, errors.Join(err, f.Close())
		}
	}
	b, err := whole(f)
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if v := version(b); v > 0 && v != magic[len(magic)-1] {
		f.Close()
		return nil, fmt.Errorf("format %d, this program knows %d", v, magic[len(magic)-1])
	}
	records := 0
	end, damaged := scan(b, n, func(r record, offset, size int64) {
		records++
		take(&r, offset, size)
	})
	s.damaged += damaged
	if records == 0 && damaged == 0 {
		return nil, errors.Join(f.Close(), s.fs.Remove(name))
	}
	g.size = end
	return g, nil
}

func whole(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); int64(n) < size {
		return nil, err
	}
	return b, nil
}
