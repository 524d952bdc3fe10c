package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Options are a store's. What is 0 has a default.
type Options struct {
	SegmentSize int64 // a segment is closed at; 4 MiB
	// MaxBytes is of all segments; 256 MiB. Put fails with ErrFull beyond, Delete does not. While Compact runs, a copy of
	// what counts comes on top.
	MaxBytes int64
	Now      func() time.Time // wall time
}

const (
	defaultSegment = 4 << 20
	defaultMax     = 256 << 20
	// maxBatch and waitingOps bound what one sync makes durable, and what waits for the next.
	maxBatch   = 1024
	waitingOps = 1024
)

// The errors that callers may want to tell apart, beside those of the file system.
var (
	ErrClosed = errors.New("store: closed")
	ErrFull   = errors.New("store: as large as it may be")
	ErrSize   = errors.New("store: the key is empty, or key or value are too long")
)

// Store may be used from any goroutine.
type Store struct {
	fs   FS
	o    Options
	lock io.Closer

	ops    chan op
	closed chan struct{} // Close was called
	ended  chan struct{} // the writer has

	compacting sync.Mutex

	mu       sync.RWMutex
	index    map[string]place
	segments map[uint64]*segment
	damaged  int64
	syncs    uint64

	// The writer's own.
	active *segment // nil: the next batch makes one
	next   uint64   // segment number
	seq    uint64
	buf    []byte
}

// place is where an entry's record lies.
type place struct {
	seq     uint64
	expires int64
	segment uint64
	offset  int64
	size    int32
}

// segment is a file of the log.
type segment struct {
	number uint64
	f      File
	size   int64 // confirmed
}

// op is what the writer is asked for: to write a record, or, with roll, to close the segment that it writes to.
type op struct {
	record
	roll func(output uint64, sealed []*segment)
	done chan error
}

// Open opens the store in fs, and makes one where there is none. It reads all segments.
func Open(fs FS, o Options) (*Store, error) {
	if o.SegmentSize == 0 {
		o.SegmentSize = defaultSegment
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMax
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	lock, err := fs.Lock("lock")
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, o: o, lock: lock, ops: make(chan op, waitingOps), closed: make(chan struct{}), ended: make(chan struct{}),
		index: map[string]place{}, segments: map[uint64]*segment{}, next: 1, seq: 1}
	if err := s.recover(); err != nil {
		s.shut()
		return nil, err
	}
	go s.write()
	return s, nil
}

// recover reads all segments. One that holds no record is removed: a crash left it, and nothing in it was confirmed.
func (s *Store) recover() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	removed := map[string]uint64{} // deletes seen, by key
	for _, name := range names {
		n := segmentNumber(name)
		if n == 0 {
			continue
		}
		f, err := s.fs.Open(name)
		if err != nil {
			return fmt.Errorf("store: %s: %w", name, err)
		}
		s.next = max(s.next, n+1)
		b, err := whole(f)
		if err != nil {
			f.Close()
			return fmt.Errorf("store: %s: %w", name, err)
		}
		if v := version(b); v > 0 && v != magic[len(magic)-1] {
			f.Close()
			return fmt.Errorf("store: %s: format %d, this program knows %d", name, v, magic[len(magic)-1])
		}
		records := 0
		end, damaged := scan(b, n, func(r record, offset, size int64) {
			records++
			s.seq = max(s.seq, r.seq+1)
			if r.kind == remove {
				removed[r.key] = max(removed[r.key], r.seq)
				return
			}
			if old, ok := s.index[r.key]; !ok || old.seq < r.seq {
				s.index[r.key] = place{r.seq, r.expires, n, offset, int32(size)}
			}
		})
		s.damaged += damaged
		if records == 0 && damaged == 0 {
			f.Close()
			if err := s.fs.Remove(name); err != nil {
				return fmt.Errorf("store: %s: %w", name, err)
			}
			continue
		}
		s.segments[n] = &segment{n, f, end}
	}
	for key, seq := range removed {
		if p, ok := s.index[key]; ok && p.seq < seq {
			delete(s.index, key)
		}
	}
	return nil
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

// Put makes an entry durable, in place of what its key had. It returns once it is, or says why it may not be.
func (s *Store) Put(key string, value []byte, expires time.Time) error {
	if key == "" || len(key) > MaxKey || len(value) > MaxValue {
		return ErrSize
	}
	return s.do(op{record: record{kind: put, key: key, value: value, expires: expires.UnixMilli()}})
}

// Delete makes the absence of an entry durable.
func (s *Store) Delete(key string) error {
	if key == "" || len(key) > MaxKey {
		return ErrSize
	}
	return s.do(op{record: record{kind: remove, key: key}})
}

func (s *Store) do(o op) error {
	o.done = make(chan error, 1)
	select {
	case <-s.closed:
		return ErrClosed
	default:
	}
	select {
	case s.ops <- o:
	case <-s.closed:
		return ErrClosed
	}
	select {
	case err := <-o.done:
		return err
	case <-s.ended:
	}
	select {
	case err := <-o.done:
		return err
	default:
		return ErrClosed
	}
}

// Get returns an entry that has not expired; ok is false where there is none.
func (s *Store) Get(key string) (value []byte, ok bool, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.index[key]
	if !ok || p.expires <= s.o.Now().UnixMilli() {
		return nil, false, nil
	}
	r, err := s.at(p)
	return r.value, err == nil, err
}

// at reads the record at a place. The lock is held.
func (s *Store) at(p place) (record, error) {
	b := make([]byte, p.size)
	if n, err := s.segments[p.segment].f.ReadAt(b, p.offset); n < len(b) {
		return record{}, fmt.Errorf("store: %s: %w", segmentName(p.segment), err)
	}
	r, ok := read(b, p.segment, p.offset)
	if !ok {
		return record{}, fmt.Errorf("store: %s: the record at %d has changed on disk", segmentName(p.segment), p.offset)
	}
	return r, nil
}

// Each calls each with every entry that has not expired, in no order, until it returns false.
func (s *Store) Each(each func(key string, value []byte, expires time.Time) bool) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := s.o.Now().UnixMilli()
	for key, p := range s.index {
		if p.expires <= now {
			continue
		}
		r, err := s.at(p)
		if err != nil {
			return err
		}
		if !each(key, r.value, time.UnixMilli(r.expires)) {
			return nil
		}
	}
	return nil
}

// Stats is how a store stands.
type Stats struct {
	Entries  int    // expired ones that Compact has not taken yet included
	Segments int    //
	Bytes    int64  // of all segments
	Live     int64  // of them, records that count
	Damaged  int64  // bytes between records that are none: the disk has changed them
	Syncs    uint64 // since it was opened
}

// Stats returns it.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	st := Stats{Entries: len(s.index), Segments: len(s.segments), Damaged: s.damaged, Syncs: s.syncs}
	for _, g := range s.segments {
		st.Bytes += g.size
	}
	for _, p := range s.index {
		st.Live += int64(p.size)
	}
	return st
}

// Close waits for what was asked for, and lets the store go.
func (s *Store) Close() error {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	select {
	case <-s.closed:
		return nil
	default:
	}
	close(s.closed)
	<-s.ended
	return s.shut()
}

func (s *Store) shut() error {
	var err error
	for _, g := range s.segments {
		err = errors.Join(err, g.f.Close())
	}
	return errors.Join(err, s.lock.Close())
}
