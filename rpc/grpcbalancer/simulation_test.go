package grpcbalancer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/simulation/baseline"
	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/simulation/simulator"
)

// hopLatency is that of a loopback connection, and of the programs between client and node.
const hopLatency = 150 * time.Microsecond

// simulate runs a candidate in the simulator: the emulated fleet's nodes, the same traffic and faults, in simulated
// time. grpc-go's policies make one attempt, as they do on sockets.
func simulate(t *testing.T, c candidate, traffic *emulator.Traffic, script string, seed int) *simulator.Result {
	t.Helper()
	cfg := simulatorConfig(traffic)
	faults, err := emulator.ReadScript(strings.NewReader(script))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range faults {
		fault := simulator.Fault{
			At:       f.At,
			Kind:     simulator.FaultKind(f.Verb),
			Node:     f.Node,
			Factor:   f.Factor,
			Duration: f.Duration,
		}
		cfg.Faults = append(cfg.Faults, fault)
	}
	cfg.Network.Multiplexed = c.newServer != nil // gRPC
	if c.policy != baseline.Hazelwing {
		cfg.Settings.MaxAttempts = 1
		cfg.Settings.ProbesReportLoad = true // ORCA reports come with responses
	}
	policy, err := baseline.New(c.policy)
	if err != nil {
		t.Fatal(err)
	}
	r, err := simulator.Run(cfg, policy, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// simulatorConfig returns the configuration of the simulator for the emulated fleet, without faults.
func simulatorConfig(traffic *emulator.Traffic) simulator.Config {
	cfg := simulator.Config{
		Duration: traffic.Length() + time.Second,
		Settings: bookingSettings(traffic),
		Network: simulator.Network{
			SameZoneLatency:  hopLatency,
			CrossZoneLatency: hopLatency,
			Jitter:           hopLatency / 2,
			ConnectTimeout:   250 * time.Millisecond,
			IdleTimeout:      15 * time.Second,
		},
		EndpointUpdates: simulator.EndpointUpdates{
			MinDelay:       time.Millisecond,
			MaxDelay:       2 * time.Millisecond,
			DetectionDelay: time.Second,
		},
		Rules: simulator.Rules{
			InitialCapacity:  0.3,
			WarmUp:           4 * time.Second,
			OverloadMultiple: 3,
			OverloadDuration: 2 * time.Second,
			DrainGrace:       250 * time.Millisecond,
		},
		Clients: simulator.Clients{
			Instances: 1,
			Zones:     []string{"a"},
			MaxCalls:  1,
			Recorded:  experiment.RecordedRequests(traffic),
		},
	}
	for _, c := range bookingClasses(traffic) {
		cfg.Classes = append(cfg.Classes, simulator.Class{
			Class: c,
			Share: 1,
			Work:  simulator.Work{Distribution: "fixed", Mean: time.Millisecond},
		})
	}
	for _, n := range emulator.MixedNodes(7) {
		cfg.Nodes = append(cfg.Nodes, simulator.Node{
			Name:       n.Name,
			Zone:       n.Zone,
			Kind:       n.Kind,
			Cell:       n.Cell,
			Cores:      1,
			Speed:      n.Speed,
			QueueLimit: 64,
		})
	}
	return cfg
}

// minDifference is the difference of two services from which on they have an order.
const minDifference = 0.015

// simulatorReport compares the results on sockets with those of the simulator.
type simulatorReport struct {
	rows         strings.Builder
	orderChanges strings.Builder // candidates whose order differs
	scenario     string          // that of the candidates
	services     []candidateService
}

// candidateService is the mean service of a candidate in a scenario.
type candidateService struct {
	name      string
	sockets   float64
	simulator float64
}

// add adds the results of a candidate in a scenario. Those of a scenario come one after the other.
func (s *simulatorReport) add(scenario, candidate string, results []result) {
	if s.scenario != scenario {
		s.compareOrder()
		s.scenario = scenario
	}
	n := float64(len(results))
	mean := candidateService{name: candidate}
	var p50, p99, simulatedP50, simulatedP99 float64
	for _, r := range results {
		mean.sockets += r.Service / n
		mean.simulator += r.simulated.Service / n
		p50 += r.ServedP50.Seconds() * 1000 / n
		p99 += r.ServedP99.Seconds() * 1000 / n
		simulatedP50 += r.simulated.P50 / n
		simulatedP99 += r.simulated.P99 / n
	}
	s.services = append(s.services, mean)
	fmt.Fprintf(&s.rows, "| %s | %s | %.4f | %.4f | %+.4f | %.1f | %.1f | %.1f | %.1f | %+.0f%% |\n",
		scenario, candidate, mean.sockets, mean.simulator, mean.simulator-mean.sockets,
		p50, simulatedP50, p99, simulatedP99, 100*(simulatedP99/p99-1))
}

// compareOrder compares the order of the candidates of a scenario on sockets with that in the simulator.
func (s *simulatorReport) compareOrder() {
	differ := func(x float64) bool { return max(x, -x) > minDifference }
	for i, a := range s.services {
		for _, b := range s.services[i+1:] {
			onSockets, simulated := a.sockets-b.sockets, a.simulator-b.simulator
			if onSockets*simulated < 0 && differ(onSockets) && differ(simulated) {
				fmt.Fprintf(&s.orderChanges,
					"%s: %s and %s change places: %.4f and %.4f on sockets, %.4f and %.4f in the lab\n",
					s.scenario, a.name, b.name, a.sockets, b.sockets, a.simulator, b.simulator)
			}
		}
	}
	s.services = nil
}

func (s *simulatorReport) String() string {
	s.compareOrder()
	swaps := s.orderChanges.String()
	if swaps == "" {
		swaps = "the same ranking on every day\n"
	}
	return "| day | who | service | in the lab | difference | p50 ms | lab | p99 ms | lab | difference |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n" +
		s.rows.String() + "\n" + swaps
}

// The simulator plays all of the recorded traffic for each candidate, and grpc-go's policies waste nothing. What
// differs on sockets is measured by TestCompare.
func TestSimulationReplaysAllTraffic(t *testing.T) {
	const script = "500ms slow n1 8 1s\n1s crash n4\n2s restart n4\n1s reset n6 0.2 1s\n700ms drain n3"
	traffic := emulator.Generate(3, 100, 3*time.Second)
	for _, c := range candidates {
		r := simulate(t, c, traffic, script, 3)
		wastes := c.policy != baseline.Hazelwing && r.RepeatsPerRequest > 0
		if r.Requests != len(traffic.Requests) || r.Service < 0.5 || wastes {
			t.Errorf("%s: %d of %d requests, service %.3f, %.3f repeats for each",
				c.name, r.Requests, len(traffic.Requests), r.Service, r.RepeatsPerRequest)
		}
	}
}
