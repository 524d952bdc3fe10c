// Command simadapter runs the decisions of package balancer on the simulator's wire: standard input to standard
// output. It ends with status 1 and one line on standard error that names the input line it could not handle.
package main

import (
	"fmt"
	"io"
	"os"

	"hazelwing/internal/wire"
)

func main() { os.Exit(run(os.Stdin, os.Stdout, os.Stderr)) }

// run returns the exit status.
func run(in io.Reader, out, errs io.Writer) int {
	if err := wire.Serve(in, out); err != nil {
		fmt.Fprintln(errs, "simadapter:", err)
		return 1
	}
	return 0
}
