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

// This file measures the resources that the process and its directories use.

// diskBytes returns the total size of the files in a directory.
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

// writtenBytes returns the number of bytes that this process has passed to write system calls so far, 0 if the system
// does not report it.
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

// heapBytes returns the size of the heap after a garbage collection. It does not include memory outside the heap, such
// as the caches of pebble and the memory map of bbolt.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// peakMegabytes returns the maximum resident memory of this process in MB.
func peakMegabytes() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Maxrss) * 1024 / 1e6
}

// processorTime returns the user and system processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
