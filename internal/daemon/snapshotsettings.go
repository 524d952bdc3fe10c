package daemon

import (
	"fmt"
	"log/slog"
	"slices"

	"hazelwing/balancer"
	"hazelwing/internal/controlplane"
)

// effectiveSettings returns the platform's settings, overridden by the values that a snapshot sets. No resulting limit
// exceeds the platform's limit. Classes and tenants of the snapshot that this sidecar does not have are ignored.
func effectiveSettings(platform balancer.Settings, snapshot *controlplane.Settings) balancer.Settings {
	settings := platform
	if limits := snapshot.Limits; limits != nil {
		if limits.MaxAttempts != nil {
			settings.MaxAttempts = min(max(platform.MaxAttempts, 1), int(*limits.MaxAttempts))
		}
		if limits.SecondCopies != nil {
			settings.Hedging = platform.Hedging && *limits.SecondCopies
		}
	}
	if price := snapshot.Price; price != nil {
		setIfPresent(&settings.PriceCrossZone, price.CrossZone)
		setIfPresent(&settings.PriceOpenConnection, price.Open)
		setIfPresent(&settings.PriceHandshake, price.Handshake)
		setIfPresent(&settings.PriceProbe, price.Probe)
	}
	settings.Classes = slices.Clone(platform.Classes)
	for i := range settings.Classes {
		class := &settings.Classes[i]
		override := snapshot.Class[class.Name]
		setIfPresent(&class.Weight, override.Worth)
		setIfPresent(&class.LateWeight, override.LateShare)
	}
	settings.Tenants = slices.Clone(platform.Tenants)
	for i := range settings.Tenants {
		tenant := &settings.Tenants[i]
		setIfPresent(&tenant.Fraction, snapshot.Tenant[tenant.Name].Fraction)
	}
	return settings
}

// setIfPresent sets value to snapshotValue, unless snapshotValue is nil.
func setIfPresent(value, snapshotValue *float64) {
	if snapshotValue != nil {
		*value = *snapshotValue
	}
}

// logLevel returns the level of the log that a snapshot sets, or info if it sets none.
func logLevel(snapshot *controlplane.Settings) (slog.Level, error) {
	level := slog.LevelInfo
	if snapshot.Log == nil || snapshot.Log.Level == nil {
		return level, nil
	}
	if err := level.UnmarshalText([]byte(*snapshot.Log.Level)); err != nil {
		return level, fmt.Errorf("log.level: %w", err)
	}
	return level, nil
}

// discoveryAddress returns the address of discovery that a snapshot sets, or an empty string if it sets none.
func discoveryAddress(snapshot *controlplane.Settings) string {
	if snapshot.Discovery == nil || snapshot.Discovery.Addr == nil {
		return ""
	}
	return *snapshot.Discovery.Addr
}
