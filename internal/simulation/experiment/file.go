// Package experiment reads experiments from files, simulates them on all cores, and judges their claims.
//
// A file is TOML: a question, a cluster, the policies under comparison, factors to sweep, seeds, and claims.
// docs/operators/lab.md describes each key. Unknown keys and values of the wrong type are errors that name the file and
// the line. Claims that cannot be parsed are errors that name the file and the claim.
package experiment

import "hazelwing/internal/strictdecode"

// File is the content of an experiment's file. The zero values of optional keys stand for their defaults.
type File struct {
	// Base is the path of another experiment's file, relative to this one, which supplies the keys that this file
	// lacks, except for question, found, claim and slow.
	Base     string   `toml:"base"`
	Question string   `toml:"question"`
	Found    string   `toml:"found"`
	Policies []string `toml:"contestants"`
	Seeds    int      `toml:"seeds"`
	// Slow marks an experiment that takes more than a minute. TestLibrary skips it unless its flag -lab is set.
	Slow    bool             `toml:"slow"`
	Sweep   map[string][]any `toml:"sweep"`
	Cluster Cluster          `toml:"world"`
	Faults  []Fault          `toml:"fault"`
	Claims  []Claim          `toml:"claim"`
}

// Cluster is the TOML table of a cluster and its traffic. Durations are in the notation of Go.
type Cluster struct {
	Duration strictdecode.Duration `toml:"length"`
	// Load is the work of the requests per second as a share of the nodes' capacity. Rate is the number of requests per
	// second. Exactly one of them is set, unless the requests come from recorded traffic.
	Load            float64          `toml:"load"`
	Rate            float64          `toml:"rate"`
	Instances       int              `toml:"instances"`
	Nodes           Nodes            `toml:"nodes"`
	Clients         Clients          `toml:"clients"`
	Network         Network          `toml:"network"`
	EndpointUpdates EndpointUpdates  `toml:"list"`
	Discovery       Discovery        `toml:"discovery"`
	Host            Host             `toml:"host"`
	Rules           Rules            `toml:"rules"`
	Settings        Settings         `toml:"settings"`
	Classes         map[string]Class `toml:"class"`
}

// Nodes is the TOML table that describes all nodes. Zones, speeds and cells are assigned to the nodes round-robin;
// nodes to which the same element of Speeds is assigned are of the same kind.
type Nodes struct {
	Count      int       `toml:"count"`
	Zones      []string  `toml:"zones"`
	Speeds     []float64 `toml:"speeds"`
	Cores      int       `toml:"cores"`
	QueueLimit int       `toml:"queue"`
	Cells      int       `toml:"cells"`
}

// Clients is the TOML table for simulator.Clients.
type Clients struct {
	MaxCalls          int                   `toml:"tries"`
	CallDeadlineShare float64               `toml:"try_share"`
	RetryDelay        strictdecode.Duration `toml:"wait"`
	// ZipfExponent is the exponent of the Zipf distribution of the traffic over the instances; 0: equal shares.
	ZipfExponent float64 `toml:"uneven"`
	AffinityKeys int     `toml:"keys"`

	ImpatientShare float64               `toml:"impatient"`
	Patience       strictdecode.Duration `toml:"patience"`

	RateCurve []RatePoint `toml:"curve"`

	SessionLength float64               `toml:"session"`
	ThinkTime     strictdecode.Duration `toml:"think"`
	ClockSkew     strictdecode.Duration `toml:"skew"`
	// RecordedTraffic is the path of a file of recorded requests, relative to the experiment's file; empty: requests
	// are drawn at random.
	RecordedTraffic string `toml:"traffic"`
}

// RatePoint is the TOML table of a point of the curve by which the rate changes over time.
type RatePoint struct {
	At     strictdecode.Duration `toml:"at"`
	Factor float64               `toml:"times"`
}

// Network is the TOML table for simulator.Network.
type Network struct {
	SameZoneLatency  strictdecode.Duration `toml:"same"`
	CrossZoneLatency strictdecode.Duration `toml:"cross"`
	Jitter           strictdecode.Duration `toml:"jitter"`
	LossRate         float64               `toml:"loss"`
	ConnectTimeout   strictdecode.Duration `toml:"connect_timeout"`
	IdleTimeout      strictdecode.Duration `toml:"idle"`
	Multiplexed      bool                  `toml:"multiplexed"`
}

// EndpointUpdates is the TOML table for simulator.EndpointUpdates.
type EndpointUpdates struct {
	MinDelay       strictdecode.Duration `toml:"least"`
	MaxDelay       strictdecode.Duration `toml:"most"`
	DetectionDelay strictdecode.Duration `toml:"notice"`
	Reorder        bool                  `toml:"reorder"`
}

// Discovery is the TOML table for simulator.Discovery.
type Discovery struct {
	Capacity   float64               `toml:"capacity"`
	CallCost   float64               `toml:"call"`
	Timeout    strictdecode.Duration `toml:"timeout"`
	MaxBacklog float64               `toml:"overbook"`
}

// Host is the TOML table for simulator.Host.
type Host struct {
	Cores       float64               `toml:"cores"`
	QuotaPeriod strictdecode.Duration `toml:"period"`
	RequestCost strictdecode.Duration `toml:"request"`
	AttemptCost strictdecode.Duration `toml:"attempt"`
	ConnectCost strictdecode.Duration `toml:"connect"`
}

// Rules is the TOML table for simulator.Rules.
type Rules struct {
	InitialCapacity  float64               `toml:"cold_from"`
	WarmUp           strictdecode.Duration `toml:"warm_up"`
	OverloadMultiple float64               `toml:"fall_multiple"`
	OverloadDuration strictdecode.Duration `toml:"fall_time"`
	DrainGrace       strictdecode.Duration `toml:"drain_grace"`
}

// Settings is the TOML table for balancer.Settings.
type Settings struct {
	Tick           strictdecode.Duration `toml:"tick"`
	MaxAttempts    int                   `toml:"attempts"`
	Hedging        bool                  `toml:"copies"`
	Cancellation   bool                  `toml:"cancelling"`
	Probes         bool                  `toml:"probes"`
	MaxRetryAfter  strictdecode.Duration `toml:"retry_after"`
	PriceCrossZone float64               `toml:"cross_zone"`
}

// Class is the TOML table of a class of requests.
type Class struct {
	Share              float64               `toml:"share"`
	Weight             float64               `toml:"worth"`
	LateWeight         float64               `toml:"late"`
	Work               strictdecode.Duration `toml:"work"`
	Distribution       string                `toml:"kind"`
	Shape              float64               `toml:"spread"`
	ExpectedWorkSpread float64               `toml:"hint"`
	LatencyObjective   strictdecode.Duration `toml:"aim"`
	Deadline           strictdecode.Duration `toml:"deadline"`
	Effect             string                `toml:"effect"`
	IdempotencyScope   string                `toml:"group"`
	IdempotencyWindow  strictdecode.Duration `toml:"window"`
}

// Fault is the TOML table for simulator.Fault.
type Fault struct {
	At       strictdecode.Duration `toml:"at"`
	Kind     string                `toml:"what"`
	Node     string                `toml:"node"`
	Zone     string                `toml:"zone"`
	Share    float64               `toml:"share"`
	Factor   float64               `toml:"times"`
	Duration strictdecode.Duration `toml:"for"`
	Interval strictdecode.Duration `toml:"every"`
}
