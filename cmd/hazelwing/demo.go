package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"hazelwing/internal/demo"
	"hazelwing/internal/emulator"
)

// demos are further demonstrations, which a build with the tag "small" leaves out.
var demos []func() *cobra.Command

func demoCommand() *cobra.Command {
	var o demo.Options
	var traffic, script string
	c := &cobra.Command{
		Use:   "demo",
		Short: "Show the daemon at work on loopback, while nodes slow, drain and crash",
		Long: `Play recorded or generated traffic through a daemon against stand-in nodes, all in this process and on loopback, while
a fault script makes nodes slow, pause, drain, crash and restart. It ends by itself with a summary, and with status 1
where a rule broke: one final answer for each request, no effect twice, nothing new to a node 250 ms after its drain was
told, no cold node pushed over.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if !(o.Rate > 0) || o.Rate > 5000 || o.Length <= 0 || o.Length > 10*time.Minute || o.Nodes < 1 || o.Nodes > 200 {
				return fmt.Errorf("--rate is 1 to 5000, --length up to 10m, --nodes 1 to 200")
			}
			if traffic != "" {
				if o.Traffic, err = emulator.LoadTraffic(traffic); err != nil {
					return err
				}
			}
			if script != "" {
				f, err := os.Open(script)
				if err != nil {
					return err
				}
				defer f.Close()
				if o.Script, err = emulator.ReadScript(f); err != nil {
					return fmt.Errorf("%s: %w", script, err)
				}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			o.Live = term.IsTerminal(int(os.Stdout.Fd()))
			return demo.Run(ctx, o, cmd.OutOrStdout())
		},
	}
	for _, d := range demos {
		c.AddCommand(d())
	}
	f := c.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the traffic and of the daemon")
	f.Float64Var(&o.Rate, "rate", 250, "requests a second, on average")
	f.DurationVar(&o.Length, "length", 12*time.Second, "how long the traffic goes on")
	f.IntVar(&o.Nodes, "nodes", 7, "stand-in nodes: n1, n2, ...")
	f.StringVar(&traffic, "traffic", "", "recorded traffic to play in place of generated one")
	f.StringVar(&script, "script", "", "fault script to play in place of the demo's own")
	return c
}
