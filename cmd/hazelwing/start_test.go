package main

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// maxStartThreads limits the threads of a sidecar when it responds for the first time. The Go runtime has four threads:
// its monitor, a thread that waits for the network, a thread that runs goroutines, and a thread for signals. It may
// start two more threads for system calls.
const maxStartThreads = 6

// The start of a sidecar must be cheap, because the platform may start three hundred sidecars, each on a fraction of a
// core. With the run command of deploy/balancer.toml, the Go runtime uses one core from the beginning. So no threads
// spin while they wait for each other, and no later reduction of GOMAXPROCS has to stop the world.
func TestStartIsCheap(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("threads are read from /proc")
	}
	set := regexp.MustCompile(`^export (\w+=\w+);`).FindStringSubmatch(deployKey(t, "run"))
	if set == nil {
		t.Fatal("the run command of deploy/balancer.toml sets no environment variable before it starts the program")
	}
	r := newDaemonProcess(t, "")
	r.env = append(r.env, set[1])
	minThreads := 1 << 20 // minimum of five starts, because a long system call on a busy machine adds a thread
	for range 5 {
		r.start()
		threads := processStatusValue(t, r.cmd, "Threads")
		t.Logf("%d threads, %d voluntary context switches",
			threads, processStatusValue(t, r.cmd, "voluntary_ctxt_switches"))
		r.kill()
		minThreads = min(minThreads, threads)
	}
	if minThreads > maxStartThreads {
		t.Errorf("at least %d threads in each of five starts, want at most %d", minThreads, maxStartThreads)
	}
}

// processStatusValue returns a number from the file /proc/PID/status of a process.
func processStatusValue(t *testing.T, c *exec.Cmd, name string) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(rest))
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatalf("/proc/%d/status has no field %s", c.Process.Pid, name)
	return 0
}
