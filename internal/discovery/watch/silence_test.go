package watch

import (
	"net/http"
	"testing"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/testutil"
)

// A watch was abandoned in the middle of a large list that began late after the event before it. The list must be
// delivered. A service that stops within the list must still be noticed within one and a half timeouts.
func TestListThatBeginsLateIsDelivered(t *testing.T) {
	const (
		timeout  = 800 * time.Millisecond
		begin    = timeout * 3 / 4
		rest     = timeout * 3 / 8
		detected = timeout * 3 / 2
		slack    = timeout / 2 // for a busy machine
	)
	for _, complete := range []bool{true, false} {
		lastEvent := make(chan time.Time, 1)
		updates := startWatch(t, timeout, func(w http.ResponseWriter, r *http.Request) {
			send(w, "\n")
			lastEvent <- time.Now()
			time.Sleep(begin)
			send(w, `{"seq":44,"whole":true,"hosts":[{"host":"a","health":"SERVING"},`)
			time.Sleep(rest)
			if complete {
				send(w, `{"host":"b","health":"SERVING"}]}`)
			}
			hang(r)
		})
		var update engine.EndpointUpdate
		update.Partial = true
		for update.Partial || update.Kind == balancer.Delta {
			update = testutil.Receive(t, updates, "the list or the failure")
		}
		if complete != (update.Kind == balancer.CompleteList) {
			t.Errorf("complete %v: got %+v", complete, update)
		}
		if elapsed := time.Since(<-lastEvent); elapsed > detected+slack {
			t.Errorf("complete %v: %v after the last event, want at most %v", complete, elapsed, detected+slack)
		}
	}
}
