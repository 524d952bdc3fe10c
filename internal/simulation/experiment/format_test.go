package experiment

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// Each key of an experiment's file is read under its name and with its form.
func TestExperimentFileFormatIsStable(t *testing.T) {
	text, err := os.ReadFile("testdata/every-key.toml")
	if err != nil {
		t.Fatal(err)
	}
	var file File
	for _, fault := range strictdecode.Decode(text, &file) {
		t.Errorf("every-key.toml:%v", fault)
	}
	testutil.CheckFieldsSet(t, file)
	testutil.CheckExplicitNames(t, "toml", file)
	decoded, err := toml.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, "every-key-decoded.toml", decoded)
}

// The keys of what `lab compare --json` prints are stable.
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

// The keys of verdicts, headers and runs are explicit tags; stored_test.go holds the files.
func TestRunNamesAreExplicit(t *testing.T) {
	for _, v := range []any{Header{}, Run{}, Claim{}, Verdict{}} {
		testutil.CheckExplicitNames(t, "json", v)
	}
}
