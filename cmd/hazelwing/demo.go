package main

import (
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
	maxDemoRate   = 5000 // requests per second
	maxDemoLength = 10 * time.Minute
	maxDemoNodes  = 200
)

type demoOptions struct {
	demo.Options
	trafficFile string // empty: traffic is generated
	scriptFile  string // empty: the built-in fault script
}

func newDemoCommand() *cobra.Command {
	var options demoOptions
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run the daemon on loopback against emulated nodes that slow down, drain and crash",
		Long: `Play recorded or generated traffic through a daemon to emulated nodes, all in this process and on
loopback, while a fault script makes nodes slow down, pause, drain, crash and restart. The demo ends by itself with a
summary, and with status 1 if a rule was violated. The rules: each request gets one final answer, no effect is executed
twice, a node gets no new request later than 250 ms after its drain was announced, and no cold node is overloaded.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return options.run(cmd) },
	}
	c.AddCommand(optionalDemos()...)
	flags := c.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the traffic and of the daemon")
	flags.Float64Var(&options.Rate, "rate", 250, "mean request rate, in requests per second")
	flags.DurationVar(&options.Length, "length", 12*time.Second, "duration of the traffic")
	flags.IntVar(&options.Nodes, "nodes", 7, "number of emulated nodes, which are named n1, n2, ...")
	flags.StringVar(&options.trafficFile, "traffic", "",
		"file of recorded traffic to play instead of generated traffic")
	flags.StringVar(&options.scriptFile, "script", "", "file with a fault script to play instead of the built-in one")
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
	switch {
	case !(o.Rate > 0) || o.Rate > maxDemoRate:
		return fmt.Errorf("--rate is %v, want above 0 and at most %d", o.Rate, maxDemoRate)
	case o.Length <= 0 || o.Length > maxDemoLength:
		return fmt.Errorf("--length is %v, want above 0 and at most %v", o.Length, maxDemoLength)
	case o.Nodes < 1 || o.Nodes > maxDemoNodes:
		return fmt.Errorf("--nodes is %d, want 1 to %d", o.Nodes, maxDemoNodes)
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

// closeReader closes a reader. It ignores the error, which does not affect the data that was read.
func closeReader(c io.Closer) { _ = c.Close() }
