//go:build !small

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/simulation/report"
)

// labDir is where runs are kept unless --out says otherwise.
const labDir = "logs/lab"

// labGC is how far the heap grows between collections, in per cent of what lives.
const labGC = 400

var errClaim = errors.New("a claim does not hold")

func init() { optionalCommands = append(optionalCommands, labCommand) }

func labCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "lab",
		Short: "Play experiments with emulated fleets, and judge what they claim",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		PersistentPreRun: func(*cobra.Command, []string) {
			if os.Getenv("GOGC") == "" { // worlds are small and make much garbage: twice as fast, for some tens of MB
				debug.SetGCPercent(labGC)
			}
		},
	}
	c.AddCommand(labRun(), labCheck(), labList(), labShow(), labCompare(), labReport(), labHunt(), labFleet(), labCapacity(), labSlopes(), labCallgraph())
	return c
}

func labRun() *cobra.Command {
	var out string
	var cores int
	c := &cobra.Command{
		Use:   "run FILE...",
		Short: "Play experiments; status 1 where a claim does not hold",
		Long: `Play experiments on all cores and judge their claims. A run is kept in a file, a line for each contestant, point and seed;
one that was ended goes on where it was. The same experiment and program give the same bytes.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			holds := true
			for _, path := range args {
				e, err := experiment.Load(path)
				if err != nil {
					return err
				}
				ok, err := play(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr(), e, filepath.Join(out, e.Name+"-"+e.Hash+".jsonl"), cores)
				if err != nil {
					return err
				}
				holds = holds && ok
			}
			if !holds {
				return errClaim
			}
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", labDir, "directory for the runs")
	c.Flags().IntVar(&cores, "cores", 0, "worlds played at a time; 0: one a core")
	return c
}

// play plays an experiment, and prints its claims and its table.
func play(ctx context.Context, out, progress io.Writer, e *experiment.Experiment, path string, cores int) (holds bool, err error) {
	live := term.IsTerminal(int(os.Stderr.Fd()))
	begun, from := time.Now(), -1
	runs, err := e.Play(ctx, path, cores, func(done, of int) {
		if from < 0 {
			from = done
		}
		if live {
			const width = 30
			full := width * done / of
			fmt.Fprintf(progress, "\r%s [%s%s] %d of %d, %v left   ", e.Name, strings.Repeat("#", full), strings.Repeat(".", width-full), done, of,
				experiment.Left(begun, from, done, of).Round(time.Second))
		}
	})
	if live {
		fmt.Fprintln(progress)
	}
	if err != nil {
		return false, err
	}
	h, _, err := experiment.ReadRun(path)
	if err != nil {
		return false, err
	}
	fmt.Fprintf(out, "%s: %s\n%s\n", e.Name, e.Question, path)
	verdicts, err := experiment.Judge(h, runs)
	if err != nil {
		return false, err
	}
	holds = claims(out, verdicts)
	table(out, h, runs)
	fmt.Fprintln(out)
	return holds, nil
}

func claims(out io.Writer, list []experiment.Verdict) (holds bool) {
	holds = true
	for _, v := range list {
		word := "holds"
		if !v.Holds {
			word, holds = "FAILS", false
		}
		fmt.Fprintf(out, "  %s  %s (on %s: %d of %d; worst %s)\n", word, v.Says, v.On, v.Good, v.Of, v.Worst)
	}
	return holds
}

// shown are the measures of the table.
var shown = []string{"service", "worst", "recovered", "p50", "p99", "refused", "failed", "attempts", "wasted", "conns", "imbalance"}

func table(out io.Writer, h experiment.Header, runs []experiment.Run) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "contestant\t%s\tleast\tmost\t\n", strings.Join(shown, "\t"))
	point := -1
	for _, s := range experiment.Summarise(h, runs) {
		if s.Point != point && len(h.Points) > 1 {
			fmt.Fprintf(w, "%s\t\n", strings.Join(h.Points[s.Point], ", "))
		}
		point = s.Point
		fmt.Fprintf(w, "%s\t", s.Contestant)
		for _, m := range shown {
			fmt.Fprintf(w, "%.4g\t", s.Mean[m])
		}
		fmt.Fprintf(w, "%.3f\t%.3f\t", s.Least, s.Most)
		if s.Broke > 0 {
			fmt.Fprintf(w, "BROKE A RULE on %d seeds", s.Broke)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}

func labCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check experiments, and name what cannot be used",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []error
			for _, path := range args {
				e, err := experiment.Load(path)
				if err != nil {
					all = append(all, err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d points, %d seeds, %d contestants, %d claims\n", path, len(e.Points), e.Seeds, len(e.Contestants), len(e.Claim))
			}
			return errors.Join(all...)
		},
	}
}

func labList() *cobra.Command {
	return &cobra.Command{
		Use:   "list [DIR]",
		Short: "List the experiments of a directory, and what each asks",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := "lab"
			if len(args) > 0 {
				dir = args[0]
			}
			paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
			if err != nil || len(paths) == 0 {
				return fmt.Errorf("%s: no experiments", dir)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, path := range paths {
				e, err := experiment.Load(path)
				if err != nil {
					return err
				}
				fmt.Fprintf(w, "%s\t%s\n", path, e.Question)
			}
			return w.Flush()
		},
	}
}

func labShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show RUN",
		Short: "Show the table of a run, and who broke a rule",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			h, runs, err := experiment.ReadRun(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%s: %s\nexperiment %s, commit %s, %s\n", h.Name, h.Question, h.Hash, h.Commit, h.Go)
			for _, r := range runs {
				for _, b := range r.Result.Broken {
					fmt.Fprintf(out, "rule broken: %s, seed %d%s: %s\n", r.Contestant, r.Seed, strings.TrimSuffix(", "+strings.Join(h.Points[r.Point], ", "), ", "), b)
				}
			}
			table(out, h, runs)
			return nil
		},
	}
}

func labCompare() *cobra.Command {
	var measures []string
	var asJSON bool
	c := &cobra.Command{
		Use:   "compare RUN RUN",
		Short: "Compare two runs of the same points and seeds; what may be noise is not called a difference",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lh, left, err := experiment.ReadRun(args[0])
			if err != nil {
				return err
			}
			rh, right, err := experiment.ReadRun(args[1])
			if err != nil {
				return err
			}
			list, err := experiment.Compare(lh, left, rh, right, measures)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				return e.Encode(list)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "POINT\tCONTESTANT\tMEASURE\tLEFT\tRIGHT\tDIFFERENCE\t95% INTERVAL\t")
			for _, d := range list {
				word := "noise"
				if d.Differs {
					word = "differs"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\n", strings.Join(lh.Points[d.Point], ", "), d.Contestant, d.Measure, d.Left, d.Right,
					d.Mean, d.Low, d.High, word)
			}
			return w.Flush()
		},
	}
	c.Flags().StringSliceVar(&measures, "measure", []string{"service", "p99", "attempts"}, "what to compare")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func labReport() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "report RUN",
		Short: "Write a run's report: one HTML file with tables and plots",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			h, runs, err := experiment.ReadRun(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], ".jsonl") + ".html"
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			if err := errors.Join(report.Write(f, h, runs), f.Close()); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), out)
			return err
		},
	}
	c.Flags().StringVar(&out, "out", "", "the file to write; else the run's name with .html")
	return c
}
