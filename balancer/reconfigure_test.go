package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Settings change while requests are in flight. A changed guarantee would break what these requests rely on. The four
// rules must hold under the current settings, and the guarantees of a class must not change, whatever the new
// settings contain.
func TestRulesUnderReconfiguration(t *testing.T) {
	for seed := range uint64(100) {
		g := rand.New(rand.NewPCG(seed, 13))
		s := randomSettings(g)
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		c := newRuleChecker(t, s)
		c.run(g, func(e Event) {
			if g.IntN(20) == 0 {
				// next has other idempotency scopes and windows, warm-up settings and deadlines, which must not be
				// applied.
				next := randomSettings(g)
				next.Balancers = s.Balancers
				if err := b.Reconfigure(next); err != nil {
					t.Fatal(err)
				}
				c.settings.MaxAttempts = next.MaxAttempts
				c.settings.Hedging = next.Hedging
			}
			for _, a := range b.Handle(c.now, e, nil) {
				c.checkAction(a)
			}
		}, 400)
		if n := len(b.requests); n != 0 {
			t.Fatalf("seed %d: %d requests retained after all have finished, want 0", seed, n)
		}
	}
}

// Invalid settings must not change anything, and Reconfigure must not modify its caller's settings.
func TestReconfigureIsAllOrNothing(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{"t", 0.5}}
	h := newHarness(t, s)
	next := s
	next.MaxAttempts, next.PriceProbe = 1, math.NaN()
	if err := h.b.Reconfigure(next); err == nil || h.b.settings.MaxAttempts != 4 {
		t.Errorf("invalid settings: error %v, want an error; MaxAttempts %d, want 4", err, h.b.settings.MaxAttempts)
	}
	next.PriceProbe = 0
	next.Tenants = []Tenant{{"t", 0.25}, {"u", 0.25}}
	next.Classes = []Class{{
		Name:             "c",
		LatencyObjective: time.Second,
		Deadline:         9 * time.Second,
		Effect:           NonIdempotent,
		Weight:           7,
		LateWeight:       0.5,
	}}
	if err := h.b.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	c := h.b.classes["c"]
	if c.Weight != 7 || c.LateWeight != 0.5 {
		t.Errorf("valid settings: class %+v, want Weight 7 and LateWeight 0.5", c)
	}
	if c.Effect != Idempotent || c.Deadline != time.Second || c.LatencyObjective != 200*ms {
		t.Errorf("class %+v, want the effect Idempotent, the deadline 1s and the objective 200ms unchanged", c)
	}
	if h.b.settings.MaxAttempts != 1 {
		t.Errorf("valid settings: MaxAttempts %d, want 1", h.b.settings.MaxAttempts)
	}
	if h.b.settings.Tenants[0].Fraction != 0.25 || len(h.b.settings.Tenants) != 1 || s.Tenants[0].Fraction != 0.5 {
		t.Errorf("tenants %+v, want one with fraction 0.25; tenants of New's caller %+v, want fraction 0.5",
			h.b.settings.Tenants, s.Tenants)
	}
}
