//go:build !small

package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"hazelwing/internal/simulation/experiment"
)

// progressBarWidth is the width of the progress bar in characters.
const progressBarWidth = 30

type labRunOptions struct {
	dir   string // directory for the files of runs
	cores int    // number of simulations that run at the same time; 0: one per core
}

func newLabRunCommand() *cobra.Command {
	var options labRunOptions
	c := &cobra.Command{
		Use:   "run FILE...",
		Short: "Run experiments; status 1 if a claim does not hold",
		Long: `Run experiments on all cores and check their claims. The results of a run are written to a file with a
line for each contestant, point and seed; an interrupted run continues where it stopped. The same experiment and program
give the same file.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			allHold := true
			for _, path := range args {
				holds, err := options.runFile(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr(), path)
				if err != nil {
					return err
				}
				allHold = allHold && holds
			}
			if !allHold {
				return errClaim
			}
			return nil
		},
	}
	c.Flags().StringVar(&options.dir, "out", labDir, "directory for the files of runs")
	c.Flags().IntVar(&options.cores, "cores", 0, "number of simulations that run at the same time; 0: one per core")
	return c
}

// runFile runs the experiment in a file, prints its claims and its table, and reports whether the claims hold.
func (o *labRunOptions) runFile(ctx context.Context, out, progressOut io.Writer, path string) (bool, error) {
	e, err := experiment.Load(path)
	if err != nil {
		return false, err
	}
	runPath := filepath.Join(o.dir, e.Name+"-"+e.Hash+".jsonl")
	progress := newLabProgress(progressOut, e.Name)
	runs, err := e.Execute(ctx, runPath, o.cores, progress.update)
	progress.end()
	if err != nil {
		return false, err
	}
	header, _, err := experiment.ReadResults(runPath)
	if err != nil {
		return false, err
	}
	printf(out, "%s: %s\n%s\n", e.Name, e.Question, runPath)
	verdicts, err := experiment.Judge(header, runs)
	if err != nil {
		return false, err
	}
	holds := printClaims(out, verdicts)
	_ = printRunTable(out, header, runs) // a failed write does not fail the command, as with printf
	printLine(out)
	return holds, nil
}

// labProgress shows a progress bar while an experiment runs, if standard error is a terminal.
type labProgress struct {
	out        io.Writer
	name       string
	isTerminal bool
	startedAt  time.Time
	initial    int // simulations done by an interrupted earlier run; -1 until the first update
}

func newLabProgress(out io.Writer, name string) *labProgress {
	return &labProgress{
		out:        out,
		name:       name,
		isTerminal: term.IsTerminal(int(os.Stderr.Fd())),
		startedAt:  time.Now(),
		initial:    -1,
	}
}

func (p *labProgress) update(done, total int) {
	if p.initial < 0 {
		p.initial = done
	}
	if !p.isTerminal {
		return
	}
	full := progressBarWidth * done / total
	bar := strings.Repeat("#", full) + strings.Repeat(".", progressBarWidth-full)
	remaining := experiment.EstimateRemaining(p.startedAt, p.initial, done, total).Round(time.Second)
	printf(p.out, "\r%s [%s] %d of %d, %v left   ", p.name, bar, done, total, remaining)
}

func (p *labProgress) end() {
	if p.isTerminal {
		printLine(p.out)
	}
}
