package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The four rules hold, by the settings of each moment, while settings are revised under requests in hand; what a class promises
// stays as it was, whatever the revision says of it.
func TestRulesUnderRevisions(t *testing.T) {
	for seed := range uint64(100) {
		g := rand.New(rand.NewPCG(seed, 13))
		s := randomSettings(g)
		b, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		f := &referee{t: t, s: s, now: time.Hour, reqs: map[string]*owed{}, active: map[string]Endpoint{}}
		run(f, g, func(e Event) {
			if g.IntN(20) == 0 {
				next := randomSettings(g) // with other groups, windows, cold rules and deadlines, which must not be taken
				next.Balancers = s.Balancers
				if err := b.Reconfigure(next); err != nil {
					t.Fatal(err)
				}
				f.s.MaxAttempts, f.s.Hedging = next.MaxAttempts, next.Hedging
			}
			for _, a := range b.Handle(f.now, e, nil) {
				f.action(a)
			}
		}, 400)
		if n := len(b.requests); n != 0 {
			t.Fatalf("seed %d: %d requests kept after all have ended", seed, n)
		}
	}
}

// A revision that cannot be used changes nothing, and none writes into the caller's settings.
func TestReviseIsAllOrNothing(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{"t", 0.5}}
	r := newRig(t, s)
	next := s
	next.MaxAttempts, next.PriceProbe = 1, math.NaN()
	if err := r.b.Reconfigure(next); err == nil || r.b.settings.MaxAttempts != 4 {
		t.Errorf("%v, %d attempts", err, r.b.settings.MaxAttempts)
	}
	next.PriceProbe, next.Tenants = 0, []Tenant{{"t", 0.25}, {"u", 0.25}}
	next.Classes = []Class{{Name: "c", LatencyObjective: time.Second, Deadline: 9 * time.Second, Effect: NonIdempotent, Weight: 7, LateWeight: 0.5}}
	if err := r.b.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	c := r.b.classes["c"]
	if c.Weight != 7 || c.LateWeight != 0.5 || c.Effect != Idempotent || c.Deadline != time.Second || c.LatencyObjective != 200*ms || r.b.settings.MaxAttempts != 1 {
		t.Errorf("%+v", c)
	}
	if r.b.settings.Tenants[0].Fraction != 0.25 || len(r.b.settings.Tenants) != 1 || s.Tenants[0].Fraction != 0.5 {
		t.Errorf("tenants %+v, the caller's %+v", r.b.settings.Tenants, s.Tenants)
	}
}
