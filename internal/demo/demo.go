// Package demo demonstrates the daemon. It runs emulated nodes, their discovery service, the daemon and clients in one
// process on loopback, while one node becomes slow, one drains and one crashes.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/operator"
)

// Options describe a demonstration.
type Options struct {
	Seed    uint64            // seed of generated traffic and of the daemon
	Rate    float64           // rate of generated traffic in requests per second
	Length  time.Duration     // length of generated traffic
	Nodes   int               // number of emulated nodes
	Traffic *emulator.Traffic // recorded traffic; nil: traffic is generated
	Script  []emulator.Fault  // faults to inject; nil: the faults of DefaultScript
	Live    bool              // whether the view is redrawn in place; otherwise a line is printed every second
	// Grace is how long after the client's deadline a response still counts; 0: 250 ms.
	Grace time.Duration
	// DrainSlack is added to the nodes' drain grace; 0: 50 ms.
	DrainSlack time.Duration
}

// DefaultScript is the fault script of a demonstration whose options have none.
const DefaultScript = `
2s   slow     n1   8 3s   # eight times slower
5s   drain    n3          # listed as draining, then stopped
7s   crash    n4          # discovery notices a second later
9s   restart  n4          # a new process, which warms up
`

const (
	// defaultGrace is used if Options.Grace is 0. It allows for delays by other programs on the same machine.
	defaultGrace = 250 * time.Millisecond
	// settleTime is how long the demonstration waits after the last response for attempts that are still in flight.
	settleTime = 300 * time.Millisecond
)

// Run replays the traffic, injects the faults, and writes the view and a summary to out. It returns ErrRuleBroken if a
// rule was broken. It ends early when ctx ends.
func Run(ctx context.Context, options Options, out io.Writer) error {
	traffic, script, err := options.input()
	if err != nil {
		return err
	}
	fleet, err := emulator.NewFleet(emulator.FleetConfig{ //nolint:contextcheck // the nodes run until Close
		Nodes:      emulator.MixedNodes(options.Nodes),
		Effects:    traffic.Effects(),
		DrainSlack: options.DrainSlack,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, fault := range script {
		if fleet.Node(fault.Node) == nil {
			return fmt.Errorf("fault script: node %q does not exist; want n1 to n%d", fault.Node, options.Nodes)
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	view := newView(out, options.Live, fleet, traffic)
	daemon, err := StartDaemon(ctx, DaemonConfig{
		Traffic:   traffic,
		Operator:  new(operator.Config),
		Discovery: fleet.Discovery.Addr(),
		Seed:      options.Seed,
		Log:       slog.NewTextHandler(view, nil),
	})
	if err != nil {
		return err
	}
	faultsEnded := make(chan error, 1)
	go func() { faultsEnded <- fleet.RunScript(ctx, script) }()
	client, closeIdle := emulator.HTTPClient(daemon.Addr, fleet.Rules)
	defer closeIdle()
	report := replay(ctx, traffic, cmp.Or(options.Grace, defaultGrace), client, view)
	view.close(report)
	stop()
	closeIdle()
	if err := <-faultsEnded; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if err := daemon.Wait(); err != nil {
		return err
	}
	return printVerdict(out, report, fleet.Rules.Violations())
}

// input returns the traffic and the faults of the options. It generates traffic if the options have none, and reads
// DefaultScript if they have no faults.
func (o *Options) input() (traffic *emulator.Traffic, script []emulator.Fault, err error) {
	traffic, script = o.Traffic, o.Script
	if traffic == nil {
		traffic = emulator.Generate(o.Seed, o.Rate, o.Length)
	}
	if script == nil {
		script, err = emulator.ReadScript(strings.NewReader(DefaultScript))
	}
	return traffic, script, err
}

// replay sends the traffic and shows its progress in the view. After the last response it waits for settleTime, and
// then returns the report.
func replay(
	ctx context.Context, traffic *emulator.Traffic, grace time.Duration, client emulator.RequestFunc, view *view,
) *emulator.Report {
	drawCtx, stopDrawing := context.WithCancel(ctx)
	drawingEnded := make(chan struct{})
	go func() {
		defer close(drawingEnded)
		view.run(drawCtx)
	}()
	observed := func(
		ctx context.Context, number int, class emulator.TrafficClass, request emulator.Request,
	) emulator.Outcome {
		start := time.Now()
		outcome := client(ctx, number, class, request)
		view.recordOutcome(class, outcome, time.Since(start))
		return outcome
	}
	report := emulator.Replay(ctx, traffic, grace, observed)
	time.Sleep(settleTime)
	stopDrawing()
	<-drawingEnded
	return report
}
