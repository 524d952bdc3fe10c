package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/controlplane/transport"
)

// pushPollInterval is the time between two requests for the status after a push.
const pushPollInterval = 50 * time.Millisecond

type pushOptions struct {
	originOptions
	after int64 // the version that the change was made after; below 0: the latest
	wait  time.Duration
	id    string // identifies the push, so that repeating it is idempotent; empty: one is drawn
}

// pushResult is what push prints as JSON.
type pushResult struct {
	origin.Result
	After uint64 `json:"after"`
	// Took is the time until a majority of the origins had accepted it.
	Took string `json:"took,omitempty"`
	// Within is the time from then until all members that can be reached had activated it; empty if they did not.
	Within string               `json:"within,omitempty"`
	Report *controlplane.Report `json:"report,omitempty"`
}

func newConfigPushCommand() *cobra.Command {
	var options pushOptions
	c := &cobra.Command{
		Use:   "push FILE",
		Short: "Push a snapshot, and wait until it is in force",
		Long: `Push a snapshot to an origin. It is checked here, there, and by each sidecar; ` +
			`a fault names file, line, column and key.
--after is the version that the change was made after, by default the one that the origin has now: where ` +
			`another change came
between, nothing is changed, and the push says so.

The status is 0 where every sidecar that can be reached acts on it within --wait, 2 where it is accepted ` +
			`and some lack it, ` +
			`and 1 where it
was not accepted, or nobody knows yet whether it was: then the same push with the --id that is printed is safe.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.run(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	options.addFlags(c)
	flags := c.Flags()
	flags.Int64Var(&options.after, "after", -1,
		"the version that the change was made after; below 0: the latest")
	flags.DurationVar(&options.wait, "wait", 4*time.Second,
		"how long to wait until it is in force everywhere; 0: not")
	flags.StringVar(&options.id, "id", "", "of this push: again under the same one is safe")
	return c
}

func (o *pushOptions) run(ctx context.Context, out io.Writer, file string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	text, err := readSnapshot(file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	result, err := o.push(ctx, client, text)
	if err != nil {
		return err
	}
	if result.Outcome == origin.OutcomeAccepted && o.wait > 0 {
		waitInForce(ctx, client, result, o.wait)
	}
	if err := printPushResult(out, result, o.asJSON); err != nil {
		return err
	}
	return checkPushResult(result, file, o.wait)
}

// push sends a snapshot to the origin. The error says how to repeat a push whose outcome is unknown.
func (o *pushOptions) push(ctx context.Context, client *transport.Client, text []byte) (*pushResult, error) {
	after, err := o.baseVersion(ctx, client)
	if err != nil {
		return nil, err
	}
	id := cmp.Or(o.id, rand.Text())
	startedAt := time.Now()
	result, err := callOrigin(ctx, func(ctx context.Context) (origin.Result, error) {
		return client.Push(ctx, id, after, text)
	})
	if err != nil {
		return nil, fmt.Errorf("config: %w; whether it was accepted is not known: push again with --id %s --after %d",
			err, id, after)
	}
	took := time.Since(startedAt).Round(time.Millisecond)
	return &pushResult{Result: result, After: after, Took: took.String()}, nil
}

// baseVersion returns the version that the change was made after.
func (o *pushOptions) baseVersion(ctx context.Context, client *transport.Client) (uint64, error) {
	if o.after >= 0 {
		return uint64(o.after), nil
	}
	latest, err := callOrigin(ctx, func(ctx context.Context) (transport.ShowResponse, error) {
		return client.Show(ctx, false)
	})
	if err != nil {
		return 0, fmt.Errorf("config: which version is the latest: %w", err)
	}
	return latest.Result.Revision.Version, nil
}

// waitInForce polls the origin until all members that can be reached have activated what was pushed, or a later
// revision.
func waitInForce(ctx context.Context, client *transport.Client, result *pushResult, wait time.Duration) {
	startedAt := time.Now()
	for {
		if status, err := callOrigin(ctx, client.Status); err == nil {
			result.Report = &status.Report
			if isInForce(&status.Report, result.Revision) {
				result.Within = time.Since(startedAt).Round(time.Millisecond).String()
				return
			}
		}
		if time.Since(startedAt) >= wait || ctx.Err() != nil {
			return
		}
		time.Sleep(pushPollInterval)
	}
}

// checkPushResult returns the error, with its exit status, for a push that is not in force.
func checkPushResult(result *pushResult, file string, wait time.Duration) error {
	switch result.Outcome {
	case origin.OutcomeAccepted:
	case origin.OutcomeConflict:
		return fmt.Errorf("config: another change came first: the latest is %v, and this one was made after version %d",
			result.Revision, result.After)
	case origin.OutcomeRejected:
		return fmt.Errorf("config: not accepted: %s", strings.ReplaceAll(result.Error, "\n", "\n"+file+":"))
	default:
		return fmt.Errorf("config: %s: %s; it may come to be: push again with --id %s --after %d",
			result.Outcome, result.Error, result.ID, result.After)
	}
	if wait <= 0 || result.Within != "" {
		return nil
	}
	reason := "nobody has told whether it acts on it"
	if report := result.Report; report != nil {
		reason = fmt.Sprintf("%d lack it", len(report.Laggards)+report.UnnamedLaggards)
	}
	return exitError{
		err: fmt.Errorf("config: accepted as %v, and not in force everywhere within %v: %s",
			result.Revision, wait, reason),
		status: statusLaggards,
	}
}

func printPushResult(out io.Writer, result *pushResult, asJSON bool) error {
	if asJSON {
		return printJSON(out, result)
	}
	printf(out, "%s: %v, id %s, after version %d, %s\n",
		result.Outcome, result.Revision, result.ID, result.After, result.Took)
	if result.Within != "" {
		printf(out, "in force at %d sidecars %s later\n", result.Report.Members, result.Within)
	}
	if result.Report != nil {
		return printReport(out, result.Report)
	}
	return nil
}
