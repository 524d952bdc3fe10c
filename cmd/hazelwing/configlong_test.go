package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/controlplane/transport"
	"hazelwing/internal/testcluster"
	"hazelwing/internal/testutil"
)

// testLongFaults plays the faults of the long form, which has 30 members and 5 origins.
func (r *configCluster) testLongFaults() {
	r.testCutAreas()
	r.testReplacements()
	r.testFlood()
	r.testLargestSnapshot()
	r.testChangeTraffic()
	backup := r.testRolledBackOrigin()
	r.testAllOriginsRolledBack(backup)
}

// except returns all members except the excluded ones.
func (r *configCluster) except(excluded []int) []int {
	return slices.DeleteFunc(r.all(), func(n int) bool { return slices.Contains(excluded, n) })
}

// testCutAreas cuts off a rack, and then a zone with an origin, and pushes changes to the other members. Members 5 to 7
// and 16 to 30 are in neither area.
func (r *configCluster) testCutAreas() {
	r.t.Helper()
	for _, area := range []struct {
		name    string
		cut     string
		rest    string
		members []int
	}{
		{name: "a rack", cut: "1-4", rest: "5-30,origins", members: numberRange(1, 4)},
		{name: "a zone with an origin", cut: "8-15,o1", rest: "1-7,16-30,o2-5", members: numberRange(8, 15)},
	} {
		r.play("cut " + area.cut + " " + area.rest)
		s, at := r.pushUntilAccepted(3, r.writeSnapshot(""))
		r.waitApplied(area.name+" is cut off: the others, immediately", s, at, r.except(area.members), maxApplyTime)
		time.Sleep(8 * time.Second) // until the others have declared the members of the area dead
		s, at = r.pushUntilAccepted(3, r.writeSnapshot(""))
		r.waitApplied(area.name+" is cut off: the others, 8 s later", s, at, r.except(area.members), maxApplyTime)
		at = time.Now()
		r.play("heal")
		r.waitApplied(area.name+" is reconnected: its members", s, at, area.members, maxApplyTime)
	}
	r.play("settle 500ms 60s")
}

// testReplacements restarts members one after the other, as in a rolling update, and pushes a change during each
// restart.
func (r *configCluster) testReplacements() {
	r.t.Helper()
	for n := 1; n <= r.members; n += 5 {
		file, done := r.writeSnapshot(""), make(chan bool)
		var s controlplane.Revision
		var at time.Time
		go func() {
			s, at = r.pushUntilAccepted(1+n%r.origins, file)
			close(done)
		}()
		r.play(fmt.Sprintf("restart %d 50ms", n))
		<-done
		r.waitApplied(fmt.Sprintf("m%02d restarts: the others", n), s, at, r.except([]int{n}), maxApplyTime)
	}
}

// testFlood pushes from four clients as fast as possible, to different origins.
func (r *configCluster) testFlood() {
	r.t.Helper()
	const duration = 10 * time.Second
	var all sync.WaitGroup
	startedAt := time.Now()
	accepted := make([]int, 4)
	for i := range accepted {
		all.Go(func() {
			client := transport.NewClient("rig", r.OriginAddr(1+i))
			for j := 0; time.Since(startedAt) < duration; j++ {
				latest, err := client.Show(r.t.Context(), false)
				if err != nil {
					continue
				}
				result, err := client.Push(r.t.Context(), fmt.Sprintf("flood-%d-%d", i, j),
					latest.Result.Revision.Version, fmt.Appendf(nil, "# flood %d %d\n", i, j), false)
				if err == nil && result.Outcome == origin.OutcomeAccepted {
					accepted[i]++
				}
			}
		})
	}
	all.Wait()
	r.t.Logf("four clients pushed for %v; accepted pushes of each client: %v", duration, accepted)
	s, at := r.pushUntilAccepted(2, r.writeSnapshot(""))
	r.waitApplied("change after many pushes", s, at, r.all(), maxApplyTime)
}

// testLargestSnapshot pushes a snapshot of nearly the maximum size whose text compresses badly.
func (r *configCluster) testLargestSnapshot() {
	r.t.Helper()
	const size = controlplane.MaxSnapshotSize - 200
	text := new(strings.Builder)
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(text, "# %x\n", controlplane.HashText(fmt.Append(nil, i)))
	}
	s, at := r.pushUntilAccepted(2, r.writeSnapshot(text.String()[:size]))
	r.waitApplied("a snapshot of 256 KiB", s, at, r.all(), maxApplyTime)
	r.pushUntilAccepted(2, r.writeSnapshot(""))
}

// testChangeTraffic logs the traffic without and with configuration changes.
func (r *configCluster) testChangeTraffic() {
	r.t.Helper()
	r.logTraffic("quiet", 30*time.Second, func() {})
	r.logTraffic("a change every 5 s, ten times 1,700 a day", 30*time.Second, func() {
		for range 6 {
			r.pushUntilAccepted(2, r.writeSnapshot(""))
			time.Sleep(5 * time.Second)
		}
	})
	s, at := r.pushUntilAccepted(2, r.writeSnapshot(""))
	r.waitApplied("change after the traffic was measured", s, at, r.all(), maxApplyTime)
}

// backUp copies the store of an origin that is not running, and returns the directory of the copy.
func (r *configCluster) backUp(k int) string {
	r.t.Helper()
	dir := r.t.TempDir() + "/yesterday"
	if err := os.CopyFS(dir, os.DirFS(r.OriginDir(k))); err != nil {
		r.t.Fatal(err)
	}
	return dir
}

