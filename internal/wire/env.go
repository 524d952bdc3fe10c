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
		SecondCopies:   e.Limits.SecondCopies,
		Cancelling:     e.Limits.Cancelling,
		Probes:         e.Limits.Probes,
		RetryAfter:     e.Limits.RetryAfter,
		MaxRetryAfter:  Duration(e.Limits.MaxRetryAfterMs),
		ConnectTimeout: Duration(e.Limits.ConnectTimeoutMs),
		WarmKeys:       e.FamilyInfo.WarmKeys,
		LoadByProbes: (e.Stats.Via == "probe" || e.Stats.Via == "answers") &&
			slices.ContainsFunc(e.Stats.Names, tellsHeld),
		PriceCrossZone: e.Prices.CrossZone,
		PriceOpen:      e.Prices.Connection,
		PriceHandshake: e.Prices.Handshake,
		PriceProbe:     e.Prices.Probe,
		OverShareWorth: e.OverShareWorth,
		WorthByWork:    e.WorthBy == "work",
		ColdFrom:       e.Rules.ColdFrom,
		WarmUp:         Duration(e.Rules.WarmUpMs),
		FallMultiple:   e.Rules.FallMultiple,
		FallTime:       Duration(e.Rules.FallMs),
	}
	for _, c := range e.Classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, Aim: Duration(c.AimMs), AimStretch: c.AimStretch,
			Deadline: Duration(c.DeadlineMs), Worth: c.Importance, LateShare: c.LateShare,
			Effect: effect(c.Semantics), Group: group(c.KeyScope), Window: Duration(c.DedupWindowMs), Stream: c.Stream})
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
		return balancer.Safe
	case "dedup":
		return balancer.Keyed
	case "fragile":
		return balancer.Unsafe
	}
	return unknownWord
}

func group(word string) balancer.Group {
	switch word {
	case "", "all":
		return balancer.GroupAll
	case "zone":
		return balancer.GroupZone
	case "cell":
		return balancer.GroupCell
	}
	return unknownWord
}
