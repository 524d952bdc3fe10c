package store

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Options configures a Store. A field with the zero value selects its default.
type Options struct {
	SegmentSize int64 // size at which a segment is sealed, in bytes; 4 MiB by default
	// MaxBytes limits the size of all segments, in bytes; 256 MiB by default. If an entry would exceed it, Put fails
	// with ErrFull; Delete is not limited. While Compact runs, the copies of the live records are not counted.
	MaxBytes int64
	// SyncEvery, if above 0, is the longest time between the confirmation of an entry and its sync, unless a sync
	// fails. Entries are confirmed once they have been passed to the operating system: they survive the end of the
	// process, but a power loss may lose the latest ones. With 0 each batch is synced before it is confirmed.
	SyncEvery time.Duration
	// Manual disables maintenance in the background; the caller calls Maintain. Otherwise a goroutine calls it whenever
	// a segment is sealed or the store is full, and every MaintainEvery.
	Manual        bool
	MaintainEvery time.Duration    // 10 s by default
	Now           func() time.Time // current time, by which entries expire; time.Now by default
	Logger        *slog.Logger     // nil disables logging
}

const (
	defaultSegmentSize   = 4 << 20
	defaultMaxBytes      = 256 << 20
	defaultMaintainEvery = 10 * time.Second

	// maxBatch limits the number of ops in a batch, and maxWaitingOps the number of ops that wait for the next batch;
	// deferred ops are not counted. With higher values more entries are written per second, but the first op of a
	// batch waits longer.
	maxBatch      = 1024
	maxWaitingOps = 1024
	// maxDeferredOps limits the number of ops of PutLater and DeleteLater that wait to be written, and maxDeferral how
	// long they wait. With higher values fewer batches are written, but a crash loses more ops.
	maxDeferredOps = 4096
	maxDeferral    = 100 * time.Millisecond
	// maxUnsyncedOps is the number of ops that were confirmed with SyncEvery and have not been synced, from which on
	// the writer syncs them before it writes the next batch, and rejects that batch if this fails. The last batch may
	// exceed it. A higher value tolerates a slower disk, but a power loss loses more ops.
	maxUnsyncedOps = 4096
)

// Errors of the store. Its methods also return errors of the file system.
var (
	ErrClosed = errors.New("store: closed")
	ErrFull   = errors.New("store: adding the entry would exceed the size limit")
	ErrSize   = errors.New("store: invalid size of a key or value")

	errTooManyUnsynced = errors.New("store: too many confirmed entries have not been synced")
	errUnsynced        = errors.New("store: confirmed entries could not be synced")
	errDamaged         = errors.New("record is damaged on disk")
)

// Store is a persistent key-value store, which is safe for concurrent use. One goroutine writes records, and another
// one maintains the store unless Options.Manual is set. Close waits for both.
type Store struct {
	fs      FS
	options Options
	logger  *slog.Logger
	lock    io.Closer

	queue               *opQueue
	maintenanceRequests chan struct{} // holds a token when maintenance may be necessary
	closed              chan struct{} // closed by Close, after the queue
	writerDone          chan struct{} // closed when the writer has ended
	maintainerDone      chan struct{} // closed when the maintainer has ended

	compactMu           sync.Mutex // held while segments are compacted, dropped or removed
	sizeAfterCompaction int64      // bytes of all segments after the last compaction
	pendingRemovals     []*segment // segments whose files have to be removed, in this order and before any other

	mu       sync.RWMutex
	index    map[string]location // locations of the entries, by key
	segments map[uint64]*segment // by number
	damaged  int64               // bytes that Open or Compact found damaged on disk
	counters counters

	// The following fields are used by the writer's goroutine only. The writer changes unsynced with mu held, since
	// Stats reads it.
	active       *segment // segment to which batches are written; nil if the next batch has to create one
	nextSegment  uint64
	nextSequence uint64
	buffer       []byte // encoded records of the current batch
	unsynced     []op   // ops that were confirmed with SyncEvery and have not been synced, in order
	mustRewrite  bool   // some unsynced ops are in a sealed segment, which a sync of the active one does not cover
}

// location describes the record of an entry and its place in the segments.
type location struct {
	sequence  uint64
	expiresAt int64 // Unix ms
	segment   uint64
	offset    int64
	size      int32
}

// op is a request to the writer: to write a record or, with rotate, to seal the active segment.
type op struct {
	record
	// rotate, if not nil, receives the sealed segments and the number of the segment to which they may be compacted.
	rotate func(output uint64, sealed []*segment)
	done   chan error // receives the result of the op; nil if no caller waits for it
}

// isDeferred reports whether no caller waits for the op.
func (o *op) isDeferred() bool { return o.done == nil }

