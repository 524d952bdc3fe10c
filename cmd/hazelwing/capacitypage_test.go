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

// Each row of the page of capacity's table of bounds is a constant of the code with that value, or is counted by a test that is there
// and holds its count to the row (fixture.HoldToPage). So a change that moves one fails until the page is brought in line.
func TestCapacityPageBounds(t *testing.T) {
	root := testutil.Root(t)
	rows := testutil.PageRows(t)
	if len(rows) < 10 {
		t.Fatalf("%d rows", len(rows))
	}
	for _, r := range rows {
		if len(r.By) != 2 {
			t.Errorf("%s: it is from %q, want a file or package and a name", r.Name, r.By)
			continue
		}
		path := filepath.Join(root, r.By[0])
		if strings.HasPrefix(r.By[1], "Test") {
			if !holds(t, path, r) {
				t.Errorf("%s: no %s of %s holds it", r.Name, r.By[1], r.By[0])
			}
			continue
		}
		got, err := constant(path, r.By[1])
		if err != nil {
			t.Errorf("%s: %v", r.Name, err)
		} else if math.Abs(got-r.Figure) > 1e-9*math.Abs(r.Figure) {
			t.Errorf("%s: %s has %v, docs/CAPACITY.md says %v", r.Name, r.By[1], got, r.Figure)
		}
	}
}

// holds says whether a package has that test, and holds something to the row.
func holds(t *testing.T, dir string, r testutil.PageRow) bool {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if regexp.MustCompile(`(?m)^func `+r.By[1]+`\(`).Match(text) && strings.Contains(string(text), fmt.Sprintf("HoldToPage(t, %q", r.Name)) {
			return true
		}
	}
	return false
}

// constant is the value of a constant that a file declares; of a time it is the seconds.
func constant(path, name string) (float64, error) {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return 0, err
	}
	declared := map[string]ast.Expr{}
	for _, d := range f.Decls {
		if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.CONST {
			for _, s := range g.Specs {
				v := s.(*ast.ValueSpec)
				for i, n := range v.Names {
					if i < len(v.Values) {
						declared[n.Name] = v.Values[i]
					}
				}
			}
		}
	}
	x, ok := declared[name]
	if !ok {
		return 0, fmt.Errorf("%s declares no constant %s", path, name)
	}
	var value func(e ast.Expr) (float64, error)
	value = func(e ast.Expr) (float64, error) {
		switch e := e.(type) {
		case *ast.BasicLit:
			return strconv.ParseFloat(strings.ReplaceAll(e.Value, "_", ""), 64)
		case *ast.ParenExpr:
			return value(e.X)
		case *ast.Ident:
			if y, ok := declared[e.Name]; ok {
				return value(y)
			}
		case *ast.SelectorExpr:
			unit, ok := map[string]time.Duration{
				"Microsecond": time.Microsecond, "Millisecond": time.Millisecond, "Second": time.Second, "Minute": time.Minute,
				"Hour": time.Hour,
			}[e.Sel.Name]
			if ok {
				return unit.Seconds(), nil
			}
		case *ast.BinaryExpr:
			a, err := value(e.X)
			if err != nil {
				return 0, err
			}
			b, err := value(e.Y)
			if err != nil {
				return 0, err
			}
			switch e.Op {
			case token.ADD:
				return a + b, nil
			case token.SUB:
				return a - b, nil
			case token.MUL:
				return a * b, nil
			case token.QUO:
				return a / b, nil
			case token.SHL:
				return math.Ldexp(a, int(b)), nil
			}
		}
		return 0, fmt.Errorf("%s: %s is no number that can be read here", path, name)
	}
	return value(x)
}
