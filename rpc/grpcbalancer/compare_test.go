package grpcbalancer

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	_ "google.golang.org/grpc/balancer/weightedroundrobin" // registers weighted_round_robin
	"google.golang.org/grpc/resolver"

	"hazelwing/balancer"
	"hazelwing/internal/demo"
	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/grpcnode"
	"hazelwing/internal/engine"
	"hazelwing/internal/operator"
	"hazelwing/internal/simulation/baseline"
	"hazelwing/internal/simulation/simulator"
)

// The flags of TestCompare.
var (
	compare      = flag.Bool("compare", false, "run TestCompare, a comparison of several minutes")
	compareSeeds = flag.Int("compare.seeds", 3, "number of seeds; each generates other traffic")
	compareRate  = flag.Float64("compare.rate", 250, "rate of the traffic in requests per second")
	compareTime  = flag.Duration("compare.length", 12*time.Second, "duration of the traffic")
)

// scenarios are fault scripts for seven nodes.
var scenarios = []struct{ name, script string }{
	{"calm", ""},
	{"slow", "2s slow n1 8 4s\n5s slow n6 5 4s"},
	{"pauses", pausesScript()},
	{"deploy", "1s drain n1\n2500ms restart n1\n2500ms drain n2\n4s restart n2\n" +
		"4s drain n4\n5500ms restart n4\n5500ms drain n6\n7s restart n6"},
	{"resets", "2s reset n1 0.2 4s\n4s reset n6 0.1 4s"},
	{"crash", "3s crash n4\n6s restart n4\n7s crash n6"},
}

// pausesScript returns a script in which three nodes pause for 300 ms, every 1.5 s.
func pausesScript() string {
	var b strings.Builder
	for at := 2 * time.Second; at < 10*time.Second; at += 1500 * time.Millisecond {
		for i, n := range []string{"n2", "n4", "n6"} {
			fmt.Fprintf(&b, "%v pause %s 300ms\n", at+time.Duration(i)*200*time.Millisecond, n)
		}
	}
	return b.String()
}

// startClient starts a client of a fleet. It returns a function that makes a request and one that closes the client.
type startClient func(
	t *testing.T, f *emulator.Fleet, traffic *emulator.Traffic, seed int,
) (do emulator.RequestFunc, closeClient func())

// candidate is a kind of client in the comparison.
type candidate struct {
	name      string
	policy    string                                                           // the policy's name in package baseline
	newServer func(*emulator.Node, map[string]emulator.Effect) emulator.Server // nil for HTTP
	start     startClient
}

// Service configurations of grpc-go's policies.
const (
	roundRobinConfig         = `{"loadBalancingConfig":[{"round_robin":{}}]}`
	weightedRoundRobinConfig = `{"loadBalancingConfig":[{"weighted_round_robin":` +
		`{"blackoutPeriod":"0.5s","weightExpirationPeriod":"5s","weightUpdatePeriod":"0.1s"}}]}`
	pickFirstConfig = `{"loadBalancingConfig":[{"pick_first":{"shuffleAddressList":true}}]}`
)

var candidates = []candidate{
	{"daemon", baseline.Hazelwing, nil, startDaemon},
	{"plug-in", baseline.Hazelwing, grpcnode.New, startPlugin},
	{"round_robin", "round_robin", grpcnode.New, startPolicy(roundRobinConfig)},
	{"weighted_round_robin", "weighted", grpcnode.New, startPolicy(weightedRoundRobinConfig)},
	{"pick_first", "pick_first", grpcnode.New, startPolicy(pickFirstConfig)},
}

func startDaemon(t *testing.T, f *emulator.Fleet, traffic *emulator.Traffic, seed int) (emulator.RequestFunc, func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	daemon, err := demo.StartDaemon(ctx, demo.DaemonConfig{
		Traffic:   traffic,
		Operator:  new(operator.Config),
		Discovery: f.Discovery.Addr(),
		Seed:      uint64(seed),
		Log:       slog.DiscardHandler,
	})
	if err != nil {
		t.Fatal(err)
	}
	do, closeIdle := emulator.HTTPClient(daemon.Addr, f.Rules)
	return do, func() {
		closeIdle()
		stop()
		if err := daemon.Wait(); err != nil {
			t.Error(err)
		}
	}
}

func startPlugin(t *testing.T, f *emulator.Fleet, traffic *emulator.Traffic, seed int) (emulator.RequestFunc, func()) {
	t.Helper()
	p, err := New(Config{
		Settings:    bookingSettings(traffic),
		Endpoints:   Watch(f.Discovery.Addr()),
		DialOptions: insecureDialOptions(),
		Seed:        uint64(seed),
	})
	if err != nil {
		t.Fatal(err)
	}
	return unaryClient(p, f), func() { _ = p.Close() } // the error is always nil
}

