package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Arguments of getrusage that select the process or the current thread.
const (
	usageOfProcess = syscall.RUSAGE_SELF
	usageOfThread  = 1 // RUSAGE_THREAD
)

// processUsage is the resource usage of this process: processor time and allocations since its start, and the current
// values of all others.
type processUsage struct {
	processorTime time.Duration
	allocations   uint64
	heap          uint64 // bytes, after a garbage collection
	resident      uint64 // bytes
	descriptors   int
	goroutines    int
}

// readUsage returns the current usage. It collects garbage first, so that the heap contains only live objects.
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

// processorTimeUsed returns the processor time that the process or the current thread has used.
func processorTimeUsed(who int) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(who, &u); err != nil {
		panic(err) // fails only for a wrong argument
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const (
	// referenceSteps is the number of steps of the reference loop. Processor times are compared with the time of this
	// loop. A step is one step of xorshift64.
	referenceSteps = 20_000_000
	referenceSeed  = 88172645463325252
	// stepsPerReference is the number of steps whose processor time Reference returns.
	stepsPerReference = 1_000_000
	referenceUnits    = referenceSteps / stepsPerReference
)

// Sink receives the result of the reference loop, so that the compiler does not remove the loop.
var Sink uint64

// Reference measures the processor time of a million steps of the reference loop on this machine. The measurement
// occupies a core for some tens of milliseconds.
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

// loadAverage returns the machine's load average over the last minute, or 0 if it cannot be read.
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
