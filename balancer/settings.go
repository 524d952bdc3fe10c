package balancer

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"hazelwing/internal/backoff"
)

// defaultTick is the default of Settings.Tick. With a higher value, sidecars may handle events in larger batches, and
// all margins before deadlines are longer.
const defaultTick = time.Millisecond

// validate sets the defaults of absent settings and returns an error for the first invalid one. Errors use the names
// under which operators know the settings, which are older than the current names of some fields.
func (s *Settings) validate() error {
	if err := s.validateValues(); err != nil {
		return err
	}
	if len(s.Classes) == 0 {
		return errors.New("setting Classes: no class given; at least one is required")
	}
	s.Balancers = max(s.Balancers, 1)
	s.MaxAttempts = max(s.MaxAttempts, 1)
	s.Tick = cmp.Or(s.Tick, defaultTick)
	s.InitialCapacity = min(cmp.Or(s.InitialCapacity, 1), 1)
	if err := s.validateClasses(); err != nil {
		return err
	}
	return s.validateTenants()
}

func (s *Settings) validateValues() error {
	for _, setting := range []struct {
		name  string
		value time.Duration
	}{
		{"Tick", s.Tick},
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"ConnectTimeout", s.ConnectTimeout},
		{"WarmUp", s.WarmUp},
		{"FallTime", s.OverloadDuration},
	} {
		if setting.value < 0 {
			return fmt.Errorf("setting %s: %v is negative; it must be 0 or more", setting.name, setting.value)
		}
	}
	for _, setting := range []struct {
		name  string
		value float64
	}{
		{"Balancers", float64(s.Balancers)},
		{"MaxAttempts", float64(s.MaxAttempts)},
		{"PriceCrossZone", s.PriceCrossZone},
		{"PriceProbe", s.PriceProbe},
		{"PriceOpen", s.PriceOpenConnection},
		{"PriceHandshake", s.PriceHandshake},
		{"OverShareWorth", s.OverQuotaWeight},
		{"ColdFrom", s.InitialCapacity},
		{"FallMultiple", s.OverloadMultiple},
	} {
		if err := checkFinite(setting.value); err != nil {
			return fmt.Errorf("setting %s: %w", setting.name, err)
		}
	}
	return nil
}

// checkFinite returns an error unless v is a finite number of at least 0.
func checkFinite(v float64) error {
	if math.IsInf(v, 1) {
		return errors.New("value is infinite; it must be a finite number")
	}
	return checkNotNegative(v)
}

// checkNotNegative returns an error unless v is at least 0. Infinity is accepted.
func checkNotNegative(v float64) error {
	switch {
	case math.IsNaN(v):
		return errors.New("value is NaN; it must be a number")
	case v < 0:
		return fmt.Errorf("%v is negative; it must be 0 or more", v)
	}
	return nil
}

func (s *Settings) validateClasses() error {
	s.Classes = slices.Clone(s.Classes)
	names := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.LatencyObjective = cmp.Or(c.LatencyObjective, c.Deadline)
		c.Weight = cmp.Or(c.Weight, 1)
		if c.Name == "" {
			return fmt.Errorf("setting Classes: class %d: Name is empty", i+1)
		}
		if names[c.Name] {
			return fmt.Errorf("setting Classes: Name %q is repeated; names must be unique", c.Name)
		}
		names[c.Name] = true
		if err := c.validate(); err != nil {
			return fmt.Errorf("setting Classes: %s: %w", c.Name, err)
		}
	}
	return nil
}

// validate returns an error for the first invalid field, under the name that operators know.
func (c *Class) validate() error {
	switch {
	case c.LatencyObjective <= 0:
		return fmt.Errorf("field Aim: %v is not positive; it must be above 0", c.LatencyObjective)
	case c.Deadline <= 0:
		return fmt.Errorf("field Deadline: %v is not positive; it must be above 0", c.Deadline)
	case c.Effect < Idempotent || c.Effect > NonIdempotent:
		return fmt.Errorf("field Effect: unknown value %d; it must be Idempotent (may run any number of times), "+
			"Keyed (has an idempotency key) or NonIdempotent (must not run twice)", c.Effect)
	case c.IdempotencyScope < ScopeAll || c.IdempotencyScope > ScopeCell:
		return fmt.Errorf("field Group: unknown value %d; it must be ScopeAll (all endpoints), "+
			"ScopeZone (the endpoints of one zone) or ScopeCell (the endpoints of one cell)", c.IdempotencyScope)
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"Worth", c.Weight},
		{"LateShare", c.LateWeight},
		{"AimStretch", c.ObjectiveStretch},
	} {
		if err := checkNotNegative(field.value); err != nil {
			return fmt.Errorf("field %s: %w", field.name, err)
		}
	}
	if c.IdempotencyWindow < 0 {
		return fmt.Errorf("field Window: %v is negative; it must be 0 or more", c.IdempotencyWindow)
	}
	return nil
}

func (s *Settings) validateTenants() error {
	names := map[string]bool{}
	for _, t := range s.Tenants {
		if err := checkFinite(t.Fraction); err != nil {
			return fmt.Errorf("setting Tenants: %s: field Fraction: %w", t.Name, err)
		}
		if names[t.Name] {
			return fmt.Errorf("setting Tenants: Name %q is repeated; names must be unique", t.Name)
		}
		names[t.Name] = true
	}
	return nil
}

// SetBalancers replaces the number of sidecars in the settings, from the next decision on. Subsets, the pressure, the
// cost of cross-zone attempts, the use of probes, the closing of idle connections and the backoff of subscriptions
// depend on it. A number below 1 counts as 1. It must be called from the goroutine that calls Handle.
func (b *Balancer) SetBalancers(n int) {
	b.settings.Balancers = max(n, 1)
	b.subscription.backoff.Config = backoff.ServiceConfig(b.settings.Balancers)
}
