package balancer

import (
	"strings"
	"testing"
	"time"
)

func keyedSettings(scope IdempotencyScope) Settings {
	s := testSettings()
	s.Hedging = false
	s.Classes = []Class{{
		Name:              "k",
		LatencyObjective:  400 * ms,
		Deadline:          1500 * ms,
		Effect:            Keyed,
		IdempotencyScope:  scope,
		IdempotencyWindow: time.Second,
	}}
	return s
}

func nonIdempotentSettings() Settings {
	s := testSettings()
	s.Classes = []Class{{
		Name:             "x",
		LatencyObjective: 400 * ms,
		Deadline:         1500 * ms,
		Effect:           NonIdempotent,
		LateWeight:       0.5,
	}}
	return s
}

// An attempt of a request that is not idempotent fails. A retry after an attempt that ran would have the effect
// twice. The request must be retried only after a result which proves that it did not run, and must fail after any
// other.
func TestNonIdempotentIsRetriedOnlyIfNotExecuted(t *testing.T) {
	for result, wantRetry := range map[Result]bool{
		Overloaded:    true,
		ConnectFailed: true,
		NotSent:       true,
		ServerError:   false,
		Timeout:       false,
		Reset:         false,
		Cancelled:     false,
	} {
		h := newHarness(t, nonIdempotentSettings())
		h.addEndpoints(3)
		h.wantSend(h.request("1", "x", time.Second))
		actions := h.reportOutcome("1", 0, result, 10*ms)
		if wantRetry {
			h.wantSend(actions)
		} else {
			h.wantAnswer(actions, Fail)
		}
	}
}

// An attempt of a request that is not idempotent takes long. A hedge would have the effect twice, so there must be
// none.
func TestNonIdempotentIsNotHedged(t *testing.T) {
	h := newHarness(t, nonIdempotentSettings())
	h.addEndpoints(3)
	h.wantSend(h.request("1", "x", time.Second))
	if sends := actionsOfKind(h.advance(900*ms), Send); len(sends) > 0 {
		t.Fatalf("hedges of a request that is not idempotent: %+v, want none", sends)
	}
}

// The only attempt of a request that is not idempotent did not run. With Fail, the client would not know this. The
// request must be rejected, which tells the client that a retry is harmless.
func TestNonIdempotentIsRejectedIfNotExecuted(t *testing.T) {
	s := nonIdempotentSettings()
	s.MaxAttempts = 1
	h := newHarness(t, s)
	h.addEndpoints(3)
	h.wantSend(h.request("1", "x", time.Second))
	h.wantAnswer(h.reportOutcome("1", 0, ConnectFailed, ms), Reject)
}

// An attempt of a keyed request fails and may have run. Endpoints outside the idempotency scope do not know the key
// and would run the request again. Every retry must stay in the scope; the first attempt may go to any endpoint.
func TestKeyedStaysInItsScope(t *testing.T) {
	list := []Endpoint{
		{ID: "p", Zone: "a", Cell: 0},
		{ID: "q", Zone: "a", Cell: 1},
		{ID: "r", Zone: "b", Cell: 2},
		{ID: "s", Zone: "b", Cell: 2},
		{ID: "t", Zone: "a", Cell: 0},
		{ID: "u", Zone: "b", Cell: 3},
	}
	byID := map[string]Endpoint{}
	for _, endpoint := range list {
		byID[endpoint.ID] = endpoint
	}
	for scope, sameScope := range map[IdempotencyScope]func(a, b Endpoint) bool{
		ScopeAll:  func(_, _ Endpoint) bool { return true },
		ScopeZone: func(a, b Endpoint) bool { return a.Zone == b.Zone },
		ScopeCell: func(a, b Endpoint) bool { return a.Cell == b.Cell },
	} {
		for n := range 40 {
			h := newHarness(t, keyedSettings(scope))
			for range n + 1 { // picks a different first endpoint in each iteration
				h.b.rng.Uint64()
			}
			h.updateEndpoints(CompleteList, list...)
			first := byID[h.wantSend(h.request("1", "k", time.Second))]
			for _, a := range actionsOfKind(h.reportOutcome("1", 0, ServerError, 10*ms), Send) {
				if !sameScope(first, byID[a.Endpoint]) {
					t.Fatalf("scope %d: first attempt on %+v, retry on %+v, want a retry in the same scope",
						scope, first, byID[a.Endpoint])
				}
			}
		}
	}
}

