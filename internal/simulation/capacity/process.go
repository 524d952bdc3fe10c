package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Whose processor time getrusage reports.
const (
	usageOfProcess = syscall.RUSAGE_SELF
	usageOfThread  = 1 // RUSAGE_THREAD
)

// processUsage is what this process has used so far, or uses now.
type processUsage struct {
	processorTime time.Duration
	allocations   uint64
	heap          uint64 // bytes, after a collection
	resident      uint64 // bytes
	descriptors   int
	goroutines    int
}

// readUsage collects garbage first, so that the heap is what lives.
func readUsage() (u processUsage, err error) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.processorTime = processorTimeUsed(usageOfProcess)
	u.allocations, u.heap, u.goroutines = m.Mallocs, m.HeapAlloc, runtime.NumGoroutine()
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return u, err
	}
	u.descriptors = len(descriptors)
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(text)) {
		var kib uint64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kib); n == 1 {
			u.resident = kib << 10
		}
	}
	return u, nil
}

// processorTimeUsed is that of the process or of the thread.
func processorTimeUsed(who int) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(who, &u); err != nil {
		panic(err) // there is no other cause than a wrong argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	// referenceSteps are of the loop that processor time is compared with: a step is one of xorshift64.
	referenceSteps    = 20_000_000
	referenceSeed     = 88172645463325252
	stepsPerReference = 1_000_000
	referenceUnits    = referenceSteps / stepsPerReference
)

// Sink keeps the compiler from removing the reference loop.
var Sink uint64

// Reference is the processor time that a million steps of the reference loop take here and now. It takes a core for
// some tens of milliseconds.
func Reference() time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begin := processorTimeUsed(usageOfThread)
	x := uint64(referenceSeed)
	for range referenceSteps {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	Sink = x
	return (processorTimeUsed(usageOfThread) - begin) / referenceUnits
}

// loadAverage is how many processes wanted a core of this machine in the last minute, on average; 0: not known.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var lastMinute float64
	if _, err := fmt.Sscan(string(text), &lastMinute); err != nil {
		return 0
	}
	return lastMinute
}
