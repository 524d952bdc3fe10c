package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"hazelwing/internal/backoff"
)

// check fills in the defaults of absent settings and names the first one that cannot be used.
func (s *Settings) check() error {
	for _, t := range []struct {
		name string
		d    time.Duration
	}{{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout},
		{"WarmUp", s.WarmUp}, {"FallTime", s.OverloadDuration}} {
		if t.d < 0 {
			return fmt.Errorf("setting %s: negative", t.name)
		}
	}
	for _, x := range []struct {
		name string
		v    float64
	}{{"Balancers", float64(s.Balancers)}, {"MaxAttempts", float64(s.MaxAttempts)},
		{"PriceCrossZone", s.PriceCrossZone}, {"PriceProbe", s.PriceProbe},
		{"PriceOpen", s.PriceOpenConnection}, {"PriceHandshake", s.PriceHandshake}, {"OverShareWorth", s.OverQuotaWeight},
		{"ColdFrom", s.InitialCapacity}, {"FallMultiple", s.OverloadMultiple}} {
		if x.v < 0 || math.IsNaN(x.v) || math.IsInf(x.v, 0) {
			return fmt.Errorf("setting %s: %v is not usable", x.name, x.v)
		}
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("setting Classes: none given")
	}
	s.Balancers, s.MaxAttempts = max(s.Balancers, 1), max(s.MaxAttempts, 1)
	s.Tick = cmp.Or(s.Tick, time.Millisecond)
	s.InitialCapacity = min(cmp.Or(s.InitialCapacity, 1), 1)
	s.Classes = slices.Clone(s.Classes)
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.LatencyObjective = cmp.Or(c.LatencyObjective, c.Deadline)
		c.Weight = cmp.Or(c.Weight, 1)
		if c.Name == "" || names[c.Name] {
			return fmt.Errorf("setting Classes: Name %q empty or repeated", c.Name)
		}
		names[c.Name] = true
		if field := c.unusable(); field != "" {
			return fmt.Errorf("setting Classes: %s: %s is not usable", c.Name, field)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Fraction >= 0) || math.IsInf(t.Fraction, 0) {
			return fmt.Errorf("setting Tenants: %s: Fraction %v is not usable", t.Name, t.Fraction)
		}
		if slices.ContainsFunc(s.Tenants[:i], func(o Tenant) bool { return o.Name == t.Name }) {
			return fmt.Errorf("setting Tenants: Name %q repeated", t.Name)
		}
	}
	return nil
}

func (c *Class) unusable() string {
	switch {
	case c.LatencyObjective <= 0:
		return "Aim"
	case c.Deadline <= 0:
		return "Deadline"
	case c.Effect < Idempotent || c.Effect > NonIdempotent:
		return "Effect"
	case c.IdempotencyScope < ScopeAll || c.IdempotencyScope > ScopeCell:
		return "Group"
	case !(c.Weight >= 0):
		return "Worth"
	case !(c.LateWeight >= 0):
		return "LateShare"
	case !(c.ObjectiveStretch >= 0):
		return "AimStretch"
	case c.IdempotencyWindow < 0:
		return "Window"
	}
	return ""
}

// SetBalancers replaces the number of sidecars that the settings told, from the next decision on: subsets, what a crossing
// weighs, when probes pay and how often a lost list is asked for follow it. Below 1 counts as 1. The caller is Handle's.
func (b *Balancer) SetBalancers(n int) {
	b.set.Balancers = max(n, 1)
	b.pace.Config = backoff.ServiceConfig(b.set.Balancers)
}
