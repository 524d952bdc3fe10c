package grpcbalancer

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/grpcnode"
	"hazelwing/internal/testutil"
)

// childDiscoveryEnv is the environment variable that makes the test binary run as the child process. Its value is the
// address of the discovery service that the child process uses.
const childDiscoveryEnv = "HAZELGRPC_TEST_CHILD"

const (
	concurrentCalls = 8
	workPerCall     = 40 * time.Millisecond
	pauseDuration   = 400 * time.Millisecond
)

// pauseTraffic returns the classes of the child's calls. The deadline of the class look is shorter than a pause.
func pauseTraffic() *emulator.Traffic {
	return &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: []emulator.TrafficClass{
		{Name: "look", Effect: "safe", ObjectiveMS: 120, DeadlineMS: 250, Weight: 1},
		{Name: "book", Effect: "unsafe", ObjectiveMS: 120, DeadlineMS: 2000, Weight: 1, LateWeight: 0.5},
	}}}
}

// linePrinter prints lines to standard output. It is safe for concurrent use.
type linePrinter struct{ mu sync.Mutex }

func (l *linePrinter) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// Write prints a line of the log.
func (l *linePrinter) Write(b []byte) (int, error) {
	l.printf("log %s", strings.TrimSpace(string(b)))
	return len(b), nil
}

// runChild is the main function of the child process. It makes calls until its standard input ends, and prints a line
// for the start and the result of each call and for each line of the log.
func runChild() {
	traffic := pauseTraffic()
	settings := bookingSettings(traffic)
	settings.MaxAttempts = 3
	var out linePrinter
	p, err := New(Config{
		Settings:    settings,
		Endpoints:   Watch(os.Getenv(childDiscoveryEnv)),
		DialOptions: insecureDialOptions(),
		Seed:        1,
		Log:         slog.New(slog.NewTextHandler(&out, nil)),
	})
	if err != nil {
		out.printf("error %v", err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range concurrentCalls {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c := traffic.Classes[n%2]
				id := fmt.Sprintf("%d-%d", i, n)
				out.printf("asked %s", id)
				callCtx, cancel := context.WithTimeout(ctx, time.Duration(c.DeadlineMS)*time.Millisecond)
				request := emulator.Request{WorkUS: float64(workPerCall.Microseconds())}
				_, err := invoke(outgoingContext(callCtx, id, c, request), p, grpcnode.DoMethod, "x")
				cancel()
				out.printf("ended %s %v", id, err)
			}
		})
	}
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n') // returns when standard input ends
	stop()
	callers.Wait()
	_ = p.Close() // the error is always nil
	out.printf("closed")
}

// The client's process is stopped for 400 ms in the middle of calls, several times, as by a pause of its host. Calls
// then end late although the endpoints are not at fault. So no endpoint may be ejected. Every call must have one
// result, and no call that must not be repeated may be executed twice.
func TestHostPausesDoNotEjectEndpoints(t *testing.T) {
	f := newGRPCFleet(t, []emulator.NodeConfig{
		{Name: "n1", Zone: "a", Speed: 4},
		{Name: "n2", Zone: "a", Speed: 4},
		{Name: "n3", Zone: "a", Speed: 4},
		{Name: "n4", Zone: "a", Speed: 4},
	}, pauseTraffic())
	child := exec.CommandContext(t.Context(), os.Args[0])
	child.Env = append(os.Environ(), childDiscoveryEnv+"="+f.Discovery.Addr())
	in, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = child.Process.Kill() }() // fails if the process has ended
	lines := make(chan string, 100_000)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			lines <- s.Text()
		}
	}()
	results, stalls := map[string]int{}, 0
	var asked []string
	record := func(line string) {
		switch {
		case strings.HasPrefix(line, "asked "):
			asked = append(asked, line[len("asked "):])
		case strings.HasPrefix(line, "ended "):
			results[strings.Fields(line)[1]]++
		case strings.Contains(line, "process was stalled"):
			stalls++
		case strings.Contains(line, "eject"), strings.HasPrefix(line, "error"):
			t.Errorf("line of the child's output: got %q, want no error and no ejection", line)
		}
	}
	awaitResults := func(n int) { // waits for n more results
		for want := len(results) + n; len(results) < want; {
			record(testutil.Receive(t, lines, "a line of the child's output"))
		}
	}
	awaitResults(10 * concurrentCalls)
	const pauses = 4
	for range pauses {
		// The pause begins in the middle of calls: when one of them is queued at a node behind another.
		testutil.Until(t, "a queued call", func() bool {
			for _, n := range f.Status() {
				if n.InFlight > 1 {
					return true
				}
			}
			return false
		})
		if err := child.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pauseDuration)
		if err := child.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		awaitResults(4 * concurrentCalls)
	}
	in.Close()
	for line := range lines {
		record(line)
	}
	if err := child.Wait(); err != nil {
		t.Error(err)
	}
	for _, id := range asked {
		if results[id] != 1 {
			t.Errorf("call %s has %d results, want one", id, results[id])
		}
	}
	if violations := f.Rules.Violations(); len(violations) > 0 {
		t.Errorf("violations %v, want none", violations)
	}
	if stalls < pauses {
		t.Errorf("%d stalls were logged for %d pauses, want at least one for each", stalls, pauses)
	}
}
