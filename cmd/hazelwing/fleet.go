package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/operator"
)

const (
	fleetRequestTimeout = 3 * time.Second
	maxFleetStatusBytes = 64 << 20

	// statusUnsettled is the exit status if a member is suspect or dead, or the sidecar has not joined yet.
	statusUnsettled = 2
)

type fleetOptions struct {
	operatorFile string
	adminAddr    string
	asJSON       bool
	watch        bool
	interval     time.Duration // time between two outputs if watch is set
}

func newFleetCommand() *cobra.Command {
	var options fleetOptions
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Show the membership view of a running sidecar",
		Long: `Show the membership view of a running sidecar and its own health. For each member, the view has the
name, address, incarnation, state, age of the state and the member that reported it. The view is read from the admin
endpoint of the sidecar: --admin, or admin.listen of the operator's file (--operator, or HAZELWING_OPERATOR).

The exit status is 0 if all members are alive or have left, 2 if a member is suspect or dead or the sidecar has not
joined yet, and 1 if the sidecar does not answer.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addr, err := options.address()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			return options.run(ctx, cmd.OutOrStdout(), addr)
		},
	}
	flags := c.Flags()
	flags.StringVar(&options.operatorFile, "operator", os.Getenv(operatorVariable),
		"path of the operator's file (or HAZELWING_OPERATOR)")
	flags.StringVar(&options.adminAddr, "admin", "", "address of the admin endpoint, such as 127.0.0.1:9180")
	flags.BoolVar(&options.asJSON, "json", false, "print JSON")
	flags.BoolVar(&options.watch, "watch", false, "print the view repeatedly until interrupted")
	flags.DurationVar(&options.interval, "every", time.Second, "interval between two outputs with --watch")
	return c
}

// address returns the address of the admin endpoint.
func (o *fleetOptions) address() (string, error) {
	addr := o.adminAddr
	if addr == "" {
		if o.operatorFile == "" {
			return "", errors.New("fleet: the address of the admin endpoint is missing: set --admin or --operator")
		}
		config, err := operator.Load(o.operatorFile)
		if err != nil {
			return "", err
		}
		if config.Admin == nil {
			return "", fmt.Errorf("%s: the table [admin] with the address of the admin endpoint is missing",
				o.operatorFile)
		}
		addr = config.Admin.Listen
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return "", fmt.Errorf("fleet: admin endpoint: %q is not an address and port such as \"127.0.0.1:9180\"", addr)
	}
	return addr, nil
}

// run prints the membership view once or, if watch is set, repeatedly until ctx is done.
func (o *fleetOptions) run(ctx context.Context, out io.Writer, addr string) error {
	for {
		status, err := fetchFleetStatus(ctx, addr)
		if err != nil {
			return err
		}
		if err := printFleetStatus(out, status, o.asJSON); err != nil {
			return err
		}
		if !o.watch {
			return checkFleetStatus(status)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(o.interval):
		}
	}
}

// fetchFleetStatus returns the membership view of the sidecar whose admin endpoint has the given address.
func fetchFleetStatus(ctx context.Context, addr string) (gossip.Status, error) {
	var status gossip.Status
	ctx, cancel := context.WithTimeout(ctx, fleetRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/fleet", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, fmt.Errorf("fleet: %w", err)
	}
	defer closeReader(response.Body)
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("fleet: %s answered with status %q: its operator's file may have no table [fleet]",
			addr, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxFleetStatusBytes)).Decode(&status); err != nil {
		return status, fmt.Errorf("fleet: %s: cannot read the membership view: %w", addr, err)
	}
	if status.Name == "" {
		return status, fmt.Errorf("fleet: %s: the sidecar is too busy to report its view", addr)
	}
	return status, nil
}

func printFleetStatus(out io.Writer, status gossip.Status, asJSON bool) error {
	if asJSON {
		return printJSON(out, status)
	}
	table := newTable(out)
	printLine(table, "NAME\tADDRESS\tLIFE\tSTATE\tFOR\tBY")
	for _, member := range status.Members {
		name := member.Name
		if member.Self {
			name += " (itself)"
		}
		printf(table, "%s\t%s\t%d.%d\t%s\t%s\t%s\n", name, member.Addr, member.Generation, member.Refutations,
			member.State, member.StateAge, cmp.Or(member.ReportedBy, "-"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	core := status.Core
	joining := ""
	if core.Joining {
		joining = ", nobody was heard yet"
	}
	_, err := fmt.Fprintf(out, "%s of %s: %d live of %d known, reckons with %d, own slowness %d, %d words%s\n",
		status.Name, status.ClusterName, core.LiveMembers, core.KnownMembers, core.EstimatedSize, core.HealthScore,
		core.Notices, joining)
	return err
}

// checkFleetStatus returns an exitError if the sidecar has not joined the cluster, or if a member is suspect or dead.
func checkFleetStatus(status gossip.Status) error {
	if status.Core.Joining {
		return exitError{errors.New("fleet: the sidecar has not joined the cluster yet"), statusUnsettled}
	}
	unhealthy := 0
	for _, member := range status.Members {
		if member.State == cluster.Suspect || member.State == cluster.Dead {
			unhealthy++
		}
	}
	if unhealthy > 0 {
		return exitError{fmt.Errorf("fleet: %d members are suspect or dead", unhealthy), statusUnsettled}
	}
	return nil
}
