package graphqlfront

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hazelwing/internal/engine"
	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/testutil"
)

// connected is the disconnected function of a waiter whose client stays connected.
func connected() bool { return false }

// returning returns a runFunc whose outcome has the given reason.
func returning(reason string) runFunc {
	return func(context.Context, func() bool) (plan.Outcome, bool) { return plan.Outcome{Reason: reason}, false }
}

// TestCoalescing checks that identical parts in flight are executed once if the configuration allows it, except for
// clients with other headers or a longer deadline.
func TestCoalescing(t *testing.T) {
	release := make(chan struct{})
	d := &recordingDoer{do: func(_ int, c *engine.Call) engine.Result {
		<-release
		return serveOnes(c)
	}}
	s := newTestServer(t, d, nil)
	var running sync.WaitGroup
	start := func(parts ...string) { running.Go(func() { send(s, parts...) }) }
	const q = `{"query":"{s}"}`
	start("X-Deadline-Ms: 30000", q)
	testutil.Until(t, "the first call", func() bool { return d.count() == 1 })
	for range 3 {
		start("X-Deadline-Ms: 30000", q) // joins the first flight unless it arrives more than maxEarlierExpiry later
	}
	start("X-Deadline-Ms: 30000", "Authorization: another", q)
	start("X-Deadline-Ms: 50000", q)
	start("X-Deadline-Ms: 30000", `{"query":"{a}"}`)
	testutil.Until(t, "the other calls", func() bool { return d.count() >= 4 })
	close(release)
	running.Wait()
	if n, coalesced := d.count(), s.State().CoalescedParts; n+int(coalesced) != 7 || n < 4 {
		t.Errorf("%d calls and %d coalesced parts, want a total of 7 and at least 4 calls", n, coalesced)
	}
}

// TestFlight checks which callers may join a flight, and the outcome that each of them receives.
func TestFlight(t *testing.T) {
	group := flightGroup{flights: map[string]*flight{}}
	canceled, cancel := context.WithCancel(t.Context())
	release := make(chan struct{})
	expiresAt := time.Now().Add(testutil.WaitTimeout)
	first, isShared := group.join("k", expiresAt, connected, func(context.Context, func() bool) (plan.Outcome, bool) {
		<-release
		return plan.Outcome{Reason: "first"}, false
	})
	second, secondIsShared := group.join("k", expiresAt.Add(maxEarlierExpiry), connected, nil)
	if isShared || !secondIsShared {
		t.Errorf("shared flight: first caller %v, second caller %v; want false and true", isShared, secondIsShared)
	}
	if joined, _ := group.join("k", expiresAt.Add(2*maxEarlierExpiry), connected, nil); joined != nil {
		t.Error("a caller with a much longer deadline joined the flight, want join to return nil")
	}
	cancel()
	if outcome, _ := first.wait(canceled, expiresAt); outcome.Kind != plan.OutcomeUnknown {
		t.Errorf("the caller whose context ended received %+v, want kind %v (OutcomeUnknown)",
			outcome, plan.OutcomeUnknown)
	}
	if outcome, _ := first.wait(t.Context(), time.Now()); outcome.Kind != plan.OutcomeUnknown {
		t.Errorf("the caller that has expired received %+v, want kind %v (OutcomeUnknown)",
			outcome, plan.OutcomeUnknown)
	}
	close(release)
	if outcome, ok := second.wait(t.Context(), expiresAt); outcome.Reason != "first" || !ok {
		t.Errorf("the caller that stayed received %+v, ok %v; want the reason \"first\", ok true", outcome, ok)
	}
	next, isShared := group.join("k", expiresAt, connected, returning("next"))
	if outcome, _ := next.wait(t.Context(), expiresAt); isShared || outcome.Reason != "next" {
		t.Errorf("after the first flight has ended: shared %v, outcome %+v; want false and the reason \"next\"",
			isShared, outcome)
	}
}

