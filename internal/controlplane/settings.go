package controlplane

import "strings"

// Snapshot is a configuration that was parsed and validated. It is immutable and may be shared between goroutines.
type Snapshot struct {
	Revision Revision
	Text     []byte
	Settings Settings
}

// Settings are the values of a snapshot. For a nil value, the value with which the process started applies.
// settingRules lists when a change of each setting takes effect.
//
// The names of these types and fields must not change, since they appear in errors of the decoder, which operators see.
type Settings struct {
	Discovery *Discovery        `toml:"discovery"`
	Fleet     *Fleet            `toml:"fleet"`
	Log       *Log              `toml:"log"`
	Limits    *Limits           `toml:"limits"`
	Price     *Price            `toml:"price"`
	Class     map[string]Class  `toml:"class"`  // classes by name; a member ignores classes that it does not have
	Tenant    map[string]Tenant `toml:"tenant"` // tenants by name; a member ignores tenants that it does not have
}

// Discovery configures the source of the endpoint list.
type Discovery struct {
	Addr *string `toml:"addr"` // "HOST:PORT"
}

// Fleet describes the cluster.
type Fleet struct {
	Sidecars *int64 `toml:"sidecars"` // number of members from which the estimate of the size starts; 1 to 100,000
}

// Log configures the daemon's own log.
type Log struct {
	Level *string `toml:"level"` // "debug", "info", "warn", "error"
}

// Limits are limits that the balancer reads at each of its decisions. They can only lower the platform's limits.
type Limits struct {
	MaxAttempts  *int64 `toml:"max_attempts"`  // attempts of one request; 1 to 16
	SecondCopies *bool  `toml:"second_copies"` // whether requests may be hedged
}

// Price sets the prices in balancer.Settings, in shares of service as defined there. Each is from 0 to 1,000,000.
type Price struct {
	CrossZone *float64 `toml:"cross_zone"`
	Open      *float64 `toml:"open"`
	Handshake *float64 `toml:"handshake"`
	Probe     *float64 `toml:"probe"`
}

// Class holds the settings of a request class that can change while running.
type Class struct {
	Worth     *float64 `toml:"worth"`      // priority weight of the class's requests; above 0
	LateShare *float64 `toml:"late_share"` // fraction of Worth that a late response still earns; 0 to 1
}

// Tenant holds the settings of a tenant that can change while running.
type Tenant struct {
	Fraction *float64 `toml:"fraction"` // quota: the fraction of the service that the tenant may use; 0 to 1
}

// SettingRule says when a change of a key takes effect, or why a snapshot cannot contain the key. Exactly one of
// EffectiveFrom and FixedReason is set.
type SettingRule struct {
	Key           string // dotted key, in which NAME stands for any name
	EffectiveFrom string // when a change takes effect; empty if the key cannot change while running
	FixedReason   string // why the key cannot change while running; empty if it can
}

// Texts that several rules share.
const (
	fixedByRequests = "requests in flight rely on it; it can change only with a restart"
	fixedAtStart    = "it is read only when the process starts"

	effectiveNextPick      = "the next pick of an endpoint"
	effectiveNextAdmission = "the next admission"
)

// settingRules has the rules that docs/design/controlplane.md lists. A key without a rule is rejected too: an older
// program must reject keys that it does not know.
var settingRules = []SettingRule{
	{
		Key: "discovery.addr",
		EffectiveFrom: "the next subscription, which starts at once; " +
			"calls in flight continue with the list that they have",
	},
	{Key: "fleet.sidecars", EffectiveFrom: "the next estimate of the cluster's size, within a second"},
	{Key: "log.level", EffectiveFrom: "the next log line"},
	{
		Key: "limits.max_attempts",
		EffectiveFrom: "the next decision on any request, including those in flight, " +
			"none of whose attempts is cancelled; " +
			"never more than the platform allows",
	},
	{
		Key: "limits.second_copies",
		EffectiveFrom: "the next decision; hedged requests in flight are not cancelled; " +
			"never more than the platform allows",
	},
	{Key: "price.cross_zone", EffectiveFrom: effectiveNextPick},
	{Key: "price.open", EffectiveFrom: effectiveNextPick},
	{Key: "price.handshake", EffectiveFrom: effectiveNextPick},
	{Key: "price.probe", EffectiveFrom: effectiveNextPick},
	{Key: "class.NAME.worth", EffectiveFrom: effectiveNextAdmission},
	{Key: "class.NAME.late_share", EffectiveFrom: effectiveNextAdmission},
	{Key: "tenant.NAME.fraction", EffectiveFrom: effectiveNextAdmission},
	{Key: "class.NAME.effect", FixedReason: fixedByRequests},
	{Key: "class.NAME.group", FixedReason: fixedByRequests},
	{Key: "class.NAME.window", FixedReason: fixedByRequests},
	{Key: "class.NAME.deadline", FixedReason: fixedByRequests},
	{Key: "class.NAME.aim", FixedReason: fixedByRequests},
	{Key: "class.NAME.stream", FixedReason: fixedByRequests},
	{Key: "limits.connect_timeout", FixedReason: fixedAtStart},
	{Key: "cold", FixedReason: "the load that a newly started server may get depends on it, and " + fixedByRequests},
	{Key: "classes", FixedReason: "it sets the effect, group and repeat window of classes, and " + fixedByRequests},
	{Key: "ledger", FixedReason: "it records which calls may have been executed, and " + fixedByRequests},
	{Key: "graphql", FixedReason: "it sets the classes and idempotency keys of fields, and " + fixedByRequests},
	{Key: "tenants", FixedReason: fixedByRequests},
	{Key: "members", FixedReason: fixedAtStart},
	{Key: "admin", FixedReason: fixedAtStart},
	{Key: "recovery", FixedReason: fixedAtStart},
	{Key: "config", FixedReason: fixedAtStart},
	{Key: "listen", FixedReason: fixedAtStart},
	{Key: "fleet", FixedReason: fixedAtStart},
}

// covers reports whether the rule applies to a key.
func (r SettingRule) covers(key string) bool {
	if prefix, suffix, hasName := strings.Cut(r.Key, "NAME"); hasName {
		return strings.HasPrefix(key, prefix) && strings.HasSuffix(key, suffix)
	}
	return key == r.Key || strings.HasPrefix(key, r.Key+".")
}

// unknownKeyReason returns why a key that has no field in Settings is rejected.
func unknownKeyReason(key string) string {
	for _, r := range settingRules {
		if r.FixedReason != "" && r.covers(key) {
			return key + ": cannot change while running: " + r.FixedReason
		}
	}
	return "no such key: " + key
}
