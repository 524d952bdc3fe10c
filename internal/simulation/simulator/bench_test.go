package simulator

import (
	"fmt"
	"testing"
	"time"

	"hazelwing/balancer"
)

// BenchmarkSimulation measures the number of requests that one core simulates per second, without faults:
//
//	go test ./internal/simulation/simulator -run xxx -bench Simulation -cpu 1
func BenchmarkSimulation(b *testing.B) {
	for _, c := range []struct{ nodes, instances int }{
		{10, 1},
		{20, 5},
		{100, 1},
		{100, 100},
		{1000, 100},
		{1000, 5000},
	} {
		for name, policy := range map[string]NewPolicy{
			"hazelwing": newBalancer,
			"in_turn":   newRoundRobin(c.nodes),
		} {
			b.Run(fmt.Sprintf("%d nodes, %d instances, %s", c.nodes, c.instances, name), func(b *testing.B) {
				cfg := queueOnlyConfig(c.nodes, 1, 64, float64(c.nodes)*50, Work{"exp", 10 * ms, 0}, time.Second)
				cfg.Duration = time.Duration(50_000 / cfg.Clients.Rate * float64(time.Second))
				cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 200*ms, 2*time.Second
				cfg.Clients.Instances = c.instances
				cfg.Network.SameZoneLatency = ms
				cfg.Settings = balancer.Settings{Tick: 5 * ms, MaxAttempts: 3, Hedging: true, Cancellation: true}
				requests := 0
				for b.Loop() {
					r, err := Run(cfg, policy, 1)
					if err != nil {
						b.Fatal(err)
					}
					requests += r.Requests
				}
				b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
			})
		}
	}
}
