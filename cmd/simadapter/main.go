// Command simadapter connects package balancer to the simulator: it reads events in the simulator's wire protocol from
// standard input and writes the balancer's actions to standard output. If an input line cannot be handled, it prints
// one line that names the input line on standard error and exits with status 1.
package main

import (
	"fmt"
	"io"
	"os"

	"hazelwing/internal/wire"
)

func main() { os.Exit(run(os.Stdin, os.Stdout, os.Stderr)) }

// run handles the events on stdin until stdin ends, writes the actions to stdout, and returns the exit status.
func run(stdin io.Reader, stdout, stderr io.Writer) int {
	if err := wire.Serve(stdin, stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, "simadapter:", err) // the exit status reports the failure even if this write fails
		return 1
	}
	return 0
}
