package fleetsim

import (
	"testing"

	"hazelwing/internal/testutil"
)

// Each key of an experiment's file is given by a tag, so that renaming a field does not change the key.
func TestExperimentFileNamesAreExplicit(t *testing.T) {
	testutil.CheckExplicitNames(t, "toml", Experiment{})
}
