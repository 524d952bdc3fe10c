package dns

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"hazelwing/internal/discovery"
	"hazelwing/internal/testutil"
)

// lookupResult is the result of a lookup.
type lookupResult struct {
	answer Answer
	err    error
}

// addrResult returns an answer with one target that has the given address.
func addrResult(addr string) lookupResult {
	target := Target{Port: 80, Addrs: []netip.Addr{netip.MustParseAddr(addr)}}
	return lookupResult{answer: Answer{TTL: time.Millisecond, Targets: []Target{target}}}
}

// Lookups fail repeatedly and then succeed again. A source must send an update only if the endpoints have changed,
// report an outage once and without an update, continue its lookups, and return when its context ends.
func TestSource(t *testing.T) {
	first, second := addrResult("10.0.0.1"), addrResult("10.0.0.2")
	failure := lookupResult{err: errors.New("time-out")}
	results := make(chan lookupResult)
	refresher, err := NewRefresher(RefresherConfig{
		SourceName: "srv",
		StaleTTL:   time.Nanosecond,
		MinRetry:   time.Millisecond,
		MaxRetry:   time.Millisecond,
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	source := &Source{
		Name:      "_booking._tcp.example.org.",
		Refresher: refresher,
		Log:       slog.New(slog.DiscardHandler),
		Lookup: func(ctx context.Context, _ string) (Answer, error) {
			select {
			case result := <-results:
				return result.answer, result.err
			case <-ctx.Done():
				return Answer{}, ctx.Err()
			}
		},
	}
	events := make(chan string, 10)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() {
		source.Run(ctx,
			func(update discovery.Update) { events <- update.Endpoints[0].Addr },
			func(err error) { events <- err.Error() })
		close(done)
	}()
	for _, result := range []lookupResult{first, first, failure, failure, failure, second} {
		results <- result
	}
	for _, want := range []string{"10.0.0.1:80", "time-out", "10.0.0.2:80"} {
		if got := testutil.Receive(t, events, "the event "+want); got != want {
			t.Errorf("received the event %q, want %q", got, want)
		}
	}
	stop()
	testutil.Receive(t, done, "the end of Run")
	if len(events) > 0 {
		t.Errorf("received the event %q, want none", <-events)
	}
}
