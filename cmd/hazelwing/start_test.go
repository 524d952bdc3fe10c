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

// maxStartThreads is the number of threads that a sidecar may have when it responds for the first time: the runtime's
// own (its monitor, one that waits for the network, one that runs, one for signals) and two that are started for
// system calls.
const maxStartThreads = 6

// The start of a sidecar is cheap for a platform that starts three hundred of them, each on a fraction of a core:
// with the run line of the deploy file, the runtime uses one core from its first instruction on. This prevents
// threads that spin for each other, and the stop of the world that reducing the number of cores later takes.
func TestStartIsCheap(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("threads are read from /proc")
	}
	set := regexp.MustCompile(`^export (\w+=\w+);`).FindStringSubmatch(deployKey(t, "run"))
	if set == nil {
		t.Fatal("run sets nothing before it starts the program")
	}
	r := newDaemonProcess(t, "")
	r.env = append(r.env, set[1])
	minThreads := 1 << 20 // on a busy machine a system call may last long enough for the runtime to start another
	for range 5 {
		r.start()
		threads := processStatusValue(t, r.cmd, "Threads")
		t.Logf("%d threads, %d switches of its own will", threads, processStatusValue(t, r.cmd, "voluntary_ctxt_switches"))
		r.kill()
		minThreads = min(minThreads, threads)
	}
	if minThreads > maxStartThreads {
		t.Errorf("%d threads or more at the start, want %d at most", minThreads, maxStartThreads)
	}
}

// processStatusValue returns a number from the kernel's status of a process.
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
	t.Fatalf("the kernel reports no %s", name)
	return 0
}
