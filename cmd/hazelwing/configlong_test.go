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

// more are the faults of the long form: 30 members, 5 origins, of which a third is in no area that is cut.
func (r *configRig) more(s controlplane.Revision) {
	t := r.t
	without := func(list []int) []int {
		return slices.DeleteFunc(r.all(), func(n int) bool { return slices.Contains(list, n) })
	}
	var at time.Time

	for _, x := range []struct {
		what, cut, rest string
		lost            []int
	}{{"a rack", "1-4", "5-30,origins", numbered(1, 4)}, {"a zone with an origin", "8-15,o1", "1-7,16-30,o2-5", numbered(8, 15)}} {
		r.play("cut " + x.cut + " " + x.rest)
		s, at = r.pushUntilAccepted(3, r.file(""))
		r.inForce(x.what+" is cut off: the others, at once", s, at, without(x.lost), soon)
		time.Sleep(8 * time.Second) // until views have buried it
		s, at = r.pushUntilAccepted(3, r.file(""))
		r.inForce(x.what+" is cut off: the others, 8 s later", s, at, without(x.lost), soon)
		at = time.Now()
		r.play("heal")
		r.inForce(x.what+": those, after the healing", s, at, x.lost, soon)
	}
	r.play("settle 500ms 60s")

	// A day's replacements, one after the other, each with a change meanwhile.
	for n := 1; n <= r.members; n += 5 {
		file, done := r.file(""), make(chan bool)
		go func() { s, at = r.pushUntilAccepted(1+n%r.origins, file); close(done) }()
		r.play(fmt.Sprintf("restart %d 50ms", n))
		<-done
		r.inForce(fmt.Sprintf("m%02d is replaced meanwhile: the others", n), s, at, without([]int{n}), soon)
	}

	// A flood: four push as fast as they can, from all origins.
	var all sync.WaitGroup
	begun := time.Now()
	accepted := make([]int, 4)
	for i := range accepted {
		all.Go(func() {
			c := transport.NewClient("rig", r.Origin(1+i))
			for j := 0; time.Since(begun) < 10*time.Second; j++ {
				seen, err := c.Show(t.Context(), false)
				if err != nil {
					continue
				}
				a, err := c.Push(t.Context(), fmt.Sprintf("flood-%d-%d", i, j), seen.Result.Revision.Version, fmt.Appendf(nil, "# flood %d %d\n", i, j))
				if err == nil && a.Outcome == origin.OutcomeAccepted {
					accepted[i]++
				}
			}
		})
	}
	all.Wait()
	t.Logf("a flood of pushes for 10 s: %v accepted", accepted)
	s, at = r.pushUntilAccepted(2, r.file(""))
	r.inForce("after a flood", s, at, r.all(), soon)

	// As large as a snapshot may be, and what packs badly.
	b := new(strings.Builder)
	for i := 0; b.Len() < controlplane.MaxSnapshotSize-200; i++ {
		fmt.Fprintf(b, "# %x\n", controlplane.HashText(fmt.Append(nil, i)))
	}
	s, at = r.pushUntilAccepted(2, r.file(b.String()[:controlplane.MaxSnapshotSize-200]))
	r.inForce("a snapshot of 256 KiB", s, at, r.all(), soon)
	s, _ = r.pushUntilAccepted(2, r.file(""))

	r.cost("quiet", 30*time.Second, func() {})
	r.cost("a change each 5 s, ten times 1,700 a day", 30*time.Second, func() {
		for range 6 {
			s, at = r.pushUntilAccepted(2, r.file(""))
			time.Sleep(5 * time.Second)
		}
	})
	s, at = r.pushUntilAccepted(2, r.file(""))
	r.inForce("after it", s, at, r.all(), soon)

	// One store is rolled back to yesterday's.
	save := func(k int) string {
		dir := t.TempDir() + "/yesterday"
		if err := os.CopyFS(dir, os.DirFS(r.OriginDir(k))); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	restore := func(k int, from string) {
		if err := os.RemoveAll(r.OriginDir(k)); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(r.OriginDir(k), os.DirFS(from)); err != nil {
			t.Fatal(err)
		}
	}
	r.play("kill o5")
	yesterday := save(5)
	r.play("start o5")
	for range 3 {
		s, at = r.pushUntilAccepted(1, r.file(""))
	}
	testutil.Until(t, "the origin has what its store is to lose", func() bool {
		st, err := transport.NewClient("rig", r.Origin(5)).Status(t.Context())
		return err == nil && st.Revision == s
	})
	r.play("kill o5")
	restore(5, yesterday)
	r.play("start o5")
	testutil.Until(t, "the origin says that its store was rolled back", func() bool {
		st, err := transport.NewClient("rig", r.Origin(5)).Status(t.Context())
		return err == nil && st.Role == origin.RoleRolledBack
	})
	s, at = r.pushUntilAccepted(1, r.file(""))
	r.inForce("with an origin whose store was rolled back", s, at, r.all(), soon)

	// All are rolled back: only the members know. Nothing older comes back, and pushes stop by name until a higher epoch is founded.
	r.play("kill o1-4")
	saved := []string{save(1), save(2), save(3), save(4)}
	r.play("start o1-4")
	for range 3 {
		s, at = r.pushUntilAccepted(2, r.file(""))
	}
	r.inForce("before all origins are rolled back", s, at, r.all(), soon)
	r.play("kill origins")
	for k, from := range saved {
		restore(k+1, from)
	}
	restore(5, yesterday)
	r.play("start origins")
	testutil.Until(t, "an origin hears that members hold a later one", func() bool {
		for k := range r.origins {
			if st, err := transport.NewClient("rig", r.Origin(k+1)).Status(t.Context()); err == nil && st.Ahead.Compare(s) == 0 {
				return true
			}
		}
		return false
	})
	if p, err := r.push(2, r.file(""), "--wait", "0", "--after", fmt.Sprint(s.Version)); err == nil {
		t.Errorf("accepted although the members hold a later one: %+v", p)
	} else {
		t.Logf("a push is turned away: %v", err)
	}
	for _, n := range r.all() {
		if st := r.state(n); st.Active.Compare(s) != 0 {
			t.Errorf("m%02d acts on %v after the origins were rolled back, and on %v before", n, st.Active, s)
		}
	}
	r.play("kill origins")
	if err := r.Found(2, "origins"); err != nil {
		t.Fatal(err)
	}
	r.play("start origins")
	s, at = r.pushUntilAccepted(2, r.file(""))
	if s.Epoch != 2 {
		t.Errorf("%v", s)
	}
	r.inForce("a higher epoch is founded", s, at, r.all(), 0)
}

// cost logs what members sent and received a second over a time.
func (r *configRig) cost(what string, d time.Duration, during func()) {
	type both struct{ out, in testcluster.Bytes }
	before := map[int]both{}
	read := func(n int) (b both) { b.out, b.in = r.Bytes(n); return b }
	for _, n := range r.all() {
		before[n] = read(n)
	}
	begun := time.Now()
	during()
	time.Sleep(d - time.Since(begun))
	secs := time.Since(begun).Seconds()
	var view, list, config []float64
	for _, n := range r.all() {
		a, b := read(n), before[n]
		view = append(view, float64(a.out.View+a.in.View-b.out.View-b.in.View)/secs)
		list = append(list, float64(a.out.List+a.in.List-b.out.List-b.in.List)/secs)
		config = append(config, float64(a.out.Config+a.in.Config-b.out.Config-b.in.Config)/secs)
	}
	mean := func(x []float64) (sum float64) {
		for _, v := range x {
			sum += v / float64(len(x))
		}
		return sum
	}
	r.t.Logf("| %s | bytes a second a member, sent and received, mean (most): view %.0f (%.0f), list %.0f (%.0f), configuration %.0f (%.0f)", what,
		mean(view), slices.Max(view), mean(list), slices.Max(list), mean(config), slices.Max(config))
}
