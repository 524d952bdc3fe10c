package operator

import (
	"regexp"
	"strings"

	"hazelwing/internal/strictdecode"
)

// The TOML decoder writes Go identifiers into the text of an error: "cannot decode TOML integer into struct field
// operator.Fleet.Probe of type strict.Duration". These texts are output of "hazelwing check" and "hazelwing run", so
// they must not change when an identifier is renamed. The tables in this file map renamed identifiers to the names that
// the first version of the texts had.

// fieldPattern matches the identifiers in an error text of the decoder: the struct type, the field and the field's
// type.
var fieldPattern = regexp.MustCompile(`struct field operator\.(\w+)\.(\w+) of type (\S+)$`)

// fieldNamesInErrors maps a renamed field to its name in error texts.
var fieldNamesInErrors = map[string]string{
	"Bootstrap.FanOut":           "Recovery.Fan",
	"Bootstrap.MaxCallRate":      "Recovery.Rate",
	"Bootstrap.Roots":            "Recovery.Ask",
	"Cluster.DeadMemberTTL":      "Fleet.Forget",
	"Cluster.DisableNotices":     "Fleet.NoWords",
	"Cluster.DisableSizeUpdates": "Fleet.NoCount",
	"Cluster.GossipInterval":     "Fleet.Gossip",
	"Cluster.IndirectChecks":     "Fleet.Indirect",
	"Cluster.MaxMembers":         "Fleet.Most",
	"Cluster.NoticeTTL":          "Fleet.KeepWords",
	"Cluster.ProbeInterval":      "Fleet.Probe",
	"Cluster.ProbeTimeout":       "Fleet.Timeout",
	"Cluster.PushPullInterval":   "Fleet.Sync",
	"Cluster.ReconnectInterval":  "Fleet.Retry",
	"Cluster.SuspicionMult":      "Fleet.Suspicion",
	"Cluster.Translations":       "Fleet.Translate",
	"Config.Bootstrap":           "Config.Recovery",
	"Config.Cluster":             "Config.Fleet",
	"Config.ControlPlane":        "Config.Config",
	"Config.Discovery":           "Config.Members",
	"Config.Idempotency":         "Config.Ledger",
	"ControlPlane.CacheDir":      "Distribution.Dir",
	"ControlPlane.FanOut":        "Distribution.Fan",
	"ControlPlane.ReadyTimeout":  "Distribution.Wait",
	"ControlPlane.Roots":         "Distribution.Ask",
	"Discovery.AdditionInterval": "Members.Settle",
	"Discovery.MaxEndpoints":     "Members.Most",
	"Discovery.MaxRemovalShare":  "Members.Share",
	"Discovery.RemovalWindow":    "Members.Window",
	"Discovery.TombstoneTTL":     "Members.Forget",
	"GraphQL.Fields":             "GraphQL.Field",
	"GraphQL.Introspection":      "GraphQL.Introspect",
	"GraphQL.MaxCachedDocuments": "GraphQL.Documents",
	"GraphQL.MaxConnections":     "GraphQL.Connections",
	"GraphQL.MaxRootFields":      "GraphQL.MaxRoots",
	"GraphQL.PersistedQueries":   "GraphQL.Persisted",
	"GraphQL.SchemaFile":         "GraphQL.Schema",
	"GraphQL.TrustedFile":        "GraphQL.Trusted",
	"GraphQL.TrustedOnly":        "GraphQL.OnlyTrusted",
	"GraphQLField.Coalesce":      "GraphQLField.Share",
	"GraphQLField.ExpectedWork":  "GraphQLField.Work",
	"GraphQLField.KeyArgument":   "GraphQLField.Key",
	"Idempotency.Durability":     "Ledger.Durable",
	"Idempotency.MaxBytes":       "Ledger.MaxSize",
	"Idempotency.Retention":      "Ledger.Remember",
	"Origin.Cluster":             "Origin.Fleet",
	"Origin.TickInterval":        "Origin.Tick",
	"SRV.AllowLocal":             "SRV.Private",
	"SRV.Attempts":               "SRV.Tries",
	"SRV.InitialJitter":          "SRV.Spread",
	"SRV.NameServers":            "SRV.Servers",
	"SRV.StaleAnswerTTL":         "SRV.Stale",
	"SRV.StaleTTL":               "SRV.Keep",
	"SRV.Zone":                   "SRV.Within",
}

// structNamesInErrors maps a renamed struct type to its name in error texts.
var structNamesInErrors = map[string]string{
	"Bootstrap":    "Recovery",
	"Cluster":      "Fleet",
	"ControlPlane": "Distribution",
	"Discovery":    "Members",
	"Idempotency":  "Ledger",
	"Translation":  "Translate",
}

// fieldTypesInErrors replaces the name of a renamed field type, of this package or another, by its name in error texts.
var fieldTypesInErrors = strings.NewReplacer(
	"middleware.Durability", "guard.Durability",
	"middleware.FailurePolicy", "guard.Trouble",
	"strictdecode.Duration", "strict.Duration",
	"operator.Bootstrap", "operator.Recovery",
	"operator.Cluster", "operator.Fleet",
	"operator.ControlPlane", "operator.Distribution",
	"operator.Discovery", "operator.Members",
	"operator.Idempotency", "operator.Ledger",
	"operator.Translation", "operator.Translate",
)

// stableErrors returns the decoder's errors, after stableErrorText has replaced renamed identifiers in their texts. It
// returns nil if there are no errors.
func stableErrors(decodeErrors []*strictdecode.DecodeError) []error {
	var errs []error
	for _, err := range decodeErrors {
		err.Reason = stableErrorText(err.Reason)
		errs = append(errs, err)
	}
	return errs
}

// stableErrorText replaces renamed identifiers in the text of a decoder's error by their names in error texts.
func stableErrorText(text string) string {
	match := fieldPattern.FindStringSubmatch(text)
	if match == nil {
		return text
	}
	structName, fieldName, fieldType := match[1], match[2], match[3]
	qualified := structName + "." + fieldName
	if name, ok := fieldNamesInErrors[qualified]; ok {
		qualified = name
	} else if name, ok := structNamesInErrors[structName]; ok {
		qualified = name + "." + fieldName
	}
	prefix := strings.TrimSuffix(text, match[0])
	return prefix + "struct field operator." + qualified + " of type " + fieldTypesInErrors.Replace(fieldType)
}
