package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printf writes to a command's output. A failed write does not fail the command: its exit status tells the command's
// result, also where the reader of the output has left, as head does.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// printLine is printf for a line without a format.
func printLine(out io.Writer, args ...any) { _, _ = fmt.Fprintln(out, args...) }

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newTable returns a writer that aligns columns, which are separated by tabs. They are written when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }
