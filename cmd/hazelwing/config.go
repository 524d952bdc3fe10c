package main

import (
	"cmp"
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/transport"
)

const (
	// originRequestTimeout limits one request to an origin. It exceeds the 4 s within which an origin answers a push.
	originRequestTimeout = 8 * time.Second

	// statusLaggards is the exit status if reachable sidecars have not activated the snapshot, if the origin cannot
	// accept changes, or if sidecars have a later revision than the origins.
	statusLaggards = 2
)

func newConfigCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Change the configuration of a running fleet, and show which sidecars have activated it",
		Args:  cobra.NoArgs,
		RunE:  printHelp,
	}
	c.AddCommand(
		newConfigPushCommand(),
		newConfigStatusCommand(),
		newConfigShowCommand(),
		newConfigCheckCommand(),
	)
	return c
}

// originOptions are the options of the commands that call an origin.
type originOptions struct {
	addr    string
	cluster string
	asJSON  bool
}

func (o *originOptions) addFlags(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&o.addr, "origin", os.Getenv("HAZELWING_ORIGIN"),
		"address of an origin (or HAZELWING_ORIGIN)")
	flags.StringVar(&o.cluster, "fleet", os.Getenv("HAZELWING_FLEET"), "name of the fleet (or HAZELWING_FLEET)")
	flags.BoolVar(&o.asJSON, "json", false, "print JSON")
}

func (o *originOptions) newClient() (*transport.Client, error) {
	if o.addr == "" {
		return nil, errors.New("config: the address of an origin is missing: set --origin or HAZELWING_ORIGIN")
	}
	if o.cluster == "" {
		return nil, errors.New("config: the name of the fleet is missing: set --fleet or HAZELWING_FLEET")
	}
	return transport.NewClient(o.cluster, o.addr), nil
}

// callOrigin sends one request to an origin, limited by originRequestTimeout.
func callOrigin[T any](ctx context.Context, request func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, originRequestTimeout)
	defer cancel()
	return request(ctx)
}

// isInForce reports whether all reachable members have activated a revision or a later one. Unreachable members are
// named in the report, but not counted. If there are no reachable members, isInForce returns false.
func isInForce(report *controlplane.Report, revision controlplane.Revision) bool {
	return report.Members > 0 && !report.LacksAnywhere(revision)
}

func printReport(out io.Writer, report *controlplane.Report) error {
	table := newTable(out)
	printLine(table, "SIDECARS\tACT ON")
	for _, a := range report.Active {
		printf(table, "%d\t%v\n", a.Count, a.Revision)
	}
	if report.OtherRevisions > 0 {
		printf(table, "%d\tothers\n", report.OtherRevisions)
	}
	if len(report.Laggards) > 0 {
		printLine(table, "LACKS\tACTS ON\tWHY\tBELOW\tERROR")
	}
	for _, l := range report.Laggards {
		printf(table, "%s\t%v\t%s\t%d\t%s\n", l.Name, l.Active, l.Reason, l.Descendants, cmp.Or(l.Error, "-"))
	}
	if report.UnnamedLaggards > 0 {
		printf(table, "and %d more\n", report.UnnamedLaggards)
	}
	return table.Flush()
}
