//go:build !small

package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/demo/gqldemo"
)

const (
	maxGraphQLDemoRate   = 2000 // requests a second
	maxGraphQLDemoLength = 10 * time.Minute
)

func newDemoGraphQLCommand() *cobra.Command {
	var options gqldemo.Options
	c := &cobra.Command{
		Use:   "graphql",
		Short: "Show GraphQL at work on loopback, while nodes crash and spoil answers",
		Long: `Play requests that mix queries and mutations through a daemon's GraphQL front against stand-in nodes, ` +
			`one of which crashes
every second, while one answer in fifty is spoilt. It ends by itself with a summary, and with status 1 ` +
			`where a rule broke:
one answer for each request in its client's time, no mutation twice, and no answer that the nodes' counters deny.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !(options.Rate > 0) || options.Rate > maxGraphQLDemoRate ||
				options.Length <= 0 || options.Length > maxGraphQLDemoLength {
				return errors.New("--rate is above 0 and up to 2000, --length up to 10m")
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return gqldemo.Run(ctx, options, cmd.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the requests and the crashes")
	flags.Float64Var(&options.Rate, "rate", 150, "requests a second, on average")
	flags.DurationVar(&options.Length, "length", 8*time.Second, "how long they go on")
	return c
}
