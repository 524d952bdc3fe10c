package grpcbalancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/simulation/baseline"
	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/simulation/simulator"
)

// emulated plays a contestant's day in the lab: the stand-in fleet's nodes, the same traffic and faults, in simulated
// time. grpc-go's policies ask once, as they do on sockets.
func emulated(t *testing.T, c contestant, traffic *emulator.Traffic, script string, seed int) *simulator.Result {
	t.Helper()
	cfg := simulator.Config{Length: traffic.Length() + time.Second, Settings: bookingSettings(traffic),
		// A loopback's ways, and what the programs between client and node take.
		Network: simulator.Network{Same: hop, Cross: hop, Jitter: hop / 2, ConnectTimeout: 250 * time.Millisecond, Idle: 15 * time.Second},
		List:    simulator.List{Least: time.Millisecond, Most: 2 * time.Millisecond, Notice: time.Second},
		Rules:   simulator.Rules{ColdFrom: 0.3, WarmUp: 4 * time.Second, FallMultiple: 3, FallTime: 2 * time.Second, DrainGrace: 250 * time.Millisecond},
		Clients: simulator.Clients{Instances: 1, Zones: []string{"a"}, Tries: 1, Recorded: experiment.Recorded(traffic)}}
	for _, k := range bookingClasses(traffic) {
		cfg.Classes = append(cfg.Classes, simulator.Class{Class: k, Share: 1, Work: simulator.Work{Kind: "fixed", Mean: time.Millisecond}})
	}
	for _, n := range emulator.MixedNodes(7) {
		cfg.Nodes = append(cfg.Nodes, simulator.Node{Name: n.Name, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, Cores: 1, Speed: n.Speed, Queue: 64})
	}
	faults, err := emulator.ReadScript(strings.NewReader(script))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range faults {
		cfg.Faults = append(cfg.Faults, simulator.Fault{At: f.At, What: f.Verb, Node: f.Node, Times: f.Times, For: f.For})
	}
	cfg.Network.Multiplexed = c.server != nil // gRPC
	if c.lab != baseline.Own {
		cfg.Settings.MaxAttempts = 1
		cfg.Settings.ProbesReportLoad = true // ORCA's reports come with answers
	}
	policy, err := baseline.New(c.lab)
	if err != nil {
		t.Fatal(err)
	}
	r, err := simulator.Run(cfg, policy, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const hop = 150 * time.Microsecond

// agreement sets the emulator beside the sockets.
type agreement struct {
	rows  strings.Builder
	ranks strings.Builder
	day   string
	list  []agreed
}

type agreed struct {
	who         string
	socket, lab float64 // service
}

// tie is how near two services are that have no order.
const tie = 0.015

func (a *agreement) add(day, who string, rs []result) {
	if a.day != day {
		a.rank()
		a.day = day
	}
	n := float64(len(rs))
	x := agreed{who: who}
	var p50, p99, lab50, lab99 float64
	for _, r := range rs {
		x.socket += r.Service / n
		x.lab += r.lab.Service / n
		p50 += r.ServedP50.Seconds() * 1000 / n
		p99 += r.ServedP99.Seconds() * 1000 / n
		lab50 += r.lab.P50 / n
		lab99 += r.lab.P99 / n
	}
	a.list = append(a.list, x)
	fmt.Fprintf(&a.rows, "| %s | %s | %.4f | %.4f | %+.4f | %.1f | %.1f | %.1f | %.1f | %+.0f%% |\n", day, who, x.socket, x.lab, x.lab-x.socket, p50, lab50, p99, lab99, 100*(lab99/p99-1))
}

// rank says whether both give the contestants of a day the same order, but for ties.
func (a *agreement) rank() {
	for i, x := range a.list {
		for _, y := range a.list[i+1:] {
			if s, l := x.socket-y.socket, x.lab-y.lab; s*l < 0 && max(s, -s) > tie && max(l, -l) > tie {
				fmt.Fprintf(&a.ranks, "%s: %s and %s change places: %.4f and %.4f on sockets, %.4f and %.4f in the lab\n", a.day, x.who, y.who, x.socket, y.socket, x.lab, y.lab)
			}
		}
	}
	a.list = nil
}

func (a *agreement) String() string {
	a.rank()
	ranks := a.ranks.String()
	if ranks == "" {
		ranks = "the same ranking on every day\n"
	}
	return "| day | who | service | in the lab | difference | p50 ms | lab | p99 ms | lab | difference |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n" + a.rows.String() + "\n" + ranks
}

// In a calm half minute, the lab and the closed form of its own traffic agree on what is asked for: the same requests, the
// same nodes. What differs on sockets is measured by TestCompare.
func TestEmulatedDayIsTheSameTraffic(t *testing.T) {
	traffic := emulator.Generate(3, 100, 3*time.Second)
	for _, c := range contestants {
		r := emulated(t, c, traffic, "500ms slow n1 8 1s\n1s crash n4\n2s restart n4\n1s reset n6 0.2 1s\n700ms drain n3", 3)
		if r.Asked != len(traffic.Requests) || r.Service < 0.5 || !slices.Contains([]string{baseline.Own}, c.lab) && r.Wasted > 0 {
			t.Errorf("%s: %d of %d asked, service %.3f, %.3f wasted", c.name, r.Asked, len(traffic.Requests), r.Service, r.Wasted)
		}
	}
}
