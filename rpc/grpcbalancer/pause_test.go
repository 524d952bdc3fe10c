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

// pausedChild names the discovery that the child process is to use.
const pausedChild = "HAZELGRPC_TEST_CHILD"

const (
	pausedCalls = 8 // at a time
	pausedWork  = 40 * time.Millisecond
	pausedFor   = 400 * time.Millisecond
)

// pausedTraffic is what the child's calls are of: the deadline falls into the pause.
func pausedTraffic() *emulator.Traffic {
	return &emulator.Traffic{Head: emulator.Head{Classes: []emulator.TrafficClass{
		{Name: "look", Effect: "safe", AimMS: 120, DeadlineMS: 250, Worth: 1},
		{Name: "book", Effect: "unsafe", AimMS: 120, DeadlineMS: 2000, Worth: 1, LateShare: 0.5}}}}
}

// pausedProcess is the child: calls without end, a line for each result and each line of the log, until its standard
// input ends.
func pausedProcess() {
	traffic := pausedTraffic()
	set := bookingSettings(traffic)
	set.MaxAttempts = 3
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	p, err := New(Config{Settings: set, Members: Watch(os.Getenv(pausedChild)), Dial: testConfig(Members{}).Dial, Seed: 1,
		Log: slog.New(slog.NewTextHandler(sayer(say), nil))})
	if err != nil {
		say("error %v", err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range pausedCalls {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c := traffic.Classes[n%2]
				id := fmt.Sprintf("%d-%d", i, n)
				say("asked %s", id)
				own, cancel := context.WithTimeout(ctx, time.Duration(c.DeadlineMS)*time.Millisecond)
				_, err := ask(p, outgoing(own, id, c, emulator.Request{WorkUS: float64(pausedWork.Microseconds())}), grpcnode.Do, "x")
				cancel()
				say("ended %s %v", id, err)
			}
		})
	}
	bufio.NewReader(os.Stdin).ReadString('\n')
	stop()
	all.Wait()
	p.Close()
	say("closed")
}

// sayer makes a writer of say.
type sayer func(format string, args ...any)

func (s sayer) Write(b []byte) (int, error) {
	s("log %s", strings.TrimSpace(string(b)))
	return len(b), nil
}

// The host stops all threads for 400 ms in the middle of calls, several times: every call has one result, nothing that
// must not runs twice, and no member is ejected, since none of them did anything wrong.
func TestHostStandsStill(t *testing.T) {
	f := grpcFleet(t, []emulator.NodeConfig{{Name: "n1", Zone: "a", Speed: 4}, {Name: "n2", Zone: "a", Speed: 4},
		{Name: "n3", Zone: "a", Speed: 4}, {Name: "n4", Zone: "a", Speed: 4}}, pausedTraffic())
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), pausedChild+"="+f.Discovery.Addr())
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
	defer child.Process.Kill()
	lines := make(chan string, 100_000)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			lines <- s.Text()
		}
	}()
	results, stalls := map[string]int{}, 0
	var asked []string
	note := func(line string) {
		switch {
		case strings.HasPrefix(line, "asked "):
			asked = append(asked, line[len("asked "):])
		case strings.HasPrefix(line, "ended "):
			results[strings.Fields(line)[1]]++
		case strings.Contains(line, "process was stalled"):
			stalls++
		case strings.Contains(line, "eject"), strings.HasPrefix(line, "error"):
			t.Error(line)
		}
	}
	read := func(n int) { // n results more
		for want := len(results) + n; len(results) < want; {
			note(testutil.Receive(t, lines, "a line of the child"))
		}
	}
	read(10 * pausedCalls)
	const pauses = 4
	for range pauses {
		// In the middle of a call: one that waits at a node behind another.
		testutil.Until(t, "a call in hand", func() bool {
			for _, n := range f.Status() {
				if n.Held > 1 {
					return true
				}
			}
			return false
		})
		if err := child.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pausedFor)
		if err := child.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		read(4 * pausedCalls)
	}
	in.Close()
	for line := range lines {
		note(line)
	}
	if err := child.Wait(); err != nil {
		t.Error(err)
	}
	for _, id := range asked {
		if results[id] != 1 {
			t.Errorf("call %s has %d results", id, results[id])
		}
	}
	if broken := f.Ledger.Broken(); len(broken) > 0 {
		t.Error(broken)
	}
	if stalls < pauses {
		t.Errorf("%d of %d pauses were noticed", stalls, pauses)
	}
}
