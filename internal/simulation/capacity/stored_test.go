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

// storedDir holds files of commit 593ba64: an experiment's file with every key, the values that the program of that
// commit read from it, and a file of results. The README of the directory describes them.
const storedDir = "testdata/version-593ba64"

// Files of commit 593ba64 can still be read: each key sets the field that it set in that commit.
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

// A file of results of commit 593ba64 can be read, and writing its results again gives the same bytes. After a result
// has been added to the file, all its results can be read.
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
		t.Errorf("%s: read %+v, want %+v", path, list, want)
	}
	var out bytes.Buffer
	if err := WriteResults(&out, list); err != nil || out.String() != string(text) {
		t.Errorf("%s: written again with error %v:\n%s\nwant\n%s", path, err, &out, text)
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
		t.Errorf("read %+v from the extended file, error %v; want %+v before %+v", again, err, added, want)
	}
}

// The results in lab/capacity/results, which earlier versions have written, can still be read.
func TestCommittedResultsAreRead(t *testing.T) {
	list, err := filepath.Glob(filepath.Join(testutil.RepositoryRoot(t), "lab", "capacity", "results", "*.json"))
	if err != nil || len(list) == 0 {
		t.Fatalf("files of results in lab/capacity/results: %q, want at least one; error %v", list, err)
	}
	for _, path := range list {
		rows, err := ReadResults(path)
		if err != nil || len(rows) == 0 {
			t.Errorf("%s: read %d rows, error %v; want at least one row", path, len(rows), err)
		}
	}
}
