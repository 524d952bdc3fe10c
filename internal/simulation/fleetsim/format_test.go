package fleetsim

import (
	"testing"

	"hazelwing/internal/testutil"
)

// The keys of an experiment's file are in tags: the files of the lab, which other tests play, hold their forms.
func TestExperimentFileNamesAreExplicit(t *testing.T) {
	testutil.ExplicitNames(t, "toml", Experiment{})
}
