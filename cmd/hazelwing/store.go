package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/store"
)

var errDamaged = errors.New("the store is damaged: see docs/operators/store.md")

// storeAction carries out a subcommand on the store in a directory.
type storeAction func(out io.Writer, dir string, fs store.FS, asJSON bool) error

func newStoreCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "store",
		Short: "Inspect, verify or compact the directory of an idempotency ledger",
		Args:  cobra.NoArgs,
		RunE:  printHelp,
	}
	asJSON := c.PersistentFlags().Bool("json", false, "print JSON")
	c.AddCommand(
		newStoreSubcommand("inspect DIR", "List the idempotency records; the daemon may be running",
			inspectStore, asJSON),
		newStoreSubcommand("verify DIR", "Read every record; the exit status is 1 if the store is damaged",
			verifyStore, asJSON),
		newStoreSubcommand("compact DIR", "Free the space of obsolete records; the daemon must not be running",
			compactStore, asJSON),
	)
	return c
}

func newStoreSubcommand(use, short string, action storeAction, asJSON *bool) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := os.Stat(args[0]); err != nil { // store.Dir would create a missing directory
				return err
			}
			fs, err := store.Dir(args[0])
			if err != nil {
				return err
			}
			return action(cmd.OutOrStdout(), args[0], fs, *asJSON)
		},
	}
}

func inspectStore(out io.Writer, _ string, fs store.FS, asJSON bool) error {
	records, err := middleware.Inspect(fs)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, records)
	}
	table := newTable(out)
	printLine(table, "FINGERPRINT\tCLASS\tEFFECT\tSTATE\tINTENDED\tEXPIRES\tWHERE")
	for _, r := range records {
		printf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Fingerprint, r.Class, r.Effect, r.State,
			r.IntendedAt.Format(time.RFC3339), r.ExpiresAt.Format(time.RFC3339), r.Locations)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d remembered\n", len(records))
	return err
}

func verifyStore(out io.Writer, dir string, fs store.FS, asJSON bool) error {
	segments, err := store.Check(fs)
	if err != nil {
		return err
	}
	if asJSON {
		err = printJSON(out, segments)
	} else {
		err = printSegments(out, segments)
	}
	if err != nil {
		return err
	}
	for _, segment := range segments {
		if segment.Damaged > 0 || segment.Fault != "" || segment.Hint == store.HintDamaged {
			return fmt.Errorf("%s: %w", dir, errDamaged)
		}
	}
	return nil
}

func printSegments(out io.Writer, segments []store.SegmentReport) error {
	table := newTable(out)
	printLine(table, "SEGMENT\tBYTES\tPUTS\tDELETES\tDAMAGED\tTAIL\tHINT\tFAULT")
	for _, s := range segments {
		printf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
			s.Name, s.Bytes, s.Puts, s.Deletes, s.Damaged, s.Tail, s.Hint, s.Fault)
	}
	return table.Flush()
}

// compactionResult is the JSON output of "store compact".
type compactionResult struct {
	After  store.Stats `json:"after"`
	Before store.Stats `json:"before"`
}

func compactStore(out io.Writer, dir string, fs store.FS, asJSON bool) (err error) {
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
		return printJSON(out, compactionResult{After: after, Before: before})
	}
	_, err = fmt.Fprintf(out, "%d entries: %d segments of %d bytes, now %d of %d\n",
		after.Entries, before.Segments, before.Bytes, after.Segments, after.Bytes)
	return err
}
