package capacity

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// tableLine identifies a line of a table: a figure of a role in a phase.
type tableLine struct{ phase, role, figure, unit string }

// WriteTable writes results as a table with a line for each figure and a column for each size.
func WriteTable(w io.Writer, results []Result) error {
	var lines []tableLine
	var sizes []int
	values := map[tableLine]map[int]float64{}
	for _, r := range results {
		l := tableLine{r.Phase, r.Role, r.Figure, r.Unit}
		if values[l] == nil {
			values[l] = map[int]float64{}
			lines = append(lines, l)
		}
		if !slices.Contains(sizes, r.Size) {
			sizes = append(sizes, r.Size)
		}
		values[l][r.Size] = r.Value
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	columns := []string{"phase", "role", "figure", "unit"}
	for _, n := range sizes {
		columns = append(columns, fmt.Sprint(n))
	}
	if err := writeRow(t, columns); err != nil {
		return err
	}
	for _, l := range lines {
		columns := []string{l.phase, l.role, l.figure, l.unit}
		for _, n := range sizes {
			column := "-"
			if v, ok := values[l][n]; ok {
				column = fmt.Sprintf("%.4g", v)
			}
			columns = append(columns, column)
		}
		if err := writeRow(t, columns); err != nil {
			return err
		}
	}
	return t.Flush()
}

func writeRow(w io.Writer, columns []string) error {
	_, err := fmt.Fprintln(w, strings.Join(columns, "\t"))
	return err
}
