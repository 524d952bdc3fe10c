package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"hazelwing/internal/demo"
	"hazelwing/internal/emulator"
)

const (
	maxDemoRate   = 5000 // requests a second
	maxDemoLength = 10 * time.Minute
	maxDemoNodes  = 200
)

type demoOptions struct {
	demo.Options
	trafficFile string // empty: traffic is generated
	scriptFile  string // empty: the demonstration's own faults
}

func newDemoCommand() *cobra.Command {
	var options demoOptions
	c := &cobra.Command{
		Use:   "demo",
		Short: "Show the daemon at work on loopback, while nodes slow, drain and crash",
		Long: `Play recorded or generated traffic through a daemon against stand-in nodes, all in this ` +
			`process and on loopback, while
a fault script makes nodes slow, pause, drain, crash and restart. It ends by itself with a summary, and with status 1
where a rule broke: one final answer for each request, no effect twice, nothing new to a node 250 ms after its drain was
told, no cold node pushed over.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	c.AddCommand(optionalDemos()...)
	flags := c.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the traffic and of the daemon")
	flags.Float64Var(&options.Rate, "rate", 250, "requests a second, on average")
	flags.DurationVar(&options.Length, "length", 12*time.Second, "how long the traffic goes on")
	flags.IntVar(&options.Nodes, "nodes", 7, "stand-in nodes: n1, n2, ...")
	flags.StringVar(&options.trafficFile, "traffic", "", "recorded traffic to play in place of generated one")
	flags.StringVar(&options.scriptFile, "script", "", "fault script to play in place of the demo's own")
	return c
}

func (o *demoOptions) run(cmd *cobra.Command) error {
	if err := o.load(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o.Live = term.IsTerminal(int(os.Stdout.Fd()))
	return demo.Run(ctx, o.Options, cmd.OutOrStdout())
}

// load checks the options and reads the files that they name.
func (o *demoOptions) load() (err error) {
	if !(o.Rate > 0) || o.Rate > maxDemoRate ||
		o.Length <= 0 || o.Length > maxDemoLength ||
		o.Nodes < 1 || o.Nodes > maxDemoNodes {
		return errors.New("--rate is 1 to 5000, --length up to 10m, --nodes 1 to 200")
	}
	if o.trafficFile != "" {
		if o.Traffic, err = emulator.LoadTraffic(o.trafficFile); err != nil {
			return err
		}
	}
	if o.scriptFile == "" {
		return nil
	}
	file, err := os.Open(o.scriptFile)
	if err != nil {
		return err
	}
	defer closeReader(file)
	if o.Script, err = emulator.ReadScript(file); err != nil {
		return fmt.Errorf("%s: %w", o.scriptFile, err)
	}
	return nil
}

// closeReader closes what was only read from: an error has nothing to say about what was read.
func closeReader(c io.Closer) { _ = c.Close() }
