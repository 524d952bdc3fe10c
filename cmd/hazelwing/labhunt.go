//go:build !small

package main

import (
	"fmt"
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

func labHunt() *cobra.Command {
	var o worstcase.Options
	var out string
	c := &cobra.Command{
		Use:   "hunt FILE",
		Short: "Search for the day on which hazelwing loses most against a rival, or breaks a rule",
		Long: `Draw loads and fault scripts over an experiment's world, keep the day on which the contestant loses most against the
rival or breaks a rule, shrink it to the least script that still does it, and write it as an experiment. The same file,
seed and number of tries find the same day.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			const most = 1_000_000
			if o.Tries < 1 || o.Tries > most {
				return fmt.Errorf("--tries is from 1 to %d", most)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			live := term.IsTerminal(int(os.Stderr.Fd()))
			o.Progress = func(done, of int, worst float64) {
				if live {
					fmt.Fprintf(cmd.ErrOrStderr(), "\r%d of %d days, the worst loses %.3f   ", done, of, worst)
				}
			}
			d, err := worstcase.Hunt(ctx, e, o)
			if live {
				fmt.Fprintln(cmd.ErrOrStderr())
			}
			if err != nil {
				return err
			}
			text, err := worstcase.Experiment(e, o, d, filepath.Dir(out))
			if err != nil {
				return err
			}
			if err := os.MkdirAll(filepath.Dir(out), 0o755); err != nil {
				return err
			}
			f, err := os.OpenFile(out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644) // what was found before is not lost
			if err != nil {
				return err
			}
			_, err = f.Write(text)
			if e := f.Close(); err == nil {
				err = e
			}
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s loses %.3f against %s, %d rules broken, load %.2f, %d faults\n", out, o.Contestant, d.Loss, o.Rival, d.Breaks, d.Load, len(d.Faults))
			return err
		},
	}
	f := c.Flags()
	f.StringVar(&o.Contestant, "contestant", baseline.Own, "who is hunted")
	f.StringVar(&o.Rival, "against", "p2c", "the rival")
	f.IntVar(&o.Tries, "tries", 200, "days that are drawn")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the drawing")
	f.IntVar(&o.Cores, "cores", 0, "days played at a time; 0: one a core")
	f.StringVar(&out, "out", "found/day.toml", "the experiment to write; it must not be there")
	return c
}
