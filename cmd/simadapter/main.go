// Command simadapter runs the decisions of package balancer on the simulator's wire, from standard input to standard
// output. If a line of the input cannot be handled, it exits with status 1 and one line on standard error that names
// the input line.
package main

import (
	"fmt"
	"io"
	"os"

	"hazelwing/internal/wire"
)

func main() { os.Exit(run(os.Stdin, os.Stdout, os.Stderr)) }

// run answers stdin on stdout until stdin ends and returns the exit status.
func run(stdin io.Reader, stdout, stderr io.Writer) int {
	if err := wire.Serve(stdin, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "simadapter:", err) // the exit status reports the failure in any case
		return 1
	}
	return 0
}
