package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/transport"
)

// shownSnapshot is the JSON output of "config show".
type shownSnapshot struct {
	Revision controlplane.Revision `json:"stamp"`
	Text     string                `json:"text"`
}

func newConfigShowCommand() *cobra.Command {
	var options originOptions
	var local bool
	c := &cobra.Command{
		Use:   "show",
		Short: "Print the latest configuration snapshot, confirmed by a majority of the origins",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := options.newClient()
			if err != nil {
				return err
			}
			response, err := callOrigin(cmd.Context(), func(ctx context.Context) (transport.ShowResponse, error) {
				return client.Show(ctx, local)
			})
			if err != nil {
				return fmt.Errorf("config: %w", err)
			}
			out, frame := cmd.OutOrStdout(), response.Frame
			if options.asJSON {
				return printJSON(out, shownSnapshot{Revision: frame.Revision, Text: string(frame.Text)})
			}
			_, err = fmt.Fprintf(out, "# %v\n%s", frame.Revision, frame.Text)
			return err
		},
	}
	options.addFlags(c)
	c.Flags().BoolVar(&local, "local", false, "print the latest snapshot of this origin, without asking the others")
	return c
}
