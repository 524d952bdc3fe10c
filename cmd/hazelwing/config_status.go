package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"hazelwing/internal/controlplane/origin"
)

func newConfigStatusCommand() *cobra.Command {
	var options originOptions
	c := &cobra.Command{
		Use:   "status",
		Short: "Show which snapshots the sidecars have activated, and which sidecars lack the latest one and why",
		Long: `Show the status of an origin: its role, the latest snapshot, how many sidecars have activated which
snapshot, and which sidecars lack the latest one and why.

The exit status is 0 if all reachable sidecars have activated the latest snapshot, 2 if some lack it or the origin
cannot accept changes, and 1 if the origin does not answer.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := options.newClient()
			if err != nil {
				return err
			}
			status, err := callOrigin(cmd.Context(), client.Status)
			if err != nil {
				return fmt.Errorf("config: %w", err)
			}
			if err := printOriginStatus(cmd.OutOrStdout(), &status, options.asJSON); err != nil {
				return err
			}
			return checkOriginStatus(&status)
		},
	}
	options.addFlags(c)
	return c
}

func printOriginStatus(out io.Writer, status *origin.Status, asJSON bool) error {
	if asJSON {
		return printJSON(out, status)
	}
	printf(out, "%s: %s, epoch %d, the latest is %v\n", status.Self, status.Role, status.Epoch, status.Revision)
	return printReport(out, &status.Report)
}

// checkOriginStatus returns an exitError if the origin cannot accept changes, if sidecars have a later revision than
// the origins, or if the latest snapshot is not in force.
func checkOriginStatus(status *origin.Status) error {
	var err error
	switch {
	case status.Role != origin.RoleLeader && status.Role != origin.RoleFollower:
		err = fmt.Errorf("config: origin %s cannot accept changes: its role is %q", status.Self, status.Role)
	case status.Ahead.Compare(status.Revision) > 0:
		err = fmt.Errorf("config: sidecars act on %v, which is later than the origins' %v: "+
			"create the origins' stores again with a higher epoch (hazelwing origin found)",
			status.Ahead, status.Revision)
	case status.Report.Members > 0 && !isInForce(&status.Report, status.Revision):
		err = errors.New("config: the latest snapshot is not in force everywhere")
	default:
		return nil
	}
	return exitError{err: err, status: statusLaggards}
}
