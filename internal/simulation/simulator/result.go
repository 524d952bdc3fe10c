package simulator

// Result holds the measurements of a run. Its JSON is the same for the same Config, policy and seed.
type Result struct {
	Seed uint64 `json:"seed"`

	// Service is the earned share of the priority weight of all requests. The priority weight of a request is the
	// weight of its class times its work. A request earns its whole weight if it is answered within the latency
	// objective, and the share LateWeight of it if it is answered later within the deadline.
	Service float64 `json:"service"`
	// WorstClassService is the service of the class with the lowest service.
	WorstClassService float64 `json:"worst"`
	// P50, P99 and P999 are latency quantiles of served requests in milliseconds. A latency covers all calls of a
	// request.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`

	// Requests is the number of requests that arrived. Served, Rejected, Failed and Unanswered count them by the result
	// of their last call.
	Requests   int `json:"asked"`
	Served     int `json:"served"`
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"`

	// The following are means per request: calls of clients, attempts written to nodes, executions beyond the first one
	// of a call, and new connections.
	CallsPerRequest      float64 `json:"tries"`
	AttemptsPerRequest   float64 `json:"attempts"`
	RepeatsPerRequest    float64 `json:"wasted"`
	HandshakesPerRequest float64 `json:"handshakes"`

	// CrossZoneShare is the share of the attempts whose node was not in the zone of the instance.
	CrossZoneShare float64 `json:"crossing"`
	// MaxConnections is the largest number of connections that were open to one node at the same time.
	MaxConnections int `json:"conns"`
	// MaxProbeRate is the mean rate of probes to the node that was probed most, in probes per second.
	MaxProbeRate float64 `json:"probes"`
	// MaxConnectionRate is the largest number of connections that were opened to one node in any second of the run,
	// counted from its start.
	MaxConnectionRate int `json:"opens"`
	// MaxColdLoad is the highest load of a node that was warming up. The load is the work that arrived within
	// Rules.OverloadDuration, divided by the work beyond which the node is overloaded.
	MaxColdLoad float64 `json:"cold"`
	// MaxDiscoveryCallRate is the largest number of calls to the discovery service in any second of the run, counted
	// from its start.
	MaxDiscoveryCallRate      int     `json:"calls"`
	DiscoveryCallsPerInstance float64 `json:"asks"`
	// RejectedDiscoveryCalls is the number of calls that the discovery service rejected because of its backlog.
	RejectedDiscoveryCalls int `json:"turned"`
	// MaxProcessorUse is the share of its processor time that the busiest instance used.
	MaxProcessorUse float64 `json:"host"`
	// Imbalance is the largest number of executions of a node relative to its speed and cores, divided by the mean of
	// that number over all nodes.
	Imbalance float64 `json:"imbalance"`
	// DuplicateExecutions counts the executions beyond the first one of a call, for requests that are not idempotent. A
	// keyed request is executed, and so counted, only if the idempotency scope of the node has no record of it.
	DuplicateExecutions int `json:"twice"`

	// Violations are the texts of the first violations of rules. ViolationCount is the number of all violations.
	Violations     []string `json:"broken,omitempty"`
	ViolationCount int      `json:"breaks"`

	// Quantiles are the latencies of served requests at the quantiles that the function Quantiles returns, in
	// milliseconds.
	Quantiles []float64 `json:"quantiles_ms"`

	// Seconds are the measurements for each second of Config.Duration. A request counts in the second of its arrival,
	// an attempt in the second in which it is written. There are none if Config.Duration is above 10 minutes.
	Seconds []Second `json:"seconds,omitempty"`
	// Events is the number of events that were handled, and MaxQueuedEvents the largest number of events that were
	// scheduled at the same time.
	Events          uint64 `json:"events"`
	MaxQueuedEvents int    `json:"waiting"`
}

// Second holds the measurements of one second of a run.
type Second struct {
	Service float64 `json:"service"`
	// RequestedWeight is the sum of the priority weights of the requests that arrived in this second.
	RequestedWeight float64 `json:"worth"`
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
	Requests        int     `json:"asked"`
	Rejected        int     `json:"refused"`
	Failed          int     `json:"failed"` // includes unanswered requests
	Attempts        int     `json:"attempts"`
	// InFlight is the number of requests that ran or waited at each node at the end of the second.
	InFlight []int `json:"held"`
}

// Quantiles returns the quantiles of Result.Quantiles, in per cent.
func Quantiles() (list []float64) {
	for q := 0.0; q < 100; q += 2 {
		list = append(list, q)
	}
	return append(list, 99, 99.5, 99.9, 100)
}
