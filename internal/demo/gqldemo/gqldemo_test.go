package gqldemo

import (
	"strings"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// Nodes crash and inject faults into responses while clients send queries and mutations. A daemon that repeated a
// mutation which may have been executed, or whose response stated a wrong result, would contradict the nodes' counters.
// The demonstration must report that all rules were kept.
func TestRun(t *testing.T) {
	var out strings.Builder
	options := Options{Seed: 1, Rate: 60, Length: 2500 * time.Millisecond, Grace: testutil.WaitTimeout}
	err := Run(t.Context(), options, &out)
	if err != nil || !strings.Contains(out.String(), "all rules kept") {
		t.Errorf("Run returned the error %v; want none and \"all rules kept\" in the output:\n%s", err, out.String())
	}
}
