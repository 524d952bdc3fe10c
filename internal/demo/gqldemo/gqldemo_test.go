package gqldemo

import (
	"strings"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// The demonstration keeps all rules, and says so.
func TestRun(t *testing.T) {
	var out strings.Builder
	err := Run(t.Context(), Options{Seed: 1, Rate: 60, Length: 2500 * time.Millisecond, Grace: testutil.WaitTimeout}, &out)
	if err != nil || !strings.Contains(out.String(), "all rules kept") {
		t.Errorf("%v\n%s", err, out.String())
	}
}
