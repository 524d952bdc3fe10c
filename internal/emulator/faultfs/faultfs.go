// Package faultfs is a file system in memory that fails as disks do: a crash at any byte and between any two steps, lost
// writes and directory changes that were not synced, torn sectors, a full disk, errors of writes and of syncs, bits that
// flip. What chance decides is seeded.
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

// ErrCrashed is what every call returns after the crash.
var ErrCrashed = errors.New("faultfs: the machine has stopped")

// sector is what a disk writes whole, or not at all.
const sector = 512

// FS is one directory.
type FS struct {
	mu      sync.Mutex
	files   map[string]*inode // as programs see it
	durable map[string]*inode // names as of the last SyncDir
	locked  bool
	crashed bool
	used    int64

	// CrashAfter is how many steps are left until the crash, where a byte written is one, and each other call; -1: none.
	// Steps counts them.
	CrashAfter int64
	Steps      int64
	// Capacity is how many bytes fit on the disk; -1: any.
	Capacity int64
	// FailSyncs, FailWrites and FailRemoves make so many of the next ones fail with EIO.
	FailSyncs, FailWrites, FailRemoves int
	// SyncTime is how long a Sync takes.
	SyncTime time.Duration
}

// inode is a file's content.
type inode struct {
	data   []byte // as programs see it
	synced []byte // as it is on the disk for sure
	lost   []span // written before a sync that failed: never to be durable
}

type span struct{ from, to int }

// New is an empty one.
func New() *FS {
	return &FS{files: map[string]*inode{}, durable: map[string]*inode{}, CrashAfter: -1, Capacity: -1}
}

// step takes n steps, or as many as are left until the crash. The lock is held.
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

// Create makes a file.
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

// Open opens one.
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

// Remove removes a name.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.step(1); err != nil {
		return err
	}
	i := f.files[name]
	if i == nil {
		return syscall.ENOENT
	}
	if f.FailRemoves > 0 {
		f.FailRemoves--
		return syscall.EIO
	}
	f.used -= int64(len(i.data))
	delete(f.files, name)
	return nil
}

// List lists the names.
func (f *FS) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(f.files)), nil
}

// SyncDir makes the names durable.
func (f *FS) SyncDir() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.step(1); err != nil {
		return err
	}
	f.durable = maps.Clone(f.files)
	return nil
}

// Lock keeps a second one out.
func (f *FS) Lock(string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked {
		return nil, store.ErrLocked
	}
	f.locked = true
	return unlocker{f}, nil
}

type unlocker struct{ f *FS }

func (u unlocker) Close() error {
	u.f.mu.Lock()
	u.f.locked = false
	u.f.mu.Unlock()
	return nil
}

type file struct {
	f *FS
	i *inode
}

func (h *file) ReadAt(b []byte, at int64) (int, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if at > int64(len(h.i.data)) {
		return 0, io.EOF
	}
	n := copy(b, h.i.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *file) Write(b []byte) (int, error) {
	f := h.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.FailWrites > 0 {
		f.FailWrites--
		half := len(b) / 2
		h.i.data = append(h.i.data, b[:half]...)
		f.used += int64(half)
		return half, syscall.EIO
	}
	var full error
	if f.Capacity >= 0 && int64(len(b)) > f.Capacity-f.used {
		b, full = b[:max(0, f.Capacity-f.used)], syscall.ENOSPC
	}
	n, err := f.step(int64(len(b)))
	h.i.data = append(h.i.data, b[:n]...)
	f.used += n
	return int(n), errors.Join(err, full)
}

func (h *file) Sync() error {
	h.f.mu.Lock()
	wait := h.f.SyncTime
	h.f.mu.Unlock()
	time.Sleep(wait)
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if _, err := h.f.step(1); err != nil {
		return err
	}
	if h.f.FailSyncs > 0 {
		h.f.FailSyncs--
		// The kernel takes the pages for clean: a later sync says that all is well, and writes none of them.
		h.i.lost = append(h.i.lost, span{min(len(h.i.synced), len(h.i.data)), len(h.i.data)})
		return syscall.EIO
	}
	h.i.synced = slices.Clone(h.i.data)
	for _, s := range h.i.lost {
		for at := s.from; at < min(s.to, len(h.i.synced)); at++ {
			h.i.synced[at] = 0
		}
	}
	return nil
}

func (h *file) Truncate(size int64) error {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if _, err := h.f.step(1); err != nil {
		return err
	}
	h.f.used -= int64(len(h.i.data)) - size
	h.i.data = h.i.data[:size:size]
	return nil
}

func (h *file) Size() (int64, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	return int64(len(h.i.data)), nil
}

func (h *file) Close() error { return nil }

// AfterKill is what a new process finds when the old one was killed: all that it had written.
func (f *FS) AfterKill() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := New()
	for name, i := range f.files {
		after.put(name, slices.Clone(i.data))
	}
	return after
}

// AfterPowerLoss is what is on the disk when the power was lost: of what was not synced any part, in any order of sectors and
// names, and the last sector torn.
func (f *FS) AfterPowerLoss(rng *rand.Rand) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := New()
	names := maps.Clone(f.files)
	maps.Copy(names, f.durable)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		seen, kept := f.files[name], f.durable[name]
		i := names[name]
		if seen != kept { // made, removed or replaced since
			if rng.IntN(2) == 0 {
				i = seen
			} else {
				i = kept
			}
		}
		if i != nil {
			after.put(name, i.survive(rng))
		}
	}
	return after
}

// survive is what a file holds after the power was lost.
func (i *inode) survive(rng *rand.Rand) []byte {
	if len(i.data) <= len(i.synced) { // nothing new, but perhaps cut
		if rng.IntN(2) == 0 {
			return slices.Clone(i.synced)
		}
		return append(slices.Clone(i.synced[:len(i.data)]), make([]byte, 0)...)
	}
	out := slices.Clone(i.synced)
	size := len(i.synced) + rng.IntN(len(i.data)-len(i.synced)+1)
	for at := len(out); at < size; {
		end := min((at/sector+1)*sector, size)
		if rng.IntN(3) > 0 {
			out = append(out, i.data[at:end]...)
		} else {
			out = append(out, make([]byte, end-at)...)
		}
		at = end
	}
	return out
}

// put gives a file a content that is durable.
func (f *FS) put(name string, data []byte) {
	i := &inode{data: data, synced: slices.Clone(data)}
	f.files[name], f.durable[name] = i, i
	f.used += int64(len(data))
}

// FlipBit flips one bit of a file.
func (f *FS) FlipBit(name string, at int64, bit uint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name].data[at] ^= 1 << bit
}

// Truncate cuts a file.
func (f *FS) Truncate(name string, size int64) { f.SetContent(name, f.Content(name)[:size]) }

// SetContent gives a file a content that is durable.
func (f *FS) SetContent(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := f.files[name]; i != nil {
		f.used -= int64(len(i.data))
	}
	f.put(name, data)
}

// Update changes fields while the file system is in use.
func (f *FS) Update(change func(f *FS)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// Content is a copy of a file's.
func (f *FS) Content(name string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.files[name].data)
}
