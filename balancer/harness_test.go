package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness passes events to a Balancer and keeps its clock.
type harness struct {
	t        *testing.T
	b        *Balancer
	now      time.Duration
	logLines []string
}

// testSettings returns settings with hedging, cancellation and one class of idempotent requests.
func testSettings() Settings {
	return Settings{
		Balancers:        2,
		Zone:             "a",
		Tick:             5 * ms,
		MaxAttempts:      4,
		Hedging:          true,
		Cancellation:     true,
		RetryAfter:       true,
		MaxRetryAfter:    time.Second,
		ConnectTimeout:   200 * ms,
		InitialCapacity:  0.2,
		WarmUp:           10 * time.Second,
		OverloadMultiple: 3,
		OverloadDuration: 2 * time.Second,
		Classes:          []Class{{Name: "c", LatencyObjective: 200 * ms, Deadline: time.Second, Weight: 1}},
	}
}

func newHarness(t *testing.T, s Settings) *harness {
	t.Helper()
	return newSeededHarness(t, s, 1)
}

func newSeededHarness(t *testing.T, s Settings, seed uint64) *harness {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, b: b, now: time.Minute}
}

// handle passes an event to the balancer, records its log lines and returns its actions.
func (h *harness) handle(e Event) []Action {
	actions := h.b.Handle(h.now, e, nil)
	for _, a := range actions {
		if a.Kind != Log {
			continue
		}
		line := a.Text
		for _, attribute := range a.Attributes {
			line += fmt.Sprintf(" %s=%v", attribute.Key, attribute.Value)
		}
		h.logLines = append(h.logLines, line)
	}
	return actions
}

// advance moves the clock forward by d, with a TimerFired event at each tick.
func (h *harness) advance(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		h.now += h.b.settings.Tick
		all = append(all, h.handle(TimerFired{})...)
	}
	return all
}

func (h *harness) updateEndpoints(kind UpdateKind, endpoints ...Endpoint) []Action {
	return h.handle(EndpointUpdate{Kind: kind, Endpoints: endpoints})
}

// addEndpoints sends a complete list of n endpoints in zone a: u0, u1, and so on.
func (h *harness) addEndpoints(n int) {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("u%d", i), Zone: "a"})
	}
	h.updateEndpoints(CompleteList, list...)
}

func (h *harness) request(id, class string, timeout time.Duration) []Action {
	return h.handle(Request{ID: id, Class: class, ExpiresAt: h.now + timeout})
}

func (h *harness) reportOutcome(id string, attempt int, result Result, elapsed time.Duration) []Action {
	return h.handle(Outcome{ID: id, Attempt: attempt, Result: result, Elapsed: elapsed, Finished: result == OK})
}

// actionsOfKind returns the actions of one kind.
func actionsOfKind(actions []Action, kind ActionKind) (matching []Action) {
	for _, a := range actions {
		if a.Kind == kind {
			matching = append(matching, a)
		}
	}
	return matching
}

// finalAnswers returns the actions that answer a request: rejections and failures.
func finalAnswers(actions []Action) []Action {
	return append(actionsOfKind(actions, Reject), actionsOfKind(actions, Fail)...)
}

// wantSend fails the test unless actions contain exactly one attempt, and returns the attempt's endpoint.
func (h *harness) wantSend(actions []Action) string {
	h.t.Helper()
	sends := actionsOfKind(actions, Send)
	if len(sends) != 1 {
		h.t.Fatalf("want one attempt, got %+v", actions)
	}
	return sends[0].Endpoint
}

// wantAnswer fails the test unless actions contain exactly one final answer, of the given kind, and no attempt.
func (h *harness) wantAnswer(actions []Action, kind ActionKind) {
	h.t.Helper()
	answers := finalAnswers(actions)
	if len(answers) != 1 || answers[0].Kind != kind || len(actionsOfKind(actions, Send)) > 0 {
		h.t.Fatalf("want one final answer of kind %d and no attempt, got %+v", kind, actions)
	}
}

// wantNoAttemptOrAnswer fails the test if actions contain an attempt or a final answer.
func (h *harness) wantNoAttemptOrAnswer(actions []Action) {
	h.t.Helper()
	if len(finalAnswers(actions)) > 0 || len(actionsOfKind(actions, Send)) > 0 {
		h.t.Fatalf("want no attempt and no answer, got %+v", actions)
	}
}
