package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// storedDir holds a file with each key that 593ba64 knew, and what it read them into: see its README.
const storedDir = "testdata/version-593ba64"

// Each key of an experiment's file, by the name that it had in 593ba64, is read into the field that it was read into.
func TestEveryKeyKeepsItsName(t *testing.T) {
	testutil.CheckStoredKeys(t, storedDir, func(text []byte) any {
		var e Experiment
		if errs := strictdecode.Decode(text, &e); len(errs) > 0 {
			t.Fatal(errs)
		}
		e.Name = "the file's"
		return e
	})
}

// A file of results of 593ba64 is read, extended, and read again; its rows keep their bytes.
func TestResultsOfEarlierVersion(t *testing.T) {
	path := filepath.Join(storedDir, "results.json")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	list, err := ReadResults(path)
	if err != nil {
		t.Fatal(err)
	}
	want := []Result{
		{
			Experiment: "quiet",
			Size:       24,
			Role:       RoleLeaf,
			Phase:      "quiet",
			Figure:     "bytes sent",
			Unit:       "B/s",
			Value:      81.25,
			N:          20,
		},
		{Experiment: "quiet", Size: 24, Role: RoleAll, Phase: "start", Figure: "joined", Unit: "s", Value: 0, N: 1},
	}
	if !slices.Equal(list, want) {
		t.Errorf("read as %+v", list)
	}
	var out bytes.Buffer
	if err := WriteResults(&out, list); err != nil || out.String() != string(text) {
		t.Errorf("written as\n%s, %v, want\n%s", &out, err, text)
	}
	added := Result{
		Experiment: "day",
		Size:       24,
		Role:       RoleLeaf,
		Phase:      "day",
		Figure:     "events",
		Unit:       "1",
		Value:      3,
		N:          20,
	}
	copied := filepath.Join(t.TempDir(), "results.json")
	out.Reset()
	if err := WriteResults(&out, Replace(list, []Result{added})); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(copied, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	if again, err := ReadResults(copied); err != nil || !slices.Equal(again, append([]Result{added}, want...)) {
		t.Errorf("read again as %+v, %v", again, err)
	}
}

// The results in the repository, which earlier versions have written, are read.
func TestCommittedResultsAreRead(t *testing.T) {
	list, err := filepath.Glob(filepath.Join(testutil.RepositoryRoot(t), "lab", "capacity", "results", "*.json"))
	if err != nil || len(list) == 0 {
		t.Fatalf("%q, %v", list, err)
	}
	for _, path := range list {
		rows, err := ReadResults(path)
		if err != nil || len(rows) == 0 {
			t.Errorf("%s: %d rows, %v", path, len(rows), err)
		}
	}
}
