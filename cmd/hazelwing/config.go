package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/controlplane/transport"
)

const (
	configAskTime = 8 * time.Second // of one question to an origin; it answers a push within 4 s
	configLook    = 50 * time.Millisecond
	lacking       = 2 // status: somebody that can be reached does not act on it
)

// configFlags are of the commands that ask an origin.
type configFlags struct {
	at, fleet string
	asJSON    bool
}

func (f *configFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.at, "origin", os.Getenv("HAZELWING_ORIGIN"), "the address of an origin (or HAZELWING_ORIGIN)")
	c.Flags().StringVar(&f.fleet, "fleet", os.Getenv("HAZELWING_FLEET"), "the fleet's name (or HAZELWING_FLEET)")
	c.Flags().BoolVar(&f.asJSON, "json", false, "as JSON")
}

func (f *configFlags) client() (*transport.Client, error) {
	if f.at == "" || f.fleet == "" {
		return nil, errors.New("config: --origin and --fleet are wanted")
	}
	return transport.NewClient(f.fleet, f.at), nil
}

func configCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Change what a running fleet acts on, and see who does",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	c.AddCommand(configPush(), configStatus(), configShow(), configCheck())
	return c
}

// pushed is what push prints as JSON.
type pushed struct {
	origin.Result
	After  uint64               `json:"after"`
	Took   string               `json:"took,omitempty"`   // until the origins had it
	Within string               `json:"within,omitempty"` // from then until all that can be reached acted on it; empty: they did not
	Report *controlplane.Report `json:"report,omitempty"`
}

func configPush() *cobra.Command {
	var f configFlags
	var after int64
	var wait time.Duration
	var id string
	c := &cobra.Command{
		Use:   "push FILE",
		Short: "Push a snapshot, and wait until it is in force",
		Long: `Push a snapshot to an origin. It is checked here, there, and by each sidecar; a fault names file, line, column and key.
--after is the version that the change was made after, by default the one that the origin has now: where another change came
between, nothing is changed, and the push says so.

The status is 0 where every sidecar that can be reached acts on it within --wait, 2 where it is accepted and some lack it, and 1 where it
was not accepted, or nobody knows yet whether it was: then the same push with the --id that is printed is safe.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			text, err := readSnapshot(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			p := pushed{After: uint64(max(after, 0))}
			if after < 0 {
				s, err := client.Show(timed(ctx), false)
				if err != nil {
					return fmt.Errorf("config: which version is the latest: %w", err)
				}
				p.After = s.Result.Revision.Version
			}
			id = cmp.Or(id, rand.Text())
			begun := time.Now()
			if p.Result, err = client.Push(timed(ctx), id, p.After, text); err != nil {
				return fmt.Errorf("config: %w; whether it was accepted is not known: push again with --id %s --after %d", err, id, p.After)
			}
			p.Took = time.Since(begun).Round(time.Millisecond).String()
			if p.Outcome == origin.OutcomeAccepted && wait > 0 {
				waitInForce(ctx, client, &p, wait)
			}
			if err := showPushed(cmd.OutOrStdout(), &p, f.asJSON); err != nil {
				return err
			}
			return pushVerdict(&p, args[0], wait)
		},
	}
	f.add(c)
	c.Flags().Int64Var(&after, "after", -1, "the version that the change was made after; below 0: the latest")
	c.Flags().DurationVar(&wait, "wait", 4*time.Second, "how long to wait until it is in force everywhere; 0: not")
	c.Flags().StringVar(&id, "id", "", "of this push: again under the same one is safe")
	return c
}

// timed bounds one question. It ends with its time: nothing else is held by it.
func timed(ctx context.Context) context.Context {
	ctx, end := context.WithTimeout(ctx, configAskTime)
	context.AfterFunc(ctx, end)
	return ctx
}

// waitInForce asks the origin until all that can be reached act on what was pushed, or on what came after it.
func waitInForce(ctx context.Context, client *transport.Client, p *pushed, wait time.Duration) {
	begun := time.Now()
	for {
		if s, err := client.Status(timed(ctx)); err == nil {
			p.Report = &s.Report
			if inForce(&s.Report, p.Revision) {
				p.Within = time.Since(begun).Round(time.Millisecond).String()
				return
			}
		}
		if left := wait - time.Since(begun); left <= 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(configLook)
	}
}

// inForce says whether all that are counted act on a stamp or a later one. Who is cut off counts for nothing: it is named.
func inForce(r *controlplane.Report, s controlplane.Revision) bool {
	n := 0
	for _, a := range r.Active {
		if a.Revision.Compare(s) >= 0 {
			n += a.Count
		}
	}
	return r.Members > 0 && n == r.Members
}

func pushVerdict(p *pushed, file string, wait time.Duration) error {
	switch p.Outcome {
	case origin.OutcomeAccepted:
	case origin.OutcomeConflict:
		return fmt.Errorf("config: another change came first: the latest is %v, and this one was made after version %d", p.Revision, p.After)
	case origin.OutcomeRejected:
		return fmt.Errorf("config: not accepted: %s", strings.ReplaceAll(p.Error, "\n", "\n"+file+":"))
	default:
		return fmt.Errorf("config: %s: %s; it may come to be: push again with --id %s --after %d", p.Outcome, p.Error, p.ID, p.After)
	}
	if wait > 0 && p.Within == "" {
		text := "nobody has told whether it acts on it"
		if p.Report != nil {
			text = fmt.Sprintf("%d lack it", len(p.Report.Laggards)+p.Report.UnnamedLaggards)
		}
		return exitError{fmt.Errorf("config: accepted as %v, and not in force everywhere within %v: %s", p.Revision, wait, text), lacking}
	}
	return nil
}

func showPushed(w io.Writer, p *pushed, asJSON bool) error {
	if asJSON {
		return print(w, p)
	}
	fmt.Fprintf(w, "%s: %v, id %s, after version %d, %s\n", p.Outcome, p.Revision, p.ID, p.After, p.Took)
	if p.Within != "" {
		fmt.Fprintf(w, "in force at %d sidecars %s later\n", p.Report.Members, p.Within)
	}
	if p.Report != nil {
		return showReport(w, p.Report)
	}
	return nil
}

func configStatus() *cobra.Command {
	var f configFlags
	c := &cobra.Command{
		Use:   "status",
		Short: "Show which snapshot is in force where, and who lacks the latest and why",
		Long: `Show what an origin knows: its part, the latest snapshot, how many sidecars act on which one, and who lacks the latest and why.

The status is 0 where all that can be reached act on the latest, 2 where some lack it or the origin cannot take changes, and 1 where it
cannot be asked.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			s, err := client.Status(timed(cmd.Context()))
			if err != nil {
				return fmt.Errorf("config: %w", err)
			}
			out := cmd.OutOrStdout()
			if f.asJSON {
				err = print(out, s)
			} else {
				fmt.Fprintf(out, "%s: %s, epoch %d, the latest is %v\n", s.Self, s.Role, s.Epoch, s.Revision)
				err = showReport(out, &s.Report)
			}
			switch {
			case err != nil:
				return err
			case s.Role != origin.RoleLeader && s.Role != origin.RoleFollower:
				return exitError{fmt.Errorf("config: %s takes no changes: %s", s.Self, s.Role), lacking}
			case s.Ahead.Compare(s.Revision) > 0:
				return exitError{fmt.Errorf("config: sidecars act on %v, which is later than what the origins have: found a higher epoch", s.Ahead), lacking}
			case s.Report.Members > 0 && !inForce(&s.Report, s.Revision):
				return exitError{errors.New("config: the latest is not in force everywhere"), lacking}
			}
			return nil
		},
	}
	f.add(c)
	return c
}

