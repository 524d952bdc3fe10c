package simulator

import (
	"fmt"
	"time"

	"hazelwing/balancer"
)

const ms = time.Millisecond

// Trouble is a small site with trouble of every kind: what a policy has to get through with all rules kept.
func Trouble(instances int, rate float64) Config {
	c := Config{Length: 20 * time.Second, List: List{Least: 200 * ms, Most: 2 * time.Second},
		Network: Network{Same: ms, Cross: 3 * ms, Jitter: 200 * time.Microsecond, Loss: 0.001, RetransmitTime: 200 * ms, ConnectTimeout: 250 * ms, Idle: 15 * time.Second},
		Rules:   Rules{0.3, 5 * time.Second, 3, 2 * time.Second, 250 * ms},
		Clients: Clients{Instances: instances, Rate: rate, Tries: 3, TryShare: 0.6, Wait: 50 * ms, Zones: []string{"a", "b", "c"}},
		Settings: balancer.Settings{Tick: 5 * ms, MaxAttempts: 4, Hedging: true, Cancellation: true, RetryAfter: true, MaxRetryAfter: 200 * ms,
			Probes: true, ProbesReportLoad: true},
		Classes: []Class{
			{Class: balancer.Class{Name: "look", LatencyObjective: 400 * ms, Deadline: 1500 * ms, LateWeight: 0.4, Weight: 3}, Share: 0.7, Work: Work{"exp", 30 * ms, 0}, HintSpan: 1.2},
			{Class: balancer.Class{Name: "book", LatencyObjective: 800 * ms, Deadline: 3 * time.Second, LateWeight: 0.4, Weight: 10, Effect: balancer.NonIdempotent}, Share: 0.2, Work: Work{"exp", 50 * ms, 0}},
			{Class: balancer.Class{Name: "pay", LatencyObjective: time.Second, Deadline: 4 * time.Second, LateWeight: 0.4, Weight: 8, Effect: balancer.Keyed, IdempotencyScope: balancer.ScopeZone, IdempotencyWindow: 6 * time.Second}, Share: 0.1, Work: Work{"exp", 50 * ms, 0}},
		},
		Faults: []Fault{{At: 2 * time.Second, What: "slow", Share: 0.2, Times: 6, For: 4 * time.Second}, {At: 4 * time.Second, What: "replace", Node: "n2"},
			{At: 5 * time.Second, What: "crash", Node: "n3"}, {At: 9 * time.Second, What: "restart", Node: "n3"}, {At: 6 * time.Second, What: "cut", Zone: "a", For: 3 * time.Second},
			{At: 7 * time.Second, What: "reset", Share: 0.2, Times: 0.2, For: 3 * time.Second}, {At: 8 * time.Second, What: "pause", Share: 0.3, For: 4 * time.Second, Every: 800 * ms},
			{At: 10 * time.Second, What: "stall", Share: 0.3, For: time.Second}, {At: 11 * time.Second, What: "silent", For: 4 * time.Second}, {At: 12 * time.Second, What: "drain", Node: "n5"},
			{At: 13 * time.Second, What: "vanish", Node: "n6"}, {At: 14 * time.Second, What: "cost", Share: 0.02, Times: 10, For: 3 * time.Second},
			{At: 15 * time.Second, What: "flap", Node: "n7", For: 3 * time.Second, Every: 500 * ms}, {At: 16 * time.Second, What: "oneway", Zone: "b", For: time.Second}},
	}
	for i := range 12 {
		c.Nodes = append(c.Nodes, Node{Name: fmt.Sprint("n", i), Zone: string(rune('a' + i%3)), Kind: []string{"fast", "slow"}[i%2], Cores: 1, Speed: []float64{1.5, 0.7}[i%2], Queue: 64})
	}
	return c
}
