package balancer

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// An invalid setting is reported by the name that operators know, and absent settings have defaults.
func TestNewNamesTheInvalidSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":        func(s *Settings) { s.Classes = nil },
		"Name":           func(s *Settings) { s.Classes[0].Name = "" },
		"Aim":            func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"Deadline":       func(s *Settings) { s.Classes[0].Deadline = 0 },
		"Effect":         func(s *Settings) { s.Classes[0].Effect = 7 },
		"Group":          func(s *Settings) { s.Classes[0].IdempotencyScope = -1 },
		"Window":         func(s *Settings) { s.Classes[0].IdempotencyWindow = -1 },
		"Worth":          func(s *Settings) { s.Classes[0].Weight = -1 },
		"Tick":           func(s *Settings) { s.Tick = -1 },
		"WarmUp":         func(s *Settings) { s.WarmUp = -1 },
		"FallMultiple":   func(s *Settings) { s.OverloadMultiple = -1 },
		"MaxAttempts":    func(s *Settings) { s.MaxAttempts = -1 },
		"MaxRetryAfter":  func(s *Settings) { s.MaxRetryAfter = -1 },
		"ConnectTimeout": func(s *Settings) { s.ConnectTimeout = -1 },
		"FallTime":       func(s *Settings) { s.OverloadDuration = -1 },
		"Balancers":      func(s *Settings) { s.Balancers = -1 },
		"OverShareWorth": func(s *Settings) { s.OverQuotaWeight = math.NaN() },
		"ColdFrom":       func(s *Settings) { s.InitialCapacity = math.Inf(1) },
		"PriceProbe":     func(s *Settings) { s.PriceProbe = -1 },
		"PriceOpen":      func(s *Settings) { s.PriceOpenConnection = math.NaN() },
		"PriceHandshake": func(s *Settings) { s.PriceHandshake = -1 },
		"LateShare":      func(s *Settings) { s.Classes[0].LateWeight = -1 },
		"AimStretch":     func(s *Settings) { s.Classes[0].ObjectiveStretch = math.NaN() },
		"repeated":       func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"Fraction":       func(s *Settings) { s.Tenants = []Tenant{{Name: "t", Fraction: -0.1}} },
		"Tenants":        func(s *Settings) { s.Tenants = []Tenant{{Name: "t"}, {Name: "t"}} },
		"PriceCrossZone": func(s *Settings) { s.PriceCrossZone = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that contains %q", err, want)
		}
	}
	if _, err := New(Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}}, 1); err != nil {
		t.Errorf("settings with one class and otherwise absent values: error %v, want none", err)
	}
}

// With only a class set, a request is sent and its outcome is accepted.
func TestDefaultSettings(t *testing.T) {
	h := newHarness(t, Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}})
	h.addEndpoints(1)
	h.wantSend(h.request("1", "c", time.Second))
	h.wantNoAttemptOrAnswer(h.reportOutcome("1", 0, OK, 10*ms))
	h.wantNoAttemptOrAnswer(h.advance(2 * time.Second))
}

// Unexpected events arrive: with unknown classes, requests and attempts, repeated, after the answer, and with a clock
// that steps back. They must not cause a second answer or attempt, or leave a request without an answer.
func TestUnexpectedEventsAreHarmless(t *testing.T) {
	h := newHarness(t, testSettings())
	h.updateEndpoints(CompleteList) // empty list
	h.wantAnswer(h.request("?", "no such class", time.Second), Reject)
	h.addEndpoints(1)
	h.wantSend(h.request("1", "c", time.Second))
	h.wantNoAttemptOrAnswer(h.request("1", "c", time.Second))      // the same ID again
	h.wantNoAttemptOrAnswer(h.reportOutcome("1", 5, OK, 10*ms))    // no such attempt
	h.wantNoAttemptOrAnswer(h.reportOutcome("1", -1, OK, 10*ms))   // no such attempt
	h.wantNoAttemptOrAnswer(h.reportOutcome("1", 0, OK, 10*ms))    // the outcome of the attempt
	h.wantNoAttemptOrAnswer(h.reportOutcome("1", 0, Reset, 10*ms)) // a second outcome
	h.wantNoAttemptOrAnswer(h.handle(ClientDisconnected{ID: "1"})) // the client disconnects after the answer
	h.now -= time.Second                                           // a clock that steps back is treated as stopped
	expiresAt := h.now + 3*time.Second
	h.wantSend(h.handle(Request{ID: "2", Class: "c", Tenant: "no such tenant", ExpiresAt: expiresAt}))
	h.wantNoAttemptOrAnswer(h.handle(ClientDisconnected{ID: "2"}))
	h.wantNoAttemptOrAnswer(h.reportOutcome("2", 0, OK, 10*ms))
	actions := h.request("3", "c", -time.Second) // its deadline has passed
	actions = append(actions, h.advance(time.Second+20*ms)...)
	if len(finalAnswers(actions)) != 1 || len(actionsOfKind(actions, Send)) != 0 {
		t.Errorf("request after its deadline: want one final answer and no attempt, got %+v", actions)
	}
}

// Finished requests and removed endpoints are deleted.
func TestFinishedRequestsAndRemovedEndpointsAreDeleted(t *testing.T) {
	h := newHarness(t, testSettings())
	h.addEndpoints(3)
	for i := range 1000 {
		id := time.Duration(i).String()
		h.request(id, "c", time.Second)
		h.reportOutcome(id, 0, OK, 10*ms)
		h.advance(5 * ms)
	}
	h.updateEndpoints(CompleteList, Endpoint{ID: "new"})
	h.advance(2 * time.Second)
	b := h.b
	if len(b.requests) != 0 || len(b.endpointsByID) != 1 || len(b.endpoints) != 1 || b.timers.Len() != 0 {
		t.Errorf("%d requests, want 0; %d endpoints by ID, want 1; %d endpoints in the list, want 1; %d timers, want 0",
			len(b.requests), len(b.endpointsByID), len(b.endpoints), b.timers.Len())
	}
}

// The same events and seed must result in the same actions.
func TestDeterministic(t *testing.T) {
	run := func() (all []Action) {
		h := newHarness(t, testSettings())
		h.addEndpoints(8)
		for i := range 300 {
			id := time.Duration(i).String()
			all = append(all, h.request(id, "c", time.Second)...)
			if i%3 == 0 {
				all = append(all, h.reportOutcome(id, 0, Result(i/3%7), 20*ms)...)
			}
			all = append(all, h.advance(5*ms)...)
		}
		return all
	}
	first, second := run(), run()
	if len(first) != len(second) {
		t.Fatalf("two identical runs returned %d and %d actions, want the same number", len(first), len(second))
	}
	for i := range first {
		if !reflect.DeepEqual(first[i], second[i]) {
			t.Fatalf("two identical runs returned different actions with index %d: %+v and %+v", i, first[i], second[i])
		}
	}
}
