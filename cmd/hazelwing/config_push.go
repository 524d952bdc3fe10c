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

// pushPollInterval is the time between two status requests after a push.
const pushPollInterval = 50 * time.Millisecond

type pushOptions struct {
	originOptions
	after int64 // version on which the change is based; negative: the latest one
	wait  time.Duration
	id    string // ID of the push, with which the push can be repeated safely; empty: a random ID
}

// pushResult is the JSON output of "config push".
type pushResult struct {
	origin.Result
	After uint64 `json:"after"`
	// Took is the time until the origin answered the push. The origin reports a snapshot as accepted once a majority of
	// the origins has accepted it.
	Took string `json:"took,omitempty"`
	// Within is the time from the acceptance until all reachable members had activated the snapshot; empty if not all
	// of them activated it before the command stopped waiting.
	Within string               `json:"within,omitempty"`
	Report *controlplane.Report `json:"report,omitempty"`
}

func newConfigPushCommand() *cobra.Command {
	var options pushOptions
	c := &cobra.Command{
		Use:   "push FILE",
		Short: "Push a configuration snapshot and wait until it is in force",
		Long: `Push a snapshot to an origin. This command, the origin and each sidecar validate the snapshot; an
error names file, line, column and key. --after is the version on which the change is based, by default the latest one.
If another change has been accepted since that version, the push fails and changes nothing.

The exit status is 0 if every reachable sidecar has activated the snapshot within --wait, 2 if the snapshot was accepted
but some sidecars lack it, and 1 if it was not accepted or the outcome is unknown. If the outcome is unknown, it is safe
to repeat the push with the --id that is printed.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.run(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	options.addFlags(c)
	flags := c.Flags()
	flags.Int64Var(&options.after, "after", -1,
		"version on which the change is based; negative: the latest one")
	flags.DurationVar(&options.wait, "wait", 4*time.Second,
		"how long to wait until all reachable sidecars have activated the snapshot; 0: do not wait")
	flags.StringVar(&options.id, "id", "", "ID of the push; it is safe to repeat a push with its ID")
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
		return client.Push(ctx, id, after, text, o.id == "")
	})
	if err != nil {
		return nil, fmt.Errorf("config: %w; the outcome of the push is unknown: repeat it with --id %s --after %d",
			err, id, after)
	}
	took := time.Since(startedAt).Round(time.Millisecond)
	return &pushResult{Result: result, After: after, Took: took.String()}, nil
}

// baseVersion returns the version on which the change is based.
func (o *pushOptions) baseVersion(ctx context.Context, client *transport.Client) (uint64, error) {
	if o.after >= 0 {
		return uint64(o.after), nil
	}
	latest, err := callOrigin(ctx, func(ctx context.Context) (transport.ShowResponse, error) {
		return client.Show(ctx, false)
	})
	if err != nil {
		return 0, fmt.Errorf("config: cannot get the latest version: %w", err)
	}
	return latest.Result.Revision.Version, nil
}

// waitInForce polls the status until all reachable members have activated the pushed revision or a later one, until
// wait has passed, or until ctx has ended.
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

// checkPushResult returns an error if the pushed snapshot was not accepted, or, if wait is above 0, was not in force
// everywhere in time.
func checkPushResult(result *pushResult, file string, wait time.Duration) error {
	switch result.Outcome {
	case origin.OutcomeAccepted:
	case origin.OutcomeConflict:
		return fmt.Errorf("config: another change came first: the latest revision is %v, "+
			"this change is based on version %d",
			result.Revision, result.After)
	case origin.OutcomeRejected:
		return fmt.Errorf("config: the origin rejected the snapshot: %s",
			strings.ReplaceAll(result.Error, "\n", "\n"+file+":"))
	default:
		return fmt.Errorf("config: the outcome of the push is %s: %s; it may still be accepted: "+
			"repeat it with --id %s --after %d",
			result.Outcome, result.Error, result.ID, result.After)
	}
	if wait <= 0 || result.Within != "" {
		return nil
	}
	reason := "no status was received from the origin"
	if report := result.Report; report != nil {
		reason = fmt.Sprintf("%d sidecars lack it", len(report.Laggards)+report.UnnamedLaggards)
	}
	return exitError{
		err: fmt.Errorf("config: accepted as %v, but not in force everywhere within %v: %s",
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
