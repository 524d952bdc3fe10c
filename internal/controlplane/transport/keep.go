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

// keptName is the file of the last known snapshot in a member's directory. It is replaced whole; its time of change says when its
// content was confirmed last, by this machine's clock.
const (
	keptName  = "last-known.json"
	touchTime = 30 * time.Second
)

// load reads what was kept; nil: nothing was. One that cannot be read is an error, and nothing is made of it; whether its text is the one
// that was kept the core checks.
func load(dir string) (*controlplane.CachedSnapshot, time.Time, error) {
	path := filepath.Join(dir, keptName)
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, time.Time{}, nil
	}
	if err != nil {
		return nil, time.Time{}, err
	}
	if info.Size() > 2*MaxLineSize {
		return nil, time.Time{}, fmt.Errorf("%s is larger than %d bytes", path, 2*MaxLineSize)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, time.Time{}, err
	}
	k := new(controlplane.CachedSnapshot)
	if err := json.Unmarshal(text, k); err != nil {
		return nil, time.Time{}, fmt.Errorf("%s: %w", path, err)
	}
	return k, info.ModTime(), nil
}

// keep stores it so that a loss of power leaves this one or the one before.
func keep(dir string, k *controlplane.CachedSnapshot) error {
	text, err := json.Marshal(k)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(dir, keptName+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), filepath.Join(dir, keptName)); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// touch notes that what is kept was confirmed now.
func touch(dir string) {
	now := time.Now()
	os.Chtimes(filepath.Join(dir, keptName), now, now)
}
