package wire

import (
	"slices"
	"time"

	"hazelwing/balancer"
)

// Env is the part of the start-up parameters that is used, here and by the real sidecar.
type Env struct {
	Balancers int `json:"Balancers"`
	Classes   []struct {
		Name          string  `json:"Name"`
		Semantics     string  `json:"Semantics"`
		KeyScope      string  `json:"KeyScope"`
		AimMs         float64 `json:"AimMs"`
		AimStretch    float64 `json:"AimStretch"`
		DeadlineMs    float64 `json:"DeadlineMs"`
		Importance    float64 `json:"Importance"`
		LateShare     float64 `json:"LateShare"`
		DedupWindowMs float64 `json:"DedupWindowMs"`
		Stream        bool    `json:"Stream"`
	} `json:"Classes"`
	Discovery  string `json:"Discovery"`
	FamilyInfo struct {
		WarmKeys bool `json:"WarmKeys"`
	} `json:"FamilyInfo"`
	Limits struct {
		Cancelling       bool    `json:"Cancelling"`
		Probes           bool    `json:"Probes"`
		RetryAfter       bool    `json:"RetryAfter"`
		SecondCopies     bool    `json:"SecondCopies"`
		ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
		MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
		ConnIdleMs       float64 `json:"ConnIdleMs"`
		SendCap          int     `json:"SendCap"`
	} `json:"Limits"`
	OverShareWorth float64 `json:"OverShareWorth"`
	Prices         struct {
		Connection float64 `json:"Connection"`
		CrossZone  float64 `json:"CrossZone"`
		Handshake  float64 `json:"Handshake"`
		Probe      float64 `json:"Probe"`
	} `json:"Prices"`
	Rules struct {
		ColdFrom     float64 `json:"ColdFrom"`
		WarmUpMs     float64 `json:"WarmUpMs"`
		FallMs       float64 `json:"FallMs"`
		FallMultiple float64 `json:"FallMultiple"`
		DrainGraceMs float64 `json:"DrainGraceMs"`
	} `json:"Rules"`
	Tenants []struct {
		Name     string  `json:"Name"`
		Fraction float64 `json:"Fraction"`
	} `json:"Tenants"`
	Stats struct {
		Names []string `json:"Names"`
		Via   string   `json:"Via"`
	} `json:"Stats"`
	TickMs  float64 `json:"TickMs"`
	WorthBy string  `json:"WorthBy"`
	Zone    string  `json:"Zone"`
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