// finish reports the result of an op to the caller that waits for it.
func (o *op) finish(err error) {
	if o.done != nil {
		o.done <- err
	}
}

// Open opens the store in a directory. An empty directory is an empty store. Open reads all segments, or their hint
// files instead. It returns ErrLocked if another process has the store open.
func Open(fs FS, options Options) (*Store, error) {
	setDefaults(&options)
	lock, err := fs.Lock("lock")
	if err != nil {
		return nil, err
	}
	s := &Store{
		fs:      fs,
		options: options,
		logger:  options.Logger.With("component", "store"),
		lock:    lock,

		queue:               newOpQueue(),
		maintenanceRequests: make(chan struct{}, 1),
		closed:              make(chan struct{}),
		writerDone:          make(chan struct{}),
		maintainerDone:      make(chan struct{}),

		index:    map[string]location{},
		segments: map[uint64]*segment{},

		nextSegment:  1,
		nextSequence: 1,
	}
	if err := s.recover(); err != nil {
		_ = s.release() // no entry has been written, and the error of recover is returned
		return nil, err
	}
	go s.runWriter()
	if options.Manual {
		close(s.maintainerDone)
	} else {
		go s.runMaintainer()
	}
	return s, nil
}

func setDefaults(o *Options) {
	if o.SegmentSize == 0 {
		o.SegmentSize = defaultSegmentSize
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.MaintainEvery == 0 {
		o.MaintainEvery = defaultMaintainEvery
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
}

// Put stores an entry and replaces an earlier one with the same key. It waits until the entry is confirmed. The error
// is ErrSize, ErrFull, ErrClosed, an error of the file system or, with Options.SyncEvery, the error that too many
// confirmed entries have not been synced. After an error the entry may be stored nevertheless, unless the error is
// ErrSize or ErrFull.
func (s *Store) Put(key string, value []byte, expiresAt time.Time) error {
	if err := checkSize(key, value); err != nil {
		return err
	}
	return s.submit(op{record: newPut(key, value, expiresAt)})
}

// Delete deletes an entry. It waits until the deletion is confirmed.
func (s *Store) Delete(key string) error {
	if err := checkSize(key, nil); err != nil {
		return err
	}
	return s.submit(op{record: record{kind: kindDelete, key: key}})
}

// PutLater puts an entry with the next batch, within 100 ms if the writer is not busy. It does not block, and the entry
// is not confirmed; if it cannot be written later, the caller is not told. For each key, all changes take effect in the
// order in which they are requested. PutLater returns false, and does nothing, if too many changes are waiting, the
// size is not valid, or the store is closed.
func (s *Store) PutLater(key string, value []byte, expiresAt time.Time) bool {
	return checkSize(key, value) == nil && s.queue.addDeferred(op{record: newPut(key, value, expiresAt)})
}

// DeleteLater deletes an entry with the next batch. It behaves like PutLater otherwise.
func (s *Store) DeleteLater(key string) bool {
	return checkSize(key, nil) == nil && s.queue.addDeferred(op{record: record{kind: kindDelete, key: key}})
}

// checkSize returns an error that wraps ErrSize unless the sizes of a key and value are valid.
func checkSize(key string, value []byte) error {
	switch {
	case key == "":
		return fmt.Errorf("%w: key is empty", ErrSize)
	case len(key) > MaxKey:
		return fmt.Errorf("%w: key has %d bytes, want at most %d", ErrSize, len(key), MaxKey)
	case len(value) > MaxValue:
		return fmt.Errorf("%w: value has %d bytes, want at most %d", ErrSize, len(value), MaxValue)
	}
	return nil
}

func newPut(key string, value []byte, expiresAt time.Time) record {
	return record{kind: kindPut, key: key, value: value, expiresAt: expiresAt.UnixMilli()}
}

// submit passes an op to the writer and waits for its result.
func (s *Store) submit(o op) error {
	o.done = make(chan error, 1)
	if err := s.queue.addWaiting(o, s.closed); err != nil {
		return err
	}
	return <-o.done // the writer executes each op of the queue before it ends
}

func (s *Store) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Close waits until the requested changes have been executed, syncs the confirmed entries, and closes the store. A
// failure of this sync is only counted in Stats, and not returned. Further calls return nil without waiting.
func (s *Store) Close() error {
	s.compactMu.Lock()
	if s.isClosed() {
		s.compactMu.Unlock()
		return nil
	}
	s.queue.close()
	close(s.closed)
	s.compactMu.Unlock()
	<-s.writerDone
	<-s.maintainerDone
	return s.release()
}

// release closes the files and the lock.
func (s *Store) release() error {
	var err error
	for _, g := range s.segments {
		err = errors.Join(err, g.file.Close())
	}
	return errors.Join(err, s.lock.Close())
}
