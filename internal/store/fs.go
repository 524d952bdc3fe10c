package store

import (
	"errors"
	"io"
)

// FS is a directory of a file system. The store calls its methods, and those of its files, from several goroutines.
type FS interface {
	// Create creates a file for reading and appending. It fails if the file exists.
	Create(name string) (File, error)
	// Open opens a file for reading and for Truncate.
	Open(name string) (File, error)
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// SyncDir makes the effects of Create and Remove durable; before that a crash may undo any of them.
	SyncDir() error
	// Lock takes a lock that excludes other processes until the returned closer is closed. It returns ErrLocked if
	// another process has the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file of an FS.
type File interface {
	io.ReaderAt
	// Write appends b to the file. After an error any part of b may have been written.
	Write(b []byte) (int, error)
	// Sync makes the bytes durable that have been written. After an error the bytes written since the last successful
	// Sync are not known to be durable, whatever a later Sync returns (fsync(2); Rebello et al., "Can applications
	// recover from fsync failures?", ATC 2020).
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// ErrLocked is returned by Open if another process has the store open.
var ErrLocked = errors.New("store: directory is locked by another process")

// readFile reads a whole file of a directory.
func readFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file was only read
	return readAll(f)
}

// readAll reads the whole content of a file.
func readAll(f File) ([]byte, error) {
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
