// Package faultfs is a file system in memory that emulates the faults of disks: a crash at any byte and between any two
// operations, loss of writes and directory changes that were not synced, torn sectors, a full disk, failed writes and
// syncs, and flipped bits. Random decisions are seeded.
package faultfs

import (
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"hazelwing/internal/store"
)

// ErrCrashed is returned after the crash by Open, by List and by each call that counts as a step (see FS.CrashAfter).
var ErrCrashed = errors.New("faultfs: emulated machine has crashed")

// sectorBytes is the size in bytes of a sector, which a disk writes completely or not at all.
const sectorBytes = 512

// FS is one directory of an emulated disk. Its methods may be called from any goroutine; the exported fields are set
// before its first use, or by Update.
type FS struct {
	mu      sync.Mutex        // guards all fields
	files   map[string]*inode // files as programs see them
	durable map[string]*inode // files as of the last SyncDir
	locked  bool
	crashed bool
	used    int64 // bytes in use

	// CrashAfter is the number of steps until the crash; -1: no crash. Each byte written is a step, except in a write
	// that fails with EIO. Each call of Create, Remove and SyncDir, and each call of Sync and Truncate on a file, is
	// also a step.
	CrashAfter int64
	// Steps is the number of steps so far.
	Steps int64
	// Capacity is the size of the disk in bytes; -1: unlimited.
	Capacity int64
	// FailSyncs, FailWrites and FailRemoves are how many of the next calls of Sync, Write and Remove fail with EIO.
	// Each call that fails for this reason lowers its count by one.
	FailSyncs, FailWrites, FailRemoves int
	// SyncTime is how long a Sync takes.
	SyncTime time.Duration
}

// inode is the content of a file.
type inode struct {
	data   []byte // content as programs see it
	synced []byte // content that is certain to be on the disk
	lost   []span // ranges written before a failed sync, which never become durable
}

// span is a range of the bytes of a file. It includes the offset from but not the offset to.
type span struct{ from, to int }

// New returns an empty directory on a disk that does not fail.
func New() *FS {
	return &FS{files: map[string]*inode{}, durable: map[string]*inode{}, CrashAfter: -1, Capacity: -1}
}

// step counts n steps, or as many as remain until the crash, and returns the number counted. f.mu must be locked.
func (f *FS) step(n int64) (int64, error) {
	if f.crashed {
		return 0, ErrCrashed
	}
	if f.CrashAfter >= 0 && n > f.CrashAfter-f.Steps {
		n = max(0, f.CrashAfter-f.Steps)
		f.crashed = true
		f.Steps += n
		return n, ErrCrashed
	}
	f.Steps += n
	return n, nil
}

// Create creates a file.
func (f *FS) Create(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.step(1); err != nil {
		return nil, err
	}
	if f.files[name] != nil {
		return nil, syscall.EEXIST
	}
	f.files[name] = &inode{}
	return &file{f, f.files[name]}, nil
}

// Open opens an existing file.
func (f *FS) Open(name string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	if f.files[name] == nil {
		return nil, syscall.ENOENT
	}
	return &file{f, f.files[name]}, nil
}

// Remove removes a file from the directory.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.step(1); err != nil {
		return err
	}
	node := f.files[name]
	if node == nil {
		return syscall.ENOENT
	}
	if f.FailRemoves > 0 {
		f.FailRemoves--
		return syscall.EIO
	}
	f.used -= int64(len(node.data))
	delete(f.files, name)
	return nil
}

// List returns the names of the files in ascending order.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(f.files)), nil
}

// SyncDir makes the creation and removal of files durable.
func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.step(1); err != nil {
		return err
	}
	f.durable = maps.Clone(f.files)
	return nil
}

// Lock locks the directory until the returned closer is closed. It returns store.ErrLocked if the directory is locked.
func (f *FS) Lock(string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, store.ErrLocked
	}
	f.locked = true
	return unlocker{f}, nil
}

// unlocker releases the lock of a directory.
type unlocker struct{ fs *FS }

func (u unlocker) Close() error {
	u.fs.mu.Lock()
	u.fs.locked = false
	u.fs.mu.Unlock()
	return nil
}

// file is an open file.
type file struct {
	fs    *FS
	inode *inode
}

