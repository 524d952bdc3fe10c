package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	glossaryPage = moduleRoot + "/docs/GLOSSARY.md"

	// glossaryHeader is the header of the page's tables of terms.
	glossaryHeader = "| elsewhere | in this code | meaning | where |"
	glossaryCells  = 4
)

// Each term of the glossary has a meaning, and an existing identifier, package or file. No term has two rows. Newcomers
// use the glossary to find the code for a term of the operators.
func TestGlossaryNamesTheCode(t *testing.T) {
	page, err := os.ReadFile(glossaryPage)
	if err != nil {
		t.Fatal(err)
	}
	terms, problems := parseCode(t).checkGlossary(string(page))
	const minTerms = 80
	if terms < minTerms {
		t.Errorf("%d terms were found on the page, want at least %d", terms, minTerms)
	}
	for _, problem := range problems {
		t.Error(problem)
	}
}

// checkGlossary reports each kind of wrong row, and accepts valid rows.
func TestGlossaryCheckFindsWrongRows(t *testing.T) {
	code := parseCode(t)
	for _, c := range []struct {
		rows string
		want string // text that the reported problem must contain; empty: no problem may be reported
	}{
		{"| told | notified | it has arrived | `backoff.NotificationDeadline` |\n", ""},
		{"| rig | test cluster | many processes | `internal/testcluster` |\n", ""},
		{"| told | notified | it has arrived | `backoff.ToldDeadline` |\n", "has no backoff.ToldDeadline"},
		{"| told | notified | it has arrived | `balancer.Told` and `balancer.Reject` |\n", "has no balancer.Told"},
		{"| rig | test cluster | many processes | `internal/rig` |\n", "has no internal/rig"},
		{"| told | notified | it has arrived | the schedule |\n", "names nothing in the code"},
		{"| told | notified | | `balancer.Reject` |\n", "empty"},
		{"| told | notified | `balancer.Reject` |\n", "3 cells"},
		{
			"| told | a | it has arrived | `balancer.Reject` |\n| told | b | it has arrived | `balancer.Reject` |\n",
			"two rows",
		},
	} {
		_, problems := code.checkGlossary(glossaryHeader + "\n| --- | --- | --- | --- |\n" + c.rows)
		got := strings.Join(problems, "\n")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: problems %q, want a problem with the text %q (none if empty)", c.rows, got, c.want)
		}
	}
}

// checkGlossary returns the number of terms on a page, and the problems of their rows.
func (c codeNames) checkGlossary(page string) (count int, problems []string) {
	inTable := false
	seen := map[string]bool{}
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		switch {
		case line == glossaryHeader:
			inTable = true
		case !strings.HasPrefix(line, "|"):
			inTable = false
		case inTable && !strings.HasPrefix(line, "| ---"):
			count++
			cells := strings.Split(strings.Trim(line, "|"), "|")
			for i := range cells {
				cells[i] = strings.TrimSpace(cells[i])
			}
			if seen[cells[0]] {
				problems = append(problems, cells[0]+": the term has two rows")
			}
			seen[cells[0]] = true
			problems = append(problems, c.checkTerm(cells)...)
		}
	}
	return count, problems
}

// checkTerm returns the problems of a row, given its cells.
func (c codeNames) checkTerm(cells []string) (problems []string) {
	word := cells[0]
	if len(cells) != glossaryCells {
		return []string{fmt.Sprintf("%s: %d cells, want %d", word, len(cells), glossaryCells)}
	}
	for i, cell := range cells {
		if cell == "" {
			problems = append(problems, fmt.Sprintf("%s: cell %d is empty", word, i+1))
		}
	}
	spans := codeSpan.FindAllStringSubmatch(cells[glossaryCells-1], -1)
	if len(spans) == 0 {
		problems = append(problems, word+": the row names nothing in the code")
	}
	for _, span := range spans {
		if !c.names[span[1]] && !isPackage(span[1]) && !isFile(span[1]) {
			problems = append(problems, fmt.Sprintf("%s: the code has no %s", word, span[1]))
		}
	}
	return problems
}

func isFile(name string) bool {
	_, err := os.Stat(filepath.Join(moduleRoot, name))
	return err == nil
}
