package grpcbalancer

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	_ "google.golang.org/grpc/balancer/weightedroundrobin" // by its name, below
	"google.golang.org/grpc/credentials/insecure"
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

// The measurement: the same recorded traffic and faults through the daemon, the plug-in and grpc-go's own policies,
// side by side, each with a fleet of its own.
//
//	go test ./rpc/grpcbalancer -run TestCompare -v -timeout 30m -compare -compare.seeds 3
var (
	compare      = flag.Bool("compare", false, "measure the daemon, the plug-in and grpc-go's policies side by side")
	compareSeeds = flag.Int("compare.seeds", 3, "seeds of the traffic")
	compareRate  = flag.Float64("compare.rate", 250, "requests a second")
	compareTime  = flag.Duration("compare.length", 12*time.Second, "of the traffic")
)

// days are fault scripts for seven nodes.
var days = []struct{ name, script string }{
	{"calm", ""},
	{"slow", "2s slow n1 8 4s\n5s slow n6 5 4s"},
	{"pauses", pausesDay()},
	{"deploy", "1s drain n1\n2500ms restart n1\n2500ms drain n2\n4s restart n2\n4s drain n4\n5500ms restart n4\n5500ms drain n6\n7s restart n6"},
	{"resets", "2s reset n1 0.2 4s\n4s reset n6 0.1 4s"},
	{"crash", "3s crash n4\n6s restart n4\n7s crash n6"},
}

func pausesDay() string {
	var b strings.Builder
	for at := 2 * time.Second; at < 10*time.Second; at += 1500 * time.Millisecond {
		for i, n := range []string{"n2", "n4", "n6"} {
			fmt.Fprintf(&b, "%v pause %s 300ms\n", at+time.Duration(i)*200*time.Millisecond, n)
		}
	}
	return b.String()
}

// contestant carries out requests against a fleet.
type contestant struct {
	name   string
	lab    string // who plays it in the lab
	server func(*emulator.Node, map[string]emulator.Effect) emulator.Server
	start  func(t *testing.T, f *emulator.Fleet, traffic *emulator.Traffic, seed int) (do emulator.Do, closed func())
}

var contestants = []contestant{
	{"daemon", baseline.Own, nil, startDaemon},
	{"plug-in", baseline.Own, grpcnode.New, startPlugin},
	{"round_robin", "round_robin", grpcnode.New, startPolicy(`{"loadBalancingConfig":[{"round_robin":{}}]}`)},
	{"weighted_round_robin", "weighted", grpcnode.New, startPolicy(`{"loadBalancingConfig":[{"weighted_round_robin":{"blackoutPeriod":"0.5s","weightExpirationPeriod":"5s","weightUpdatePeriod":"0.1s"}}]}`)},
	{"pick_first", "pick_first", grpcnode.New, startPolicy(`{"loadBalancingConfig":[{"pick_first":{"shuffleAddressList":true}}]}`)},
}

func startDaemon(t *testing.T, f *emulator.Fleet, traffic *emulator.Traffic, seed int) (emulator.Do, func()) {
	ctx, stop := context.WithCancel(context.Background())
	addr, ended, err := demo.StartDaemon(ctx, traffic, new(operator.Config), f.Discovery.Addr(), uint64(seed), slog.DiscardHandler)
	if err != nil {
		t.Fatal(err)
	}
	do, closeIdle := emulator.HTTPClient(addr, f.Ledger)
	return do, func() {
		closeIdle()
		stop()
		<-ended
	}
}

func startPlugin(t *testing.T, f *emulator.Fleet, traffic *emulator.Traffic, seed int) (emulator.Do, func()) {
	p, err := New(Config{Settings: bookingSettings(traffic), Members: Watch(f.Discovery.Addr()), Dial: testConfig(Members{}).Dial, Seed: uint64(seed)})
	if err != nil {
		t.Fatal(err)
	}
	return unary(p, f), func() { p.Close() }
}

// unary makes recorded requests unary calls.
func unary(p grpc.ClientConnInterface, f *emulator.Fleet) emulator.Do {
	return func(ctx context.Context, n int, c emulator.TrafficClass, r emulator.Request) emulator.Kind {
		id := fmt.Sprintf("%08x", n)
		text, err := ask(p, outgoing(ctx, id, c, r), grpcnode.Do, id)
		kind := kindOf(err)
		switch _, ran := f.Ledger.Executions(id); {
		case err == nil && !strings.HasPrefix(text, id):
			f.Ledger.Break("call %s was served with %q", id, text)
		case kind == emulator.Refused && ran > 0 && c.Effect == "unsafe":
			f.Ledger.Break("%s %s was refused after it ran", c.Name, id)
		}
		return kind
	}
}

// startPolicy is a client of one of grpc-go's own policies, which hears of members as soon as the others do.
func startPolicy(config string) func(*testing.T, *emulator.Fleet, *emulator.Traffic, int) (emulator.Do, func()) {
	return func(t *testing.T, f *emulator.Fleet, _ *emulator.Traffic, _ int) (emulator.Do, func()) {
		cc, err := grpc.NewClient("fleet:///", grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithResolvers(fleetResolver{f.Discovery.Addr()}), grpc.WithDefaultServiceConfig(config))
		if err != nil {
			t.Fatal(err)
		}
		cc.Connect()
		policy := unary(cc, f)
		do := func(ctx context.Context, n int, c emulator.TrafficClass, r emulator.Request) emulator.Kind {
			if kind := policy(ctx, n, c, r); kind != emulator.Refused {
				return kind
			}
			return emulator.Failed // these promise nothing
		}
		return do, func() { cc.Close() }
	}
}