// ReadAt implements io.ReaderAt.
func (f *file) ReadAt(b []byte, offset int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if offset > int64(len(f.inode.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.inode.data[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// Write appends to the file. A write that fails with EIO has written half of b. A write that fails with ENOSPC has
// written as much of b as fits on the disk. A write that fails because of the crash has written those bytes of b that
// precede the crash.
func (f *file) Write(b []byte) (int, error) {
	fs := f.fs
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.FailWrites > 0 {
		fs.FailWrites--
		half := len(b) / 2
		f.inode.data = append(f.inode.data, b[:half]...)
		fs.used += int64(half)
		return half, syscall.EIO
	}
	var errFull error
	if fs.Capacity >= 0 && int64(len(b)) > fs.Capacity-fs.used {
		b = b[:max(0, fs.Capacity-fs.used)]
		errFull = syscall.ENOSPC
	}
	n, err := fs.step(int64(len(b)))
	f.inode.data = append(f.inode.data, b[:n]...)
	fs.used += n
	return int(n), errors.Join(err, errFull)
}

// Sync makes the content durable. Bytes that an earlier Sync failed to make durable are lost: on the disk, they are 0.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	wait := f.fs.SyncTime
	f.fs.mu.Unlock()
	time.Sleep(wait)
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.fs.step(1); err != nil {
		return err
	}
	if f.fs.FailSyncs > 0 {
		f.fs.FailSyncs--
		// The kernel marks the pages as clean: a later sync succeeds without writing them.
		f.inode.lost = append(f.inode.lost, span{min(len(f.inode.synced), len(f.inode.data)), len(f.inode.data)})
		return syscall.EIO
	}
	f.inode.synced = slices.Clone(f.inode.data)
	for _, lost := range f.inode.lost {
		for i := lost.from; i < min(lost.to, len(f.inode.synced)); i++ {
			f.inode.synced[i] = 0
		}
	}
	return nil
}

// Truncate shortens the file.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.fs.step(1); err != nil {
		return err
	}
	f.fs.used -= int64(len(f.inode.data)) - size
	f.inode.data = f.inode.data[:size:size]
	return nil
}

// Size returns the length of the file.
func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return int64(len(f.inode.data)), nil
}

// Close does nothing: open files hold no resources.
func (f *file) Close() error { return nil }

// AfterKill returns the directory that a new process finds after the old process was killed. It has all data that the
// old process wrote.
func (f *FS) AfterKill() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := New()
	for name, node := range f.files {
		after.put(name, slices.Clone(node.data))
	}
	return after
}

// AfterPowerLoss returns the directory that is on the disk after a loss of power. Of the sectors and directory changes
// that were not synced, it has a random part, regardless of the order in which they were made. The last sector may be
// torn.
func (f *FS) AfterPowerLoss(rng *rand.Rand) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := New()
	names := maps.Clone(f.files)
	maps.Copy(names, f.durable)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		current, durable := f.files[name], f.durable[name]
		node := names[name]
		if current != durable { // created, removed or replaced since the last SyncDir
			if rng.IntN(2) == 0 {
				node = current
			} else {
				node = durable
			}
		}
		if node != nil {
			after.put(name, node.afterPowerLoss(rng))
		}
	}
	return after
}

// afterPowerLoss returns the content of a file after a loss of power: the synced bytes and random parts of the others.
func (i *inode) afterPowerLoss(rng *rand.Rand) []byte {
	if len(i.data) <= len(i.synced) { // nothing was added, but the file may have been truncated
		if rng.IntN(2) == 0 {
			return slices.Clone(i.synced)
		}
		return slices.Clone(i.synced[:len(i.data)])
	}
	content := slices.Clone(i.synced)
	size := len(i.synced) + rng.IntN(len(i.data)-len(i.synced)+1)
	for offset := len(content); offset < size; {
		end := min((offset/sectorBytes+1)*sectorBytes, size)
		if rng.IntN(3) > 0 {
			content = append(content, i.data[offset:end]...)
		} else {
			content = append(content, make([]byte, end-offset)...)
		}
		offset = end
	}
	return content
}

// put sets the durable content of a file. f.mu must be locked, unless f is new.
func (f *FS) put(name string, data []byte) {
	node := &inode{data: data, synced: slices.Clone(data)}
	f.files[name], f.durable[name] = node, node
	f.used += int64(len(data))
}

// FlipBit flips one bit of a file, as programs see it.
func (f *FS) FlipBit(name string, offset int64, bit uint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name].data[offset] ^= 1 << bit
}

// Truncate shortens a file and makes the change durable.
func (f *FS) Truncate(name string, size int64) { f.SetContent(name, f.Content(name)[:size]) }

// SetContent sets the durable content of a file. The file need not exist.
func (f *FS) SetContent(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if node := f.files[name]; node != nil {
		f.used -= int64(len(node.data))
	}
	f.put(name, data)
}

// Update changes exported fields while the file system is in use.
func (f *FS) Update(change func(f *FS)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// Content returns a copy of the content of a file, as programs see it.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.files[name].data)
}
