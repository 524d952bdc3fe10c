//go:build !small

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hazelwing/internal/simulation/capacity"
)

// The command fits the series in a file of results. The error names each series that the small sizes do not predict, or
// the file that cannot be read.
func TestLabSlopes(t *testing.T) {
	var rows []capacity.Result
	for _, n := range []int{74, 148, 295, 590, 1180} {
		add := func(figure string, value float64) {
			rows = append(rows, capacity.Result{
				Experiment: "e",
				Size:       n,
				Role:       capacity.RoleLeaf,
				Phase:      "quiet",
				Figure:     figure,
				Unit:       "B/s",
				Value:      value,
				N:          3,
			})
		}
		add("bytes sent", 139)
		add("view", 360*float64(n))
		add("storm", max(1, float64(n-295)))
	}
	rows = append(rows, capacity.Result{
		Experiment: "e",
		Size:       74,
		Role:       capacity.RoleRoot,
		Phase:      "day",
		Figure:     "once",
		Unit:       "s",
		Value:      1,
		N:          1,
	})
	path := filepath.Join(t.TempDir(), "results.json")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(capacity.WriteResults(f, rows), f.Close()); err != nil {
		t.Fatal(err)
	}
	out, err := execute("lab", "slopes", path)
	if !errors.Is(err, errForecast) ||
		!strings.Contains(fmt.Sprint(err), "e quiet sidecar storm") ||
		strings.Contains(fmt.Sprint(err), "bytes sent") {
		t.Errorf("without --figure: error %v, want errForecast for the series storm only", err)
	}
	for _, want := range []string{"139", "360 n", "holds", "MISSES", "two at least"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
	out, err = execute("lab", "slopes", path, "--figure", "view,bytes sent")
	if err != nil || strings.Contains(out, "storm") {
		t.Errorf("with --figure: error %v, want none, and no storm in the output:\n%s", err, out)
	}
	if out, err := execute("lab", "slopes", path, "--figure", "storm", "--within", "1000"); err != nil {
		t.Errorf("with a large tolerance: error %v, want none\n%s", err, out)
	}
	for _, text := range []string{"", "{}", `[{"experiment":"e"}]`} {
		bad := filepath.Join(t.TempDir(), "bad.json")
		if err := os.WriteFile(bad, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := execute("lab", "slopes", bad); err == nil || !strings.Contains(err.Error(), bad) {
			t.Errorf("file with the text %q: error %v, want one that names the file", text, err)
		}
	}
}
