package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Modes of the directory and its files. Other users have no access.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// Dir returns an FS for a directory of the operating system. It creates the directory if necessary.
func Dir(path string) (FS, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, err
	}
	return dir(path), nil
}

type dir string

func (d dir) path(name string) string { return filepath.Join(string(d), name) }

func (d dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL|os.O_APPEND, fileMode)
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
	for _, entry := range entries {
		names = append(names, entry.Name())
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

func (d dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written to the file
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("store: locking %s: %w", d.path(name), err)
	}
	return f, nil
}

type file struct{ *os.File }

func (f file) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
