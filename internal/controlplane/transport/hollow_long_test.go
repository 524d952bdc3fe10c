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
	// changeInterval is the time between changes while traffic is measured: ten times as many as 1,700 a day.
	changeInterval = 5 * time.Second
	// cutDuration is how long an area is cut off before the second change.
	cutDuration = 12 * time.Second
	// replacedMembers is how many members are replaced at once.
	replacedMembers = 63
)

// applyNetworkStep carries out a step of the emulated network.
func (h *hollowTest) applyNetworkStep(step string) {
	h.t.Helper()
	if err := h.Links.Apply(step); err != nil {
		h.t.Fatal(err)
	}
}

// awaitAgreement waits until all members know each other, and logs how long that took.
func (h *hollowTest) awaitAgreement() {
	h.t.Helper()
	everywhere := func(hollow.Location) bool { return true }
	startedAt := time.Now()
	for h.Disagreement(everywhere) != "" && time.Since(startedAt) < longFormTimeout {
		time.Sleep(100 * time.Millisecond)
	}
	h.t.Logf("views complete after %.1f s: %q", time.Since(startedAt).Seconds(), h.Disagreement(everywhere))
}

// runLongForm plays a day's faults, one after the other.
func (h *hollowTest) runLongForm() {
	h.awaitAgreement()
	time.Sleep(*trafficPeriod / 2) // until the updates of the start have been sent
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

// measureTraffic logs the traffic at rest and with changes.
func (h *hollowTest) measureTraffic() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	h.t.Logf("%d members: heap %d MB, %d goroutines", len(h.Members), memory.HeapInuse>>20, runtime.NumGoroutine())
	h.logTraffic("quiet", *trafficPeriod, func() {})
	h.logTraffic("a change of 1 KB each 5 s (ten times 1,700 a day)", *trafficPeriod, func() {
		for range int(*trafficPeriod / changeInterval) {
			revision, pushedAt := h.push(0, 1)
			h.awaitActive("one of them", revision, pushedAt, h.Members)
			time.Sleep(max(0, changeInterval-time.Since(pushedAt)))
		}
	})
}

// killOriginDuringPush kills an origin while a change is pushed to others, and restarts it.
func (h *hollowTest) killOriginDuringPush(k int) {
	killed := h.origins[k]
	go func() {
		time.Sleep(5 * time.Millisecond)
		killed.stop()
	}()
	revision, pushedAt := h.push((k+1)%5, (k+2)%5, 4)
	h.awaitActive(fmt.Sprintf("origin %d killed in mid-push", k+1), revision, pushedAt, h.Members)
	killed.stop() // waits for the goroutine's call
	killed.start(h.t)
}

// cutArea cuts an area off, pushes changes meanwhile and afterwards, and heals the cut.
func (h *hollowTest) cutArea(what, name string) {
	area := hollow.Area(name)
	h.applyNetworkStep("cut " + name + " rest")
	revision, pushedAt := h.push(0, 4)
	h.awaitActive(what+" is cut off: the others, at once", revision, pushedAt, h.running(area))
	time.Sleep(cutDuration)
	revision, pushedAt = h.push(0, 4)
	h.awaitActive(what+" is cut off: the others, 12 s later", revision, pushedAt, h.running(area))
	healedAt := time.Now()
	h.applyNetworkStep("heal")
	h.awaitActive(what+": those, after the healing", revision, healedAt, h.MembersIn(area))
	revision, pushedAt = h.push(0, 1)
	h.awaitActive(what+": a change right after it", revision, pushedAt, h.Members)
	h.awaitAgreement()
}

// replaceMembersDuringPush replaces many members at once while a change is pushed, and returns its revision.
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
	h.awaitActive("63 are replaced in mid-push: the others", revision, pushedAt, h.Members[:half])
	if err := <-done; err != nil {
		h.t.Fatal(err)
	}
	startedAt := time.Now()
	h.awaitActive("63 are replaced in mid-push: they, after their start", revision, startedAt, replaced)
	return revision
}

// restartAll restarts all members, without cached snapshots, waits for the latest revision, and pushes a change.
func (h *hollowTest) restartAll(latest controlplane.Revision) {
	stoppedAt := time.Now()
	h.Kill(h.Members...)
	stopTime := time.Since(stoppedAt)
	startedAt := time.Now()
	if err := h.Start(h.Members...); err != nil {
		h.t.Fatal(err)
	}
	h.t.Logf("all stopped in %.1f s, started in %.1f s", stopTime.Seconds(), time.Since(startedAt).Seconds())
	h.awaitActive("all are restarted, nothing kept: since the first start", latest, startedAt, h.Members)
	h.awaitAgreement()
	revision, pushedAt := h.push(0, 1)
	h.awaitActive("a change after it", revision, pushedAt, h.Members)
	if took := time.Since(pushedAt); took > testutil.WaitTimeout {
		h.t.Errorf("a change after the restart took %v, want at most %v", took, testutil.WaitTimeout)
	}
}
