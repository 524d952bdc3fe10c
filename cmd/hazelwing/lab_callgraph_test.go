//go:build !small

package main

import (
	"errors"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// The command simulates a call graph. A claim that does not hold is an error, and the error for an invalid file names
// the file.
func TestLabCallgraph(t *testing.T) {
	text := `question = "Does it run?"
services = 3
depth = 2
instances = 6
calls = 200
fan = 1.0
work = "1ms"
queue = 64
deadline = "1s"
attempts = 3
warm = "1s"
length = "2s"
modes = ["fail"]
shares = [1.0]
seed = 1
`
	dir := t.TempDir()
	write := func(name, text string) string { return testutil.WriteFile(t, dir, name, text) }
	out, err := execute("lab", "callgraph", write("good.toml", text))
	if err != nil || !strings.Contains(out, "Does it run?") || !strings.Contains(out, "fail") {
		t.Errorf("valid experiment: error %v, want its question and mode in the output:\n%s", err, out)
	}
	bad := write("bad.toml", text+"[[claim]]\nmeasure = \"times\"\nmode = \"fail\"\nmost = 1.0\n")
	if _, err := execute("lab", "callgraph", bad); !errors.Is(err, errClaim) || !strings.Contains(err.Error(), bad) {
		t.Errorf("claim that does not hold: error %v, want errClaim with the file", err)
	}
	odd := write("odd.toml", text+"depht = 1\n")
	if _, err := execute("lab", "callgraph", odd); err == nil || !strings.Contains(err.Error(), odd+":16:1") {
		t.Errorf("unknown key: error %v, want its file, line and column", err)
	}
}
