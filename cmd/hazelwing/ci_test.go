package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// .ci/run with KNOWN-RED.txt, on a small module: it ignores failures of just the listed tests and prints them, and
// fails if the list has more than three lines, a line without a cause, or a test that does not exist. Without the
// file it ignores nothing.
func TestKnownRed(t *testing.T) {
	script, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	const red = `package %s

import "testing"

func TestRed(t *testing.T) { t.Fatal("it is red") }

func TestRedToo(t *testing.T) {}
`
	module := map[string]string{
		"go.mod":               "module small\n\ngo 1.26\n",
		"README.md":            "    go test ./...\n",
		"deploy/balancer.toml": "build = \"true\"\n",
		"a/a_test.go":          strings.Replace(red, "%s", "a", 1),
		"b/b_test.go":          "package b\n\nimport \"testing\"\n\nfunc TestGreen(t *testing.T) {}\n",
		// In place of the linter, which a small module has no use for. TestLinterRuns has one that complains.
		"tools/golangci/go.mod":        "module small\n\ngo 1.26\n\ntool small/linter/golangci-lint\n",
		"linter/golangci-lint/main.go": "package main\n\nfunc main() {}\n",
	}
	const line = "a TestRed, the pool forgets, under load, 43\n"
	otherRed := strings.Replace(red, "%s", "b", 1)
	for _, c := range []struct {
		name       string
		list       string
		other      string // in place of b's tests
		green      bool
		wantOutput string
	}{
		{"no file", "", "", false, "it is red"},
		{"listed", line, "", true, "    " + line},
		{"a second red test", line, otherRed, false, "FAIL\tsmall/b"},
		{"both listed", line + "b TestRed, the same, 43\n", otherRed, true, "ok  \tsmall/b"},
		{
			"a listed test by the beginning of its name", "a TestRe, the pool forgets, 43\n", "", false,
			"KNOWN-RED.txt:1: there is no TestRe in ./a",
		},
		{
			"no such package", "c TestRed, the pool forgets, 43\n", "", false,
			"KNOWN-RED.txt:1: ./c cannot be listed",
		},
		{
			"no cause", "a TestRed, , 43\n", "", false,
			"KNOWN-RED.txt:1: \"PACKAGE TestName, cause, issue\" is wanted: a TestRed, , 43",
		},
		{
			"no issue", "a TestRed, the pool forgets\n", "", false,
			"KNOWN-RED.txt:1: \"PACKAGE TestName, cause, issue\" is wanted",
		},
		{"an empty line", "\n" + line, "", false, "KNOWN-RED.txt:1:"},
		{"four lines", line + line + line + line, "", false, "KNOWN-RED.txt:4: three lines at most"},
		{"a pattern for a test", "a Test.*, the pool forgets, 43\n", "", false, "KNOWN-RED.txt:1:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			write := func(name, text string, mode os.FileMode) {
				writeFile(t, filepath.Join(dir, name), text, mode)
			}
			for name, text := range module {
				write(name, text, 0o644)
			}
			write(".ci/run", string(script), 0o755)
			if c.other != "" {
				write("b/b_test.go", c.other, 0o644)
			}
			if c.list != "" {
				write("KNOWN-RED.txt", c.list, 0o644)
			}
			run := exec.CommandContext(t.Context(), "bash", ".ci/run")
			run.Dir = dir
			out, err := run.CombinedOutput()
			if (err == nil) != c.green || !strings.Contains(string(out), c.wantOutput) {
				t.Errorf("green is %v, want %v, with %q in\n%s", err == nil, c.green, c.wantOutput, out)
			}
		})
	}
}

// writeFile writes a file and makes its directory.
func writeFile(t *testing.T, path, text string, mode os.FileMode) {
	t.Helper()
	err := errors.Join(
		os.MkdirAll(filepath.Dir(path), 0o755),
		os.WriteFile(path, []byte(text), mode),
	)
	if err != nil {
		t.Fatal(err)
	}
}

// .ci/run runs the linter on the whole module, and fails if the linter does.
func TestLinterRuns(t *testing.T) {
	script, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	const linter = `package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Println("linter called with", os.Args[1:])
	os.Exit(STATUS)
}
`
	for _, test := range []struct {
		name, status string
		green        bool
	}{
		{"no complaint", "0", true},
		{"a complaint", "1", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for name, text := range map[string]string{
				"go.mod":                       "module small\n\ngo 1.26\n",
				"README.md":                    "    go test ./...\n",
				"deploy/balancer.toml":         "build = \"true\"\n",
				"tools/golangci/go.mod":        "module small\n\ngo 1.26\n\ntool small/linter/golangci-lint\n",
				"linter/golangci-lint/main.go": strings.Replace(linter, "STATUS", test.status, 1),
				".ci/run":                      string(script),
			} {
				writeFile(t, filepath.Join(dir, name), text, 0o600)
			}
			run := exec.CommandContext(t.Context(), "bash", ".ci/run")
			run.Dir = dir
			out, err := run.CombinedOutput()
			const called = "linter called with [run ./...]"
			if (err == nil) != test.green || !strings.Contains(string(out), called) {
				t.Errorf("green is %v, want %v, with %q in\n%s", err == nil, test.green, called, out)
			}
		})
	}
}
