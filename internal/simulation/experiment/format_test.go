package experiment

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// Each key of an experiment's file is decoded into its field, with the value that the golden file has.
func TestExperimentFileFormatIsStable(t *testing.T) {
	text, err := os.ReadFile("testdata/every-key.toml")
	if err != nil {
		t.Fatal(err)
	}
	var file File
	for _, fault := range strictdecode.Decode(text, &file) {
		t.Errorf("every-key.toml:%v, want no error", fault)
	}
	testutil.CheckFieldsSet(t, file)
	testutil.CheckExplicitNames(t, "toml", file)
	decoded, err := toml.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "every-key-decoded.toml", decoded)
}

// The JSON keys of the output of `lab compare --json` are stable.
func TestComparisonFormatIsStable(t *testing.T) {
	difference := Difference{
		Point:   1,
		Policy:  "hazelwing",
		Measure: "p99",
		Left:    1.5,
		Right:   2.5,
		Mean:    1,
		Low:     0.5,
		High:    1.25,
		Differs: true,
	}
	testutil.CheckFieldsSet(t, difference)
	testutil.CheckExplicitNames(t, "json", difference)
	text := testutil.IndentedJSON(t, []Difference{difference, {}})
	testutil.Golden(t, "comparison.json", text)
}

// The JSON keys of headers, runs, claims and verdicts are set by struct tags, so that renaming a field does not change
// them. The tests in stored_test.go check the stored form.
func TestRunNamesAreExplicit(t *testing.T) {
	for _, v := range []any{Header{}, Run{}, Claim{}, Verdict{}} {
		testutil.CheckExplicitNames(t, "json", v)
	}
}
