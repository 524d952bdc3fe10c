package measure

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// What this process and its directories use.

// diskBytes returns the size of the files of a directory.
func diskBytes(t *testing.T, dir string) int64 {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var sum int64
	for _, e := range entries {
		if info, err := e.Info(); err == nil && !e.IsDir() {
			sum += info.Size()
		}
	}
	return sum
}

// writtenBytes returns what this process has written to file systems so far, 0 if the system does not report it.
func writtenBytes() int64 {
	b, _ := os.ReadFile("/proc/self/io")
	for line := range strings.Lines(string(b)) {
		var n int64
		if _, err := fmt.Sscanf(line, "wchar: %d", &n); err == nil {
			return n
		}
	}
	return 0
}

// heapBytes returns the size of the heap after a collection. It does not contain what an engine has outside of it:
// pebble's caches, bbolt's map.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// peakMegabytes returns the maximum resident memory of this process.
func peakMegabytes() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Maxrss) * 1024 / 1e6
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
