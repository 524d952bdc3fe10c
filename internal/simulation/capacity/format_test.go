package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// Each key of an experiment's file is given by a tag, so that renaming a field does not change the key.
func TestExperimentFileNamesAreExplicit(t *testing.T) {
	testutil.CheckExplicitNames(t, "toml", Experiment{})
}

// The format of a row in a file of results stays the same: a written row equals the golden file, and a row in this
// format can be read.
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
		t.Errorf("results-one.json: read %+v, error %v; want one result, %+v", read, err, result)
	}
}

// A row without one of its keys is rejected. The error names the file, the row and the key.
func TestIncompleteResult(t *testing.T) {
	const complete = `{"experiment":"e","size":4,"role":"all","phase":"quiet","figure":"heap","n":1}`
	for key, want := range map[string]string{
		`"experiment":"e",`: "experiment is missing or empty",
		`"role":"all",`:     "role is missing or empty",
		`"phase":"quiet",`:  "phase is missing or empty",
		`"figure":"heap",`:  "figure is missing or empty",
		`"size":4,`:         "size is 0, below 1",
		`,"n":1`:            "n is 0, below 1",
	} {
		path := filepath.Join(t.TempDir(), "results.json")
		text := "[" + complete + "," + strings.Replace(complete, key, "", 1) + "]"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadResults(path); err == nil || err.Error() != path+": row 2: "+want {
			t.Errorf("row without %s: got error %v, want %s: row 2: %s", key, err, path, want)
		}
	}
}
