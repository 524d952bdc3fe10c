package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/store"
)

func storeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "store",
		Short: "Look at, check or compact the directory of a ledger of effects",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	asJSON := c.PersistentFlags().Bool("json", false, "print JSON")
	with := func(use, short string, do func(out io.Writer, dir string, fs store.FS, asJSON bool) error) {
		c.AddCommand(&cobra.Command{Use: use + " DIR", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if _, err := os.Stat(args[0]); err != nil { // none is made
					return err
				}
				fs, err := store.Dir(args[0])
				if err != nil {
					return err
				}
				return do(cmd.OutOrStdout(), args[0], fs, *asJSON)
			}})
	}
	with("inspect", "Say what is remembered; the daemon may run meanwhile", inspect)
	with("verify", "Read every record, and end with status 1 where the disk has changed one", verify)
	with("compact", "Give back the place of what counts no more; the daemon must not run", compact)
	return c
}

func print(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func inspect(out io.Writer, _ string, fs store.FS, asJSON bool) error {
	list, err := middleware.Inspect(fs)
	if err != nil {
		return err
	}
	if asJSON {
		return print(out, list)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tCLASS\tEFFECT\tSTATE\tINTENDED\tEXPIRES\tWHERE")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Fingerprint, r.Class, r.Effect, r.State, r.IntendedAt.Format(time.RFC3339),
			r.ExpiresAt.Format(time.RFC3339), r.Locations)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d remembered\n", len(list))
	return err
}

var errDamaged = errors.New("the disk has changed what was written: see docs/operators/store.md")

func verify(out io.Writer, dir string, fs store.FS, asJSON bool) error {
	list, err := store.Check(fs)
	if err != nil {
		return err
	}
	damaged := false
	for _, g := range list {
		damaged = damaged || g.Damaged > 0 || g.Fault != "" || g.Hint == store.HintDamaged
	}
	if asJSON {
		err = print(out, list)
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "SEGMENT\tBYTES\tPUTS\tDELETES\tDAMAGED\tTAIL\tHINT\tFAULT")
		for _, g := range list {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", g.Name, g.Bytes, g.Puts, g.Deletes, g.Damaged, g.Tail, g.Hint, g.Fault)
		}
		err = w.Flush()
	}
	if err == nil && damaged {
		return fmt.Errorf("%s: %w", dir, errDamaged)
	}
	return err
}

func compact(out io.Writer, dir string, fs store.FS, asJSON bool) (err error) {
	s, err := store.Open(fs, store.Options{Manual: true, Now: middleware.CompactionClock(fs)})
	if err != nil {
		return fmt.Errorf("%s: %w", dir, err)
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	before := s.Stats()
	if err := s.Compact(); err != nil {
		return err
	}
	after := s.Stats()
	if asJSON {
		return print(out, map[string]store.Stats{"before": before, "after": after})
	}
	_, err = fmt.Fprintf(out, "%d entries: %d segments of %d bytes, now %d of %d\n", after.Entries, before.Segments, before.Bytes, after.Segments, after.Bytes)
	return err
}
