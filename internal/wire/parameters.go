package wire

import (
	"slices"
	"time"

	"hazelwing/balancer"
)

// Env holds the start-up parameters that the simulator's adapter and the daemon use. Other fields that the platform
// sends are ignored. Times are in milliseconds.
type Env struct {
	Balancers int `json:"Balancers"`
	Classes   []struct {
		Name                string  `json:"Name"`
		Effect              string  `json:"Semantics"`
		IdempotencyScope    string  `json:"KeyScope"`
		LatencyObjectiveMs  float64 `json:"AimMs"`
		ObjectiveStretch    float64 `json:"AimStretch"`
		DeadlineMs          float64 `json:"DeadlineMs"`
		Weight              float64 `json:"Importance"`
		LateWeight          float64 `json:"LateShare"`
		IdempotencyWindowMs float64 `json:"DedupWindowMs"`
		Stream              bool    `json:"Stream"`
	} `json:"Classes"`
	Discovery string `json:"Discovery"`
	Affinity  struct {
		Keys bool `json:"WarmKeys"`
	} `json:"FamilyInfo"`
	Limits struct {
		Cancellation     bool    `json:"Cancelling"`
		Probes           bool    `json:"Probes"`
		RetryAfter       bool    `json:"RetryAfter"`
		Hedging          bool    `json:"SecondCopies"`
		ConnectTimeoutMs float64 `json:"ConnectTimeoutMs"`
		MaxRetryAfterMs  float64 `json:"MaxRetryAfterMs"`
		IdleTimeoutMs    float64 `json:"ConnIdleMs"`
		MaxAttempts      int     `json:"SendCap"`
	} `json:"Limits"`
	OverQuotaWeight float64 `json:"OverShareWorth"`
	Prices          struct {
		OpenConnection float64 `json:"Connection"`
		CrossZone      float64 `json:"CrossZone"`
		Handshake      float64 `json:"Handshake"`
		Probe          float64 `json:"Probe"`
	} `json:"Prices"`
	Rules struct {
		InitialCapacity    float64 `json:"ColdFrom"`
		WarmUpMs           float64 `json:"WarmUpMs"`
		OverloadDurationMs float64 `json:"FallMs"`
		OverloadMultiple   float64 `json:"FallMultiple"`
		DrainGraceMs       float64 `json:"DrainGraceMs"`
	} `json:"Rules"`
	Tenants []struct {
		Name     string  `json:"Name"`
		Fraction float64 `json:"Fraction"`
	} `json:"Tenants"`
	LoadReports struct {
		Names []string `json:"Names"`
		Via   string   `json:"Via"`
	} `json:"Stats"`
	TickMs   float64 `json:"TickMs"`
	WeightBy string  `json:"WorthBy"`
	Zone     string  `json:"Zone"`
}

// Parameter values with a special meaning in this package.
const (
	discoveryOnRequest = "ask"
	weightByWork       = "work"

	loadReportsInProbes    = "probe"
	loadReportsInResponses = "answers"

	// Keys of a load report that hold the number of requests in flight at an endpoint.
	reportInFlight   = "concurrent"
	reportQueueDepth = "depth"
)

// unknownValue represents an unknown effect or idempotency scope. balancer.New rejects it with an error that names the
// field.
const unknownValue = -1

// Settings converts the parameters to the balancer's settings. balancer.New validates them.
func (e *Env) Settings() balancer.Settings {
	return balancer.Settings{
		Balancers:           e.Balancers,
		Classes:             e.classes(),
		Tenants:             e.tenants(),
		Zone:                e.Zone,
		MustSubscribe:       e.Discovery == discoveryOnRequest,
		Tick:                Duration(e.TickMs),
		MaxAttempts:         e.Limits.MaxAttempts,
		Hedging:             e.Limits.Hedging,
		Cancellation:        e.Limits.Cancellation,
		Probes:              e.Limits.Probes,
		RetryAfter:          e.Limits.RetryAfter,
		MaxRetryAfter:       Duration(e.Limits.MaxRetryAfterMs),
		ConnectTimeout:      Duration(e.Limits.ConnectTimeoutMs),
		KeyAffinity:         e.Affinity.Keys,
		ProbesReportLoad:    e.probesReportLoad(),
		PriceCrossZone:      e.Prices.CrossZone,
		PriceOpenConnection: e.Prices.OpenConnection,
		PriceHandshake:      e.Prices.Handshake,
		PriceProbe:          e.Prices.Probe,
		OverQuotaWeight:     e.OverQuotaWeight,
		WeightByWork:        e.WeightBy == weightByWork,
		InitialCapacity:     e.Rules.InitialCapacity,
		WarmUp:              Duration(e.Rules.WarmUpMs),
		OverloadMultiple:    e.Rules.OverloadMultiple,
		OverloadDuration:    Duration(e.Rules.OverloadDurationMs),
	}
}

func (e *Env) classes() []balancer.Class {
	var classes []balancer.Class
	for _, c := range e.Classes {
		classes = append(classes, balancer.Class{
			Name:              c.Name,
			LatencyObjective:  Duration(c.LatencyObjectiveMs),
			ObjectiveStretch:  c.ObjectiveStretch,
			Deadline:          Duration(c.DeadlineMs),
			Weight:            c.Weight,
			LateWeight:        c.LateWeight,
			Effect:            effect(c.Effect),
			IdempotencyScope:  idempotencyScope(c.IdempotencyScope),
			IdempotencyWindow: Duration(c.IdempotencyWindowMs),
			Stream:            c.Stream,
		})
	}
	return classes
}

func (e *Env) tenants() []balancer.Tenant {
	var tenants []balancer.Tenant
	for _, t := range e.Tenants {
		tenants = append(tenants, balancer.Tenant{Name: t.Name, Fraction: t.Fraction})
	}
	return tenants
}

// probesReportLoad reports whether the response to a probe contains the number of requests that the endpoint has in
// flight.
func (e *Env) probesReportLoad() bool {
	switch e.LoadReports.Via {
	case loadReportsInProbes, loadReportsInResponses:
		names := e.LoadReports.Names
		return slices.Contains(names, reportInFlight) || slices.Contains(names, reportQueueDepth)
	}
	return false
}

// IdleConnTimeout returns how long an upstream keeps an idle connection open.
func (e *Env) IdleConnTimeout() time.Duration { return Duration(e.Limits.IdleTimeoutMs) }

// DrainGrace returns how long requests may still be sent to an upstream after it has announced that it is draining.
func (e *Env) DrainGrace() time.Duration { return Duration(e.Rules.DrainGraceMs) }

func effect(name string) balancer.Effect {
	switch name {
	case "retryable":
		return balancer.Idempotent
	case "dedup":
		return balancer.Keyed
	case "fragile":
		return balancer.NonIdempotent
	}
	return unknownValue
}

func idempotencyScope(name string) balancer.IdempotencyScope {
	switch name {
	case "", "all":
		return balancer.ScopeAll
	case "zone":
		return balancer.ScopeZone
	case "cell":
		return balancer.ScopeCell
	}
	return unknownValue
}
