//go:build !small

package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// The commands check, list, run, show, compare and report an experiment. A claim that does not hold is an error. A hunt
// does not overwrite the result of an earlier hunt.
func TestLabCommands(t *testing.T) {
	dir := t.TempDir()
	labText := testutil.Experiment("Does it run?", "p2c", "random", 5)
	write := func(name, text string) string { return testutil.WriteFile(t, dir, name, text) }
	good := write("good.toml", labText+"[[claim]]\nsays = \"service of p2c >= 0\"\n")
	runs := filepath.Join(dir, "runs")
	want := func(wanted string, args ...string) {
		t.Helper()
		if out, err := execute(args...); err != nil || !strings.Contains(out, wanted) {
			t.Errorf("%q: error %v, want %q in the output:\n%s", args, err, wanted, out)
		}
	}
	want("1 points, 5 seeds, 2 contestants, 1 claims", "lab", "check", good)
	want("Does it run?", "lab", "list", dir)
	want("holds  service of p2c >= 0 (on each: 5 of 5", "lab", "run", "--out", runs, good)
	files, err := filepath.Glob(filepath.Join(runs, "good-*.jsonl"))
	if err != nil || len(files) != 1 {
		t.Fatalf("result files of the run: found %q, error %v, want one file", files, err)
	}
	want("random", "lab", "show", files[0])
	want("noise", "lab", "compare", files[0], files[0])
	page := filepath.Join(dir, "page.html")
	want(page, "lab", "report", files[0], "--out", page)
	if b, err := os.ReadFile(page); err != nil || !strings.Contains(string(b), "<svg") {
		t.Errorf("file of the report: error %v, %d bytes; want a page with a plot (<svg)", err, len(b))
	}
	bad := write("bad.toml", labText+"[[claim]]\nsays = \"service of p2c >= 2\"\n")
	out, err := execute("lab", "run", "--out", runs, bad)
	if !errors.Is(err, errClaim) || !strings.Contains(out, "FAILS") {
		t.Errorf("claim that does not hold: error %v, want errClaim, and FAILS in the output:\n%s", err, out)
	}
	found := filepath.Join(dir, "found", "day.toml")
	want("loses", "lab", "hunt", good, "--contestant", "random", "--tries", "4", "--out", found)
	want("2 contestants, 2 claims", "lab", "check", found)
	_, err = execute("lab", "hunt", good, "--contestant", "random", "--tries", "1", "--out", found)
	if err == nil || !strings.Contains(err.Error(), found) {
		t.Errorf("hunt with --out naming an existing file: error %v, want one that names the file", err)
	}
	for _, args := range [][]string{
		{"check", write("odd.toml", labText+"[[clam]]\n")},
		{"run", filepath.Join(dir, "absent.toml")},
		{"show", good},
		{"list", runs},
		{"hunt", good, "--tries", "0"},
	} {
		if _, err := execute(append([]string{"lab"}, args...)...); err == nil {
			t.Errorf("%q: no error for invalid arguments", args)
		}
	}
}
