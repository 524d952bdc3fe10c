package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What .ci/run makes of KNOWN-RED.txt, on a small module: it passes over just the listed tests and prints them, and fails with a
// list that is longer than three lines, a line that has no cause, or a test that does not exist. Without the file nothing is
// passed over.
func TestKnownRed(t *testing.T) {
	script, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	const red = "package %s\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fatal(\"it is red\") }\n\nfunc TestRedToo(t *testing.T) {}\n"
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
		name, list string
		other      string // in place of b's tests
		green      bool
		says       string
	}{
		{"no file", "", "", false, "it is red"},
		{"listed", line, "", true, "    " + line},
		{"a second red test", line, otherRed, false, "FAIL\tsmall/b"},
		{"both listed", line + "b TestRed, the same, 43\n", otherRed, true, "ok  \tsmall/b"},
		{"a listed test by the beginning of its name", "a TestRe, the pool forgets, 43\n", "", false, "KNOWN-RED.txt:1: there is no TestRe in ./a"},
		{"no such package", "c TestRed, the pool forgets, 43\n", "", false, "KNOWN-RED.txt:1: ./c cannot be listed"},
		{"no cause", "a TestRed, , 43\n", "", false, "KNOWN-RED.txt:1: \"PACKAGE TestName, cause, issue\" is wanted: a TestRed, , 43"},
		{"no issue", "a TestRed, the pool forgets\n", "", false, "KNOWN-RED.txt:1: \"PACKAGE TestName, cause, issue\" is wanted"},
		{"an empty line", "\n" + line, "", false, "KNOWN-RED.txt:1:"},
		{"four lines", line + line + line + line, "", false, "KNOWN-RED.txt:4: three lines at most"},
		{"a pattern for a test", "a Test.*, the pool forgets, 43\n", "", false, "KNOWN-RED.txt:1:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			write := func(name, text string, mode os.FileMode) {
				path := filepath.Join(dir, name)
				if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, []byte(text), mode)); err != nil {
					t.Fatal(err)
				}
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
			run := exec.Command("bash", ".ci/run")
			run.Dir = dir
			out, err := run.CombinedOutput()
			if (err == nil) != c.green || !strings.Contains(string(out), c.says) {
				t.Errorf("green is %v, want %v, with %q in\n%s", err == nil, c.green, c.says, out)
			}
		})
	}
}

// .ci/run asks the linter about the whole module, and fails when it complains.
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
				path := filepath.Join(dir, name)
				if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, []byte(text), 0o600)); err != nil {
					t.Fatal(err)
				}
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