// restore replaces the store of an origin that is not running by a copy.
func (r *configCluster) restore(k int, backup string) {
	r.t.Helper()
	if err := os.RemoveAll(r.OriginDir(k)); err != nil {
		r.t.Fatal(err)
	}
	if err := os.CopyFS(r.OriginDir(k), os.DirFS(backup)); err != nil {
		r.t.Fatal(err)
	}
}

// testRolledBackOrigin restores an older store of one origin from a backup, and returns the directory of the backup.
func (r *configCluster) testRolledBackOrigin() (backup string) {
	r.t.Helper()
	client := transport.NewClient("rig", r.OriginAddr(5))
	var s controlplane.Revision
	r.play("kill o5")
	backup = r.backUp(5)
	r.play("start o5")
	for range 3 {
		s, _ = r.pushUntilAccepted(1, r.writeSnapshot(""))
	}
	testutil.Until(r.t, "the origin has the revisions that its older store lacks", func() bool {
		status, err := client.Status(r.t.Context())
		return err == nil && status.Revision == s
	})
	r.play("kill o5")
	r.restore(5, backup)
	r.play("start o5")
	testutil.Until(r.t, "the origin reports that its store was rolled back", func() bool {
		status, err := client.Status(r.t.Context())
		return err == nil && status.Role == origin.RoleRolledBack
	})
	s, at := r.pushUntilAccepted(1, r.writeSnapshot(""))
	r.waitApplied("change with one rolled-back origin", s, at, r.all(), maxApplyTime)
	return backup
}

// testAllOriginsRolledBack restores older stores of all origins, so that only the members have the latest revision. The
// members must not return to an older revision. Pushes must fail, with the reason, until the origins are bootstrapped
// with a higher epoch.
func (r *configCluster) testAllOriginsRolledBack(backupOfLast string) {
	r.t.Helper()
	r.play("kill o1-4")
	backups := []string{r.backUp(1), r.backUp(2), r.backUp(3), r.backUp(4)}
	r.play("start o1-4")
	var s controlplane.Revision
	var at time.Time
	for range 3 {
		s, at = r.pushUntilAccepted(2, r.writeSnapshot(""))
	}
	r.waitApplied("change before all origins are rolled back", s, at, r.all(), maxApplyTime)
	r.play("kill origins")
	for i, backup := range backups {
		r.restore(i+1, backup)
	}
	r.restore(5, backupOfLast)
	r.play("start origins")
	testutil.Until(r.t, "an origin learns that members have a later revision", func() bool {
		return r.isAnyOriginBehind(s)
	})
	if result, err := r.push(2, r.writeSnapshot(""), "--wait", "0", "--after", fmt.Sprint(s.Version)); err == nil {
		r.t.Errorf("the push was accepted although the members have a later revision: %+v", result)
	} else {
		r.t.Logf("the push was rejected: %v", err)
	}
	for _, n := range r.all() {
		if state := r.state(n); state.Active.Compare(s) != 0 {
			r.t.Errorf("m%02d acts on %v after the origins were rolled back, want %v as before", n, state.Active, s)
		}
	}
	r.play("kill origins")
	if err := r.BootstrapOrigins(2, "origins"); err != nil {
		r.t.Fatal(err)
	}
	r.play("start origins")
	s, at = r.pushUntilAccepted(2, r.writeSnapshot(""))
	if s.Epoch != 2 {
		r.t.Errorf("after the bootstrap with epoch 2, the change has epoch %d (revision %v), want epoch 2", s.Epoch, s)
	}
	r.waitApplied("change of a higher epoch", s, at, r.all(), 0)
}

// isAnyOriginBehind reports whether an origin knows that members have a revision that the origins lack.
func (r *configCluster) isAnyOriginBehind(revision controlplane.Revision) bool {
	for k := range r.origins {
		status, err := transport.NewClient("rig", r.OriginAddr(k+1)).Status(r.t.Context())
		if err == nil && status.Ahead.Compare(revision) == 0 {
			return true
		}
	}
	return false
}

// logTraffic calls a function, waits until the duration is over, and logs the bytes per second that members sent and
// received in this time.
func (r *configCluster) logTraffic(what string, duration time.Duration, during func()) {
	r.t.Helper()
	type traffic struct{ out, in testcluster.Bytes }
	read := func(n int) (t traffic) {
		t.out, t.in = r.Bytes(n)
		return t
	}
	before := map[int]traffic{}
	for _, n := range r.all() {
		before[n] = read(n)
	}
	startedAt := time.Now()
	during()
	time.Sleep(duration - time.Since(startedAt))
	seconds := time.Since(startedAt).Seconds()
	var view, list, config []float64
	for _, n := range r.all() {
		a, b := read(n), before[n]
		view = append(view, float64(a.out.Membership+a.in.Membership-b.out.Membership-b.in.Membership)/seconds)
		list = append(list, float64(a.out.EndpointList+a.in.EndpointList-b.out.EndpointList-b.in.EndpointList)/seconds)
		config = append(config, float64(a.out.Config+a.in.Config-b.out.Config-b.in.Config)/seconds)
	}
	r.t.Logf("| %s | bytes per second and member, sent and received, mean (maximum): "+
		"view %.0f (%.0f), list %.0f (%.0f), configuration %.0f (%.0f)", what,
		mean(view), slices.Max(view), mean(list), slices.Max(list), mean(config), slices.Max(config))
}

func mean(values []float64) (sum float64) {
	for _, value := range values {
		sum += value / float64(len(values))
	}
	return sum
}
