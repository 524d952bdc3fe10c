package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is what the store needs of a directory on a file system. The store calls its methods from one goroutine at a time
// for each file, and from any.
type FS interface {
	// Create makes a new file, which must not be there, for writing at its end.
	Create(name string) (File, error)
	// Open opens a file for reading and for Truncate.
	Open(name string) (File, error)
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncDir makes what Create and Remove have done durable; before, a crash may undo any of it.
	SyncDir() error
	// Lock keeps a second process out until the returned is closed.
	Lock(name string) (io.Closer, error)
}

// File is one of a FS.
type File interface {
	io.ReaderAt
	// Write appends. An error may leave any part of it in the file.
	Write(b []byte) (int, error)
	// Sync makes what was written durable. After an error nothing that was written since the last one without is known
	// to be, whatever a later Sync says (fsync(2); "Can applications recover from fsync failures?", ATC 2020).
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// Dir is a directory of the operating system's.
func Dir(path string) (FS, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return dir(path), nil
}

type dir string

func (d dir) path(name string) string { return filepath.Join(string(d), name) }

func (d dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	return file{f}, err
}

func (d dir) Open(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND, 0)
	return file{f}, err
}

func (d dir) Remove(name string) error { return os.Remove(d.path(name)) }

func (d dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (d dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// ErrLocked is returned by Open when another process has the store.
var ErrLocked = errors.New("store: another process has it open")

func (d dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("store: %s: %w", d.path(name), err)
	}
	return f, nil
}

type file struct{ *os.File }

func (f file) Size() (int64, error) {
	i, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
}