// Guards against a second run of a keyed request at endpoints whose zones and cells are not reported, as in the answer
// of a name service: they may be in different cells, which do not know each other's keys. Unless the scope is all
// endpoints, the request must fail at once if it may have run at such an endpoint, and must not be sent to one
// otherwise.
func TestKeyedIsNotRepeatedWhereTheLocationIsUnknown(t *testing.T) {
	unknown := []Endpoint{{ID: "p", LocationUnknown: true}, {ID: "q", LocationUnknown: true}}
	for scope, repeats := range map[IdempotencyScope]bool{ScopeAll: true, ScopeZone: false, ScopeCell: false} {
		h := newHarness(t, keyedSettings(scope))
		h.updateEndpoints(CompleteList, unknown...)
		h.wantSend(h.request("1", "k", time.Second))
		if actions := h.reportOutcome("1", 0, Reset, 10*ms); repeats {
			h.wantSend(actions)
		} else {
			h.wantAnswer(actions, Fail)
		}

		// Zone "" and cell 0 are the zero values of an unknown location, and those of a known one.
		h = newHarness(t, keyedSettings(scope))
		h.updateEndpoints(CompleteList, Endpoint{ID: "known"})
		h.wantSend(h.request("1", "k", time.Second))
		h.updateEndpoints(CompleteList, unknown...)
		if sends := actionsOfKind(h.reportOutcome("1", 0, Reset, 10*ms), Send); (len(sends) > 0) != repeats {
			t.Errorf("scope %d: %+v after an attempt at a known location, want a repeat: %v", scope, sends, repeats)
		}

		// An attempt that never ran does not restrict the next one.
		h = newHarness(t, keyedSettings(scope))
		h.updateEndpoints(CompleteList, unknown...)
		h.wantSend(h.request("1", "k", time.Second))
		h.wantSend(h.reportOutcome("1", 0, ConnectFailed, ms))
	}
}

// An attempt of a keyed request fails shortly before its idempotency window ends. A retry would arrive after the
// endpoints have dropped the record, and would run the request again. The window starts when the first attempt that
// may have run is sent. No attempt may be sent after its end.
func TestKeyedWindow(t *testing.T) {
	s := keyedSettings(ScopeAll)
	s.Classes[0].IdempotencyWindow = 100 * ms
	s.Classes[0].LatencyObjective = time.Second
	h := newHarness(t, s)
	h.addEndpoints(3)
	h.wantSend(h.request("1", "k", time.Second))
	h.now += 95 * ms
	h.wantAnswer(h.reportOutcome("1", 0, Reset, 95*ms), Reject)
}

// The only attempt of a keyed request may have run. A rejection tells the client that a retry is harmless, even at an
// endpoint outside the scope. The request may be rejected only if all endpoints share their idempotency records.
func TestKeyedRejection(t *testing.T) {
	for scope, want := range map[IdempotencyScope]ActionKind{ScopeAll: Reject, ScopeZone: Fail, ScopeCell: Fail} {
		s := keyedSettings(scope)
		s.MaxAttempts = 1
		h := newHarness(t, s)
		h.addEndpoints(3)
		h.wantSend(h.request("1", "k", time.Second))
		// A cancelled attempt may have run.
		h.wantAnswer(h.reportOutcome("1", 0, Cancelled, 10*ms), want)
	}
}

// An attempt of a keyed request gets no answer, and hedging is off, so that no two attempts may be outstanding. The
// first one must be cancelled, and another one sent only after it has ended.
func TestNeverTwoAttemptsInFlightWithoutHedging(t *testing.T) {
	h := newHarness(t, keyedSettings(ScopeZone))
	h.addEndpoints(4)
	h.wantSend(h.request("1", "k", time.Second))
	cancelled := false
	for range 80 {
		actions := h.advance(5 * ms)
		if len(actionsOfKind(actions, Send)) > 0 {
			t.Fatal("second attempt sent while the first one was outstanding, want none")
		}
		cancelled = cancelled || len(actionsOfKind(actions, Cancel)) > 0
	}
	if !cancelled {
		t.Fatal("unanswered attempt was not cancelled within 400 ms, want it cancelled")
	}
}

