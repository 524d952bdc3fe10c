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
	"strconv"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/testutil"
)

// Each row of the capacity page's table of bounds is the value of a constant of the code, or is counted by a test
// that exists and compares its count with the row (testutil.CheckCapacityBound). So a change of a bound fails until the
// page is updated.
func TestCapacityPageBounds(t *testing.T) {
	root := testutil.RepositoryRoot(t)
	rows := testutil.CapacityBounds(t)
	if len(rows) < 10 {
		t.Fatalf("%d rows", len(rows))
	}
	for _, r := range rows {
		if len(r.Sources) != 2 {
			t.Errorf("%s: it is from %q, want a file or package and a name", r.Name, r.Sources)
			continue
		}
		path := filepath.Join(root, r.Sources[0])
		if strings.HasPrefix(r.Sources[1], "Test") {
			if !holds(t, path, r) {
				t.Errorf("%s: no %s of %s holds it", r.Name, r.Sources[1], r.Sources[0])
			}
			continue
		}
		got, err := constant(path, r.Sources[1])
		if err != nil {
			t.Errorf("%s: %v", r.Name, err)
		} else if math.Abs(got-r.Figure) > 1e-9*math.Abs(r.Figure) {
			t.Errorf("%s: %s has %v, docs/CAPACITY.md says %v", r.Name, r.Sources[1], got, r.Figure)
		}
	}
}

// holds reports whether a package has the test of a row, and a call that compares a count with the row.
func holds(t *testing.T, dir string, r testutil.CapacityBound) bool {
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
	constants := constantsOf(file)
	expr, ok := constants[name]
	if !ok {
		return 0, fmt.Errorf("%s declares no constant %s", path, name)
	}
	value, err := constants.evaluate(expr)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}

// constantExprs are the expressions of constants by name.
type constantExprs map[string]ast.Expr

// constantsOf returns the constants that a file declares with an expression.
func constantsOf(file *ast.File) constantExprs {
	constants := constantExprs{}
	for _, decl := range file.Decls {
		group, ok := decl.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			valueSpec := spec.(*ast.ValueSpec)
			for i, ident := range valueSpec.Names {
				if i < len(valueSpec.Values) {
					constants[ident.Name] = valueSpec.Values[i]
				}
			}
		}
	}
	return constants
}

// evaluate returns the value of an expression, in seconds if it is a duration.
func (c constantExprs) evaluate(expr ast.Expr) (float64, error) {
	switch e := expr.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(strings.ReplaceAll(e.Value, "_", ""), 64)
	case *ast.ParenExpr:
		return c.evaluate(e.X)
	case *ast.Ident:
		if value, ok := c[e.Name]; ok {
			return c.evaluate(value)
		}
	case *ast.SelectorExpr:
		if unit, ok := timeUnit(e.Sel.Name); ok {
			return unit.Seconds(), nil
		}
	case *ast.BinaryExpr:
		return c.evaluateBinary(e)
	}
	return 0, fmt.Errorf("expression %T is no number that can be read here", expr)
}

func (c constantExprs) evaluateBinary(e *ast.BinaryExpr) (float64, error) {
	left, err := c.evaluate(e.X)
	if err != nil {
		return 0, err
	}
	right, err := c.evaluate(e.Y)
	if err != nil {
		return 0, err
	}
	switch e.Op {
	case token.ADD:
		return left + right, nil
	case token.SUB:
		return left - right, nil
	case token.MUL:
		return left * right, nil
	case token.QUO:
		return left / right, nil
	case token.SHL:
		return math.Ldexp(left, int(right)), nil
	}
	return 0, fmt.Errorf("operator %s is not supported", e.Op)
}

// timeUnit returns the constant of package time with a name.
func timeUnit(name string) (time.Duration, bool) {
	switch name {
	case "Microsecond":
		return time.Microsecond, true
	case "Millisecond":
		return time.Millisecond, true
	case "Second":
		return time.Second, true
	case "Minute":
		return time.Minute, true
	case "Hour":
		return time.Hour, true
	}
	return 0, false
}
