package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/emulator"
)

// maxGeneratedRequests limits the mean number of generated requests, which is the product of --rate and --length. The
// limit is half of the number that a file may hold, because the generated number varies around the mean.
const maxGeneratedRequests = emulator.MaxRequests / 2

type trafficOptions struct {
	seed   uint64
	rate   float64 // requests per second
	length time.Duration
}

func newTrafficCommand() *cobra.Command {
	var options trafficOptions
	var check bool
	c := &cobra.Command{
		Use:   "traffic FILE",
		Short: "Write generated traffic to a new file, or check an existing one with --check",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if check {
				return checkTraffic(cmd.OutOrStdout(), args[0])
			}
			return options.write(args[0])
		},
	}
	flags := c.Flags()
	flags.BoolVar(&check, "check", false, "read the file, and print a summary or the line that is invalid")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the traffic; the same seed gives the same traffic")
	flags.Float64Var(&options.rate, "rate", 250, "mean request rate, in requests per second")
	flags.DurationVar(&options.length, "length", 12*time.Second, "duration of the traffic")
	return c
}

func checkTraffic(out io.Writer, path string) error {
	traffic, err := emulator.LoadTraffic(path)
	if err != nil {
		return err
	}
	printf(out, "%d requests of %d classes in %v\n", len(traffic.Requests), len(traffic.Classes), traffic.Length())
	return nil
}

// write generates traffic and writes it to a new file. It fails if the file exists.
func (o *trafficOptions) write(path string) error {
	switch meanRequests := o.rate * o.length.Seconds(); {
	case !(o.rate > 0):
		return fmt.Errorf("--rate is %v, want above 0", o.rate)
	case o.length <= 0:
		return fmt.Errorf("--length is %v, want above 0", o.length)
	case meanRequests > maxGeneratedRequests:
		return fmt.Errorf("--rate and --length give %.0f requests on average, want at most %d",
			meanRequests, maxGeneratedRequests)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(emulator.Generate(o.seed, o.rate, o.length).Write(file), file.Close())
}
