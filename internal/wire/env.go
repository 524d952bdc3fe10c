package wire

import (
	"slices"
	"time"

	"hazelwing/balancer"
)

// Env is the part of the start-up parameters that is used, here and by the real sidecar.
type Env struct {
	Balancers int
	Classes   []struct {
		Name, Semantics, KeyScope                 string
		AimMs, AimStretch, DeadlineMs, Importance float64
		LateShare, DedupWindowMs                  float64
		Stream                                    bool
	}
	Discovery  string
	FamilyInfo struct{ WarmKeys bool }
	Limits     struct {
		Cancelling, Probes, RetryAfter, SecondCopies  bool
		ConnectTimeoutMs, MaxRetryAfterMs, ConnIdleMs float64
		SendCap                                       int
	}
	OverShareWorth float64
	Prices         struct{ Connection, CrossZone, Handshake, Probe float64 }
	Rules          struct{ ColdFrom, WarmUpMs, FallMs, FallMultiple, DrainGraceMs float64 }
	Tenants        []struct {
		Name     string
		Fraction float64
	}
	Stats struct {
		Names []string
		Via   string
	}
	TickMs  float64
	WorthBy string
	Zone    string
}

// unknownWord is an effect or group that the module will turn down, naming the field.
const unknownWord = -1

// Settings is what the module is told.
func (e *Env) Settings() balancer.Settings {
	s := balancer.Settings{
		Balancers:      e.Balancers,
		Zone:           e.Zone,
		MustSubscribe:  e.Discovery == "ask",
		Tick:           Duration(e.TickMs),
		MaxAttempts:    e.Limits.SendCap,
		Hedging:        e.Limits.SecondCopies,
		Cancellation:   e.Limits.Cancelling,
		Probes:         e.Limits.Probes,
		RetryAfter:     e.Limits.RetryAfter,
		MaxRetryAfter:  Duration(e.Limits.MaxRetryAfterMs),
		ConnectTimeout: Duration(e.Limits.ConnectTimeoutMs),
		KeyAffinity:    e.FamilyInfo.WarmKeys,
		ProbesReportLoad: (e.Stats.Via == "probe" || e.Stats.Via == "answers") &&
			slices.ContainsFunc(e.Stats.Names, tellsHeld),
		PriceCrossZone:      e.Prices.CrossZone,
		PriceOpenConnection: e.Prices.Connection,
		PriceHandshake:      e.Prices.Handshake,
		PriceProbe:          e.Prices.Probe,
		OverQuotaWeight:     e.OverShareWorth,
		WeightByWork:        e.WorthBy == "work",
		InitialCapacity:     e.Rules.ColdFrom,
		WarmUp:              Duration(e.Rules.WarmUpMs),
		OverloadMultiple:    e.Rules.FallMultiple,
		OverloadDuration:    Duration(e.Rules.FallMs),
	}
	for _, c := range e.Classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, LatencyObjective: Duration(c.AimMs), ObjectiveStretch: c.AimStretch,
			Deadline: Duration(c.DeadlineMs), Weight: c.Importance, LateWeight: c.LateShare,
			Effect: effect(c.Semantics), IdempotencyScope: group(c.KeyScope), IdempotencyWindow: Duration(c.DedupWindowMs), Stream: c.Stream})
	}
	for _, t := range e.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Fraction: t.Fraction})
	}
	return s
}

// ConnIdle is when upstreams close idle connections.
func (e *Env) ConnIdle() time.Duration { return Duration(e.Limits.ConnIdleMs) }

// DrainGrace is how long an upstream may still be sent to once its drain is told.
func (e *Env) DrainGrace() time.Duration { return Duration(e.Rules.DrainGraceMs) }

// Names of the values in a load report that say what an upstream holds.
const (
	heldName  = "concurrent"
	queueName = "depth"
)

func tellsHeld(name string) bool { return name == heldName || name == queueName }

func effect(word string) balancer.Effect {
	switch word {
	case "retryable":
		return balancer.Idempotent
	case "dedup":
		return balancer.Keyed
	case "fragile":
		return balancer.NonIdempotent
	}
	return unknownWord
}

func group(word string) balancer.IdempotencyScope {
	switch word {
	case "", "all":
		return balancer.ScopeAll
	case "zone":
		return balancer.ScopeZone
	case "cell":
		return balancer.ScopeCell
	}
	return unknownWord
}