// An earlier request with the same effect may have run. If this request were sent outside the scope or the window of
// the earlier attempts, the effect would happen again, and a rejection would wrongly tell the client that a retry is
// harmless. The earlier attempts must restrict the request like its own attempts do.
func TestPriorAttempts(t *testing.T) {
	const now = time.Minute // the harness's start time
	for name, c := range map[string]struct {
		effect    Effect
		scope     IdempotencyScope
		prior     []PriorAttempt
		endpoints string // IDs of endpoints that may get an attempt
		answer    ActionKind
	}{
		"none": {
			effect:    Keyed,
			scope:     ScopeZone,
			endpoints: "abc",
			answer:    Reject,
		},
		"its zone": {
			effect:    Keyed,
			scope:     ScopeZone,
			prior:     []PriorAttempt{{Location: Location{Zone: "b"}, SentAt: now}},
			endpoints: "b",
			answer:    Fail,
		},
		"its cell": {
			effect:    Keyed,
			scope:     ScopeCell,
			prior:     []PriorAttempt{{Location: Location{Cell: 2}, SentAt: now}},
			endpoints: "c",
			answer:    Fail,
		},
		"all": {
			effect:    Keyed,
			scope:     ScopeAll,
			prior:     []PriorAttempt{{Location: Location{Zone: "b"}, SentAt: now}},
			endpoints: "abc",
			answer:    Reject,
		},
		"two zones": {
			effect: Keyed,
			scope:  ScopeZone,
			prior: []PriorAttempt{
				{Location: Location{Zone: "a"}, SentAt: now},
				{Location: Location{Zone: "b"}, SentAt: now},
			},
			endpoints: "",
			answer:    Fail,
		},
		"window has passed": {
			effect:    Keyed,
			scope:     ScopeZone,
			prior:     []PriorAttempt{{Location: Location{Zone: "b"}, SentAt: now - time.Second}},
			endpoints: "",
			answer:    Fail,
		},
		"a removed zone": {
			effect:    Keyed,
			scope:     ScopeZone,
			prior:     []PriorAttempt{{Location: Location{Zone: "z"}, SentAt: now}},
			endpoints: "",
			answer:    Fail,
		},
		"not idempotent": {
			effect:    NonIdempotent,
			scope:     ScopeAll,
			prior:     []PriorAttempt{{Location: Location{Zone: "b"}, SentAt: now}},
			endpoints: "",
			answer:    Fail,
		},
		"idempotent": {
			effect:    Idempotent,
			scope:     ScopeAll,
			prior:     []PriorAttempt{{Location: Location{Zone: "b"}, SentAt: 0}},
			endpoints: "abc",
			answer:    Reject,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := keyedSettings(c.scope)
			s.Classes[0].Effect = c.effect
			h := newHarness(t, s)
			h.updateEndpoints(CompleteList,
				Endpoint{ID: "a", Zone: "a", Cell: 0},
				Endpoint{ID: "b", Zone: "b", Cell: 1},
				Endpoint{ID: "c", Zone: "c", Cell: 2},
			)
			actions := h.handle(Request{ID: "1", Class: "k", ExpiresAt: h.now + 500*ms, PriorAttempts: c.prior})
			for n := 0; len(finalAnswers(actions)) == 0 && n < 1000; n++ {
				sends := actionsOfKind(actions, Send)
				for _, a := range sends {
					if !strings.Contains(c.endpoints, a.Endpoint) {
						t.Errorf("sent to endpoint %s, want only endpoints in %q (empty: none)",
							a.Endpoint, c.endpoints)
					}
					actions = h.reportOutcome("1", len(h.b.requests["1"].attempts)-1, Overloaded, ms)
				}
				if len(sends) == 0 {
					actions = h.advance(5 * ms)
				}
			}
			h.wantAnswer(actions, c.answer)
		})
	}
}
