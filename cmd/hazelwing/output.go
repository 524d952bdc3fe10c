package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printf writes formatted text to a command's output. It ignores write errors: the exit status reports the result of
// the command even if the reader of the output, such as head, has closed the pipe.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// printLine writes its arguments and a newline to a command's output. Like printf it ignores write errors.
func printLine(out io.Writer, args ...any) { _, _ = fmt.Fprintln(out, args...) }

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newTable returns a writer that aligns columns separated by tabs. The writer prints the columns when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }
