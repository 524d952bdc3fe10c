package worstcase

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"hazelwing/internal/simulation/experiment"
	"hazelwing/internal/testutil"
)

// Search finds a case in which random choice has a lower service than the choice of the node with the least requests,
// and finds the same case again. Its experiment can be loaded and executed, and the claim that random choice is as good
// fails.
func TestSearch(t *testing.T) {
	dir := t.TempDir()
	t.Chdir(dir)
	path := "base.toml" // relative, whereas the directory of the new experiment, dir, is absolute
	if err := os.WriteFile(path, []byte(testutil.Experiment("?", "random", "least", 2)), 0o600); err != nil {
		t.Fatal(err)
	}
	e, err := experiment.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	options := Options{Policy: "random", Baseline: "least", Candidates: 24, Seed: 1, Cores: 2}
	worst, err := Search(t.Context(), e, options)
	if err != nil || worst.Loss < 0.02 || len(worst.Faults) > maxFaults {
		t.Fatalf("search found %+v, want a loss of at least 0.02 with at most %d faults; error %v, want none",
			worst, maxFaults, err)
	}
	if again, err := Search(t.Context(), e, options); err != nil || !reflect.DeepEqual(again, worst) {
		t.Errorf("second search found %+v, want %+v; error %v, want none", again, worst, err)
	}
	text, err := Experiment(e, options, worst, dir)
	if err != nil {
		t.Fatal(err)
	}
	found := filepath.Join(dir, "found.toml")
	if err := os.WriteFile(found, text, 0o600); err != nil {
		t.Fatal(err)
	}
	foundExperiment, err := experiment.Load(found)
	if err != nil {
		t.Fatalf("loading the found experiment: error %v, want none; its text is\n%s", err, text)
	}
	run := filepath.Join(dir, "run")
	runs, err := foundExperiment.Execute(t.Context(), run, 2, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	h, _, err := experiment.ReadResults(run)
	if err != nil {
		t.Fatal(err)
	}
	verdicts, err := experiment.Judge(h, runs)
	if err != nil || verdicts[0].Holds || !verdicts[1].Holds {
		t.Errorf("verdicts are %+v, want the first claim to fail and the second to hold; error %v, want none\n%s",
			verdicts, err, text)
	}
	if _, err := Search(t.Context(), e, Options{Policy: "luck", Baseline: "least", Candidates: 1}); err == nil ||
		!strings.Contains(err.Error(), "luck") {
		t.Errorf("search with the unknown policy luck gave error %v, want one that contains its name", err)
	}
}
