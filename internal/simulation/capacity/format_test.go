package capacity

import (
	"bytes"
	"testing"

	"hazelwing/internal/testutil"
)

// The keys of an experiment's file are explicit tags.
func TestExperimentFileNamesAreExplicit(t *testing.T) {
	testutil.CheckExplicitNames(t, "toml", Experiment{})
}

// A row of a file of results keeps its form, as written and as read.
func TestCapacityResultFormatIsStable(t *testing.T) {
	result := Result{
		Experiment: "e",
		Size:       590,
		Role:       "sidecar",
		Phase:      "quiet",
		Figure:     "bytes sent",
		Unit:       "B/s",
		Value:      1.5,
		N:          3,
	}
	testutil.CheckFieldsSet(t, result)
	testutil.CheckExplicitNames(t, "json", result)
	var out bytes.Buffer
	if err := WriteResults(&out, []Result{result, {}}); err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "results.json", out.Bytes())
	read, err := ReadResults("testdata/results-one.json")
	if err != nil || len(read) != 1 || read[0] != result {
		t.Errorf("%v: %+v", err, read)
	}
}
