package testutil

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidSeed is the default seed of property tests, as a value of the flag -rapid.seed.
const rapidSeed = "44"

// exitUsage is the exit status of a test program if the flag -rapid.seed cannot be set.
const exitUsage = 2

// RunWithRapidSeed runs the tests of a package and exits. Property tests (pgregory.net/rapid) get a fixed seed, so that
// each run has the same result. The flag -rapid.seed sets another seed. RunWithRapidSeed is meant to be called by
// TestMain.
func RunWithRapidSeed(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(rapidSeed); err != nil {
			fmt.Fprintf(os.Stderr, "flag -rapid.seed cannot be set to %s: %v\n", rapidSeed, err)
			os.Exit(exitUsage)
		}
	}
	os.Exit(m.Run())
}
