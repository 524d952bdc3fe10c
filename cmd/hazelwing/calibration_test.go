//go:build !small

package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/simulation/capacity"
	"hazelwing/internal/testcluster"
	"hazelwing/internal/testcluster/hollow"
	"hazelwing/internal/testutil"
)

var (
	calibrateFor     = flag.Duration("calibrate.for", 5*time.Second, "how long TestCalibration measures; above 30s the fleet has the daemon's own times, and both are measured one after the other")
	calibrateMembers = flag.Int("calibrate.members", 6, "members of TestCalibration, at most 30")
)

// calibrated is what one kind of sidecar does in a quiet fleet, a second of a member.
type calibrated struct {
	bytesOut, bytesIn, messagesOut, messagesIn float64
	processor                                  float64 // ms
	stirred                                    int     // suspicions that began, were refuted, and times that one stood still, of all: the fleet was not quiet
	resident, heap                             float64 // MB
}

func (c calibrated) String() string {
	text := fmt.Sprintf("%.1f bytes and %.3f messages a second sent, %.1f and %.3f received; processor %.3f ms/s; resident %.1f MB",
		c.bytesOut, c.messagesOut, c.bytesIn, c.messagesIn, c.processor, c.resident)
	if c.stirred > 0 {
		text += fmt.Sprintf("; not quiet: %d suspicions, refutations and stalls", c.stirred)
	}
	if c.heap > 0 {
		text += fmt.Sprintf(", heap beyond the test's own %.2f MB", c.heap)
	}
	return text
}

// A hollow sidecar costs a quiet fleet what a real one does: bytes and messages within 10 %. The real ones' are counted by the links
// between their processes, the hollow ones' by their sockets. Names, list and settings are the same, so the tree of the list is, too.
// Processor time and memory are only stated: a hollow one shares its process. The long form is
//
//	go test ./cmd/hazelwing -run Calibration -calibrate.for 2m -calibrate.members 24 -timeout 20m -v
func TestCalibration(t *testing.T) {
	long := *calibrateFor > 30*time.Second
	// Without comparisons of whole views, of which a short time has few: the rest comes at a fixed pace.
	keys := "probe = \"250ms\"\ntimeout = \"240ms\"\nsync = \"10m\"\n"
	if long { // the daemon's own pace; a late answer on a busy machine brings no more probes, as the fleet would not be quiet
		keys = "timeout = \"900ms\"\n"
	}
	const recovery = "ask = 2\nfan = 3\n"
	var realOnes, hollowOnes calibrated
	play := func(of *calibrated, f func(*testing.T, string, string) calibrated) func() {
		return func() { *of = f(t, keys, recovery) }
	}
	a, b := play(&realOnes, calibrateReal), play(&hollowOnes, calibrateHollow)
	if long { // processor time of this process is then one kind's alone
		a()
		b()
	} else {
		var both sync.WaitGroup
		both.Go(a)
		both.Go(b)
		both.Wait()
	}
	if t.Failed() {
		return
	}
	t.Logf("real:   %v", realOnes)
	t.Logf("hollow: %v", hollowOnes)
	t.Logf("reference loop: %v for a million steps", capacity.Reference())
	for _, x := range []struct {
		what         string
		real, hollow float64
	}{
		{"bytes sent", realOnes.bytesOut, hollowOnes.bytesOut},
		{"bytes received", realOnes.bytesIn, hollowOnes.bytesIn},
		{"messages sent", realOnes.messagesOut, hollowOnes.messagesOut},
		{"messages received", realOnes.messagesIn, hollowOnes.messagesIn},
	} {
		if off := x.hollow/x.real - 1; !(math.Abs(off) <= 0.1) {
			t.Errorf("%s: a hollow one %.2f a second, a real one %.2f: %+.1f %%", x.what, x.hollow, x.real, 100*off)
		} else {
			t.Logf("%s: %+.1f %%", x.what, 100*off)
		}
	}
}

