package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"hazelwing/internal/testutil"
)

// Each row in the capacity page's table of bounds has the value of a constant in the code, or names a test that
// compares its own count with the row (testutil.CheckCapacityBound). If a bound changes in the code, the tests fail
// until the page is updated.
func TestCapacityPageBounds(t *testing.T) {
	root := testutil.RepositoryRoot(t)
	rows := testutil.CapacityBounds(t)
	if len(rows) < 10 {
		t.Fatalf("the table of bounds has %d rows, want at least 10", len(rows))
	}
	for _, r := range rows {
		if len(r.Sources) != 2 {
			t.Errorf("%s: the source is %q, want a file or package and a name", r.Name, r.Sources)
			continue
		}
		path := filepath.Join(root, r.Sources[0])
		if strings.HasPrefix(r.Sources[1], "Test") {
			if !hasBoundCheck(t, path, r) {
				t.Errorf("%s: no test %s in %s compares a count with this row", r.Name, r.Sources[1], r.Sources[0])
			}
			continue
		}
		got, err := constant(path, r.Sources[1])
		if err != nil {
			t.Errorf("%s: %v", r.Name, err)
		} else if math.Abs(got-r.Figure) > 1e-9*math.Abs(r.Figure) {
			t.Errorf("%s: %s is %v, docs/CAPACITY.md has %v", r.Name, r.Sources[1], got, r.Figure)
		}
	}
}

// hasBoundCheck reports whether a package declares the test of a row, and compares a count with the row in the
// same file.
func hasBoundCheck(t *testing.T, dir string, r testutil.CapacityBound) bool {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		isDeclared := regexp.MustCompile(`(?m)^func ` + r.Sources[1] + `\(`).Match(text)
		if isDeclared && strings.Contains(string(text), fmt.Sprintf("CheckCapacityBound(t, %q", r.Name)) {
			return true
		}
	}
	return false
}

// constant returns the value of a constant that a file declares, in seconds if it is a duration.
func constant(path, name string) (float64, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return 0, err
	}
	constants := packageConstants{exprs: map[string]ast.Expr{}}
	constants.add(file)
	value, err := constants.value(name)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}
