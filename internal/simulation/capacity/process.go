package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// process is what this process has taken so far, or holds now.
type process struct {
	cpu         time.Duration
	mallocs     uint64
	heap        uint64 // live, after a collection
	resident    uint64
	descriptors int
	goroutines  int
}

// look collects garbage first: what is held is what lives.
func look() (p process, err error) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p.cpu, p.mallocs, p.heap, p.goroutines = spent(syscall.RUSAGE_SELF), m.Mallocs, m.HeapAlloc, runtime.NumGoroutine()
	fds, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return p, err
	}
	p.descriptors = len(fds)
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return p, err
	}
	for line := range strings.Lines(string(text)) {
		var kb uint64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			p.resident = kb << 10
		}
	}
	return p, nil
}

func spent(who int) time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(who, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// referenceSteps are of the loop that processor time is held against: a step is one of xorshift64.
const referenceSteps = 20_000_000

// Sink keeps the reference loop from being left out.
var Sink uint64

// Reference is the processor time that a million steps of the reference loop take here and now. It takes a core for some tens of ms.
func Reference() time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const thread = 1 // RUSAGE_THREAD
	begun := spent(thread)
	x := uint64(88172645463325252)
	for range referenceSteps {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
	}
	Sink = x
	return (spent(thread) - begun) / (referenceSteps / 1_000_000)
}

// load is how many wanted a core of this machine in the last minute, on average.
func load() float64 {
	var one float64
	text, _ := os.ReadFile("/proc/loadavg")
	fmt.Sscan(string(text), &one)
	return one
}
