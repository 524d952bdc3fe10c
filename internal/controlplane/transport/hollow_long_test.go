package transport_test

import (
	"fmt"
	"runtime"
	"time"

	"hazelwing/internal/testcluster/hollow"
	"hazelwing/internal/testutil"
)

// step carries out a step of the links.
func (r *hollowRig) step(text string) {
	r.t.Helper()
	if err := r.Links.Play(text); err != nil {
		r.t.Fatal(err)
	}
}

func (r *hollowRig) settle() {
	r.t.Helper()
	begun := time.Now()
	for r.Disagreement(func(hollow.Place) bool { return true }) != "" && time.Since(begun) < 2*time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	r.t.Logf("views whole after %.1f s: %q", time.Since(begun).Seconds(), r.Disagreement(func(hollow.Place) bool { return true }))
}

// long is a day's faults, one after the other.
func (r *hollowRig) long() {
	t := r.t
	r.settle()
	time.Sleep(*hollowQuiet / 2) // what the start has to tell is told
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	t.Logf("%d members: heap %d MB, %d goroutines", len(r.Members), mem.HeapInuse>>20, runtime.NumGoroutine())
	r.cost("quiet", *hollowQuiet, func() {})
	r.cost("a change of 1 KB each 5 s (ten times 1,700 a day)", *hollowQuiet, func() {
		for range int(*hollowQuiet/time.Second) / 5 {
			s, at := r.push(0, 1)
			r.inForce("one of them", s, at, r.Members)
			time.Sleep(max(0, 5*time.Second-time.Since(at)))
		}
	})

	// The origins one after the other are killed while a change is pushed.
	for k := range 2 {
		go func() { time.Sleep(5 * time.Millisecond); r.origins[k].stop() }()
		s, at := r.push((k+1)%5, (k+2)%5, 4)
		r.inForce(fmt.Sprintf("origin %d killed in mid-push", k+1), s, at, r.Members)
		r.origins[k].stop()
		r.origins[k].start(t)
	}
	time.Sleep(5 * time.Second)

	for _, x := range []struct{ what, area string }{{"a rack", "k3"}, {"a zone", "z2"}, {"the region without a majority", "r2"}} {
		area := hollow.Area(x.area)
		r.step("cut " + x.area + " rest")
		s, at := r.push(0, 4)
		r.inForce(x.what+" is cut off: the others, at once", s, at, r.running(area))
		time.Sleep(12 * time.Second)
		s, at = r.push(0, 4)
		r.inForce(x.what+" is cut off: the others, 12 s later", s, at, r.running(area))
		at = time.Now()
		r.step("heal")
		r.inForce(x.what+": those, after the healing", s, at, r.In(area))
		s, at = r.push(0, 1)
		r.inForce(x.what+": a change right after it", s, at, r.Members)
		r.settle()
	}

	// Replacements: 63 at once, while a change is pushed.
	some := r.Members[len(r.Members)/2:]
	some = some[:min(63, len(some))]
	done := make(chan error)
	go func() { r.Kill(some...); done <- r.Start(some...) }()
	s, at := r.push(0, 1)
	r.inForce("63 are replaced in mid-push: the others", s, at, r.Members[:len(r.Members)/2])
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	at = time.Now()
	r.inForce("63 are replaced in mid-push: they, after their start", s, at, some)

	at = time.Now()
	r.Kill(r.Members...)
	ended := time.Since(at)
	at = time.Now()
	if err := r.Start(r.Members...); err != nil {
		t.Fatal(err)
	}
	t.Logf("all ended in %.1f s, started in %.1f s", ended.Seconds(), time.Since(at).Seconds())
	r.inForce("all are restarted, nothing kept: since the first start", s, at, r.Members)
	r.settle()
	s, at = r.push(0, 1)
	r.inForce("a change after it", s, at, r.Members)
	if time.Since(at) > testutil.Patience {
		t.Error("late")
	}
}
