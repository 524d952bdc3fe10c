package testutil

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// CapacityBound is a row of the table of bounds in docs/CAPACITY.md.
type CapacityBound struct {
	Name   string
	Figure float64
	// Sources names where the figure comes from: a file and a constant, or a package and a test, without backquotes.
	Sources []string
}

const (
	// boundsTitle is the heading above the table of bounds.
	boundsTitle = "## Bounds that tests hold"
	// boundsCells is the number of parts of a row split at "|", including the empty ones at both ends.
	boundsCells = 5
)

// RepositoryRoot returns the directory of the checkout: the closest parent of the working directory with a go.mod.
func RepositoryRoot(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			t.Fatal("neither the working directory nor a parent directory of it has a go.mod")
		}
		dir = parent
	}
}

// CapacityBounds reads the table of bounds in docs/CAPACITY.md.
func CapacityBounds(t testing.TB) (bounds []CapacityBound) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(RepositoryRoot(t), "docs", "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, table, ok := strings.Cut(string(text), "\n"+boundsTitle+"\n")
	if !ok {
		t.Fatalf("docs/CAPACITY.md has no heading %q", boundsTitle)
	}
	table, _, _ = strings.Cut(table, "\n## ")
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if !isBoundsRow(cells) {
			continue
		}
		figure, err := strconv.ParseFloat(strings.ReplaceAll(strings.TrimSpace(cells[2]), ",", ""), 64)
		if err != nil {
			t.Fatalf("docs/CAPACITY.md: figure of a bound is not a number: %v, in the row %s", err, line)
		}
		bounds = append(bounds, CapacityBound{
			Name:    strings.TrimSpace(cells[1]),
			Figure:  figure,
			Sources: strings.Fields(strings.ReplaceAll(cells[3], "`", "")),
		})
	}
	return bounds
}

// isBoundsRow reports whether the cells belong to a row with a figure, and not to the table's heading, the line below
// the heading or other text.
func isBoundsRow(cells []string) bool {
	if len(cells) != boundsCells {
		return false
	}
	isSeparator := strings.HasPrefix(strings.TrimSpace(cells[1]), "---")
	isHeading := strings.TrimSpace(cells[2]) == "figure"
	return !isSeparator && !isHeading
}

// CheckCapacityBound fails the test if a measured value differs from the figure in docs/CAPACITY.md by more than
// tolerance, which is a share of the figure. In that case, either a change to the code has altered the value by
// mistake, or the page is outdated.
func CheckCapacityBound(t testing.TB, name string, measured, tolerance float64) {
	t.Helper()
	for _, bound := range CapacityBounds(t) {
		if bound.Name != name {
			continue
		}
		margin := tolerance * bound.Figure
		if measured < bound.Figure-margin || measured > bound.Figure+margin {
			t.Errorf("%s: measured %.4g, docs/CAPACITY.md has %.4g, want a difference of at most %.4g",
				name, measured, bound.Figure, margin)
		}
		return
	}
	t.Errorf("docs/CAPACITY.md has no row %q in the table of bounds", name)
}