// fleetResolver gives gRPC's own policies the members that the watch brings.
type fleetResolver struct{ discovery string }

func (r fleetResolver) Scheme() string { return "fleet" }

func (r fleetResolver) Build(_ resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	members := map[string]engine.Endpoint{}
	stop := watch.NewClient(r.discovery, false, discardLog).Watch(0, 0, func(n engine.EndpointUpdate) {
		if n.Kind == balancer.CompleteList {
			clear(members)
		}
		for _, m := range n.Endpoints {
			if m.State == balancer.Active {
				members[m.ID] = m
			} else {
				delete(members, m.ID)
			}
		}
		var state resolver.State
		for _, m := range members {
			state.Addresses = append(state.Addresses, resolver.Address{Addr: m.Addr})
		}
		slices.SortFunc(state.Addresses, func(a, b resolver.Address) int { return strings.Compare(a.Addr, b.Addr) })
		cc.UpdateState(state)
	})
	return stopper(stop), nil
}

type stopper context.CancelFunc

func (s stopper) ResolveNow(resolver.ResolveNowOptions) {}
func (s stopper) Close()                                { s() }

// result is one contestant's on one day with one seed.
type result struct {
	*emulator.Report
	wasted int
	broken []string
	lab    *simulator.Result // the same in the emulator
}

// play runs a contestant through a day.
func play(t *testing.T, c contestant, traffic *emulator.Traffic, script string, seed int, grace, slack time.Duration) result {
	faults, err := emulator.ReadScript(strings.NewReader(script))
	if err != nil {
		t.Fatal(err)
	}
	f, err := emulator.NewFleet(emulator.FleetConfig{Nodes: emulator.MixedNodes(7), Effects: traffic.Effects(), NewServer: c.server, Slack: slack})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	do, closed := c.start(t, f, traffic, seed)
	defer closed()
	ctx, stop := context.WithCancel(t.Context())
	var played sync.WaitGroup
	played.Go(func() { f.Play(ctx, faults) })
	report := emulator.Replay(ctx, traffic, grace, do)
	time.Sleep(200 * time.Millisecond) // for copies that run on
	stop()
	played.Wait()
	total, _ := f.Ledger.Executions("")
	return result{Report: report, wasted: total - report.Served, broken: f.Ledger.Broken()}
}

func TestCompare(t *testing.T) {
	if !*compare {
		t.Skip("a measurement of minutes: -compare")
	}
	var table bytes.Buffer
	fmt.Fprintln(&table, "| day | who | service (mean, min to max) | p50 ms | p99 ms | p99.9 ms | unserved | wasted | rules broken |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var agree agreement
	for _, day := range days {
		all := make([][]result, len(contestants))
		for seed := 1; seed <= *compareSeeds; seed++ {
			traffic := emulator.Generate(uint64(seed), *compareRate, *compareTime)
			results := make([]result, len(contestants))
			var wg sync.WaitGroup
			for i, c := range contestants {
				wg.Go(func() { results[i] = play(t, c, traffic, day.script, seed, emulator.Grace, 0) })
			}
			wg.Wait()
			for i, r := range results {
				r.lab = emulated(t, contestants[i], traffic, day.script, seed)
				all[i] = append(all[i], r)
				if asked := len(traffic.Requests); r.Asked != asked {
					t.Errorf("%s, %s: %d results for %d requests", day.name, contestants[i].name, r.Asked, asked)
				}
				if i < 2 && (len(r.broken) > 0 || r.Unanswered > 0) {
					t.Errorf("%s, %s, seed %d: %d unanswered, %v", day.name, contestants[i].name, seed, r.Unanswered, r.broken)
				}
			}
		}
		for i, c := range contestants {
			row(&table, day.name, c.name, all[i])
			agree.add(day.name, c.name, all[i])
		}
	}
	t.Log("\n" + table.String() + "\n" + agree.String())
}

func row(w io.Writer, day, who string, rs []result) {
	n := float64(len(rs))
	lo, hi := 1.0, 0.0
	var service, unserved, wasted, broken float64
	var p [3]time.Duration
	for _, r := range rs {
		service += r.Service / n
		lo, hi = min(lo, r.Service), max(hi, r.Service)
		for i, x := range []time.Duration{r.P50, r.P99, r.P999} {
			p[i] += x / time.Duration(len(rs))
		}
		unserved += float64(r.Asked-r.Served) / n
		wasted += float64(r.wasted) / n
		broken += float64(len(r.broken)) / n
	}
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }
	fmt.Fprintf(w, "| %s | %s | %.4f (%.4f to %.4f) | %s | %s | %s | %.1f | %.1f | %.1f |\n", day, who, service, lo, hi, ms(p[0]), ms(p[1]), ms(p[2]), unserved, wasted, broken)
}

// The rules hold in the daemon and in the plug-in alike, whatever happens to the nodes: a short form of the
// measurement, whose verdict does not depend on how fast the machine is.
func TestRulesHoldInBoth(t *testing.T) {
	traffic := emulator.Generate(5, 60, 3*time.Second)
	const script = "300ms slow n1 8 1s\n500ms drain n3\n800ms crash n4\n1s pause n2 300ms\n1s reset n1 0.3 1s\n1300ms restart n4\n1600ms drain n5\n2s crash n6"
	for _, c := range contestants[:2] {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := play(t, c, traffic, script, 5, 10*time.Second, 500*time.Millisecond)
			if r.Asked != len(traffic.Requests) || r.Served == 0 || r.Unanswered > 0 {
				t.Errorf("%d results for %d requests: %v", r.Asked, len(traffic.Requests), r.Report)
			}
			if len(r.broken) > 0 {
				t.Error(r.broken)
			}
		})
	}
}
