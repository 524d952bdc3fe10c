package runner

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// ReadFile sets the fields of the file's keys. Its error for an unknown key contains the file and the line, and a
// missing file gives an error that os.IsNotExist recognizes.
func TestReadFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.toml")
	read := func(text string) (seeds int, err error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var experiment struct {
			Seeds int `toml:"seeds"`
		}
		err = ReadFile(path, &experiment)
		return experiment.Seeds, err
	}
	if seeds, err := read("seeds = 3\n"); err != nil || seeds != 3 {
		t.Errorf("read %d seeds with error %v, want 3 seeds and no error", seeds, err)
	}
	if _, err := read("seeds = 3\nsieds = 4\n"); err == nil || !strings.Contains(err.Error(), path+":2:1") {
		t.Errorf("unknown key: error %v, want one that contains %s:2:1", err, path)
	}
	if err := ReadFile(path+".absent", nil); !os.IsNotExist(err) {
		t.Errorf("missing file: error %v, want one for which os.IsNotExist is true", err)
	}
}

// ForEach calls the function once for each number, with at most maxParallel calls at the same time.
func TestForEach(t *testing.T) {
	const n, maxParallel = 50, 3
	var lock sync.Mutex
	runs := make([]int, n)
	running, highest := 0, 0
	ForEach(n, maxParallel, func(i int) {
		lock.Lock()
		running++
		highest = max(highest, running)
		runs[i]++
		lock.Unlock()

		lock.Lock()
		running--
		lock.Unlock()
	})
	for i, count := range runs {
		if count != 1 {
			t.Errorf("%d calls for the number %d, want 1", count, i)
		}
	}
	if highest > maxParallel || running != 0 {
		t.Errorf("%d calls at the same time, want at most %d; %d calls are running at the end, want 0",
			highest, maxParallel, running)
	}
}