func showReport(w io.Writer, r *controlplane.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SIDECARS\tACT ON")
	for _, a := range r.Active {
		fmt.Fprintf(t, "%d\t%v\n", a.Count, a.Revision)
	}
	if r.OtherRevisions > 0 {
		fmt.Fprintf(t, "%d\tothers\n", r.OtherRevisions)
	}
	if len(r.Laggards) > 0 {
		fmt.Fprintln(t, "LACKS\tACTS ON\tWHY\tBELOW\tERROR")
	}
	for _, l := range r.Laggards {
		fmt.Fprintf(t, "%s\t%v\t%s\t%d\t%s\n", l.Name, l.Active, l.Reason, l.Descendants, cmp.Or(l.Error, "-"))
	}
	if r.UnnamedLaggards > 0 {
		fmt.Fprintf(t, "and %d more\n", r.UnnamedLaggards)
	}
	return t.Flush()
}

func configShow() *cobra.Command {
	var f configFlags
	var local bool
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the latest snapshot, confirmed by a majority of the origins",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := f.client()
			if err != nil {
				return err
			}
			s, err := client.Show(timed(cmd.Context()), local)
			if err != nil {
				return fmt.Errorf("config: %w", err)
			}
			if f.asJSON {
				return print(cmd.OutOrStdout(), struct {
					Stamp controlplane.Revision `json:"stamp"`
					Text  string                `json:"text"`
				}{s.Frame.Revision, string(s.Frame.Text)})
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "# %v\n%s", s.Frame.Revision, s.Frame.Text)
			return err
		},
	}
	f.add(c)
	c.Flags().BoolVar(&local, "local", false, "as this origin has it, without asking the others")
	return c
}

func configCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check snapshots, and name each line that cannot be used",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []error
			for _, path := range args {
				if _, err := readSnapshot(path); err != nil {
					all = append(all, err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", path)
			}
			return errors.Join(all...)
		},
	}
}

// readSnapshot reads a file and checks it; its error names the file at each fault.
func readSnapshot(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > controlplane.MaxSnapshotSize {
		err = fmt.Errorf("%s:1:1: %d bytes are more than %d", path, info.Size(), controlplane.MaxSnapshotSize)
	}
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if _, err := controlplane.ParseSnapshot(text); err != nil {
		return nil, errors.New(path + ":" + strings.ReplaceAll(err.Error(), "\n", "\n"+path+":"))
	}
	return text, nil
}
