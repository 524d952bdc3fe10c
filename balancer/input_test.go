package balancer

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestNewNamesTheBadSetting(t *testing.T) {
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
			t.Errorf("%s: error %v", want, err)
		}
	}
	if _, err := New(Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}}, 1); err != nil {
		t.Errorf("absent settings have defaults: %v", err)
	}
}

// With nothing set but a class, a request is sent and answered.
func TestBareSettings(t *testing.T) {
	r := newRig(t, Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}})
	r.fleet(1)
	r.wantSend(r.request("1", "c", time.Second))
	r.wantNothing(r.result("1", 0, OK, 10*ms))
	r.wantNothing(r.pass(2 * time.Second))
}

func TestOddInputIsHarmless(t *testing.T) {
	r := newRig(t, testSettings())
	r.list(CompleteList) // empty list
	r.wantFinal(r.request("?", "no such class", time.Second), Reject)
	r.fleet(1)
	r.wantSend(r.request("1", "c", time.Second))
	r.wantNothing(r.request("1", "c", time.Second)) // the same id again
	r.wantNothing(r.result("1", 5, OK, 10*ms))      // no such attempt
	r.wantNothing(r.result("1", -1, OK, 10*ms))
	r.wantNothing(r.result("1", 0, OK, 10*ms))
	r.wantNothing(r.result("1", 0, Reset, 10*ms)) // late repeat
	r.wantNothing(r.do(ClientDisconnected{ID: "1"}))
	r.now -= time.Second // a clock that steps back counts as one that stands
	r.wantSend(r.do(Request{ID: "2", Class: "c", Tenant: "stranger", ExpiresAt: r.now + 3*time.Second}))
	r.wantNothing(r.do(ClientDisconnected{ID: "2"}))
	r.wantNothing(r.result("2", 0, OK, 10*ms))
	acts := r.request("3", "c", -time.Second) // its time is over already
	acts = append(acts, r.pass(time.Second+20*ms)...)
	if len(finals(acts)) != 1 || len(kinds(acts, Send)) != 0 {
		t.Errorf("overdue request: %+v", acts)
	}
}

// What is finished or gone is let go.
func TestForgets(t *testing.T) {
	r := newRig(t, testSettings())
	r.fleet(3)
	for i := range 1000 {
		id := time.Duration(i).String()
		r.request(id, "c", time.Second)
		r.result(id, 0, OK, 10*ms)
		r.pass(5 * ms)
	}
	r.list(CompleteList, Endpoint{ID: "new"})
	r.pass(2 * time.Second)
	if len(r.b.requests) != 0 || len(r.b.endpointsByID) != 1 || len(r.b.endpoints) != 1 || r.b.timers.Len() != 0 {
		t.Errorf("kept: %d requests, %d upstreams, %d listed, %d timers", len(r.b.requests), len(r.b.endpointsByID), len(r.b.endpoints),
			r.b.timers.Len())
	}
}

// The same events and seed give the same actions.
func TestDeterministic(t *testing.T) {
	play := func() (all []Action) {
		r := newRig(t, testSettings())
		r.fleet(8)
		for i := range 300 {
			id := time.Duration(i).String()
			all = append(all, r.request(id, "c", time.Second)...)
			if i%3 == 0 {
				all = append(all, r.result(id, 0, Result(i/3%7), 20*ms)...)
			}
			all = append(all, r.pass(5*ms)...)
		}
		return all
	}
	a, b := play(), play()
	if len(a) != len(b) {
		t.Fatalf("%d and %d actions", len(a), len(b))
	}
	for i := range a {
		if !reflect.DeepEqual(a[i], b[i]) {
			t.Fatalf("action %d: %+v and %+v", i, a[i], b[i])
		}
	}
}
