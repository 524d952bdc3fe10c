package engine

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"hazelwing/balancer"
)

// updateAt is the time, on the Balancer's clock, of the measured updates.
const updateAt = time.Hour

// timedRuns is the number of runs of which the fastest counts. On a busy machine, most runs are preempted.
const timedRuns = 30

// fastestRun returns the shortest of several times of the function that prepare returns, without the time of prepare
// itself. The garbage collector does not run meanwhile: on a busy machine, a collection can take ten times as long as
// the function.
func fastestRun(prepare func() (timed func())) time.Duration {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	fastest := time.Hour
	for range timedRuns {
		timed := prepare()
		runtime.GC()
		start := time.Now()
		timed()
		fastest = min(fastest, time.Since(start))
	}
	return fastest
}

// newBalancer returns a Balancer that has a complete list.
func newBalancer(t *testing.T, at time.Duration, list []balancer.Endpoint) *balancer.Balancer {
	t.Helper()
	s := testSettings()
	s.Balancers = 300
	b, err := balancer.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(at, balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: list}, nil)
	return b
}

// fastestUpdate returns the shortest of several times to apply an update to a Balancer that has the list known.
func fastestUpdate(t *testing.T, known, update []balancer.Endpoint) time.Duration {
	t.Helper()
	return fastestRun(func() func() {
		b := newBalancer(t, 0, known)
		return func() { b.Handle(updateAt, balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: update}, nil) }
	})
}

// The time to apply a list grew with the square of the number of new or restarted endpoints. It must grow in proportion
// to it: sixteen times the endpoints may take three times sixteen times as long, since larger lists miss the caches.
func TestUpdateTimeIsProportionalToTheList(t *testing.T) {
	const small, factor, allowance = 200, 16, 3
	list := func(n int, startedAt time.Duration) (list []balancer.Endpoint) {
		for i := range n {
			list = append(list, balancer.Endpoint{ID: fmt.Sprint("e", i), Zone: "a", Kind: "k", StartedAt: startedAt})
		}
		return list
	}
	for name, knownStart := range map[string]time.Duration{"new": -1, "restarted": 0} {
		var elapsed [2]time.Duration
		for i, n := range []int{small, small * factor} {
			var known []balancer.Endpoint
			if knownStart == 0 {
				known = list(n, 0)
			}
			elapsed[i] = fastestUpdate(t, known, list(n, updateAt-time.Second))
		}
		if elapsed[1] > allowance*factor*elapsed[0] {
			t.Errorf("%s endpoints: %v for %d and %v for %d, want at most %d times as long",
				name, elapsed[0], small, elapsed[1], small*factor, allowance*factor)
		}
	}
}

// The time to pick an endpoint grew with the list, although pairs are drawn from a subset. Between two choices of the
// subset it must not: sixteen times the endpoints may take three times as long, since larger lists miss the caches.
func TestPickTimeDoesNotGrowWithTheList(t *testing.T) {
	const small, factor, allowance, requests = 200, 16, 3, 200
	var elapsed [2]time.Duration
	for i, n := range []int{small, small * factor} {
		var list []balancer.Endpoint
		for j := range n {
			list = append(list, balancer.Endpoint{ID: fmt.Sprint("e", j), Zone: "a", Kind: "k"})
		}
		elapsed[i] = fastestRun(func() func() {
			b := newBalancer(t, updateAt, list)
			return func() { handleRequests(b, requests) }
		})
	}
	if elapsed[1] > allowance*elapsed[0] {
		t.Errorf("%d requests took %v with %d endpoints and %v with %d, want at most %d times as long",
			requests, elapsed[0], small, elapsed[1], small*factor, allowance)
	}
}

// handleRequests lets a Balancer handle requests, one after the other, that are served.
func handleRequests(b *balancer.Balancer, requests int) {
	for j := range requests {
		id := fmt.Sprint(j)
		b.Handle(updateAt, balancer.Request{ID: id, Class: "look", ExpiresAt: updateAt + time.Second}, nil)
		b.Handle(updateAt, balancer.Outcome{ID: id, Elapsed: time.Millisecond, Finished: true}, nil)
	}
}
