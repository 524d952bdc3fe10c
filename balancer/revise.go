package balancer

import "slices"

// Revise replaces, from the next decision on, those settings that each decision reads anew and that are no part of what a request
// in hand was promised: the tries it may have, whether as copies, prices, the worth and late share of classes, and the tenants'
// fractions. It takes nothing else from s: effect, group, window, deadline and aim of a class, the rules of cold upstreams and
// what the sidecar can do stay as New had them, and classes and tenants that New did not know are left out. It is all or nothing:
// an error names the setting that cannot be used, and nothing has changed. The caller is Handle's.
func (b *Balancer) Reconfigure(s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	b.set.MaxAttempts, b.set.Hedging = s.MaxAttempts, s.Hedging
	b.set.PriceCrossZone, b.set.PriceOpenConnection, b.set.PriceHandshake, b.set.PriceProbe = s.PriceCrossZone, s.PriceOpenConnection, s.PriceHandshake, s.PriceProbe
	for _, c := range s.Classes {
		if own := b.classes[c.Name]; own != nil {
			own.Weight, own.LateWeight = c.Weight, c.LateWeight
		}
	}
	b.set.Tenants = slices.Clone(b.set.Tenants) // New's caller has the other
	for i := range b.set.Tenants {
		for _, t := range s.Tenants {
			if t.Name == b.set.Tenants[i].Name {
				b.set.Tenants[i].Fraction = t.Fraction
			}
		}
	}
	return nil
}
