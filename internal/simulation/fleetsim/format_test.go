package fleetsim

import (
	"testing"

	"hazelwing/internal/testutil"
)

// The keys of an experiment's file are explicit tags.
func TestExperimentFileNamesAreExplicit(t *testing.T) {
	testutil.CheckExplicitNames(t, "toml", Experiment{})
}