func calibrateReal(t *testing.T, keys, recovery string) (c calibrated) {
	r, err := testcluster.New(testcluster.Config{
		Members: *calibrateMembers, Seed: 1, Dir: t.TempDir(), Program: []string{os.Args[0]}, Env: []string{testRun + "=1"}, Fleet: keys,
		Operator: "[recovery]\n" + recovery, Quiet: true,
	})
	if err != nil {
		t.Error(err)
		return c
	}
	defer r.Close()
	if err := r.Play(t.Context(), "start all\nsettle 1s 60s"); err != nil {
		t.Errorf("%v\n%s", err, r.Story())
		return c
	}
	rest()
	n := *calibrateMembers
	look := func() (c calibrated) {
		for i := 1; i <= n; i++ {
			out, in := r.Traffic(i)
			c.bytesOut, c.messagesOut = c.bytesOut+float64(out.Bytes), c.messagesOut+float64(out.Messages)
			c.bytesIn, c.messagesIn = c.bytesIn+float64(in.Bytes), c.messagesIn+float64(in.Messages)
			var s gossip.Status
			if err := r.Ask(i, "fleet", &s); err != nil {
				t.Error(err)
			}
			c.stirred += stirred(s)
			cpu, rss := ofProcess(t, r.PID(i))
			c.processor, c.resident = c.processor+cpu, c.resident+rss
		}
		return c
	}
	begun, old := time.Now(), look()
	time.Sleep(*calibrateFor)
	c = rates(old, look(), time.Since(begun), n)
	if err := r.Play(t.Context(), "wait agree 1s"); err != nil { // else it was not quiet
		t.Errorf("%v\n%s", err, r.Story())
	}
	return c
}

func calibrateHollow(t *testing.T, keys, recovery string) (c calibrated) {
	n := *calibrateMembers
	before := heapNow()
	f, err := hollow.New(hollow.Config{Members: n, Upstreams: 4, Name: "rig", Member: "m%02d", Fleet: keys, Recovery: recovery})
	if err != nil {
		t.Error(err)
		return c
	}
	defer f.Close()
	if err := f.Start(f.Members...); err != nil {
		t.Error(err)
		return c
	}
	everywhere := func(hollow.Place) bool { return true }
	for begun := time.Now(); f.Disagreement(everywhere) != "" || f.Behind(everywhere) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > testutil.Patience { // not fixture.Until: this may be another goroutine than the test's
			t.Errorf("the hollow ones do not come together: %s", f.Disagreement(everywhere))
			return c
		}
	}
	rest()
	look := func() (c calibrated) {
		for _, m := range f.Members {
			c.stirred += stirred(m.View())
			x := m.Counts()
			c.bytesOut, c.messagesOut = c.bytesOut+float64(x.BytesOut), c.messagesOut+float64(x.MessagesOut)
			c.bytesIn, c.messagesIn = c.bytesIn+float64(x.BytesIn), c.messagesIn+float64(x.MessagesIn)
		}
		cpu, rss := ofProcess(t, os.Getpid())
		c.processor, c.resident = cpu, rss
		return c
	}
	begun, old := time.Now(), look()
	time.Sleep(*calibrateFor)
	c = rates(old, look(), time.Since(begun), n)
	c.heap = (heapNow() - before) / float64(n)
	return c
}

// rest lets a fleet tell what is new, and who asked discovery for want of a peer go back: settle of internal/discovery/bootstrap, in the long form.
func rest() {
	if *calibrateFor > 30*time.Second {
		time.Sleep(40 * time.Second)
		return
	}
	time.Sleep(time.Second)
}

func rates(old, now calibrated, d time.Duration, n int) calibrated {
	k := d.Seconds() * float64(n)
	return calibrated{
		stirred: now.stirred - old.stirred, bytesOut: (now.bytesOut - old.bytesOut) / k, bytesIn: (now.bytesIn - old.bytesIn) / k, messagesOut: (now.messagesOut - old.messagesOut) / k,
		messagesIn: (now.messagesIn - old.messagesIn) / k, processor: (now.processor - old.processor) / k, resident: now.resident / float64(n),
	}
}

func stirred(s gossip.Status) int { return s.Core.Suspicions + s.Core.Refutations + s.Core.Stalls }

func heapNow() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// ofProcess is the processor time of a process, in ms, and its resident memory in MB.
func ofProcess(t *testing.T, pid int) (cpu, resident float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	words := strings.Fields(after)
	var user, system, pages float64
	fmt.Sscan(words[11], &user)
	fmt.Sscan(words[12], &system)
	fmt.Sscan(words[21], &pages)
	return (user + system) * 10, pages * float64(syscall.Getpagesize()) / 1e6
}
