package transport_test

import (
	"fmt"
	"runtime"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/testcluster/hollow"
	"hazelwing/internal/testutil"
)

const (
	// changeInterval is the time between changes while traffic is measured. It gives 17,280 changes a day, about ten
	// times the 1,700 that package configsim assumes (changesPerDay).
	changeInterval = 5 * time.Second
	// cutDuration is how long an area is cut off before the second change.
	cutDuration = 12 * time.Second
	// replacedMembers is the number of members that are replaced at once.
	replacedMembers = 63
)

// applyNetworkStep applies a step, such as "cut z2 rest" or "heal", to the links of the emulated network.
func (h *hollowTest) applyNetworkStep(step string) {
	h.t.Helper()
	if err := h.Links.Apply(step); err != nil {
		h.t.Fatal(err)
	}
}

// awaitAgreement waits until all members have the same complete view, and logs how long that took. It does not fail
// the test after longFormTimeout, but logs the remaining disagreement.
func (h *hollowTest) awaitAgreement() {
	h.t.Helper()
	everywhere := func(hollow.Location) bool { return true }
	startedAt := time.Now()
	for h.Disagreement(everywhere) != "" && time.Since(startedAt) < longFormTimeout {
		time.Sleep(100 * time.Millisecond)
	}
	h.t.Logf("waited %.1f s for complete views, remaining disagreement: %q",
		time.Since(startedAt).Seconds(), h.Disagreement(everywhere))
}

// runLongForm injects a day's faults, one after the other.
func (h *hollowTest) runLongForm() {
	h.awaitAgreement()
	time.Sleep(*trafficPeriod / 2) // until the gossip about the starts has been sent
	h.measureTraffic()
	for k := range 2 {
		h.killOriginDuringPush(k)
	}
	time.Sleep(5 * time.Second)
	h.cutArea("a rack", "k3")
	h.cutArea("a zone", "z2")
	h.cutArea("the region without a majority", "r2")
	h.restartAll(h.replaceMembersDuringPush())
}

// measureTraffic logs the memory use, and the traffic without and with changes.
func (h *hollowTest) measureTraffic() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	h.t.Logf("%d members: heap %d MB, %d goroutines", len(h.Members), memory.HeapInuse>>20, runtime.NumGoroutine())
	h.logTraffic("no changes", *trafficPeriod, func() {})
	h.logTraffic("1 KB change every 5 s (ten times 1,700 a day)", *trafficPeriod, func() {
		for range int(*trafficPeriod / changeInterval) {
			revision, pushedAt := h.push(0, 1)
			h.awaitActive("one change of 1 KB", revision, pushedAt, h.Members)
			time.Sleep(max(0, changeInterval-time.Since(pushedAt)))
		}
	})
}

// killOriginDuringPush stops an origin while a change is pushed to other origins, and restarts it afterwards.
func (h *hollowTest) killOriginDuringPush(k int) {
	killed := h.origins[k]
	go func() {
		time.Sleep(5 * time.Millisecond)
		killed.stop()
	}()
	revision, pushedAt := h.push((k+1)%5, (k+2)%5, 4)
	h.awaitActive(fmt.Sprintf("origin %d stopped during a push", k+1), revision, pushedAt, h.Members)
	killed.stop() // waits until the goroutine has stopped it
	killed.start(h.t)
}

// cutArea cuts an area off from the rest, pushes two changes in the meantime, reconnects the area, and pushes another
// change.
func (h *hollowTest) cutArea(what, name string) {
	area := hollow.Area(name)
	h.applyNetworkStep("cut " + name + " rest")
	revision, pushedAt := h.push(0, 4)
	h.awaitActive(what+" is cut off: others, first change", revision, pushedAt, h.running(area))
	time.Sleep(cutDuration)
	revision, pushedAt = h.push(0, 4)
	h.awaitActive(what+" is cut off: others, 12 s later", revision, pushedAt, h.running(area))
	healedAt := time.Now()
	h.applyNetworkStep("heal")
	h.awaitActive(what+": its members, after reconnection", revision, healedAt, h.MembersIn(area))
	revision, pushedAt = h.push(0, 1)
	h.awaitActive(what+": change after reconnection", revision, pushedAt, h.Members)
	h.awaitAgreement()
}

// replaceMembersDuringPush replaces many members at once while a change is pushed. It returns the revision of the
// change.
func (h *hollowTest) replaceMembersDuringPush() controlplane.Revision {
	half := len(h.Members) / 2
	replaced := h.Members[half:]
	replaced = replaced[:min(replacedMembers, len(replaced))]
	done := make(chan error)
	go func() {
		h.Kill(replaced...)
		done <- h.Start(replaced...)
	}()
	revision, pushedAt := h.push(0, 1)
	h.awaitActive("63 replaced during a push: half not replaced", revision, pushedAt, h.Members[:half])
	if err := <-done; err != nil {
		h.t.Fatal(err)
	}
	startedAt := time.Now()
	h.awaitActive("63 replaced during a push: since their start", revision, startedAt, replaced)
	return revision
}

// restartAll stops and starts all members, which have no cached snapshots, waits until the latest revision is active
// at all of them, and pushes a change.
func (h *hollowTest) restartAll(latest controlplane.Revision) {
	stoppedAt := time.Now()
	h.Kill(h.Members...)
	stopTime := time.Since(stoppedAt)
	startedAt := time.Now()
	if err := h.Start(h.Members...); err != nil {
		h.t.Fatal(err)
	}
	startTime := time.Since(startedAt)
	h.t.Logf("stopped all members in %.1f s, started them in %.1f s", stopTime.Seconds(), startTime.Seconds())
	h.awaitActive("restart of all, no cache: since first start", latest, startedAt, h.Members)
	h.awaitAgreement()
	revision, pushedAt := h.push(0, 1)
	h.awaitActive("change after the restart", revision, pushedAt, h.Members)
	if took := time.Since(pushedAt); took > testutil.WaitTimeout {
		h.t.Errorf("change after the restart of all members took %v, want at most %v", took, testutil.WaitTimeout)
	}
}
