package store

import (
	"errors"
	"fmt"
	"time"
)

// Get returns the value of an entry that has not expired; ok is false if there is none.
func (s *Store) Get(key string) (value []byte, ok bool, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.index[key]
	if !ok || l.expiresAt <= s.options.Now().UnixMilli() {
		return nil, false, nil
	}
	r, err := s.read(l)
	return r.value, err == nil, err
}

// Each calls visit with every entry that has not expired, in no particular order, until visit returns false. It skips
// and logs entries that are damaged on disk. It holds a lock, so visit must not call methods of the store.
func (s *Store) Each(visit func(key string, value []byte, expiresAt time.Time) bool) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := s.options.Now().UnixMilli()
	for key, l := range s.index {
		if l.expiresAt <= now {
			continue
		}
		r, err := s.read(l)
		if errors.Is(err, errDamaged) {
			s.logger.Error("damaged entry skipped", "error", err)
			continue
		}
		if err != nil {
			return err
		}
		if !visit(key, r.value, time.UnixMilli(r.expiresAt)) {
			return nil
		}
	}
	return nil
}

// read reads the record at a location. The caller holds mu.
func (s *Store) read(l location) (record, error) {
	b := make([]byte, l.size)
	if n, err := s.segments[l.segment].file.ReadAt(b, l.offset); n < len(b) {
		return record{}, fmt.Errorf("store: reading %s: %w", segmentName(l.segment), err)
	}
	r, ok := decodeRecord(b, l.segment, l.offset)
	if !ok {
		return record{}, fmt.Errorf("store: %s at offset %d: %w", segmentName(l.segment), l.offset, errDamaged)
	}
	return r, nil
}
