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

// hopLatency is the simulated latency between a client and a node. It represents a loopback connection and the programs
// between them.
const hopLatency = 150 * time.Microsecond

// simulate runs a candidate in the simulator, in simulated time, with the nodes of the emulated fleet and the same
// traffic and faults. grpc-go's policies make one attempt per call, as they do on sockets.
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
	cfg.Network.Multiplexed = c.newServer != nil // newServer is nil for HTTP, and set for gRPC
	if c.policy != baseline.Hazelwing {
		cfg.Settings.MaxAttempts = 1
		cfg.Settings.ProbesReportLoad = true // represents ORCA load reports, which arrive with responses
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

// minDifference is the difference in service that two candidates must exceed to be ranked against each other.
const minDifference = 0.015

// simulatorReport compares the results on sockets with the results in the simulator.
type simulatorReport struct {
	rows         strings.Builder
	orderChanges strings.Builder    // pairs of candidates that rank differently on sockets and in the simulator
	scenario     string             // the current scenario
	services     []candidateService // service of each candidate in the current scenario
}

// candidateService is the mean service of a candidate in a scenario, on sockets and in the simulator.
type candidateService struct {
	name      string
	sockets   float64
	simulator float64
}

// add adds the results of a candidate in a scenario. All candidates of a scenario must be added before the next
// scenario.
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

// compareOrder compares how the current scenario's candidates rank on sockets with how they rank in the simulator.
func (s *simulatorReport) compareOrder() {
	differ := func(x float64) bool { return max(x, -x) > minDifference }
	for i, a := range s.services {
		for _, b := range s.services[i+1:] {
			onSockets, simulated := a.sockets-b.sockets, a.simulator-b.simulator
			if onSockets*simulated < 0 && differ(onSockets) && differ(simulated) {
				fmt.Fprintf(&s.orderChanges,
					"%s: %s and %s rank differently: %.4f and %.4f on sockets, %.4f and %.4f in the simulator\n",
					s.scenario, a.name, b.name, a.sockets, b.sockets, a.simulator, b.simulator)
			}
		}
	}
	s.services = nil
}

func (s *simulatorReport) String() string {
	s.compareOrder()
	changes := s.orderChanges.String()
	if changes == "" {
		changes = "the same ranking in all scenarios\n"
	}
	return "| scenario | candidate | service | simulated | difference | p50 ms | simulated | p99 ms | simulated | " +
		"difference |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n" +
		s.rows.String() + "\n" + changes
}

// The simulator replays all of the recorded traffic for each candidate, and grpc-go's policies repeat no request.
// TestCompare measures the differences from runs on sockets.
func TestSimulationReplaysAllTraffic(t *testing.T) {
	const script = "500ms slow n1 8 1s\n1s crash n4\n2s restart n4\n1s reset n6 0.2 1s\n700ms drain n3"
	traffic := emulator.Generate(3, 100, 3*time.Second)
	for _, c := range candidates {
		r := simulate(t, c, traffic, script, 3)
		repeats := c.policy != baseline.Hazelwing && r.RepeatsPerRequest > 0
		if r.Requests != len(traffic.Requests) || r.Service < 0.5 || repeats {
			t.Errorf("%s: %d of %d requests, service %.3f (want at least 0.5), %.3f repeats per request "+
				"(want 0 for policies of grpc-go)",
				c.name, r.Requests, len(traffic.Requests), r.Service, r.RepeatsPerRequest)
		}
	}
}
