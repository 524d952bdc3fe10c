package simulator

import (
	"fmt"
	"time"

	"hazelwing/balancer"
)

const ms = time.Millisecond

// everyFaultNodeCount is the number of nodes of EveryFaultConfig.
const everyFaultNodeCount = 12

// EveryFaultConfig returns a small cluster with faults of nearly every kind. Tests check that policies violate no rule
// in it.
func EveryFaultConfig(instances int, rate float64) Config {
	return Config{
		Duration:        20 * time.Second,
		EndpointUpdates: EndpointUpdates{MinDelay: 200 * ms, MaxDelay: 2 * time.Second},
		Network: Network{
			SameZoneLatency:  ms,
			CrossZoneLatency: 3 * ms,
			Jitter:           200 * time.Microsecond,
			LossRate:         0.001,
			RetransmitDelay:  200 * ms,
			ConnectTimeout:   250 * ms,
			IdleTimeout:      15 * time.Second,
		},
		Rules: Rules{
			InitialCapacity:  0.3,
			WarmUp:           5 * time.Second,
			OverloadMultiple: 3,
			OverloadDuration: 2 * time.Second,
			DrainGrace:       250 * ms,
		},
		Clients: Clients{
			Instances:         instances,
			Rate:              rate,
			MaxCalls:          3,
			CallDeadlineShare: 0.6,
			RetryDelay:        50 * ms,
			Zones:             []string{"a", "b", "c"},
		},
		Settings: balancer.Settings{
			Tick:             5 * ms,
			MaxAttempts:      4,
			Hedging:          true,
			Cancellation:     true,
			RetryAfter:       true,
			MaxRetryAfter:    200 * ms,
			Probes:           true,
			ProbesReportLoad: true,
		},
		Nodes:   everyFaultNodes(),
		Classes: everyFaultClasses(),
		Faults:  everyFault(),
	}
}

func everyFaultNodes() (nodes []Node) {
	for i := range everyFaultNodeCount {
		nodes = append(nodes, Node{
			Name:       fmt.Sprint("n", i),
			Zone:       string(rune('a' + i%3)),
			Kind:       []string{"fast", "slow"}[i%2],
			Cores:      1,
			Speed:      []float64{1.5, 0.7}[i%2],
			QueueLimit: 64,
		})
	}
	return nodes
}

// everyFaultClasses returns an idempotent, a non-idempotent and a keyed class.
func everyFaultClasses() []Class {
	return []Class{
		{
			Class: balancer.Class{
				Name:             "look",
				LatencyObjective: 400 * ms,
				Deadline:         1500 * ms,
				LateWeight:       0.4,
				Weight:           3,
			},
			Share:              0.7,
			Work:               Work{Exponential, 30 * ms, 0},
			ExpectedWorkSpread: 1.2,
		},
		{
			Class: balancer.Class{
				Name:             "book",
				LatencyObjective: 800 * ms,
				Deadline:         3 * time.Second,
				LateWeight:       0.4,
				Weight:           10,
				Effect:           balancer.NonIdempotent,
			},
			Share: 0.2,
			Work:  Work{Exponential, 50 * ms, 0},
		},
		{
			Class: balancer.Class{
				Name:              "pay",
				LatencyObjective:  time.Second,
				Deadline:          4 * time.Second,
				LateWeight:        0.4,
				Weight:            8,
				Effect:            balancer.Keyed,
				IdempotencyScope:  balancer.ScopeZone,
				IdempotencyWindow: 6 * time.Second,
			},
			Share: 0.1,
			Work:  Work{Exponential, 50 * ms, 0},
		},
	}
}

// everyFault returns faults of nearly every kind.
func everyFault() []Fault {
	return []Fault{
		{At: 2 * time.Second, Kind: FaultSlow, Share: 0.2, Factor: 6, Duration: 4 * time.Second},
		{At: 4 * time.Second, Kind: FaultReplace, Node: "n2"},
		{At: 5 * time.Second, Kind: FaultCrash, Node: "n3"},
		{At: 9 * time.Second, Kind: FaultRestart, Node: "n3"},
		{At: 6 * time.Second, Kind: FaultCut, Zone: "a", Duration: 3 * time.Second},
		{At: 7 * time.Second, Kind: FaultReset, Share: 0.2, Factor: 0.2, Duration: 3 * time.Second},
		{At: 8 * time.Second, Kind: FaultPause, Share: 0.3, Duration: 4 * time.Second, Interval: 800 * ms},
		{At: 10 * time.Second, Kind: FaultStall, Share: 0.3, Duration: time.Second},
		{At: 11 * time.Second, Kind: FaultUpdatesBlocked, Duration: 4 * time.Second},
		{At: 12 * time.Second, Kind: FaultDrain, Node: "n5"},
		{At: 13 * time.Second, Kind: FaultVanish, Node: "n6"},
		{At: 14 * time.Second, Kind: FaultCost, Share: 0.02, Factor: 10, Duration: 3 * time.Second},
		{At: 15 * time.Second, Kind: FaultFlap, Node: "n7", Duration: 3 * time.Second, Interval: 500 * ms},
		{At: 16 * time.Second, Kind: FaultOneWayCut, Zone: "b", Duration: time.Second},
	}
}
