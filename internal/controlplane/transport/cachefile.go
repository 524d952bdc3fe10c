package transport

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"hazelwing/internal/controlplane"
)

const (
	// cacheFileName is the name of the file with the last known snapshot in a member's directory. Each update replaces
	// the whole file. The file's modification time stands for the time, by this machine's clock, at which an upstream
	// last confirmed the content. While there is an upstream it is updated every cacheTouchInterval. Each write sets it
	// too, even the write of the cached snapshot itself after a start without an upstream.
	cacheFileName = "last-known.json"
	// maxCacheFileSize limits the size in bytes of a cache file that is loaded.
	maxCacheFileSize = 2 * MaxLineSize
)

// cacheFileSizeError reports a cache file that is larger than maxCacheFileSize.
type cacheFileSizeError struct {
	path string
	size int64
}

func (e *cacheFileSizeError) Error() string {
	return fmt.Sprintf("%s has %d bytes, want at most %d", e.path, e.size, maxCacheFileSize)
}

// loadCachedSnapshot returns the content of the cache file in dir and the file's modification time. The snapshot is nil
// if there is no file. If the file is too large, or cannot be read or decoded, loadCachedSnapshot returns an error and
// no snapshot. The core verifies the text by its hash.
func loadCachedSnapshot(dir string) (*controlplane.CachedSnapshot, time.Time, error) {
	path := filepath.Join(dir, cacheFileName)
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, time.Time{}, nil
	}
	if err != nil {
		return nil, time.Time{}, err
	}
	if info.Size() > maxCacheFileSize {
		return nil, time.Time{}, &cacheFileSizeError{path, info.Size()}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, time.Time{}, err
	}
	cached := new(controlplane.CachedSnapshot)
	if err := json.Unmarshal(text, cached); err != nil {
		return nil, time.Time{}, fmt.Errorf("decode %s: %w", path, err)
	}
	return cached, info.ModTime(), nil
}

// saveCachedSnapshot replaces the cache file in dir atomically and durably: after a crash or a power loss the file is
// either the old one or the new one.
func saveCachedSnapshot(dir string, cached *controlplane.CachedSnapshot) error {
	text, err := json.Marshal(cached)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(dir, cacheFileName+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // fails after the rename, when this file no longer exists
	_, err = file.Write(text)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(file.Name(), filepath.Join(dir, cacheFileName)); err != nil {
		return err
	}
	return syncDir(dir)
}

// syncDir makes a rename in dir durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// touchCachedSnapshot sets the modification time of the cache file to now, because an upstream confirms the content.
func touchCachedSnapshot(dir string) {
	now := time.Now()
	_ = os.Chtimes(filepath.Join(dir, cacheFileName), now, now) // there may be no file yet
}
