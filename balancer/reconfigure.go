package balancer

import "slices"

// Reconfigure replaces those settings that each decision reads anew and that requests in flight do not rely on:
// MaxAttempts, Hedging, the prices, the Weight and LateWeight of classes, and the Fraction of tenants. The new values
// apply from the next decision on. All other settings keep the values that New was given, among them effect,
// idempotency scope and window, deadline and objective of a class, the settings of slow start, and the capabilities of
// the sidecar. Classes and tenants that New was not given are ignored. If a setting is invalid, Reconfigure returns an
// error that names it and changes nothing. It must be called from the goroutine that calls Handle.
func (b *Balancer) Reconfigure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	b.settings.MaxAttempts = s.MaxAttempts
	b.settings.Hedging = s.Hedging
	b.settings.PriceCrossZone = s.PriceCrossZone
	b.settings.PriceOpenConnection = s.PriceOpenConnection
	b.settings.PriceHandshake = s.PriceHandshake
	b.settings.PriceProbe = s.PriceProbe
	for _, c := range s.Classes {
		if class := b.classes[c.Name]; class != nil {
			class.Weight = c.Weight
			class.LateWeight = c.LateWeight
		}
	}
	b.settings.Tenants = slices.Clone(b.settings.Tenants) // the caller of New still owns the former slice
	for i := range b.settings.Tenants {
		tenant := &b.settings.Tenants[i]
		for _, t := range s.Tenants {
			if t.Name == tenant.Name {
				tenant.Fraction = t.Fraction
			}
		}
	}
	return nil
}
