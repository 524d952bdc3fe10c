package fleetsim

import (
	"testing"

	"hazelwing/internal/standin/fixture"
)

// The keys of an experiment's file are in tags: the files of the lab, which other tests play, hold their forms.
func TestExperimentFileNamesAreExplicit(t *testing.T) {
	fixture.ExplicitNames(t, "toml", Experiment{})
}