// unaryClient returns a function that makes unary calls for recorded requests. It reports two kinds of violations to
// the fleet: the response of another call, and a rejection of a call that was executed and is not idempotent.
func unaryClient(conn grpc.ClientConnInterface, f *emulator.Fleet) emulator.RequestFunc {
	return func(ctx context.Context, n int, c emulator.TrafficClass, r emulator.Request) emulator.Outcome {
		id := fmt.Sprintf("%08x", n)
		text, err := invoke(outgoingContext(ctx, id, c, r), conn, grpcnode.DoMethod, id)
		outcome := outcomeOf(err)
		switch _, executions := f.Rules.Executions(id); {
		case err == nil && !strings.HasPrefix(text, id):
			f.Rules.ReportViolation("call %s was served with the response %q of another call", id, text)
		case outcome == emulator.Rejected && executions > 0 && c.Effect == "unsafe":
			f.Rules.ReportViolation("call %s of class %s was rejected after it was executed", id, c.Name)
		}
		return outcome
	}
}

// startPolicy returns a startClient for one of grpc-go's own policies. Its resolver watches the fleet's discovery
// service, so that it is notified of endpoints at the same time as the other candidates.
func startPolicy(serviceConfig string) startClient {
	return func(t *testing.T, f *emulator.Fleet, _ *emulator.Traffic, _ int) (emulator.RequestFunc, func()) {
		t.Helper()
		conn, err := grpc.NewClient("fleet:///", append(insecureDialOptions(),
			grpc.WithResolvers(watchResolver{f.Discovery.Addr()}),
			grpc.WithDefaultServiceConfig(serviceConfig))...)
		if err != nil {
			t.Fatal(err)
		}
		conn.Connect()
		client := unaryClient(conn, f)
		do := func(ctx context.Context, n int, c emulator.TrafficClass, r emulator.Request) emulator.Outcome {
			if outcome := client(ctx, n, c, r); outcome != emulator.Rejected {
				return outcome
			}
			return emulator.Failed // after UNAVAILABLE from grpc-go, the call may have been executed
		}
		return do, func() { conn.Close() }
	}
}

// watchResolver is a resolver.Builder. Its resolvers watch the discovery service and report the active endpoints.
type watchResolver struct{ discoveryAddr string }

func (r watchResolver) Scheme() string { return "fleet" }

func (r watchResolver) Build(
	_ resolver.Target, conn resolver.ClientConn, _ resolver.BuildOptions,
) (resolver.Resolver, error) {
	endpoints := map[string]engine.Endpoint{}
	stop := watch.NewClient(r.discoveryAddr, false, discardLog).Watch(0, 0, func(u engine.EndpointUpdate) {
		if u.Kind == balancer.CompleteList {
			clear(endpoints)
		}
		for _, e := range u.Endpoints {
			if e.State == balancer.Active {
				endpoints[e.ID] = e
			} else {
				delete(endpoints, e.ID)
			}
		}
		var state resolver.State
		for _, e := range endpoints {
			state.Addresses = append(state.Addresses, resolver.Address{Addr: e.Addr})
		}
		slices.SortFunc(state.Addresses, func(a, b resolver.Address) int { return strings.Compare(a.Addr, b.Addr) })
		_ = conn.UpdateState(state) // an error requests a new resolution, but the watch continues anyway
	})
	return watchStopper(stop), nil
}

// watchStopper is the resolver.Resolver of a watch. Close stops the watch.
type watchStopper context.CancelFunc

func (s watchStopper) ResolveNow(resolver.ResolveNowOptions) {}
func (s watchStopper) Close()                                { s() }

// result is the result of one candidate in one scenario with one seed.
type result struct {
	*emulator.Report
	wasted     int // number of executions, minus one for each request served
	violations []string
	simulated  *simulator.Result // result of the same run in the simulator
}

// runOptions are the limits of a run.
type runOptions struct {
	grace time.Duration // how long after its deadline a request may still be answered
	slack time.Duration // extension of the nodes' drain grace; 0 for the emulator's default
}

