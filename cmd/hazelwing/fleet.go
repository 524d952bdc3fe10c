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
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/cluster"
	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/operator"
)

const (
	fleetAskTime  = 3 * time.Second
	fleetReadMost = 64 << 20
	unsettled     = 2 // status: somebody is suspect or dead, or the sidecar has not joined yet
)

func fleetCommand() *cobra.Command {
	var file, at string
	var asJSON, watch bool
	var every time.Duration
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Show the view that a running sidecar has of the others",
		Long: `Show the view that a running sidecar has of the others: name, life, state, since when, told by whom, and its own health.
It is asked at its admin endpoint: --admin, or admin.listen of the operator's file (--operator, or HAZELWING_OPERATOR).

The status is 0 where all are alive or have left, 2 where somebody is suspect or dead or the sidecar has not joined yet, and 1
where it cannot be asked.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if at == "" {
				if file == "" {
					return errors.New("fleet: --admin or --operator is wanted")
				}
				op, err := operator.Load(file)
				if err != nil {
					return err
				}
				if op.Admin == nil {
					return fmt.Errorf("%s: there is no [admin] to ask", file)
				}
				at = op.Admin.Listen
			}
			if _, err := netip.ParseAddrPort(at); err != nil {
				return fmt.Errorf("fleet: --admin: %q is no address such as \"127.0.0.1:9180\"", at)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			for {
				s, err := askFleet(ctx, at)
				if err != nil {
					return err
				}
				if err := showFleet(cmd.OutOrStdout(), s, asJSON); err != nil {
					return err
				}
				if !watch {
					return verdict(s)
				}
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(every):
				}
			}
		},
	}
	c.Flags().StringVar(&file, "operator", os.Getenv(operatorVariable), "the operator's file")
	c.Flags().StringVar(&at, "admin", "", "the admin endpoint's address")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.Flags().BoolVar(&watch, "watch", false, "again and again")
	c.Flags().DurationVar(&every, "every", time.Second, "with --watch: how often")
	return c
}

// askFleet asks a running sidecar.
func askFleet(ctx context.Context, at string) (s gossip.Status, err error) {
	ctx, end := context.WithTimeout(ctx, fleetAskTime)
	defer end()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/fleet", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, fmt.Errorf("fleet: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("fleet: %s answers %s: its operator's file has no [fleet], perhaps", at, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, fleetReadMost)).Decode(&s); err != nil {
		return s, fmt.Errorf("fleet: %s: %w", at, err)
	}
	if s.Name == "" {
		return s, fmt.Errorf("fleet: %s: the sidecar is too busy to say", at)
	}
	return s, nil
}

func showFleet(w io.Writer, s gossip.Status, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tADDRESS\tLIFE\tSTATE\tFOR\tBY")
	for _, m := range s.Members {
		name := m.Name
		if m.Self {
			name += " (itself)"
		}
		fmt.Fprintf(t, "%s\t%s\t%d.%d\t%s\t%s\t%s\n", name, m.Addr, m.Generation, m.Refutations, m.State, m.StateAge, cmp.Or(m.ReportedBy, "-"))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	c := s.Core
	joining := ""
	if c.Joining {
		joining = ", nobody was heard yet"
	}
	_, err := fmt.Fprintf(w, "%s of %s: %d live of %d known, reckons with %d, own slowness %d, %d words%s\n", s.Name, s.ClusterName, c.LiveMembers, c.KnownMembers, c.EstimatedSize, c.HealthScore, c.Notices, joining)
	return err
}

// verdict is an error with a status where the view is not settled.
func verdict(s gossip.Status) error {
	if s.Core.Joining {
		return exitError{errors.New("fleet: it has not joined yet"), unsettled}
	}
	n := 0
	for _, m := range s.Members {
		if m.State == cluster.Suspect || m.State == cluster.Dead {
			n++
		}
	}
	if n > 0 {
		return exitError{fmt.Errorf("fleet: %d suspect or dead", n), unsettled}
	}
	return nil
}
