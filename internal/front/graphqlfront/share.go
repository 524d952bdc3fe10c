package graphqlfront

import (
	"context"
	"crypto/sha256"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hazelwing/internal/graphql/plan"
)

// flights are parts of queries that others like them may wait for: the same body of the same class with the same headers,
// so that nobody gets what was made for somebody else.
type flights struct {
	mu   sync.Mutex
	list map[string]*flight
}

type flight struct {
	expires time.Time
	done    chan struct{} // closed when outcome is there
	outcome plan.Outcome
}

// lateBy is how much sooner than a part's own end one that it joins may give up. Guards against taking over the short
// patience of another client.
const lateBy = 50 * time.Millisecond

// answerBefore its own end a part that waits for another's answer gives up: its client is still to be told.
const answerBefore = 10 * time.Millisecond

// flightKey tells parts that are alike.
func flightKey(p *plan.Part, h http.Header) string {
	sum := sha256.New()
	add := func(text string) { sum.Write(append([]byte(text), 0)) }
	add(p.Class)
	add(string(p.Body))
	for _, name := range slices.Sorted(maps.Keys(h)) {
		add(name)
		for _, v := range h[name] {
			add(v)
		}
	}
	return string(sum.Sum(nil))
}

// join finds a flight to wait for, or begins one with run; nil: the one there is ends too soon.
func (f *flights) join(key string, expires time.Time, run func() plan.Outcome) (x *flight, shared bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, shared = f.list[key]; shared {
		if x.expires.Before(expires.Add(-lateBy)) {
			return nil, false
		}
		return x, true
	}
	x = &flight{expires: expires, done: make(chan struct{})}
	f.list[key] = x
	go func() {
		x.outcome = run()
		f.mu.Lock()
		delete(f.list, key)
		f.mu.Unlock()
		close(x.done)
	}()
	return x, false
}

// wait waits for its outcome, no longer than until expires or ctx ends.
func (x *flight) wait(ctx context.Context, expires time.Time) plan.Outcome {
	timer := time.NewTimer(time.Until(expires.Add(-answerBefore)))
	defer timer.Stop()
	select {
	case <-x.done:
		return x.outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	return plan.Outcome{Ended: plan.MayRun, Why: "no node answered this in time"}
}
