package simulator

import (
	"fmt"
	"testing"
	"time"

	"hazelwing/balancer"
)

// BenchmarkWorld says how many simulated requests a second of one core plays, in a plain state:
//
//	go test ./internal/simulation/simulator -run xxx -bench World -cpu 1
func BenchmarkWorld(b *testing.B) {
	for _, c := range []struct{ nodes, instances int }{{10, 1}, {20, 5}, {100, 1}, {100, 100}, {1000, 100}, {1000, 5000}} {
		for name, policy := range map[string]NewPolicy{"hazelwing": hazelwing,
			"in_turn": func(balancer.Settings, int, uint64) (Policy, error) { return &inTurn{nodes: c.nodes}, nil }} {
			b.Run(fmt.Sprintf("%d nodes, %d instances, %s", c.nodes, c.instances, name), func(b *testing.B) {
				cfg := plain(c.nodes, 1, 64, float64(c.nodes)*50, Work{"exp", 10 * ms, 0}, time.Second)
				cfg.Length = time.Duration(50_000 / cfg.Clients.Rate * float64(time.Second))
				cfg.Classes[0].LatencyObjective, cfg.Classes[0].Deadline = 200*ms, 2*time.Second
				cfg.Clients.Instances = c.instances
				cfg.Network.Same = ms
				cfg.Settings = balancer.Settings{Tick: 5 * ms, MaxAttempts: 3, Hedging: true, Cancellation: true}
				requests := 0
				for b.Loop() {
					r, err := Run(cfg, policy, 1)
					if err != nil {
						b.Fatal(err)
					}
					requests += r.Asked
				}
				b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "requests/s")
			})
		}
	}
}
