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
	calibrateFor = flag.Duration("calibrate.for", 5*time.Second,
		"how long TestCalibration measures; above 30s the sidecars use the daemon's default intervals, "+
			"and real and hollow sidecars are measured one after the other")
	calibrateMembers = flag.Int("calibrate.members", 6, "number of members in TestCalibration, at most 30")
)

// isLongCalibration reports whether the long form of TestCalibration is run.
func isLongCalibration() bool { return *calibrateFor > 30*time.Second }

// memberCost is the mean cost of a real or a hollow sidecar in a quiet cluster, with traffic and processor time per
// second. Before costBetween divides them, the values are totals of all sidecars.
type memberCost struct {
	bytesOut    float64
	bytesIn     float64
	messagesOut float64
	messagesIn  float64
	processor   float64 // ms
	resident    float64 // MB
	heap        float64 // MB
	disturbed   int     // number of suspicions, refutations and stalls of all members; 0 in a quiet cluster
}

func (c memberCost) String() string {
	text := fmt.Sprintf("%.1f bytes and %.3f messages a second sent, %.1f and %.3f received; "+
		"processor %.3f ms/s; resident %.1f MB",
		c.bytesOut, c.messagesOut, c.bytesIn, c.messagesIn, c.processor, c.resident)
	if c.disturbed > 0 {
		text += fmt.Sprintf("; not quiet: %d suspicions, refutations and stalls", c.disturbed)
	}
	if c.heap > 0 {
		text += fmt.Sprintf(", heap beyond the test's own %.2f MB", c.heap)
	}
	return text
}

// In a quiet cluster, hollow sidecars send and receive as many bytes and messages as real ones, within 10 %. A hollow
// sidecar runs only the control plane (internal/testcluster/hollow). The links between processes count the traffic of
// real sidecars, and sockets count the traffic of hollow ones. Both clusters have the same member names, settings,
// endpoint list, and tree in which members relay this list. Processor time and memory are only logged, because hollow
// sidecars share one process. The long form is
//
//	go test ./cmd/hazelwing -run Calibration -calibrate.for 2m -calibrate.members 24 -timeout 20m -v
func TestCalibration(t *testing.T) {
	// The short form excludes push-pull, which is too rare to measure in a short time. All other traffic has a fixed
	// rate.
	settings := "probe = \"250ms\"\ntimeout = \"240ms\"\nsync = \"10m\"\n"
	if isLongCalibration() {
		// The daemon's default intervals apply. The long probe timeout prevents late responses on a busy machine from
		// causing indirect probes, which would disturb the cluster.
		settings = "timeout = \"900ms\"\n"
	}
	const recovery = "ask = 2\nfan = 3\n"
	var realCost, hollowCost memberCost
	measureReal := func() { realCost = calibrateReal(t, settings, recovery) }
	measureHollow := func() { hollowCost = calibrateHollow(t, settings, recovery) }
	if isLongCalibration() {
		// One after the other, so that this process spends processor time on one kind of sidecar at a time.
		measureReal()
		measureHollow()
	} else {
		var both sync.WaitGroup
		both.Go(measureReal)
		both.Go(measureHollow)
		both.Wait()
	}
	if t.Failed() {
		return
	}
	t.Logf("real:   %v", realCost)
	t.Logf("hollow: %v", hollowCost)
	t.Logf("reference loop: %v for a million steps", capacity.Reference())
	for _, figure := range []struct {
		name   string
		real   float64
		hollow float64
	}{
		{"bytes sent", realCost.bytesOut, hollowCost.bytesOut},
		{"bytes received", realCost.bytesIn, hollowCost.bytesIn},
		{"messages sent", realCost.messagesOut, hollowCost.messagesOut},
		{"messages received", realCost.messagesIn, hollowCost.messagesIn},
	} {
		if off := figure.hollow/figure.real - 1; !(math.Abs(off) <= 0.1) {
			t.Errorf("%s per second: hollow sidecar %.2f, real sidecar %.2f: difference %+.1f %%, want at most 10 %%",
				figure.name, figure.hollow, figure.real, 100*off)
		} else {
			t.Logf("%s: %+.1f %%", figure.name, 100*off)
		}
	}
}

