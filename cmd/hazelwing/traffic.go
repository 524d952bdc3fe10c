package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/emulator"
)

func trafficCommand() *cobra.Command {
	var seed uint64
	var rate float64
	var length time.Duration
	c := &cobra.Command{
		Use:   "traffic FILE",
		Short: "Write generated traffic to a file, or check one that is there (--check)",
		Args:  cobra.ExactArgs(1),
	}
	check := c.Flags().Bool("check", false, "read the file, and say what is in it or which line cannot be used")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed: the same one gives the same traffic")
	c.Flags().Float64Var(&rate, "rate", 250, "requests a second, on average")
	c.Flags().DurationVar(&length, "length", 12*time.Second, "how long it goes on")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if *check {
			t, err := emulator.LoadTraffic(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%d requests of %d classes in %v\n", len(t.Requests), len(t.Classes), t.Length())
			}
			return err
		}
		if !(rate > 0) || length <= 0 || rate*length.Seconds() > emulator.MaxRequests/2 {
			return fmt.Errorf("--rate and --length are above 0, and give at most %d requests", emulator.MaxRequests/2)
		}
		f, err := os.OpenFile(args[0], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644) // what is there is not lost
		if err != nil {
			return err
		}
		return errors.Join(emulator.Generate(seed, rate, length).Write(f), f.Close())
	}
	return c
}
