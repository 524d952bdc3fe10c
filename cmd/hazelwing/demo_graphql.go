//go:build !small

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/demo/gqldemo"
)

const (
	maxGraphQLDemoRate   = 2000 // requests per second
	maxGraphQLDemoLength = 10 * time.Minute
)

func newDemoGraphQLCommand() *cobra.Command {
	var options gqldemo.Options
	c := &cobra.Command{
		Use:   "graphql",
		Short: "Run the GraphQL front on loopback against emulated nodes that crash and corrupt answers",
		Long: `Play a mix of queries and mutations through the GraphQL front of a daemon to emulated nodes. One node
crashes every second, and one answer in fifty is corrupted. The demo ends by itself with a summary, and with status 1 if
a rule was violated. The rules: each request gets one answer within the client's timeout, no mutation is executed twice,
and no answer contradicts the counters of the nodes.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			switch {
			case !(options.Rate > 0) || options.Rate > maxGraphQLDemoRate:
				return fmt.Errorf("--rate is %v, want above 0 and at most %d", options.Rate, maxGraphQLDemoRate)
			case options.Length <= 0 || options.Length > maxGraphQLDemoLength:
				return fmt.Errorf("--length is %v, want above 0 and at most %v", options.Length, maxGraphQLDemoLength)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return gqldemo.Run(ctx, options, cmd.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the requests and the crashes")
	flags.Float64Var(&options.Rate, "rate", 150, "mean request rate, in requests per second")
	flags.DurationVar(&options.Length, "length", 8*time.Second, "duration of the traffic")
	return c
}
