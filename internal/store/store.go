package store

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Options are a store's. What is 0 has a default.
type Options struct {
	SegmentSize int64 // a segment is closed at; 4 MiB
	// MaxBytes is of all segments; 256 MiB. Put fails with ErrFull beyond, Delete does not. While Compact runs, a copy of
	// what counts comes on top.
	MaxBytes int64
	// SyncEvery above 0 confirms an entry once the operating system has it, and syncs at most so much later: entries
	// survive the end of the process, but a loss of power may take the last ones. 0: each batch is synced first.
	SyncEvery time.Duration
	// Manual leaves it to the caller to call Maintain. Otherwise a goroutine does, whenever a segment is closed or the
	// store is full, and every MaintainEvery.
	Manual        bool
	MaintainEvery time.Duration    // 10 s
	Now           func() time.Time // wall time
	Log           *slog.Logger     // what goes on in the background; nil: nowhere
}

const (
	defaultSegment = 4 << 20
	defaultMax     = 256 << 20
	defaultEvery   = 10 * time.Second
	// maxBatch and waitingOps bound what one sync makes durable, and what waits for the next.
	maxBatch   = 1024
	waitingOps = 1024
	// laterOps bound what PutLater and DeleteLater have left to be written, and laterWait for how long.
	laterOps  = 4096
	laterWait = 100 * time.Millisecond
	// unsyncedOps bound what SyncEvery leaves to be synced.
	unsyncedOps = 4096
)

// The errors that callers may want to tell apart, beside those of the file system.
var (
	ErrClosed = errors.New("store: closed")
	ErrFull   = errors.New("store: as large as it may be")
	ErrSize   = errors.New("store: the key is empty, or key or value are too long")

	errUnsynced = errors.New("store: too much could not be synced")
	errChanged  = errors.New("it has changed on disk")
)

// Store may be used from any goroutine.
type Store struct {
	fs   FS
	o    Options
	lock io.Closer

	ops    chan op
	later  chan op
	closed chan struct{} // Close was called
	ended  chan struct{} // the writer has
	tidy   chan struct{} // there may be something to maintain
	idle   chan struct{} // the maintainer has ended

	compacting sync.Mutex
	// The lock of compacting guards:
	compacted int64      // bytes of all segments after the last compaction
	doomed    []*segment // to be removed, in this order and before any other

	mu       sync.RWMutex
	index    map[string]place
	segments map[uint64]*segment
	damaged  int64
	count    counters

	// The writer's own.
	active   *segment // nil: the next batch makes one
	next     uint64   // segment number
	seq      uint64
	buf      []byte
	unsynced []op // confirmed and not synced yet, in order: of SyncEvery
	rewrite  bool // some of them lie in a segment that was closed: syncing the next one does not make them durable
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
	sealed bool  // nothing more is written to it
	hinted bool  // its hint file is there, or not worth another try

	// Of the entries whose record lies in it:
	entries     int
	live        int64 // bytes
	lastExpires int64 // the latest that any had, Unix ms
}

// holds counts an entry's record in.
func (g *segment) holds(p place) {
	g.entries++
	g.live += int64(p.size)
	g.lastExpires = max(g.lastExpires, p.expires)
}

// counters since the store was opened.
type counters struct{ syncs, failures, compactions, dropped, lost uint64 }

// op is what the writer is asked for: to write a record, or, with roll, to close the segment that it writes to.
type op struct {
	record
	roll func(output uint64, sealed []*segment)
	done chan error // nil: nobody waits
}

func (o *op) end(err error) {
	if o.done != nil {
		o.done <- err
	}
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
	if o.MaintainEvery == 0 {
		o.MaintainEvery = defaultEvery
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &Store{fs: fs, o: o, lock: lock, ops: make(chan op, waitingOps), later: make(chan op, laterOps), closed: make(chan struct{}),
		ended: make(chan struct{}), tidy: make(chan struct{}, 1), idle: make(chan struct{}), index: map[string]place{},
		segments: map[uint64]*segment{}, next: 1, seq: 1}
	if err := s.recover(); err != nil {
		s.shut()
		return nil, err
	}
	go s.write()
	if o.Manual {
		close(s.idle)
	} else {
		go s.maintain()
	}
	return s, nil
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

// PutLater and DeleteLater leave a change to be written with the next batch, within 100 ms, and do not block: it is
// never confirmed. Of one key they go before what is asked for after them. false: too many wait, and nothing was done.
func (s *Store) PutLater(key string, value []byte, expires time.Time) bool {
	return key != "" && len(key) <= MaxKey && len(value) <= MaxValue &&
		s.leave(op{record: record{kind: put, key: key, value: value, expires: expires.UnixMilli()}})
}

// DeleteLater is described at PutLater.
func (s *Store) DeleteLater(key string) bool {
	return key != "" && len(key) <= MaxKey && s.leave(op{record: record{kind: remove, key: key}})
}

func (s *Store) leave(o op) bool {
	select {
	case <-s.closed:
		return false
	default:
	}
	select {
	case s.later <- o:
		return true
	default:
		return false
	}
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
		return record{}, fmt.Errorf("store: %s: the record at %d: %w", segmentName(p.segment), p.offset, errChanged)
	}
	return r, nil
}

// Each calls each with every entry that has not expired, in no order, until it returns false. An entry that the disk
// has changed is left out, and counted as damaged.
func (s *Store) Each(each func(key string, value []byte, expires time.Time) bool) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := s.o.Now().UnixMilli()
	for key, p := range s.index {
		if p.expires <= now {
			continue
		}
		r, err := s.at(p)
		if errors.Is(err, errChanged) {
			s.o.Log.Error("store: an entry is lost", "err", err)
			continue
		}
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
	Entries  int   `json:"entries"`  // expired ones whose place was not given back yet included
	Segments int   `json:"segments"` //
	Bytes    int64 `json:"bytes"`    // of all segments
	Live     int64 `json:"live"`     // of them, records that count
	Damaged  int64 `json:"damaged"`  // bytes that the disk has changed
	Unsynced int   `json:"unsynced"` // entries that SyncEvery has confirmed and no sync yet

	// Since it was opened:
	Syncs       uint64 `json:"syncs"`
	Failures    uint64 `json:"failures"`    // batches that could not be written or synced
	Compactions uint64 `json:"compactions"` //
	Dropped     uint64 `json:"dropped"`     // segments given back whole, since all in them had expired or was replaced
	Lost        uint64 `json:"lost"`        // entries of SyncEvery whose sync failed and that could not be written again yet
}

// Stats returns it. It takes time in proportion to the segments, not to the entries.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.count
	st := Stats{Entries: len(s.index), Segments: len(s.segments), Damaged: s.damaged, Unsynced: len(s.unsynced), Syncs: c.syncs,
		Failures: c.failures, Compactions: c.compactions, Dropped: c.dropped, Lost: c.lost}
	for _, g := range s.segments {
		st.Bytes += g.size
		st.Live += g.live
	}
	return st
}

// Close waits for what was asked for, and lets the store go.
func (s *Store) Close() error {
	s.compacting.Lock()
	select {
	case <-s.closed:
		s.compacting.Unlock()
		return nil
	default:
	}
	close(s.closed)
	s.compacting.Unlock()
	<-s.ended
	<-s.idle
	return s.shut()
}

func (s *Store) shut() error {
	var err error
	for _, g := range s.segments {
		err = errors.Join(err, g.f.Close())
	}
	return errors.Join(err, s.lock.Close())
}
