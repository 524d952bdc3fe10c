//go:build !small

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"hazelwing/internal/simulation/baseline"
	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/simulation/worstcase"
)

const maxHuntTries = 1_000_000

type huntOptions struct {
	worstcase.Options
	outPath string // file for the experiment with the worst case
}

func newLabHuntCommand() *cobra.Command {
	var options huntOptions
	c := &cobra.Command{
		Use:   "hunt FILE",
		Short: "Search for the load and faults with which a policy loses most against a baseline, or violates a rule",
		Long: `Generate random loads and fault scripts for the world of an experiment, and keep the case in which the
contestant loses most against the baseline or violates a rule. Shrink it to the shortest script with the same effect,
and write it as an experiment. The same file, seed and number of tries give the same case.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if options.Candidates < 1 || options.Candidates > maxHuntTries {
				return fmt.Errorf("--tries is %d, want 1 to %d", options.Candidates, maxHuntTries)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return options.run(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr(), args[0])
		},
	}
	flags := c.Flags()
	flags.StringVar(&options.Policy, "contestant", baseline.Hazelwing, "policy whose worst case is searched for")
	flags.StringVar(&options.Baseline, "against", "p2c", "baseline with which the contestant is compared")
	flags.IntVar(&options.Candidates, "tries", 200, "number of cases that are generated")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the generated cases")
	flags.IntVar(&options.Cores, "cores", 0, "number of cases that are simulated at the same time; 0: one per core")
	flags.StringVar(&options.outPath, "out", "found/day.toml", "file for the experiment, which must not exist yet")
	return c
}

// run searches for the worst case of the experiment in a file, and writes it as a new experiment.
func (o *huntOptions) run(ctx context.Context, out, progressOut io.Writer, path string) error {
	e, err := experiment.Load(path)
	if err != nil {
		return err
	}
	worst, err := o.search(ctx, progressOut, e)
	if err != nil {
		return err
	}
	text, err := worstcase.Experiment(e, o.Options, worst, filepath.Dir(o.outPath))
	if err != nil {
		return err
	}
	if err := writeNewFile(o.outPath, text); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %s loses %.3f against %s, %d rules broken, load %.2f, %d faults\n",
		o.outPath, o.Policy, worst.Loss, o.Baseline, worst.Violations, worst.Load, len(worst.Faults))
	return err
}

// search searches for the worst case and shows its progress on a terminal.
func (o *huntOptions) search(
	ctx context.Context, progressOut io.Writer, e *experiment.Experiment,
) (worstcase.Case, error) {
	isTerminal := term.IsTerminal(int(os.Stderr.Fd()))
	o.Progress = func(done, total int, worst float64) {
		if isTerminal {
			printf(progressOut, "\r%d of %d days, the worst loses %.3f   ", done, total, worst)
		}
	}
	worst, err := worstcase.Search(ctx, e, o.Options)
	if isTerminal {
		printLine(progressOut)
	}
	return worst, err
}

// writeNewFile writes a new file, and creates its directory if there is none. It fails if the file exists.
func writeNewFile(path string, text []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	return errors.Join(err, file.Close())
}