// calibrateReal measures real sidecars, each of which is a process.
func calibrateReal(t *testing.T, settings, recovery string) (cost memberCost) {
	r, err := testcluster.New(testcluster.Config{
		Members:         *calibrateMembers,
		Seed:            1,
		Dir:             t.TempDir(),
		Program:         []string{os.Args[0]},
		Env:             []string{daemonVariable + "=1"},
		ClusterOptions:  settings,
		OperatorOptions: "[recovery]\n" + recovery,
		WithoutClients:  true,
	})
	if err != nil {
		t.Error(err)
		return cost
	}
	defer r.Close()
	if err := r.Play(t.Context(), "start all\nsettle 1s 60s"); err != nil {
		t.Errorf("starting the real sidecars: %v\n%s", err, r.Timeline())
		return cost
	}
	waitQuiet()
	members := *calibrateMembers
	read := func() (total memberCost) {
		for i := 1; i <= members; i++ {
			out, in := r.Traffic(i)
			total.bytesOut += float64(out.Bytes)
			total.messagesOut += float64(out.Messages)
			total.bytesIn += float64(in.Bytes)
			total.messagesIn += float64(in.Messages)
			var status gossip.Status
			if err := r.ReadAdmin(i, "fleet", &status); err != nil {
				t.Error(err)
			}
			total.disturbed += disturbances(status)
			processor, resident := processUsage(t, r.PID(i))
			total.processor += processor
			total.resident += resident
		}
		return total
	}
	startedAt, before := time.Now(), read()
	time.Sleep(*calibrateFor)
	cost = costBetween(before, read(), time.Since(startedAt), members)
	if err := r.Play(t.Context(), "wait agree 1s"); err != nil { // it fails if the cluster was not quiet
		t.Errorf("the real sidecars did not agree at the end: %v\n%s", err, r.Timeline())
	}
	return cost
}

// calibrateHollow measures hollow sidecars, all in this process.
func calibrateHollow(t *testing.T, settings, recovery string) (cost memberCost) {
	members := *calibrateMembers
	heapBefore := heapSize()
	fleet, err := hollow.New(hollow.Config{
		Members:       members,
		Endpoints:     4,
		Name:          "rig",
		MemberName:    "m%02d",
		ClusterKeys:   settings,
		BootstrapKeys: recovery,
	})
	if err != nil {
		t.Error(err)
		return cost
	}
	defer fleet.Close()
	if err := fleet.Start(fleet.Members...); err != nil {
		t.Error(err)
		return cost
	}
	everywhere := func(hollow.Location) bool { return true }
	startedAt := time.Now()
	for fleet.Disagreement(everywhere) != "" || fleet.CountOutdated(everywhere) > 0 {
		if time.Since(startedAt) > testutil.WaitTimeout { // testutil.Until may only be called from the test's goroutine
			t.Errorf("the hollow members do not agree after %v: %s",
				testutil.WaitTimeout, fleet.Disagreement(everywhere))
			return cost
		}
		time.Sleep(10 * time.Millisecond)
	}
	waitQuiet()
	read := func() (total memberCost) {
		for _, member := range fleet.Members {
			total.disturbed += disturbances(member.Status())
			counts := member.Counts()
			total.bytesOut += float64(counts.BytesOut)
			total.messagesOut += float64(counts.MessagesOut)
			total.bytesIn += float64(counts.BytesIn)
			total.messagesIn += float64(counts.MessagesIn)
		}
		total.processor, total.resident = processUsage(t, os.Getpid())
		return total
	}
	startedAt, before := time.Now(), read()
	time.Sleep(*calibrateFor)
	cost = costBetween(before, read(), time.Since(startedAt), members)
	cost.heap = (heapSize() - heapBefore) / float64(members)
	return cost
}

// waitQuiet waits until a cluster has disseminated all updates. A member that finds no peer at the start gets the
// endpoint list from discovery, and switches to a peer after at least 15 s (internal/discovery/bootstrap). In the long
// form, waitQuiet also waits for these switches.
func waitQuiet() {
	if isLongCalibration() {
		time.Sleep(40 * time.Second)
		return
	}
	time.Sleep(time.Second)
}

// costBetween returns the mean cost of a member from the totals of all members at two times.
func costBetween(before, after memberCost, elapsed time.Duration, members int) memberCost {
	memberSeconds := elapsed.Seconds() * float64(members)
	return memberCost{
		bytesOut:    (after.bytesOut - before.bytesOut) / memberSeconds,
		bytesIn:     (after.bytesIn - before.bytesIn) / memberSeconds,
		messagesOut: (after.messagesOut - before.messagesOut) / memberSeconds,
		messagesIn:  (after.messagesIn - before.messagesIn) / memberSeconds,
		processor:   (after.processor - before.processor) / memberSeconds,
		resident:    after.resident / float64(members),
		disturbed:   after.disturbed - before.disturbed,
	}
}

// disturbances returns the number of events that a quiet cluster does not have.
func disturbances(status gossip.Status) int {
	return status.Core.Suspicions + status.Core.Refutations + status.Core.Stalls
}

// heapSize returns the size of the live heap in MB.
func heapSize() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / 1e6
}

// processUsage returns the processor time of a process in ms, and its resident memory in MB.
func processUsage(t *testing.T, pid int) (processor, resident float64) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	var user, system, pages float64
	for i, value := range map[int]*float64{11: &user, 12: &system, 21: &pages} {
		if _, err := fmt.Sscan(fields[i], value); err != nil {
			t.Error(err)
		}
	}
	return (user + system) * 10, pages * float64(syscall.Getpagesize()) / 1e6
}