// run runs a candidate through a scenario.
func (c candidate) run(t *testing.T, traffic *emulator.Traffic, script string, seed int, options runOptions) result {
	t.Helper()
	faults, err := emulator.ReadScript(strings.NewReader(script))
	if err != nil {
		t.Fatal(err)
	}
	f, err := emulator.NewFleet(emulator.FleetConfig{
		Nodes:      emulator.MixedNodes(7),
		Effects:    traffic.Effects(),
		NewServer:  c.newServer,
		DrainSlack: options.slack,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	do, closeClient := c.start(t, f, traffic, seed)
	defer closeClient()
	ctx, stop := context.WithCancel(t.Context())
	var playing sync.WaitGroup
	playing.Go(func() {
		_ = f.RunScript(ctx, faults) // returns an error if ctx ends before the script
	})
	report := emulator.Replay(ctx, traffic, options.grace, do)
	time.Sleep(200 * time.Millisecond) // waits for hedged requests that are still in flight
	stop()
	playing.Wait()
	total, _ := f.Rules.Executions("")
	return result{Report: report, wasted: total - report.Served, violations: f.Rules.Violations()}
}

// TestCompare compares the daemon, the plug-in and grpc-go's own policies. All of them run at the same time with the
// same recorded traffic and faults, each with a separate fleet. The test also compares the results with the
// simulator's.
//
//	go test ./rpc/grpcbalancer -run TestCompare -v -timeout 30m -compare -compare.seeds 3
func TestCompare(t *testing.T) {
	if !*compare {
		t.Skip("the comparison takes several minutes and runs only with the flag -compare")
	}
	var table bytes.Buffer
	fmt.Fprintln(&table, "| scenario | candidate | service (mean, min to max) | p50 ms | p99 ms | p99.9 ms | "+
		"unserved | wasted | violations |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var simulation simulatorReport
	for _, scenario := range scenarios {
		all := make([][]result, len(candidates))
		for seed := 1; seed <= *compareSeeds; seed++ {
			traffic := emulator.Generate(uint64(seed), *compareRate, *compareTime)
			results := make([]result, len(candidates))
			var running sync.WaitGroup
			for i, c := range candidates {
				running.Go(func() {
					results[i] = c.run(t, traffic, scenario.script, seed, runOptions{grace: emulator.ResponseGrace})
				})
			}
			running.Wait()
			for i, r := range results {
				name := candidates[i].name
				r.simulated = simulate(t, candidates[i], traffic, scenario.script, seed)
				all[i] = append(all[i], r)
				if requests := len(traffic.Requests); r.Sent != requests {
					t.Errorf("%s, %s: %d results for %d requests, want one each", scenario.name, name, r.Sent, requests)
				}
				if i < 2 && (len(r.violations) > 0 || r.Unanswered > 0) {
					t.Errorf("%s, %s, seed %d: %d requests unanswered, violations %v; want none",
						scenario.name, name, seed, r.Unanswered, r.violations)
				}
			}
		}
		for i, c := range candidates {
			writeRow(&table, scenario.name, c.name, all[i])
			simulation.add(scenario.name, c.name, all[i])
		}
	}
	t.Log("\n" + table.String() + "\n" + simulation.String())
}

// writeRow writes a row of the table with the means over all results of a candidate in a scenario.
func writeRow(w *bytes.Buffer, scenario, candidate string, results []result) {
	n := float64(len(results))
	minService, maxService := 1.0, 0.0
	var service, unserved, wasted, violations float64
	var percentiles [3]time.Duration
	for _, r := range results {
		service += r.Service / n
		minService, maxService = min(minService, r.Service), max(maxService, r.Service)
		for i, x := range []time.Duration{r.P50, r.P99, r.P999} {
			percentiles[i] += x / time.Duration(len(results))
		}
		unserved += float64(r.Sent-r.Served) / n
		wasted += float64(r.wasted) / n
		violations += float64(len(r.violations)) / n
	}
	ms := func(i int) string { return fmt.Sprintf("%.1f", percentiles[i].Seconds()*1000) }
	fmt.Fprintf(w, "| %s | %s | %.4f (%.4f to %.4f) | %s | %s | %s | %.1f | %.1f | %.1f |\n", scenario, candidate,
		service, minService, maxService, ms(0), ms(1), ms(2), unserved, wasted, violations)
}

// The daemon and the plug-in cause no violations while nodes slow down, drain, crash, pause, reset streams and restart.
// The test is a short form of TestCompare. Its result does not depend on the speed of the machine.
func TestDaemonAndPluginHaveNoViolations(t *testing.T) {
	traffic := emulator.Generate(5, 60, 3*time.Second)
	const script = "300ms slow n1 8 1s\n500ms drain n3\n800ms crash n4\n1s pause n2 300ms\n" +
		"1s reset n1 0.3 1s\n1300ms restart n4\n1600ms drain n5\n2s crash n6"
	for _, c := range candidates[:2] {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			options := runOptions{grace: 10 * time.Second, slack: 500 * time.Millisecond}
			r := c.run(t, traffic, script, 5, options)
			if r.Sent != len(traffic.Requests) || r.Served == 0 || r.Unanswered > 0 {
				t.Errorf("got %d results for %d requests, report %v; want one each, none unanswered, some served",
					r.Sent, len(traffic.Requests), r.Report)
			}
			if len(r.violations) > 0 {
				t.Errorf("violations %v, want none", r.violations)
			}
		})
	}
}
