package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"hazelwing/internal/load"
)

// loadProgressInterval is the time between two lines of progress on a terminal.
const loadProgressInterval = time.Second

type loadOptions struct {
	loadPlanOptions
	messageFile string // contains the encoded request for gRPC targets; empty: a default request
	asJSON      bool
}

func newLoadCommand() *cobra.Command {
	var options loadOptions
	c := &cobra.Command{
		Use:   "load URL...",
		Short: "Send load to HTTP or gRPC targets, the same requests at the same times to each",
		Long: `Send requests as the platform's applications do, in an open loop: each request is sent at a scheduled
time, whether or not earlier ones have been answered, and its latency is measured from that time. A target is
http://HOST:PORT or grpc://HOST:PORT/SERVICE/METHOD. Several targets all get the same requests at the same times.
If this machine was too slow to send requests on time, the report says so, and the exit status is 1.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.run(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr(), args)
		},
	}
	flags := c.Flags()
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the schedule")
	flags.Float64Var(&options.rate, "rate", 100, "mean request rate, in requests per second")
	flags.StringVar(&options.ramp, "ramp", "",
		"request rate over time instead of --rate: points such as \"0s:100,10s:400,20s:100\"")
	flags.DurationVar(&options.length, "length", 10*time.Second, "duration of the load")
	flags.StringVar(&options.trafficFile, "traffic", "", "file of recorded traffic to play instead of a schedule")
	flags.StringVar(&options.request.Class, "class", "seat-search", "class of the requests")
	flags.StringVar(&options.request.Effect, "effect", "safe", "effect of the requests: safe, keyed or unsafe")
	flags.DurationVar(&options.request.Deadline, "deadline", 2*time.Second, "deadline of each request")
	flags.DurationVar(&options.request.Work, "work", 0,
		"work of each request at emulated nodes, also sent as the cost hint")
	flags.StringVar(&options.messageFile, "message", "",
		"file with the encoded request for gRPC targets; empty: a google.protobuf.StringValue")
	flags.BoolVar(&options.asJSON, "json", false, "print JSON")
	return c
}

func (o *loadOptions) run(ctx context.Context, out, progressOut io.Writer, addresses []string) error {
	plan, err := o.plan()
	if err != nil {
		return err
	}
	var targets []load.Target
	for _, address := range addresses {
		target, closeTarget, err := newLoadTarget(address, o.messageFile)
		if err != nil {
			return err
		}
		defer func() { _ = closeTarget() }() // an error has no effect, since all requests have ended
		targets = append(targets, target)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	progress := &loadProgress{
		out:    progressOut,
		counts: make([]map[load.Outcome]int, len(targets)),
	}
	if term.IsTerminal(int(os.Stderr.Fd())) {
		stopProgress := progress.start(ctx)
		defer stopProgress()
	}
	return printLoadReports(out, load.Run(ctx, plan, targets, progress.count), o.asJSON)
}

// newLoadTarget returns the target for an address, and a function that closes it.
func newLoadTarget(address, messageFile string) (load.Target, func() error, error) {
	u, err := url.Parse(address)
	switch {
	case err != nil:
		return nil, nil, fmt.Errorf("target %q is not a URL such as http://127.0.0.1:8081: %w", address, err)
	case u.Scheme == "grpc":
		return newGRPCLoadTarget(address, messageFile)
	case u.Scheme != "http":
		return nil, nil, fmt.Errorf("target %q has the scheme %q, want a target such as http://127.0.0.1:8081 or "+
			"grpc://127.0.0.1:8081/booking.v1.Booking/Do", address, u.Scheme)
	case u.Host == "":
		return nil, nil, fmt.Errorf("target %q has no host, want a target such as http://127.0.0.1:8081", address)
	case strings.Trim(u.Path, "/") != "":
		return nil, nil, fmt.Errorf("target %q has the path %q, want an HTTP target without a path", address, u.Path)
	}
	target := load.NewHTTP(address)
	closeTarget := func() error {
		target.Close()
		return nil
	}
	return target, closeTarget, nil
}

func newGRPCLoadTarget(address, messageFile string) (load.Target, func() error, error) {
	if !hasGRPC {
		return nil, nil, fmt.Errorf("%s: this build (tag small) does not support gRPC targets", address)
	}
	var body []byte
	if messageFile != "" {
		var err error
		if body, err = os.ReadFile(messageFile); err != nil {
			return nil, nil, err
		}
	}
	return newGRPCTarget(address, body)
}

// printLoadReports prints the reports. It returns an error if the requests were sent too late for the figures to be
// valid.
func printLoadReports(out io.Writer, reports []load.Report, asJSON bool) error {
	if asJSON {
		if err := printJSON(out, reports); err != nil {
			return err
		}
	} else if err := printLoadTable(out, reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Slow {
			return fmt.Errorf("1 %% of the requests were sent at least %.1f ms late: "+
				"this machine was too slow, so the figures are not valid", r.SendDelayP99)
		}
	}
	return nil
}

func printLoadTable(out io.Writer, reports []load.Report) error {
	table := newTable(out)
	printLine(table, "TARGET\tSERVED\tREFUSED\tFAILED\tBROKEN\tLATE\tUNSENT\t"+
		"P50 MS\tP90\tP99\tP99.9\tMAX\tSENT LATE BY, P99 MS")
	for _, r := range reports {
		printf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t", r.Target,
			r.Outcomes["served"], r.Outcomes["refused"], r.Outcomes["failed"],
			r.Outcomes["broken"], r.Outcomes["late"], r.Outcomes["unsent"])
		printf(table, "%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\n", r.P50, r.P90, r.P99, r.P999, r.Max, r.SendDelayP99)
	}
	return table.Flush()
}

// loadProgress counts the requests that have ended, and prints the counts.
type loadProgress struct {
	out io.Writer

	mu     sync.Mutex // guards counts
	counts []map[load.Outcome]int
}

// start prints the counts at intervals in a goroutine. The returned function stops the goroutine and waits for its end.
func (p *loadProgress) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { load.Every(ctx, loadProgressInterval, p.print) })
	return func() {
		cancel()
		wait.Wait()
	}
}

// count counts a request that has ended. load.Run calls it from the goroutines of the requests.
func (p *loadProgress) count(target int, kind load.Outcome, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts[target] == nil {
		p.counts[target] = map[load.Outcome]int{}
	}
	p.counts[target][kind]++
}

func (p *loadProgress) print() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, counts := range p.counts {
		printf(p.out, "%d: %d served, %d refused, %d failed, %d broken, %d late, %d unsent\n", i+1,
			counts[load.Served], counts[load.Rejected], counts[load.Failed],
			counts[load.Broken], counts[load.TimedOut], counts[load.Unsent])
	}
}
