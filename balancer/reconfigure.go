package balancer

import "slices"

// Reconfigure replaces, from the next decision on, the settings that each decision reads anew and that are no part of
// what a request in flight was promised: the maximum of attempts, hedging, prices, the weight and late weight of
// classes, and the tenants' fractions. All other settings stay as New had them: effect, idempotency scope and window,
// deadline and objective of a class, the rules of slow start, and what the sidecar can do. Classes and tenants that
// New did not know are ignored. It is all or nothing: an error names the setting that cannot be used, and then
// nothing has changed. The caller is Handle's.
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
	b.settings.Tenants = slices.Clone(b.settings.Tenants) // New's caller has the former slice
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