// Several clients share a part and disconnect one after the other. If the part ended with the first client, the others
// would get an error; if it continued after the last one, work would be done for disconnected clients. The part must
// continue as long as one client is connected, and no longer.
func TestCoalescedPartEndsWithLastClient(t *testing.T) {
	front, calls, aborted := startHangingFront(t)
	first := front.dial(t)
	second := front.dial(t)
	write(t, first, post("{s}"))
	call := testutil.Receive(t, calls, "the call")
	// The second request expires earlier than the first, so that it may join the flight.
	shorter := strings.Replace(post("{s}"), "Host: h", "Host: h\r\nX-Deadline-Ms: 30000", 1)
	write(t, second, shorter)
	testutil.Until(t, "the second client to join", func() bool { return front.server.State().CoalescedParts == 1 })
	closeConn(t, first)
	testutil.Until(t, "the first client to leave", func() bool { return front.server.flights.waiterCount() == 1 })
	if len(aborted) > 0 || call.Disconnected() {
		t.Errorf("after the first client left: %d calls ended, Disconnected returned %v; want 0 and false",
			len(aborted), call.Disconnected())
	}
	closeConn(t, second)
	if ended := testutil.Receive(t, aborted, "the call's end"); ended != call {
		t.Errorf("the context of call %+v ended, want the context of call %+v to end", ended, call)
	}
	if !call.Disconnected() {
		t.Error("the call does not report that all clients have disconnected")
	}
	if len(calls) > 0 {
		t.Error("another call was made after all clients had disconnected")
	}
}

// waiterCount returns the number of callers that wait for any flight.
func (g *flightGroup) waiterCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, f := range g.flights {
		f.mu.Lock()
		n += len(f.waiters)
		f.mu.Unlock()
	}
	return n
}

// A caller joins a flight just as the clients of all others have disconnected. If it received their result, it would
// get an error for a valid query. The caller must start a new flight instead.
func TestJoiningAbandonedFlight(t *testing.T) {
	group := flightGroup{flights: map[string]*flight{}}
	expiresAt := time.Now().Add(testutil.WaitTimeout)
	disconnected := func() bool { return true }
	checked := make(chan bool)
	release := make(chan bool)
	run := func(_ context.Context, abandoned func() bool) (plan.Outcome, bool) {
		aborted := abandoned()
		checked <- true
		<-release
		return plan.Outcome{Kind: plan.OutcomeUnknown}, aborted
	}
	_, _ = group.join("k", expiresAt, disconnected, run)
	<-checked
	joined, isShared := group.join("k", expiresAt, connected, nil)
	close(release)
	if _, ok := joined.wait(t.Context(), expiresAt); ok || !isShared {
		t.Errorf("joining the abandoned flight: shared %v, ok %v; want true and false", isShared, ok)
	}
	next, isShared := group.join("k", expiresAt, connected, returning("next"))
	outcome, ok := next.wait(t.Context(), expiresAt)
	if isShared || !ok || !strings.Contains(outcome.Reason, "next") {
		t.Errorf("after the abandoned flight has ended: shared %v, ok %v, outcome %+v; want false, true and the "+
			"reason \"next\"", isShared, ok, outcome)
	}
}

// TestPartsAreBounded checks that parts are rejected if the maximum number of parts is in flight.
func TestPartsAreBounded(t *testing.T) {
	release := make(chan struct{})
	d := &recordingDoer{do: func(_ int, c *engine.Call) engine.Result {
		<-release
		return serveOnes(c)
	}}
	s := newTestServer(t, d, func(c *Config) { c.MaxParts = 2 })
	statuses := make(chan int, 2)
	for range 2 {
		go func() { statuses <- send(s, `{"query":"{a}"}`).Code }()
	}
	testutil.Until(t, "two parts in flight", func() bool { return s.State().PartsInFlight == 2 })
	w := send(s, `{"query":"mutation{m n}"}`)
	if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), plan.CodeRefused) {
		t.Errorf("status %d, body %s; want status 503 and code %s", w.Code, w.Body, plan.CodeRefused)
	}
	close(release)
	first := testutil.Receive(t, statuses, "the first response")
	second := testutil.Receive(t, statuses, "the second response")
	if first != http.StatusOK || second != http.StatusOK {
		t.Errorf("the requests in flight got status %d and %d, want 200 for both", first, second)
	}
}
