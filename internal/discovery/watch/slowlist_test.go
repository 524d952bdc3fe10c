package watch

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// slowListTimeout is the silence timeout in tests of slow lists.
const slowListTimeout = 500 * time.Millisecond

// sendSlowly sends an event with the given number of entries, one every fifth of the timeout.
func sendSlowly(w http.ResponseWriter, r *http.Request, entries int) {
	send(w, `{"seq":44,"whole":true,"hosts":[{"host":"first","health":"SERVING"}`)
	for i := 0; i < entries && r.Context().Err() == nil; i++ {
		time.Sleep(slowListTimeout / 5)
		send(w, fmt.Sprintf(`,{"host":"e%d","health":"SERVING"}`, i))
	}
	send(w, "]}")
}

// receiveComplete returns the first update that is a complete list or a failure.
func receiveComplete(t *testing.T, updates <-chan engine.EndpointUpdate) engine.EndpointUpdate {
	t.Helper()
	for {
		update := testutil.Receive(t, updates, "the complete list or a failure")
		if update.Kind == balancer.CompleteList || update.Kind == balancer.WatchFailed {
			return update
		}
	}
}

// A list whose transfer took longer than the silence timeout was abandoned and requested again, so that it never
// arrived. As long as its entries arrive, it must be waited for. Another call may be made only after a timeout.
func TestSlowListIsDelivered(t *testing.T) {
	const withinTimeout, beyondTimeout = 4, 7 // entries that take 0.8 and 1.4 timeouts
	for _, entries := range []int{withinTimeout, beyondTimeout} {
		for name, c := range map[string]struct {
			serve http.HandlerFunc
			calls int32 // calls without a hedge
		}{
			"first event": {func(w http.ResponseWriter, r *http.Request) { sendSlowly(w, r, entries) }, 1},
			"later event": {func(w http.ResponseWriter, r *http.Request) {
				send(w, "\n") // the watch needs the list beside it
				sendSlowly(w, r, entries)
			}, 2},
			"list beside the watch": {func(w http.ResponseWriter, r *http.Request) {
				if isListRequest(r) {
					sendSlowly(w, r, entries)
				} else {
					sendUntilDisconnected(w, r, "\n", slowListTimeout/5)
				}
			}, 2},
		} {
			t.Run(fmt.Sprint(name, " ", entries), func(t *testing.T) {
				t.Parallel()
				testSlowList(t, c.serve, entries, c.calls, entries == beyondTimeout)
			})
		}
	}
}

func testSlowList(t *testing.T, serve http.HandlerFunc, entries int, wantCalls int32, mayHedge bool) {
	t.Helper()
	var calls atomic.Int32
	updates := startWatchFrom(t, engine.NoVersion, slowListTimeout, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		serve(w, r)
		hang(r)
	})
	update := receiveComplete(t, updates)
	if update.Kind != balancer.CompleteList || len(update.Endpoints) != entries+1 {
		t.Errorf("delivered %+v, want a complete list with %d entries", update, entries+1)
	}
	if mayHedge {
		wantCalls++
	}
	if calls.Load() > wantCalls {
		t.Errorf("%d calls, want at most %d", calls.Load(), wantCalls)
	}
}

// An event whose entries never end must be abandoned, because no other change would arrive.
func TestEndlessEventIsAbandoned(t *testing.T) {
	const slack = slowListTimeout / 2 // for a busy machine
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint("first event ", first), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			updates := startWatch(t, slowListTimeout, func(w http.ResponseWriter, r *http.Request) {
				if !first {
					send(w, "\n")
				}
				sendSlowly(w, r, 1000)
			})
			update := receiveComplete(t, updates)
			limit := maxEventTimeouts*slowListTimeout + slack
			if first { // the last of three calls begins three delays of half a timeout after the first one
				limit += 3 * slowListTimeout / 2
			}
			if elapsed := time.Since(began); update.Kind != balancer.WatchFailed || elapsed > limit {
				t.Errorf("after %v: %+v, want a failure after at most %v", elapsed, update, limit)
			}
			if update.Version != engine.UnknownVersion {
				t.Errorf("the next watch starts from version %d, want %d (UnknownVersion)",
					update.Version, engine.UnknownVersion)
			}
		})
	}
}
